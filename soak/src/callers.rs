//! Callers that go on using a connection until the box closes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::timeout;

use crate::ledger::Kind;
use crate::ledger::Row;

/// How long a caller waits, as it tells the box.
const PATIENCE: Duration = Duration::from_secs(5);
/// Beyond that it hangs; the ledger tells.
const LAST: Duration = Duration::from_secs(10);
/// Body of the calls that end the servers which run them.
pub const DEADLY: &str = "a prompt that ends whoever reads it";
/// Between two calls of one caller.
const REST: std::ops::Range<u64> = 5..60;

/// Rows of all callers.
pub type Rows = Arc<Mutex<Vec<Row>>>;

/// One caller: calls boxes at random until told to stop.
pub async fn run(
    name: usize,
    fronts: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    rows: Rows,
    stop: Arc<AtomicBool>,
) {
    let mut open: Option<Caller> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{name}-{number}");
        let kind = match rng.random_range(0..10) {
            0..=2 => Kind::Once,
            3..=5 => Kind::Again,
            6..=7 => Kind::Stream,
            8 => Kind::Fragile,
            _ => Kind::Deadly,
        };
        let front = fronts[rng.random_range(0..fronts.len())];
        let begun = Instant::now();
        let answer = one(&mut open, front, &text(kind, &id)).await;
        let row = Row {
            id,
            kind,
            answer,
            took: begun.elapsed(),
            patience: PATIENCE,
        };
        rows.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(row);
        tokio::time::sleep(Duration::from_millis(rng.random_range(REST))).await;
    }
}

fn text(kind: Kind, id: &str) -> String {
    match kind {
        Kind::Once => call("POST", "/once/a", id, "", "body"),
        Kind::Again => call("GET", "/again/a", id, "", ""),
        Kind::Stream => call("POST", "/stream/a", id, "", "prompt"),
        // All of these are equal, as those that end servers are.
        Kind::Fragile => call("POST", "/stream/fragile/a", id, "", "prompt"),
        Kind::Deadly => call("POST", "/stream/fragile/a", id, "", DEADLY),
    }
}

async fn one(
    open: &mut Option<Caller>,
    front: SocketAddr,
    text: &str,
) -> Option<badgerferry_standin::caller::RawResponse> {
    let mut caller = match open.take() {
        Some(caller) => caller,
        None => timeout(LAST, Caller::connect(front)).await.ok()?.ok()?,
    };
    caller.send(text).await.ok()?;
    let answer = timeout(LAST, caller.read_response()).await.ok()?.ok()?;
    let closes = answer.header("connection") == Some("close") || !answer.is_complete;
    if !closes {
        *open = Some(caller);
    }
    Some(answer)
}
