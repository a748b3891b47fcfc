//! Servers that may have a part in a call now, by what they said and how they do.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::time::Time;
use rand::Rng;

use crate::relay::state::Relay;
use crate::traffic::lock;

/// When to come back where no server took the call; a restarting one needs about that long.
pub const NO_SERVER_RETRY: Duration = Duration::from_millis(250);
/// Part of the time until a server opens over which callers that are refused come back.
const RETURN_SPREAD: f64 = 0.25;

/// Why a call can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotNow {
    /// There are none that can take it.
    NoEngines,
    /// All that there are take no call of this box before so long.
    AllClosed(Duration, RefusalReason),
    /// All that there are leave.
    AllLeaving,
}

impl NotNow {
    /// What its caller is told, and when to come back.
    pub fn refusal(self) -> (RefusalReason, Duration) {
        match self {
            Self::NoEngines => (RefusalReason::NoServer, NO_SERVER_RETRY),
            Self::AllClosed(retry_in, why) => {
                // Callers that are refused together do not come back in one instant.
                let spread = rand::rng().random_range(0.0..RETURN_SPREAD);
                (why, retry_in + retry_in.mul_f64(spread))
            }
            Self::AllLeaving => (RefusalReason::ServersLeaving, NO_SERVER_RETRY),
        }
    }

    /// Whether nothing changes in a call's favour before this time.
    pub fn lasts_until(self, now: Time, at: Time) -> bool {
        match self {
            Self::NoEngines => false,
            Self::AllClosed(retry_in, _) => now + retry_in >= at,
            Self::AllLeaving => true,
        }
    }
}

/// What a call is to be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Servers that it was sent to.
    pub tried: &'a [ServerName],
    /// How long it may wait for a place.
    pub patience: Duration,
}

/// Servers that may have a part in a call, and whether each takes it. Where none does, the one that
/// opens first may be waited for.
///
/// # Errors
///
/// Why none can take the call now.
pub fn of_service<'a>(
    relay: &Relay,
    now: Time,
    tracker: &'a ServerTracker,
    wanted: &Wanted<'_>,
) -> Result<Vec<(&'a ServerRecord, Availability)>, NotNow> {
    let Wanted {
        service,
        tried,
        patience,
    } = *wanted;
    let notices = lock(&relay.gate.notices);
    let availability = |life| {
        if tried.is_empty() {
            notices.availability(now, life)
        } else {
            notices.availability_for_retry(now, life)
        }
    };
    let mut usable = tracker.usable(now, service, tried, availability);
    if usable
        .iter()
        .any(|(_, availability)| availability.accepts_calls())
    {
        return Ok(usable);
    }
    let listed = tracker.of_service(service);
    let mut listed = listed.filter(|record| !record.info.leaving).peekable();
    if listed.peek().is_none() {
        return Err(NotNow::NoEngines);
    }
    let available_in =
        |record: &'a ServerRecord| Some((notices.available_in(now, record.life)?, record));
    let first = listed
        .filter_map(available_in)
        .min_by_key(|(wait, _)| *wait);
    match first {
        None => Err(NotNow::AllLeaving),
        Some((wait, record)) if wait > patience => {
            let why = match availability(record.life) {
                Availability::BackOff => RefusalReason::ServersShedding,
                _ => RefusalReason::ServersLimited,
            };
            Err(NotNow::AllClosed(wait, why))
        }
        Some((_, record)) => {
            usable.retain(|(other, _)| other.key != record.key);
            usable.push((record, Availability::Limited));
            Ok(usable)
        }
    }
}

/// Leaves engines out that are slow, unless nothing that takes calls is left then.
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
