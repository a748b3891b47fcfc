//! A loopback proxy in front of one listener, which delays, resets, cuts one way or silences.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

/// What the proxy does with bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// Passes them on.
    #[default]
    Open,
    /// Passes them on later.
    Delayed(Duration),
    /// Closes connections, open and new ones.
    Reset,
    /// Holds what goes to the listener.
    CutThere,
    /// Holds what comes back.
    CutBack,
    /// Holds both.
    Silent,
}

/// A proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    link: Arc<Mutex<Link>>,
    changed: Arc<Notify>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts one in front of `target`.
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            link: Arc::default(),
            changed: Arc::default(),
            address: listener.local_addr()?,
        };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Changes what it does.
    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = link;
        self.changed.notify_waiters();
    }

    fn link(&self) -> Link {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry(self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let there = self.pass(near_in, far_out, Link::CutThere);
        let back = self.pass(far_in, near_out, Link::CutBack);
        let reset = async {
            while self.link() != Link::Reset {
                self.changed.notified().await;
            }
        };
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            () = reset => {}
        }
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Link) {
        let mut buf = [0; 4_096];
        while let Ok(read) = from.read(&mut buf).await {
            loop {
                match self.link() {
                    link if link == cut || link == Link::Silent => self.changed.notified().await,
                    Link::Delayed(by) => break tokio::time::sleep(by).await,
                    _ => break,
                }
            }
            if read == 0 || to.write_all(&buf[..read]).await.is_err() {
                break;
            }
        }
        // The other side may be gone already.
        let _ = to.shutdown().await;
    }
}
