//! Finds the servers that may take part in a call now, by the availability that they announced, by
//! the evacuated data halls and by their recorded health.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_preferences;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::time::Time;
use rand::Rng;

use crate::relay::call::Call;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Retry delay if no server can take the call; a server restart takes about that long.
pub const NO_SERVER_RETRY: Duration = Duration::from_millis(250);
/// Retry delay if the operator evacuates the halls of all servers, which takes much longer than a
/// server restart.
const EVACUATED_RETRY: Duration = Duration::from_secs(1);
/// Maximum jitter of the retry delay, as a fraction of it.
const RETRY_JITTER: f64 = 0.25;

/// Why no server can take a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCandidate {
    /// No usable server is listed.
    NoServers,
    /// Every listed server refuses calls of this box for at least this long, for this reason.
    RetryIn(Duration, RefusalReason),
    /// Every listed server is in an evacuated hall, or is leaving.
    AllEvacuated,
    /// Every listed server is leaving.
    AllLeaving,
    /// No server responds to queries.
    Silent,
}

impl NoCandidate {
    /// Reason and retry delay for the caller.
    pub fn refusal(self) -> (RefusalReason, Duration) {
        match self {
            Self::NoServers => (RefusalReason::NoServer, NO_SERVER_RETRY),
            Self::RetryIn(retry_in, reason) => (reason, with_jitter(retry_in)),
            Self::AllEvacuated => (
                RefusalReason::ServersEvacuated,
                with_jitter(EVACUATED_RETRY),
            ),
            Self::AllLeaving => (RefusalReason::ServersLeaving, NO_SERVER_RETRY),
            Self::Silent => (RefusalReason::ServersSilent, with_jitter(NO_SERVER_RETRY)),
        }
    }

    /// Whether no server can become available before the time `at`.
    pub fn lasts_until(self, now: Time, at: Time) -> bool {
        match self {
            Self::NoServers | Self::Silent => false,
            Self::RetryIn(retry_in, _) => now + retry_in >= at,
            Self::AllEvacuated | Self::AllLeaving => true,
        }
    }
}

/// The delay with jitter, which keeps callers that were refused together from retrying together.
pub fn with_jitter(delay: Duration) -> Duration {
    delay + delay.mul_f64(rand::rng().random_range(0.0..RETRY_JITTER))
}

/// Which servers a call may use.
#[derive(Debug, Clone, Copy)]
pub struct CandidateQuery<'a> {
    /// Service that the call is routed to.
    pub service: &'a ServiceName,
    /// Servers that the call was already sent to.
    pub tried: &'a [ServerName],
    /// Longest time that the call may wait for a server.
    pub max_wait: Duration,
    /// What is known of the servers' responses.
    pub heard: Heard,
}

/// Which servers a call may use by whether they are known to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Any.
    Any,
    /// Those that have sent something within this time are preferred.
    Preferred(Duration),
    /// Only those that have responded to a query within this time.
    Verified(Duration),
}

/// Servers that may take part in a call, with the availability of each. If none accepts calls now,
/// the one that will accept them first is included as [`Availability::Limited`], if that is within
/// `max_wait`.
///
/// # Errors
///
/// No server can take the call within `max_wait`.
pub fn of_service<'a>(
    relay: &Relay,
    now: Time,
    tracker: &'a ServerTracker,
    query: &CandidateQuery<'_>,
) -> Result<Vec<(&'a ServerRecord, Availability)>, NoCandidate> {
    let CandidateQuery {
        service,
        tried,
        max_wait,
        heard,
    } = *query;
    let notices = lock(&relay.gate.notices);
    let availability = |record: &ServerRecord| {
        let announced = if tried.is_empty() {
            notices.availability(now, record.incarnation)
        } else {
            notices.availability_for_retry(now, record.incarnation)
        };
        relay.gate.availability_in([&record.info.hall], announced)
    };
    let usable = tracker.usable(now, service, tried, availability);
    let mut usable = match heard {
        Heard::Any => usable,
        Heard::Preferred(recent) => server_preferences::heard_recently(now, recent, usable),
        Heard::Verified(recent) => {
            let is_verified = |record: &ServerRecord| record.is_verified_within(now, recent);
            let usable = usable.into_iter();
            let verified: Vec<_> = usable.filter(|(record, _)| is_verified(record)).collect();
            if verified.is_empty() {
                return Err(NoCandidate::Silent);
            }
            verified
        }
    };
    if usable
        .iter()
        .any(|(_, availability)| availability.accepts_calls())
    {
        return Ok(usable);
    }
    let listed = tracker.of_service(service);
    let listed: Vec<&ServerRecord> = listed.filter(|record| !record.info.leaving).collect();
    if listed.is_empty() {
        return Err(NoCandidate::NoServers);
    }
    let is_evacuated = |record: &ServerRecord| relay.gate.is_evacuated(&record.info.hall);
    let available_in =
        |record: &'a ServerRecord| Some((notices.available_in(now, record.incarnation)?, record));
    let first = (listed.iter().copied())
        .filter(|record| !is_evacuated(record))
        .filter_map(available_in)
        .min_by_key(|(wait, _)| *wait);
    match first {
        None if listed.iter().any(|record| is_evacuated(record)) => Err(NoCandidate::AllEvacuated),
        None => Err(NoCandidate::AllLeaving),
        Some((wait, record)) if wait > max_wait => {
            let reason = match availability(record) {
                Availability::BackOff => RefusalReason::ServersShedding,
                _ => RefusalReason::ServersLimited,
            };
            Err(NoCandidate::RetryIn(wait, reason))
        }
        Some((_, record)) => {
            usable.retain(|(other, _)| other.key != record.key);
            usable.push((record, Availability::Limited));
            Ok(usable)
        }
    }
}

/// Whether the service has servers that the call was not sent to yet.
pub fn has_untried(call: &Call, tried: &[ServerName]) -> bool {
    let tracker = lock(&call.relay.tracker);
    let mut records = tracker.of_service(&call.service);
    records.any(|record| !record.info.leaving && !tried.contains(&record.info.name))
}

/// Removes slow engines, unless no engine that accepts calls would remain.
pub fn without_slow<'a>(
    relay: &Relay,
    now: Time,
    candidates: Vec<(&'a ServerRecord, Availability)>,
) -> Vec<(&'a ServerRecord, Availability)> {
    let slow_engine_tracker = lock(&relay.slow_engine_tracker);
    let fast = slow_engine_tracker.without_slow(now, candidates.clone(), |(record, _)| record.key);
    let accepts_calls = fast
        .iter()
        .any(|(_, availability)| availability.accepts_calls());
    if accepts_calls { fast } else { candidates }
}
