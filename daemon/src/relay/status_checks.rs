//! Status checks of servers that have not responded to calls that ended first, one at a time for each
//! server.

use std::collections::HashSet;
use std::sync::Mutex;

use badgerferry_lib::ids::ServerName;
use metrics::counter;

use crate::relay::listed_server::ListedServer;
use crate::relay::server_query;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Servers that are being checked.
#[derive(Debug, Default)]
pub struct StatusChecks(Mutex<HashSet<ServerName>>);

impl StatusChecks {
    /// Checks the status of a server at this path, unless a check of it is under way or it accepts none.
    /// What its response announces is recorded.
    pub async fn check(&self, relay: &Relay, server: &ListedServer, path: &str) {
        if !lock(&self.0).insert(server.server.clone()) {
            return;
        }
        let _running = RunningCheck {
            checks: self,
            server: &server.server,
        };
        let Ok(admitted) = relay.gate.admit_background(&server.target).await else {
            return;
        };
        let checked = server_query::check_status(relay, server, path, admitted).await;
        let outcome = if checked.is_ok() { "told" } else { "failed" };
        counter!("badgerferry_status_checks_total", "outcome" => outcome).increment(1);
        tracing::info!(
            server = %server.server,
            cause = checked.err().map(|cause| format!("{cause:#}")),
            "status checked of a server that had not responded"
        );
    }
}

/// A check that is under way until dropped.
struct RunningCheck<'a> {
    checks: &'a StatusChecks,
    server: &'a ServerName,
}

impl Drop for RunningCheck<'_> {
    fn drop(&mut self) {
        lock(&self.checks.0).remove(self.server);
    }
}
