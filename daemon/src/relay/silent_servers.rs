//! Watches servers that do not respond to queries, until they do.
//!
//! Calls avoid them meanwhile, also those of other boxes, which are told: a server that stands still reads a call only once it goes on, and then works
//! on it although it may have been retried elsewhere.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::relay::listed_server::ListedServer;
use crate::relay::running_servers::LivenessProbe;
use crate::relay::server_path;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Response time-out of one query of a silent server, which may stand still for seconds.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed query is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Records that a server did not respond in time, and watches it. That says nothing of the server while the
/// path of this box may be cut.
pub fn record(relay: &Arc<Relay>, server: &ListedServer, probe: &LivenessProbe) {
    let Some(known) = server_path::known_server(relay, &server.server) else {
        return;
    };
    if lock(&relay.server_paths).is_doubtful(&known.service) {
        return;
    }
    let now = relay.clock.now();
    if !lock(&relay.tracker).record_silence(now, &server.server) {
        return;
    }
    relay.urgent_changed.notify_one();
    counter!("badgerferry_silent_servers_total").increment(1);
    tracing::info!(
        server = %server.server,
        service = %known.service,
        "server does not respond: avoided until it does"
    );
    tokio::spawn(watch(Arc::clone(relay), server.clone(), probe.clone()));
}

/// Queries a server until it is not silent any more, or not listed.
async fn watch(relay: Arc<Relay>, server: ListedServer, probe: LivenessProbe) {
    let silent_since = relay.clock.now();
    loop {
        // A response is recorded; so is one to a call.
        let answer = timeout(QUERY_TIMEOUT, probe.send(&relay, &server)).await;
        {
            let tracker = lock(&relay.tracker);
            let record = tracker.get(&server.server);
            let is_silent = record.is_some_and(|record| {
                record.incarnation == server.target.incarnation && record.is_silent()
            });
            if !is_silent {
                break;
            }
        }
        if answer.is_ok() {
            sleep(RETRY_DELAY).await;
        }
    }
    tracing::info!(
        server = %server.server,
        silent_ms = relay.clock.now().since(silent_since).as_millis() as u64,
        "server responds again, or is gone"
    );
}
