//! Which servers an attempt may use: for a retry, and while servers are silent, only such as run.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;

use crate::relay::call::Call;
use crate::relay::candidates;
use crate::relay::candidates::CandidateQuery;
use crate::relay::candidates::Heard;
use crate::relay::running_servers;
use crate::relay::running_servers::Search;
use crate::traffic::lock;

/// Maximum number of searches whose servers are excluded before they are used.
const MAX_SEARCHES: u32 = 3;

/// Which send of a call an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// The first one.
    First,
    /// The first one, after a server did not respond that was selected for it.
    FirstAfterSilence,
    /// A server may have received the call before.
    Retry,
}

/// What an attempt needs of its servers.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Servers that are used again only if there is no other.
    pub tried: &'a [ServerName],
    /// Which send of the call it is.
    pub send: SendKind,
    /// Whether all servers that received it declined it.
    pub is_declined: bool,
    /// Whether a short call goes to one of the least loaded engines.
    pub is_isolated: bool,
}

/// Servers that an attempt may use.
pub fn candidate_query<'a>(call: &'a Call, tried: &'a [ServerName]) -> CandidateQuery<'a> {
    CandidateQuery {
        service: &call.service,
        tried,
        max_wait: call.max_admission_wait(tried.is_empty()),
        heard: Heard::Any,
    }
}

/// Servers that an attempt may use; only such as run, if that is required.
pub async fn running_candidates<'a>(
    call: &'a Call,
    requirements: &Requirements<'a>,
) -> CandidateQuery<'a> {
    let query = candidate_query(call, requirements.tried);
    if requirements.send == SendKind::First {
        return query;
    }
    let until = call.relay.clock.now() + running_servers::max_wait(call);
    for searches in 1.. {
        match running_servers::find(call, &query, requirements.is_declined).await {
            Search::Found { is_untried } => {
                // One that lost the call and runs is better than one that stands still.
                let tried = if is_untried { query.tried } else { &[] };
                let found = CandidateQuery {
                    tried,
                    heard: Heard::Verified(running_servers::RECENT),
                    ..query
                };
                if searches >= MAX_SEARCHES || has_candidates(call, &found) {
                    return found;
                }
            }
            Search::Unknown => {
                return CandidateQuery {
                    heard: Heard::Preferred(call.route.objective),
                    ..query
                };
            }
            Search::NoneResponds if call.relay.clock.now() < until => {
                tokio::time::sleep(running_servers::SEARCH_INTERVAL).await;
            }
            Search::NoneResponds => break,
        }
    }
    CandidateQuery {
        heard: Heard::Verified(Duration::ZERO),
        ..query
    }
}

/// Whether servers that were found may still be used: many calls may fail at them at once, and exclude them.
fn has_candidates(call: &Call, query: &CandidateQuery<'_>) -> bool {
    let now = call.relay.clock.now();
    let tracker = lock(&call.relay.tracker);
    candidates::of_service(&call.relay, now, &tracker, query).is_ok()
}
