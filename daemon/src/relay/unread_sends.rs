//! Sends whose connection ended before any response, see [`badgerferry_lib::relay::unread_sends`].
//!
//! Each stays pending in the retry budget until it is settled, and its call is sent again only then: a retry
//! that is read first would make the first send a late arrival, with more time than is left by then. A send is
//! settled once its server has responded to a query on another connection, has exited, or was replaced.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_edges::process_probe;
use badgerferry_edges::process_probe::ProcessState;
use badgerferry_lib::relay::unread_sends::ProcessLiveness;
use badgerferry_lib::relay::unread_sends::ServerProcess;
use metrics::counter;
use metrics::gauge;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::relay::abandoned_run::SentRun;
use crate::relay::call::Call;
use crate::relay::call_retry::PendingSend;
use crate::relay::listed_server::ListedServer;
use crate::relay::running_servers;
use crate::relay::running_servers::Answer;
use crate::relay::running_servers::LivenessProbe;
use crate::relay::server_gate::Target;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Interval at which the box checks whether a process has responded to anything.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a send that is read counts as late.
const LATE: Duration = Duration::from_millis(500);
/// Fraction of the time left for which a call waits until its first send is settled. The rest is left to a
/// retry, of the box or of its caller.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// What became of a send whose connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Its server has responded to a query since, and has read what it will read.
    Read,
    /// Its server has exited, or another process has its place.
    Lost,
    /// Its server can't be asked.
    Unknown,
    /// Its server may read it at any time.
    Unread,
}

impl Fate {
    const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Lost => "lost",
            Self::Unknown => "unknown",
            Self::Unread => "unread",
        }
    }
}

fn process_of(target: &Target) -> ServerProcess {
    ServerProcess {
        name: target.name.clone(),
        incarnation: target.incarnation,
    }
}

/// Keeps a send pending until it is settled.
pub fn keep(run: &SentRun, pending: PendingSend) {
    let relay = &run.call.relay;
    let process = process_of(&run.target);
    let ended_at = relay.clock.now();
    let until = ended_at + run.call.route.time_limit;
    let is_first = lock(&relay.unread_sends).keep(&process, ended_at, until, pending);
    // There is no runtime while the process exits.
    if let Ok(runtime) = Handle::try_current()
        && is_first
    {
        runtime.spawn(watch(Arc::clone(relay), process));
    }
}

/// Settles the sends of a process that has exited.
pub fn record_exit(relay: &Relay, target: &Target) {
    settle(relay, &process_of(target), ProcessLiveness::Exited);
}

/// Settles the sends of a process as it responds, until none is left.
async fn watch(relay: Arc<Relay>, process: ServerProcess) {
    while lock(&relay.unread_sends).has_unread(&process) {
        sleep(CHECK_INTERVAL).await;
        let liveness = match lock(&relay.tracker).get(&process.name) {
            Some(record) if record.incarnation != process.incarnation => ProcessLiveness::Exited,
            Some(record) => ProcessLiveness::HeardAt(record.last_heard()),
            None => ProcessLiveness::HeardAt(None),
        };
        settle(&relay, &process, liveness);
    }
}

fn settle(relay: &Relay, process: &ServerProcess, liveness: ProcessLiveness) {
    let now = relay.clock.now();
    // Dropped without the lock: each records its arrival.
    let (settled, left) = {
        let mut sends = lock(&relay.unread_sends);
        (sends.remove_settled(now, process, liveness), sends.len())
    };
    gauge!("badgerferry_unread_sends").set(left as f64);
    let first = settled.iter().min_by_key(|settled| settled.ended_at);
    let unread = first.map_or(Duration::ZERO, |first| now.since(first.ended_at));
    if unread >= LATE {
        tracing::info!(
            server = %process.name,
            sends = settled.len(),
            first_call = first.map(|first| first.send.call()),
            unread_ms = unread.as_millis() as u64,
            exited = liveness == ProcessLiveness::Exited,
            "unread sends settled: the server may have read them late"
        );
    }
}

/// Waits until a send whose connection ended is settled, for as long as that helps the caller. Returns whether
/// the call may be sent again.
pub async fn wait_until_settled(call: &Call, server: &ListedServer) -> bool {
    let started_at = Instant::now();
    let max_wait = max_wait(call);
    let fate = match LivenessProbe::of(call) {
        Some(probe) => timeout(max_wait, find_fate(call, server, &probe, max_wait))
            .await
            .unwrap_or(Fate::Unread),
        None => Fate::Unknown,
    };
    counter!("badgerferry_ended_sends_total", "fate" => fate.name()).increment(1);
    tracing::info!(
        call = call.id(),
        server = %server.server,
        fate = fate.name(),
        waited_ms = started_at.elapsed().as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
        "connection ended before a response"
    );
    fate != Fate::Unread
}

/// A stream that has begun waits for as long as it may search for a running server.
fn max_wait(call: &Call) -> Duration {
    if call.response_started.load(Ordering::Relaxed) {
        running_servers::max_wait(call)
    } else {
        call.time_left().mul_f64(MAX_WAIT_FRACTION)
    }
}

async fn find_fate(
    call: &Call,
    server: &ListedServer,
    probe: &LivenessProbe,
    max_wait: Duration,
) -> Fate {
    let relay = &call.relay;
    let until = Instant::now() + max_wait;
    loop {
        if is_replaced(relay, server) {
            return Fate::Lost;
        }
        match probe.send_until(relay, server, until).await {
            Answer::Healthy | Answer::Unhealthy => return Fate::Read,
            Answer::NotAdmitted => return Fate::Unknown,
            Answer::Failed => {}
        }
        if let ProcessState::Exited = process_probe::check_exit(&server.address).await {
            record_exit(relay, &server.target);
            return Fate::Lost;
        }
        sleep(running_servers::SEARCH_INTERVAL).await;
    }
}

/// Whether another process has the place of this one.
fn is_replaced(relay: &Relay, server: &ListedServer) -> bool {
    let tracker = lock(&relay.tracker);
    let record = tracker.get(&server.server);
    record.is_some_and(|record| record.incarnation != server.target.incarnation)
}
