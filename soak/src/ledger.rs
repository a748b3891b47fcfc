//! Records of calls, and the checks of invariants on them and on what servers received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::server::Server;

use crate::callers;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run at most once.
    NonRepeatable,
    /// May be repeated.
    Repeatable,
    /// A stream that may be resumed on another server.
    Stream,
    /// A resumable stream on the fragile servers, which crashing calls also reach.
    Fragile,
    /// A stream on the fragile servers whose request crashes each server that runs it.
    Crashing,
}

/// One call and its result.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Call id, as servers receive it.
    pub id: String,
    /// Kind of the call.
    pub kind: CallKind,
    /// Box that was drawn for it; an open connection may lead to another one.
    pub front: SocketAddr,
    /// Time until it was sent; `None` if connecting failed or timed out.
    pub sent_after: Option<Duration>,
    /// Response; `None` if connecting, sending or reading failed or timed out.
    pub response: Option<RawResponse>,
    /// Time until the call ended.
    pub elapsed: Duration,
    /// When the call ended.
    pub ended_at: Instant,
    /// Deadline that the caller sent to the box.
    pub deadline: Duration,
}

/// A call hangs if it has not ended this long after its deadline.
const HANG_GRACE: Duration = Duration::from_secs(3);

/// Checks the records of all calls against what servers received.
///
/// # Errors
///
/// The first violated invariant.
pub fn check(records: &[CallRecord], servers: &[Server]) -> anyhow::Result<()> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let sent: BTreeSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
    for seen in servers.iter().flat_map(Server::received_calls) {
        let id = seen.id();
        let expected = id.starts_with("recovery-") || sent.contains(id);
        let request_line = &seen.request_line;
        anyhow::ensure!(
            expected,
            "a server received call {id}, which no caller sent: {request_line}"
        );
        *runs.entry(id.to_owned()).or_default() += usize::from(seen.ran);
    }
    for record in records {
        let ran = runs.get(&record.id).copied().unwrap_or_default();
        check_record(record, ran, servers[0].events)?;
        check_refusal(record, servers)?;
    }
    Ok(())
}

/// Checks that no fragile call was refused for crashes: another call causes them. The error names the
/// crashes in which equal calls were lost, so that a failure shows what the boxes counted.
fn check_refusal(record: &CallRecord, servers: &[Server]) -> anyhow::Result<()> {
    let response = record.response.as_ref();
    let is_refusal = record.kind == CallKind::Fragile
        && response.is_some_and(|response| {
            response.status == 503 && response.body.contains("ends_servers")
        });
    anyhow::ensure!(
        !is_refusal,
        "call {} was refused for crashes caused by another call; equal calls were lost in {:?}",
        record.id,
        crashes_with_fragile_calls(servers, record.ended_at)
    );
    Ok(())
}

/// Server and number of each crash that lost a fragile call received before `until`.
fn crashes_with_fragile_calls(servers: &[Server], until: Instant) -> BTreeSet<(String, usize)> {
    let mut crashes = BTreeSet::new();
    for server in servers {
        for seen in server.received_calls() {
            let is_earlier = seen.received_at.is_some_and(|at| at < until);
            let is_fragile = seen.request_line == callers::FRAGILE_REQUEST_LINE
                && seen.body == callers::FRAGILE_PROMPT.as_bytes();
            if let (true, true, Some(crash)) = (is_earlier, is_fragile, seen.lost_in_crash) {
                crashes.insert((server.name.clone(), crash));
            }
        }
    }
    crashes
}

/// Server crashes that one request may cause per start of a box. A box that reaches neither other
/// boxes nor the store can only count the crashes that it sees itself, and loses that count when it
/// restarts.
const MAX_CRASHES_PER_BOX_START: usize = 3;

/// Time from the server's first request that is not checked, as only a response announces the
/// limit.
const LIMIT_WARM_UP: Duration = Duration::from_secs(3);
/// Length of the sliding window in which requests are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Checks the requests that a server received against its announced limit in calls per second. A
/// window may hold 1.5 times the limit plus five requests, to allow for boxes that stop, start and
/// are suspended.
///
/// # Errors
///
/// A window holds more requests than that.
pub fn check_limit(server: &Server, limit: f64) -> anyhow::Result<()> {
    let mut arrivals = server.arrivals();
    arrivals.sort_unstable();
    let Some(&first) = arrivals.first() else {
        return Ok(());
    };
    let from = arrivals.partition_point(|at| *at < first + LIMIT_WARM_UP);
    let counted = &arrivals[from..];
    let max_requests = (limit * LIMIT_WINDOW.as_secs_f64()).mul_add(1.5, 5.0) as usize;
    for (index, start) in counted.iter().enumerate() {
        let received = counted[index..].partition_point(|other| *other < *start + LIMIT_WINDOW);
        anyhow::ensure!(
            received <= max_requests,
            "server limited to {limit} calls/s received {received} requests in {LIMIT_WINDOW:?}, \
             at most {max_requests} allowed"
        );
    }
    Ok(())
}

/// Calls that a box may send to a server within a pause that the server asked for, per start of
/// the box.
const MAX_CALLS_PER_PAUSE: usize = 2;

/// Checks the calls that servers rejected against the pauses that they asked for. In any window as
/// long as the pause, a server may reject one call in flight per caller and two per start of a box.
///
/// # Errors
///
/// A server rejected more calls than that.
pub fn check_pauses(
    servers: &[Server],
    pause: Duration,
    callers: usize,
    box_starts: usize,
) -> anyhow::Result<()> {
    let max_rejected = callers + MAX_CALLS_PER_PAUSE * box_starts;
    for server in servers {
        let seen = server.received_calls();
        let rejected = seen.iter().filter(|seen| seen.sent_retry_after);
        let times: Vec<Instant> = rejected.filter_map(|seen| seen.received_at).collect();
        for (index, start) in times.iter().enumerate() {
            let count = times[index..].partition_point(|other| *other < *start + pause);
            anyhow::ensure!(
                count <= max_rejected,
                "server {} rejected {count} calls within a pause that it asked for, \
                 at most {max_rejected} allowed",
                server.name
            );
        }
    }
    Ok(())
}

/// Checks the crashes caused by one request against the maximum for this many starts of boxes.
///
/// # Errors
///
/// Servers crashed more often than that.
pub fn check_crashes(servers: &[Server], box_starts: usize) -> anyhow::Result<()> {
    let crashes: usize = servers.iter().map(Server::times_crashed).sum();
    let max_crashes = MAX_CRASHES_PER_BOX_START * box_starts;
    anyhow::ensure!(
        crashes <= max_crashes,
        "servers crashed {crashes} times, at most {max_crashes} allowed"
    );
    Ok(())
}

/// Whether one request has crashed enough servers that every box must hold it.
pub fn crash_limit_reached(servers: &[Server]) -> bool {
    servers.iter().map(Server::times_crashed).sum::<usize>() >= MAX_CRASHES_PER_BOX_START
}

fn check_record(record: &CallRecord, ran: usize, events: u64) -> anyhow::Result<()> {
    let id = &record.id;
    anyhow::ensure!(
        record.kind != CallKind::NonRepeatable || ran <= 1,
        "call {id} may run at most once but ran {ran} times"
    );
    anyhow::ensure!(
        record.elapsed <= record.deadline + HANG_GRACE,
        "call {id} ({:?}) hung: it took {:?}, sent after {:?}, drawn for {}; response {:?}",
        record.kind,
        record.elapsed,
        record.sent_after,
        record.front,
        record.response
    );
    let Some(response) = &record.response else {
        return Ok(());
    };
    match (response.status, record.kind) {
        (503 | 429 | 408 | 421, CallKind::NonRepeatable) => anyhow::ensure!(
            ran == 0,
            "call {id} was reported as not run but ran {ran} times"
        ),
        (200, CallKind::Stream | CallKind::Fragile) => check_stream(id, response, events)?,
        (200, CallKind::Crashing) => anyhow::ensure!(
            !response.is_complete,
            "call {id} crashes servers but got a complete response"
        ),
        (200, _) if response.is_complete => anyhow::ensure!(
            response.body.ends_with(&format!(" served {id}")),
            "call {id} got the wrong response: {}",
            response.body
        ),
        (401 | 403 | 404, _) => {
            anyhow::bail!("call {id} was denied with status {}", response.status)
        }
        _ => {}
    }
    Ok(())
}

fn check_stream(id: &str, response: &RawResponse, events: u64) -> anyhow::Result<()> {
    let frames: Vec<String> = (0..events)
        .map(|at| format!("id: {at}\ndata: piece {at}\n\n"))
        .collect();
    let expected = frames.concat();
    let matches = expected.starts_with(&response.body)
        && (!response.is_complete || response.body == expected);
    anyhow::ensure!(
        matches,
        "stream {id} has unexpected content (complete: {}): {:?}",
        response.is_complete,
        response.body
    );
    Ok(())
}
