//! Callers that reuse a connection until the box closes it.

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

use crate::ledger::CallKind;
use crate::ledger::CallRecord;

/// Deadline that callers send to the box.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
/// Client-side timeout; the ledger reports a call that took that long as hung.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Request body that crashes the servers that run it.
pub const CRASHING_PROMPT: &str = "a prompt that ends whoever reads it";
/// Pause between two calls of one caller.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..60;

/// Records of all callers.
pub type CallRecords = Arc<Mutex<Vec<CallRecord>>>;

/// Runs one caller, which calls random boxes until `stop` is set.
pub async fn run(
    name: usize,
    fronts: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    records: CallRecords,
    stop: Arc<AtomicBool>,
) {
    let mut connection: Option<Caller> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{name}-{number}");
        let kind = match rng.random_range(0..10) {
            0..=2 => CallKind::NonRepeatable,
            3..=5 => CallKind::Repeatable,
            6..=7 => CallKind::Stream,
            8 => CallKind::Fragile,
            _ => CallKind::Crashing,
        };
        let front = fronts[rng.random_range(0..fronts.len())];
        let started = Instant::now();
        let response = send_call(&mut connection, front, &request_text(kind, &id)).await;
        let record = CallRecord {
            id,
            kind,
            response,
            elapsed: started.elapsed(),
            deadline: CALL_DEADLINE,
        };
        records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
        tokio::time::sleep(Duration::from_millis(rng.random_range(CALL_INTERVAL_MS))).await;
    }
}

fn request_text(kind: CallKind, id: &str) -> String {
    match kind {
        CallKind::NonRepeatable => call("POST", "/once/a", id, "", "body"),
        CallKind::Repeatable => call("GET", "/again/a", id, "", ""),
        CallKind::Stream => call("POST", "/stream/a", id, "", "prompt"),
        // All fragile calls have the same body, and so have all crashing calls.
        CallKind::Fragile => call("POST", "/stream/fragile/a", id, "", "prompt"),
        CallKind::Crashing => call("POST", "/stream/fragile/a", id, "", CRASHING_PROMPT),
    }
}

async fn send_call(
    connection: &mut Option<Caller>,
    front: SocketAddr,
    text: &str,
) -> Option<badgerferry_standin::caller::RawResponse> {
    let mut caller = match connection.take() {
        Some(caller) => caller,
        None => timeout(CLIENT_TIMEOUT, Caller::connect(front))
            .await
            .ok()?
            .ok()?,
    };
    caller.send(text).await.ok()?;
    let response = timeout(CLIENT_TIMEOUT, caller.read_response())
        .await
        .ok()?
        .ok()?;
    let closes = response.header("connection") == Some("close") || !response.is_complete;
    if !closes {
        *connection = Some(caller);
    }
    Some(response)
}
