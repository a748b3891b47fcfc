//! Counts the bytes held for slow readers, and waits for room. The bounds and the choice of whom to
//! evict are in [`badgerferry_lib::relay::held_bytes`].

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::relay::held_bytes::HeldByteLimits;
use badgerferry_lib::relay::held_bytes::HeldBytes;
use badgerferry_lib::relay::held_bytes::Hold;
use badgerferry_lib::relay::held_bytes::ReaderId;
use badgerferry_lib::relay::held_bytes::Side;
use badgerferry_lib::relay::reader_patience;
use badgerferry_lib::relay::route_table::Route;
use hyper::body::Bytes;
use metrics::counter;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::relay::log_rate_limit::LATE_LINES;
use crate::traffic::lock;

/// Interval at which a waiting response is tried again: readers become stalled without a
/// notification.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Account of the bytes that this box holds.
#[derive(Debug)]
pub struct HeldByteAccount {
    clock: Clock,
    bytes: Mutex<HeldBytes>,
    /// Notifies responses that wait for room.
    released: Notify,
}

impl HeldByteAccount {
    /// Account bounded by the memory limit in bytes, if there is one.
    pub fn new(clock: Clock, memory: Option<u64>) -> Arc<Self> {
        let limits = memory.map(HeldByteLimits::for_memory);
        if let Some(limits) = limits {
            tracing::info!(
                memory,
                side = limits.side,
                per_call = limits.reader,
                "held bytes bounded"
            );
        } else {
            tracing::warn!("no memory limit in the settings; held bytes are not bounded");
        }
        Arc::new(Self {
            clock,
            bytes: Mutex::new(HeldBytes::new(limits)),
            released: Notify::new(),
        })
    }

    /// Bounds, if there is a memory limit.
    pub fn limits(&self) -> Option<HeldByteLimits> {
        lock(&self.bytes).limits()
    }

    /// Bytes held for a side.
    pub fn held(&self, side: Side) -> u64 {
        lock(&self.bytes).held(side)
    }

    /// Whether a new call could return a small response.
    pub fn has_room_for_call(&self) -> bool {
        lock(&self.bytes).has_room_for_call(self.clock.now())
    }

    /// Logs and counts a call that was rejected because a side is full.
    pub fn log_rejected(&self, call: &str, side: Side) {
        let name = side.name();
        counter!("badgerferry_calls_rejected_for_memory_total", "side" => name).increment(1);
        if LATE_LINES.allow() {
            tracing::warn!(
                call,
                side = name,
                held = self.held(side),
                bound = self.limits().map(|limits| limits.side),
                "call rejected: too many bytes held"
            );
        }
    }
}

/// Bytes of a request body; released when dropped.
#[derive(Debug)]
pub struct HeldBody {
    account: Arc<HeldByteAccount>,
    bytes: u64,
}

impl HeldBody {
    /// An empty body.
    pub const fn new(account: Arc<HeldByteAccount>) -> Self {
        Self { account, bytes: 0 }
    }

    /// Counts more bytes of the body, if there is room.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let has_room = lock(&self.account.bytes).try_hold_body(bytes);
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        if self.bytes > 0 {
            lock(&self.account.bytes).release_body(self.bytes);
        }
    }
}

/// Caller that reads a response.
#[derive(Debug)]
pub struct ResponseReader {
    account: Arc<HeldByteAccount>,
    id: ReaderId,
}

impl ResponseReader {
    /// Registers the reader of a response to a call on this route.
    pub fn open(account: &Arc<HeldByteAccount>, route: &Route) -> Arc<Self> {
        let eviction_stall = reader_patience::eviction_stall(route);
        let id = lock(&account.bytes).open_reader(account.clock.now(), eviction_stall);
        Arc::new(Self {
            account: Arc::clone(account),
            id,
        })
    }

    /// Counts response bytes for this reader, after waiting for room. Cancel safe.
    pub async fn hold(self: &Arc<Self>, bytes: usize) -> HeldResponse {
        loop {
            // Subscribes before the check, so that no release between the two is missed.
            let released = self.account.released.notified();
            let now = self.account.clock.now();
            let hold = lock(&self.account.bytes).try_hold_response(now, self.id, bytes as u64);
            match hold {
                Hold::Granted(bytes) => {
                    return HeldResponse {
                        reader: Arc::clone(self),
                        bytes,
                    };
                }
                Hold::Wait => {
                    // Tried again after either the notification or the time-out.
                    let _ = timeout(RETRY_INTERVAL, released).await;
                }
            }
        }
    }

    /// Whether its connection has to be closed to make room for others.
    pub fn is_evicted(&self) -> bool {
        lock(&self.account.bytes).is_evicted(self.id)
    }

    /// Bytes held for it.
    pub fn held(&self) -> u64 {
        lock(&self.account.bytes).held_by(self.id)
    }

    /// Bound on the bytes held for all readers, if there is one.
    pub fn bound(&self) -> Option<u64> {
        self.account.limits().map(|limits| limits.side)
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        lock(&self.account.bytes).close_reader(self.id);
    }
}

/// Bytes of a response; released when dropped.
#[derive(Debug)]
pub struct HeldResponse {
    reader: Arc<ResponseReader>,
    bytes: u64,
}

impl HeldResponse {
    /// Keeps the bytes counted until the last reference to `bytes` is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldChunk { bytes, _held: self })
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        let account = &self.reader.account;
        let now = account.clock.now();
        lock(&account.bytes).release_response(now, self.reader.id, self.bytes);
        account.released.notify_waiters();
    }
}

#[derive(Debug)]
struct HeldChunk {
    bytes: Bytes,
    _held: HeldResponse,
}

impl AsRef<[u8]> for HeldChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
