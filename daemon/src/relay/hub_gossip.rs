//! Gossip through hubs in a large data hall: the I/O for [`badgerferry_lib::relay::hall_hubs`].

use std::net::SocketAddr;
use std::sync::Arc;

use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::hall_hubs::HallBox;
use badgerferry_lib::relay::hall_hubs::HallRole;
use badgerferry_lib::relay::hub_wire::HubFrame;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::time::Time;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::relay::gossip;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Role of this box in its hall, for its next datagram.
pub fn role(relay: &Relay, now: Time) -> HallRole {
    let cluster_view = lock(&relay.cluster_view);
    let mut hubs = lock(&relay.hubs);
    let ranked = gossip_topology::ranked_boxes(&cluster_view.boxes, relay.settings.hall.as_str());
    let ranked = ranked.into_iter().filter_map(|member| {
        Some(HallBox {
            name: member.name.clone(),
            load: member.load.parse().ok()?,
        })
    });
    hubs.set_boxes(ranked.collect());
    hubs.role(now, |name| cluster_view.peer_liveness.is_live(now, name))
}

/// Whether this box distributes the datagrams of others.
pub fn acts_as_hub(relay: &Relay) -> bool {
    lock(&relay.hubs).acts_as_hub()
}

/// Adds a datagram of this box or of another hall to the next batch.
pub fn distribute(relay: &Relay, datagram: &mut LoadDatagram) {
    let bytes = gossip::encode(datagram);
    lock(&relay.hubs).distribute(datagram, bytes);
    relay.hub_batch_changed.notify_one();
}

/// Records a datagram that another box sent to this one directly.
pub fn receive_direct(relay: &Relay, from: SocketAddr, datagram: &LoadDatagram, bytes: &[u8]) {
    let now = relay.clock.now();
    lock(&relay.hubs).receive_direct(now, from, datagram, bytes);
    if datagram.is_for_hub {
        relay.hub_batch_changed.notify_one();
    }
}

/// Records a frame of a hub; returns the datagrams in it that are new to this box.
pub fn receive_frame(relay: &Relay, from: SocketAddr, frame: HubFrame) -> Vec<LoadDatagram> {
    let now = relay.clock.now();
    let mut cluster_view = lock(&relay.cluster_view);
    let received = lock(&relay.hubs).receive_frame(now, from, frame);
    for name in &received.heard {
        cluster_view.peer_liveness.record_heard(now, name);
    }
    drop(cluster_view);
    relay.hub_batch_changed.notify_one();
    received.datagrams
}

/// Sends batches while this box acts as a hub. Never returns.
pub async fn send_batches(relay: &Arc<Relay>, socket: &UdpSocket) {
    loop {
        let next_batch_in = lock(&relay.hubs).next_batch_in(relay.clock.now());
        match next_batch_in {
            None => relay.hub_batch_changed.notified().await,
            Some(wait) if !wait.is_zero() => {
                // A time-out means that the batch is due.
                let _ = timeout(wait, relay.hub_batch_changed.notified()).await;
            }
            Some(_) => send_batch(relay, socket).await,
        }
    }
}

async fn send_batch(relay: &Relay, socket: &UdpSocket) {
    let batches = lock(&relay.hubs).take_batches(relay.clock.now());
    for batch in batches {
        for frame in batch.frames {
            gossip::send_bytes(socket, &frame.encode(), &batch.to).await;
        }
    }
}

/// Sends the datagram of this hub to boxes that may know too few others to select a hub.
pub async fn introduce(relay: &Relay, socket: &UdpSocket, now: Time, datagram: &mut LoadDatagram) {
    let (strangers, introduction) = {
        let cluster_view = lock(&relay.cluster_view);
        let mut hubs = lock(&relay.hubs);
        let is_live = |name: &str| cluster_view.peer_liveness.is_live(now, name);
        let strangers = hubs.take_strangers(is_live, rand::random_range(0..usize::MAX));
        (strangers, hubs.introduction(gossip::encode(datagram)))
    };
    gossip::send_bytes(socket, &introduction.encode(), &strangers).await;
}
