//! A box of the cluster that only sends datagrams, and answers no pulls.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_standin::store::Store;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Shorter than the interval between the datagrams of a real box.
const INTERVAL: Duration = Duration::from_millis(30);
/// Sorts after the names of real boxes, so that its rank changes nothing.
const NAME: &str = "fake-peer";

/// Registered in the store, and stopped on drop.
pub struct FakePeer {
    task: JoinHandle<()>,
    /// Accepts connections and never reads them.
    _pull: TcpListener,
}

impl FakePeer {
    /// Starts a box that announces `known_state` to the datagram address `to`.
    pub async fn start(
        store: &Store,
        to: SocketAddr,
        known_state: KnownState,
    ) -> anyhow::Result<Self> {
        let pull = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addresses = BoxAddresses {
            name: NAME.to_owned(),
            hall: "hall-a".to_owned(),
            pull: pull.local_addr()?.to_string(),
            load: socket.local_addr()?.to_string(),
            processor: 0,
        };
        let key = format!("badgerferry/boxes/{NAME}");
        store.put(&key, &serde_json::to_value(&addresses)?);
        let task = tokio::spawn(async move {
            for sequence in 1.. {
                let bytes = datagram(sequence, known_state).encode();
                // A datagram that is not sent counts as lost.
                let _ = socket.send_to(&bytes, to).await;
                tokio::time::sleep(INTERVAL).await;
            }
        });
        Ok(Self { task, _pull: pull })
    }
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn datagram(sequence: u64, known_state: KnownState) -> LoadDatagram {
    LoadDatagram {
        version: FRAME_VERSION,
        from: NAME.to_owned(),
        incarnation: 1,
        sequence,
        source: LoadSource::Box,
        is_urgent: false,
        is_for_hub: false,
        known_boxes: 0,
        known_state,
        unconfirmed: None,
        follows_store: false,
        queue_head: None,
        size_counts: Vec::new(),
        faults: Vec::new(),
        silent: Vec::new(),
        cut_off: Vec::new(),
        departures: Vec::new(),
        slow_engines: Vec::new(),
        suspects: Vec::new(),
        notices: NoticeRows::default(),
        rows: Vec::new(),
    }
}
