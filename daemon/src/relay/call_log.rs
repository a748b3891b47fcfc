//! Log lines of calls: one for each decision, with the call's id and what decided it.
//!
//! Lines of calls that were served are sampled beyond a rate, and late ones beyond a higher one;
//! those of failures never are.

use std::time::Duration;

use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::long_prompt_queue::BlockedPolls;
use badgerferry_lib::relay::route_table::Denied;
use badgerferry_platform::headers::AnswerHead;
use http::StatusCode;
use metrics::counter;
use metrics::histogram;

use crate::relay::call::Call;
use crate::relay::engines::Chosen;
use crate::relay::log_rate_limit::LATE_LINES;
use crate::relay::log_rate_limit::ON_TIME_LINES;
use crate::relay::tries::Live;
use crate::relay::upstream::SendError;

/// A call was turned down before it had a route.
pub fn rejected(id: &str, why: &str) {
    counter!("badgerferry_calls_total", "outcome" => "turned_away").increment(1);
    tracing::info!(call = id, why, "call turned away");
}

/// A call is not allowed.
pub fn denied(id: &str, version: u64, host: &str, path: &str, why: Denied) {
    counter!("badgerferry_calls_total", "outcome" => "denied").increment(1);
    tracing::info!(call = id, version, host, path, %why, "call denied");
}

/// A server was chosen.
pub fn routed(call: &Call, attempts: &Attempts, chosen: &Chosen) {
    if !chosen.waited.is_zero() {
        histogram!("badgerferry_relay_engine_wait_seconds", "service" => call.service.to_string())
            .record(chosen.waited.as_secs_f64());
    }
    if attempts.sent() == 0 && !ON_TIME_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        route = call.route.name,
        version = call.routes.table().version,
        service = %call.service,
        sent = attempts.sent(),
        server = %chosen.server,
        address = chosen.address,
        part_ms = chosen.part.map(|part| part.as_millis() as u64),
        long = chosen.is_long(),
        readers = chosen.readers.len(),
        read_at = chosen.read_at(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        waited_ms = chosen.waited.as_millis() as u64,
        expected_ms = chosen.expected.as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
        "call routed"
    );
}

/// A long prompt waited until no engines could answer it in its caller's time.
pub fn prompt_expired(call: &Call, looks: BlockedPolls) {
    let waited = call.relay.clock.now().since(call.arrived);
    tracing::info!(
        call = call.id(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        waited_ms = waited.as_millis() as u64,
        looks_behind = looks.not_first,
        looks_no_engines = looks.too_few_engines,
        "gave up waiting for engines"
    );
}

/// No server takes the call now; why, and when it may come back.
pub fn no_server_available(call: &Call, reason: RefusalReason, retry_after: Duration) {
    if !LATE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        service = %call.service,
        reason = reason.code(),
        retry_after_ms = retry_after.as_millis() as u64,
        "no server takes the call"
    );
}

/// A try got no head of an answer.
pub fn attempt_failed(call: &Call, chosen: &Chosen, cause: &SendError) {
    counter!("badgerferry_tries_failed_total", "why" => "no_answer").increment(1);
    // What it asks for matters where it may have run.
    let work = matches!(cause, SendError::Lost(_)).then(|| call.fingerprint());
    tracing::info!(
        call = call.id(),
        server = %chosen.server,
        work = work.map(tracing::field::display),
        %cause,
        "try failed"
    );
}

/// A server declined.
pub fn declined(call: &Call, chosen: &Chosen, status: StatusCode, head: &AnswerHead) {
    counter!("badgerferry_tries_failed_total", "why" => "declined").increment(1);
    tracing::info!(
        call = call.id(),
        server = %chosen.server,
        status = status.as_u16(),
        at_fault = head.at_fault,
        // Saturates: a server may name any time.
        retry_after_ms = (head.notice.retry_after.value())
            .map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        load = ?head.load.map(|load| (load.running, load.waiting, load.slots)),
        "server declined"
    );
}

/// An answer can't be used.
pub fn unusable_response(call: &Call, chosen: &Chosen, status: StatusCode, why: &str) {
    counter!("badgerferry_tries_failed_total", "why" => "unusable").increment(1);
    tracing::info!(
        call = call.id(),
        server = %chosen.server,
        status = status.as_u16(),
        work = %call.fingerprint(),
        why,
        "answer unusable"
    );
}

/// The first event is on its way to the caller.
pub fn stream_started(call: &Call, live: &Live) {
    let took = call.relay.clock.now().since(call.arrived);
    histogram!("badgerferry_relay_first_event_seconds", "service" => call.service.to_string())
        .record(took.as_secs_f64());
    if !ON_TIME_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        server = %live.flight.chosen.server,
        first_event_ms = took.as_millis() as u64,
        expected_ms = live.flight.chosen.expected.as_millis() as u64,
        "stream begins"
    );
}

/// A call has its outcome.
pub fn call_ended(call: &Call, attempts: &Attempts, outcome: &'static str, status: StatusCode) {
    outcome_line(call, attempts, outcome, status, None);
}

/// What came of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamTimings {
    /// From the call's head to its first event.
    pub first_event: Duration,
    /// How long its first run waited for engines.
    pub waited: Duration,
    /// What that run was expected to take until the first event.
    pub expected: Duration,
    /// The longest pause between events.
    pub longest_pause: Duration,
}

impl StreamTimings {
    /// The times of a stream that begins now.
    pub fn start(call: &Call, live: &Live) -> Self {
        Self {
            first_event: call.relay.clock.now().since(call.arrived),
            waited: live.flight.chosen.waited,
            expected: live.flight.chosen.expected,
            longest_pause: Duration::ZERO,
        }
    }

    /// Whether the caller got it in time.
    fn is_on_time(&self, call: &Call) -> bool {
        let pauses_well = call
            .route
            .max_gap
            .is_none_or(|most| self.longest_pause <= most);
        self.first_event <= call.route.objective && pauses_well
    }
}

/// A stream has its outcome.
pub fn stream_ended(call: &Call, attempts: &Attempts, outcome: &'static str, times: StreamTimings) {
    outcome_line(call, attempts, outcome, StatusCode::OK, Some(times));
}

fn outcome_line(
    call: &Call,
    attempts: &Attempts,
    outcome: &'static str,
    status: StatusCode,
    times: Option<StreamTimings>,
) {
    let took = call.relay.clock.now().since(call.arrived);
    counter!("badgerferry_calls_total", "outcome" => outcome).increment(1);
    histogram!("badgerferry_relay_call_seconds", "service" => call.service.to_string())
        .record(took.as_secs_f64());
    let on_time = match times {
        Some(times) => times.is_on_time(call),
        None => took <= call.route.objective,
    };
    let is_written = match (outcome, on_time) {
        ("answered", true) => ON_TIME_LINES.allow(),
        ("answered", false) => LATE_LINES.allow(),
        _ => true,
    };
    if !is_written {
        return;
    }
    let millis = |time: Duration| time.as_millis() as u64;
    tracing::info!(
        call = call.id(),
        route = call.route.name,
        outcome,
        status = status.as_u16(),
        sent = attempts.sent(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        took_ms = millis(took),
        objective_ms = millis(call.route.objective),
        first_event_ms = times.map(|times| millis(times.first_event)),
        waited_ms = times.map(|times| millis(times.waited)),
        expected_ms = times.map(|times| millis(times.expected)),
        longest_pause_ms = times.map(|times| millis(times.longest_pause)),
        pause_limit_ms = call.route.max_gap.map(millis),
        "call ended"
    );
}
