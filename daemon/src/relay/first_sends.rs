//! Checks that a server runs before the first send of a call, while servers of its service are silent.
//!
//! The kernel accepts calls for a process that stands still, and nothing takes them back: the server reads them
//! once it goes on, even if their callers have left. Which servers stand still is known only from those that were
//! queried, and they often do so together. So while any of a service is silent, a server that has not just sent
//! something is queried before it gets a call. In calm nothing is queried.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::running_servers;
use crate::relay::running_servers::Answer;
use crate::relay::running_servers::LivenessProbe;
use crate::relay::running_servers::RESPONSE_TIMEOUT;
use crate::relay::server_selection::Selection;
use crate::traffic::lock;

/// Time in which a server that has sent something counts as running: the round-trip time within a region.
const RECENT: Duration = Duration::from_millis(10);

/// Whether the selected server may get the call. If it does not respond to a query in time, others are to be
/// searched for one that runs.
pub async fn may_send(call: &Arc<Call>, selection: &Selection) -> bool {
    if !may_be_silent(call, selection) {
        return true;
    }
    let Some(probe) = LivenessProbe::of(call) else {
        return true;
    };
    let (relay, server) = (Arc::clone(&call.relay), selection.listed_server());
    let until = Instant::now() + RESPONSE_TIMEOUT;
    // Not stopped with the call: a silence is recorded even if another server is found first.
    let query = tokio::spawn(async move { probe.send_until(&relay, &server, until).await });
    let patience = if selection.is_long() {
        RESPONSE_TIMEOUT * 2
    } else {
        running_servers::QUERY_INTERVAL
    };
    let answer = timeout(patience, query).await;
    let may_send = match answer {
        Ok(Ok(Answer::Healthy | Answer::Unhealthy | Answer::NotAdmitted)) => true,
        Ok(Ok(Answer::Failed) | Err(_)) | Err(_) => false,
    };
    let outcome = if may_send { "running" } else { "silent" };
    counter!("badgerferry_first_send_queries_total", "outcome" => outcome).increment(1);
    if !may_send {
        tracing::info!(
            call = call.id(),
            server = %selection.server,
            "server does not respond before a first send: another is searched"
        );
    }
    may_send
}

/// Whether servers of the service are silent, and this one has not just sent something. While the path of this
/// box may be cut, silence says nothing of the servers.
fn may_be_silent(call: &Call, selection: &Selection) -> bool {
    let relay = &call.relay;
    let now = relay.clock.now();
    let window = relay.settings.retries.window;
    if lock(&relay.server_paths).is_doubtful(&call.service) {
        return false;
    }
    let tracker = lock(&relay.tracker);
    tracker.has_silence_within(now, &call.service, window)
        && (tracker.get(&selection.server))
            .is_some_and(|record| !record.is_heard_within(now, RECENT))
}
