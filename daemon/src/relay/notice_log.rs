//! Logs of what servers announce and of the calls that are held back for it.

use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::cold_servers::ColdChange;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::server_limits::LimitChange;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::NoticeChanges;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use metrics::counter;

use crate::relay::log_rate_limit::LATE_LINES;
use crate::relay::log_rate_limit::ON_TIME_LINES;
use crate::relay::server_gate::PendingCall;
use crate::relay::server_gate::Target;
use crate::traffic::lock;

/// Logs changes in what servers announce. `source` is where they were learned.
pub fn log_changes(tracker: &Mutex<ServerTracker>, changes: &NoticeChanges, source: &str) {
    let limits = changes.limits.iter().filter(|change| change.announce_now);
    limits.for_each(|change| log_limit_change(tracker, change, source));
    for change in &changes.cold {
        log_cold_change(tracker, change, source);
    }
    for (incarnations, message) in [
        (&changes.leaving, "server leaves"),
        (&changes.shedding, "server sheds load"),
        (&changes.recovered, "server accepts calls again"),
    ] {
        for incarnation in incarnations {
            let server = lock(tracker).name_of(*incarnation);
            let server = server.map(tracing::field::display);
            let life = format!("{:016x}", incarnation.0);
            tracing::info!(server, life, source, message);
        }
    }
}

fn log_cold_change(tracker: &Mutex<ServerTracker>, change: &ColdChange, source: &str) {
    let server = lock(tracker).name_of(change.incarnation);
    let server = server.map(tracing::field::display);
    let life = format!("{:016x}", change.incarnation.0);
    let rate = change.rate.calls_per_second();
    if change.left.is_zero() {
        tracing::info!(server, life, source, "server is warm");
    } else {
        let left_ms = change.left.as_millis() as u64;
        tracing::info!(server, life, rate, left_ms, source, "server is cold");
    }
}

fn log_limit_change(tracker: &Mutex<ServerTracker>, change: &LimitChange, source: &str) {
    let server = lock(tracker).name_of(change.incarnation);
    let server = server.map(tracing::field::display);
    let life = format!("{:016x}", change.incarnation.0);
    let before = change.before.map(CallRate::calls_per_second);
    if let Some(rate) = change.after {
        let limit = rate.calls_per_second();
        tracing::info!(server, life, limit, before, source, "server names a limit");
    } else {
        tracing::info!(
            server,
            life,
            before,
            source,
            "server names no limit any more"
        );
    }
}

/// Logs and counts a call that was not admitted; another server is chosen for it.
pub fn log_held_back(call: &PendingCall<'_>, availability: Availability) {
    let why = match availability {
        Availability::Leaving => "leaving",
        Availability::Evacuated => "evacuated",
        Availability::BackOff => "back_off",
        Availability::Open
        | Availability::Limited
        | Availability::Shedding
        | Availability::Closed => "closed",
    };
    counter!("badgerferry_calls_held_back_total", "why" => why).increment(1);
    tracing::info!(
        call = call.id,
        server = %call.target.name,
        why,
        "call held back from a server"
    );
}

/// Logs and counts notice headers that are present but unreadable.
pub fn log_unreadable(id: &str, target: &Target, notice: &Notice) {
    let unreadable = [
        ("server-limit", notice.limit == ParsedHeader::Unreadable),
        ("server-leaving", notice.leaving == ParsedHeader::Unreadable),
        (
            "retry-after",
            notice.retry_after == ParsedHeader::Unreadable,
        ),
        (
            "badgerferry-cold-ms",
            notice.cold_for == ParsedHeader::Unreadable,
        ),
    ];
    for (header, _) in unreadable
        .iter()
        .filter(|(_, is_unreadable)| *is_unreadable)
    {
        counter!("badgerferry_headers_unreadable_total", "header" => *header).increment(1);
        tracing::info!(call = id, server = %target.name, header, "unreadable header in server response");
    }
}

/// Logs and counts the outcome of a permit request: the wait of the call, or the time until a
/// retry.
pub fn log_permit(
    call: &PendingCall<'_>,
    limit: CallRate,
    is_cold: bool,
    decision: Result<Duration, Duration>,
) {
    let (outcome, lines) = match decision {
        Ok(_) => ("granted", &ON_TIME_LINES),
        Err(_) => ("full", &LATE_LINES),
    };
    let why = if is_cold { "cold" } else { "stated" };
    counter!("badgerferry_limited_calls_total", "outcome" => outcome, "why" => why).increment(1);
    if !lines.allow() {
        return;
    }
    tracing::info!(
        call = call.id,
        server = %call.target.name,
        limit = limit.calls_per_second(),
        why,
        outcome,
        wait_ms = decision.ok().map(|wait| wait.as_millis() as u64),
        room_in_ms = decision.err().map(|retry_in| retry_in.as_millis() as u64),
        "limited server asked for"
    );
}
