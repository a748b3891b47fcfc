//! Preferences among servers that may take part in a call, by what they have sent.

use std::time::Duration;

use crate::relay::availability::Availability;
use crate::relay::server_tracker::ServerRecord;
use crate::time::Time;

/// The usable servers that have sent something within `recent`. If none of those accepts calls, the half that
/// has sent something last, and otherwise all. A server that stands still shows the load that it had, so that
/// only its silence tells it from an idle one.
pub fn heard_recently(
    now: Time,
    recent: Duration,
    usable: Vec<(&ServerRecord, Availability)>,
) -> Vec<(&ServerRecord, Availability)> {
    let heard_since = |since: Option<Time>| -> Vec<_> {
        let heard = usable
            .iter()
            .filter(|(record, _)| record.last_heard() >= since);
        heard.copied().collect()
    };
    let recent: Vec<_> = (usable.iter())
        .filter(|(record, _)| record.is_heard_within(now, recent))
        .copied()
        .collect();
    if accepts_calls(&recent) {
        return recent;
    }
    let mut times: Vec<Option<Time>> = usable
        .iter()
        .map(|(record, _)| record.last_heard())
        .collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied().flatten();
    let last = heard_since(median);
    if accepts_calls(&last) { last } else { usable }
}

/// The servers without the silent ones; all, if none that accepts calls would remain.
pub(super) fn without_silent(
    now: Time,
    usable: Vec<(&ServerRecord, Availability)>,
) -> Vec<(&ServerRecord, Availability)> {
    let running = usable
        .iter()
        .filter(|(record, _)| !record.is_silent() && !record.is_reported_silent(now));
    let running: Vec<_> = running.copied().collect();
    if accepts_calls(&running) {
        running
    } else {
        usable
    }
}

/// The servers without those that have not responded to an abandoned call; all, if fewer than half of them
/// would remain, or none that accepts calls: the others may not bear the load of all.
pub(super) fn without_unanswered(
    now: Time,
    usable: Vec<(&ServerRecord, Availability)>,
) -> Vec<(&ServerRecord, Availability)> {
    let answered = usable
        .iter()
        .filter(|(record, _)| !record.is_unanswered(now));
    let answered: Vec<_> = answered.copied().collect();
    if answered.len() * 2 >= usable.len() && accepts_calls(&answered) {
        answered
    } else {
        usable
    }
}

/// Whether any of the servers accepts calls.
pub(super) fn accepts_calls(servers: &[(&ServerRecord, Availability)]) -> bool {
    servers
        .iter()
        .any(|(_, availability)| availability.accepts_calls())
}
