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

/// Deadline that each call states to the box.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
/// Timeout of connecting, and of reading a response. It exceeds the ledger's limit on the duration
/// of a call, so that a call that times out is reported as hung.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Request body that crashes the fragile servers.
pub const CRASHING_PROMPT: &str = "a prompt that ends whoever reads it";
/// Request body of the fragile calls.
pub const FRAGILE_PROMPT: &str = "prompt";
/// Request line of the fragile and the crashing calls, as servers receive it.
pub const FRAGILE_REQUEST_LINE: &str = "POST /stream/fragile/a HTTP/1.1";
/// Pause between two calls of one caller.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..60;

/// Records of the calls of all callers.
pub type CallRecords = Arc<Mutex<Vec<CallRecord>>>;

/// Runs one caller until `stop` is set. Each call draws its kind and box; an open connection is
/// reused whichever box was drawn.
pub async fn run(
    caller_index: usize,
    fronts: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    records: CallRecords,
    stop: Arc<AtomicBool>,
) {
    let mut connection: Option<Caller> = None;
    let mut call_number = 0;
    while !stop.load(Ordering::SeqCst) {
        call_number += 1;
        let id = format!("c{caller_index}-{call_number}");
        let kind = match rng.random_range(0..10) {
            0..=2 => CallKind::NonRepeatable,
            3..=5 => CallKind::Repeatable,
            6..=7 => CallKind::Stream,
            8 => CallKind::Fragile,
            _ => CallKind::Crashing,
        };
        let front = fronts[rng.random_range(0..fronts.len())];
        let started = Instant::now();
        let mut sent_after = None;
        let text = request_text(kind, &id);
        let response = send_call(&mut connection, front, &text, || {
            sent_after = Some(started.elapsed());
        })
        .await;
        let record = CallRecord {
            id,
            kind,
            front,
            sent_after,
            response,
            elapsed: started.elapsed(),
            ended_at: Instant::now(),
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
        // Apart from their ids, all fragile calls are the same request, and so are all crashing
        // calls.
        CallKind::Fragile => call("POST", "/stream/fragile/a", id, "", FRAGILE_PROMPT),
        CallKind::Crashing => call("POST", "/stream/fragile/a", id, "", CRASHING_PROMPT),
    }
}

async fn send_call(
    connection: &mut Option<Caller>,
    front: SocketAddr,
    request: &str,
    on_sent: impl FnOnce(),
) -> Option<badgerferry_standin::caller::RawResponse> {
    let mut caller = match connection.take() {
        Some(caller) => caller,
        None => timeout(CLIENT_TIMEOUT, Caller::connect(front))
            .await
            .ok()?
            .ok()?,
    };
    caller.send(request).await.ok()?;
    on_sent();
    let response = timeout(CLIENT_TIMEOUT, caller.read_response())
        .await
        .ok()?
        .ok()?;
    let must_close = response.header("connection") == Some("close") || !response.is_complete;
    if !must_close {
        *connection = Some(caller);
    }
    Some(response)
}
