//! Log lines and metrics of calls: one line per decision, with the id of the call and the inputs of
//! the decision.
//!
//! Lines of calls that are served on time are rate limited. Those of late calls, and of calls that
//! no server accepts, have a higher rate limit. Lines of failures are always written.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::connection_end::ConnectionEnd;
use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::relay::held_bytes::Side;
use badgerferry_lib::relay::long_prompt_queue::BlockedPolls;
use badgerferry_lib::relay::retry_window::RetryUsage;
use badgerferry_lib::relay::route_table::Denied;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::size_groups::SizePriority;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers::ResponseHead;
use http::StatusCode;
use metrics::counter;
use metrics::histogram;

use crate::build_info::BUILD;
use crate::relay::abandoned_run::AbandonedEnd;
use crate::relay::abandoned_run::SentRun;
use crate::relay::attempt_response::StreamingResponse;
use crate::relay::call::Call;
use crate::relay::call_retry::Retry;
use crate::relay::call_retry::RetrySource;
use crate::relay::caller_presence::CallerPresence;
use crate::relay::caller_presence::DepartureSign;
use crate::relay::connection_pool::SendError;
use crate::relay::connection_pool::Via;
use crate::relay::log_rate_limit::DEPARTURE_LINES;
use crate::relay::log_rate_limit::LATE_LINES;
use crate::relay::log_rate_limit::ON_TIME_LINES;
use crate::relay::server_selection::Selection;
use crate::traffic::lock;

/// The call was rejected before it was sent to any server.
pub fn rejected(id: &str, why: &str) {
    counter!("badgerferry_calls_total", "outcome" => "turned_away").increment(1);
    tracing::info!(call = id, why, "call rejected");
}

/// Parts of the prompt are malformed or too many, and are not considered.
pub fn prompt_parts_omitted(id: &str, omitted: usize) {
    counter!("badgerferry_prompt_parts_omitted_total").increment(omitted as u64);
    if LATE_LINES.allow() {
        tracing::info!(
            call = id,
            omitted,
            "prompt parts omitted: malformed or too many"
        );
    }
}

/// The call has no route, or no valid key for its route.
pub fn denied(id: &str, version: u64, host: &str, path: &str, why: Denied) {
    counter!("badgerferry_calls_total", "outcome" => "denied").increment(1);
    tracing::info!(call = id, version, host, path, %why, "call denied");
}

/// A server was selected for an attempt.
pub fn routed(call: &Call, attempts: &Attempts, selection: &Selection) {
    if !selection.waited.is_zero() {
        histogram!("badgerferry_relay_engine_wait_seconds", "service" => call.service.to_string())
            .record(selection.waited.as_secs_f64());
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
        server = %selection.server,
        address = selection.address,
        part_ms = selection.chunk_prefill.map(|part| part.as_millis() as u64),
        long = selection.is_long(),
        readers = selection.helpers.len(),
        read_at = selection.helper_addresses(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        waited_ms = selection.waited.as_millis() as u64,
        expected_ms = selection.expected_first_event.as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
        "call routed"
    );
}

/// A queued long prompt expired: no engines can meet its deadline any more.
pub fn prompt_expired(call: &Call, blocked: BlockedPolls, priority: Option<SizePriority>) {
    let waited = call.relay.clock.now().since(call.arrived);
    tracing::info!(
        call = call.id(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        waited_ms = waited.as_millis() as u64,
        looks_behind = blocked.not_first,
        looks_no_engines = blocked.too_few_engines,
        size_group = priority.map(|priority| priority.group.name()),
        relative_share = priority.map(|priority| priority.relative_share),
        "queued prompt expired: no engines in time"
    );
}

/// The engines of the service can't hold the prompt, even while they serve nothing else.
pub fn prompt_too_large(call: &Call, prompt: &PromptSize, model: &EngineModel, engines: usize) {
    tracing::info!(
        call = call.id(),
        service = %call.service,
        memory_tokens = prompt.memory_tokens(),
        engine_memory = model.memory,
        engines,
        "prompt exceeds the memory of all engines"
    );
}

/// No server accepts the call now. `retry_after` is the delay stated to the caller.
pub fn no_server_available(call: &Call, reason: RefusalReason, retry_after: Duration) {
    if !LATE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        service = %call.service,
        reason = reason.code(),
        retry_after_ms = retry_after.as_millis() as u64,
        "no server available"
    );
}

/// A retry was taken from the budget, after an attempt that ended like this.
pub fn retry_allowed(call: &Call, end: AttemptEnd, source: RetrySource, usage: RetryUsage) {
    let source = source.name();
    counter!("badgerferry_retries_total", "after" => end.code(), "source" => source).increment(1);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        after = end.code(),
        source,
        boxes = call.relay.budget_boxes(),
        spent = usage.spent,
        pending = usage.pending,
        earned = usage.earned,
        share = usage.share,
        uptime_ms = call.relay.clock.now().as_micros() / 1_000,
        "retry allowed"
    );
}

/// A retry is being sent. It reaches the server unless [`retry_not_sent`] follows.
pub fn retry_sent(call: &Call, server: &ServerName, retry: Retry) {
    let (after, kind) = (retry.after.code(), call.route.kind.name());
    counter!("badgerferry_retries_sent_total", "after" => after, "kind" => kind).increment(1);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        %server,
        after,
        kind,
        source = retry.source.name(),
        "retry sent"
    );
}

/// Nothing of a retry reached its server.
pub fn retry_not_sent(id: &str, retry: Retry) {
    let after = retry.after.code();
    counter!("badgerferry_retries_not_sent_total", "after" => after).increment(1);
    tracing::info!(call = id, after, "retry not sent: no connection");
}

/// The caller left while its call was in progress.
pub fn caller_left(caller: &CallerPresence, sign: DepartureSign, took: Duration) {
    let phase = caller.phase().name();
    let noticed = sign.name();
    counter!("badgerferry_callers_left_total", "phase" => phase, "noticed" => noticed).increment(1);
    if !DEPARTURE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = caller.id(),
        phase,
        noticed,
        took_ms = took.as_millis() as u64,
        version = BUILD.version,
        commit = BUILD.commit,
        sources = BUILD.sources,
        "caller left"
    );
}

/// The connection of a call that has ended first is reset.
pub fn connection_reset(run: &SentRun, via: Via) {
    let had_responded = run.response_started.is_some();
    let phase = if had_responded {
        "responding"
    } else {
        "waiting"
    };
    counter!("badgerferry_connections_reset_total", "phase" => phase).increment(1);
    let relay = &run.call.relay;
    let now = relay.clock.now();
    let heard_at = lock(&relay.tracker)
        .get(&run.target.name)
        .and_then(ServerRecord::last_heard);
    tracing::info!(
        call = run.call.id(),
        service = %run.call.service,
        server = %run.target.name,
        ?via,
        had_responded,
        sent_ms_ago = now.since(run.sent_at).as_millis() as u64,
        server_silent_ms = heard_at.map(|at| now.since(at).as_millis() as u64),
        "connection reset: call ended before its response"
    );
}

/// What the server of an abandoned run showed after the call had ended.
pub fn abandoned_run_ended(run: &SentRun, end: AbandonedEnd, took: Duration) {
    counter!("badgerferry_abandoned_calls_total", "end" => end.code()).increment(1);
    if end == AbandonedEnd::Responded && !LATE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = run.call.id(),
        service = %run.call.service,
        server = %run.target.name,
        end = end.code(),
        after_ms = took.as_millis() as u64,
        had_responded = run.response_started.is_some(),
        "abandoned call ended"
    );
}

/// No retry is left in the budget.
pub fn retry_denied(call: &Call, end: AttemptEnd, usage: RetryUsage) {
    counter!("badgerferry_retries_denied_total", "after" => end.code()).increment(1);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        after = end.code(),
        boxes = call.relay.budget_boxes(),
        spent = usage.spent,
        pending = usage.pending,
        earned = usage.earned,
        share = usage.share,
        uptime_ms = call.relay.clock.now().as_micros() / 1_000,
        "retry budget exhausted"
    );
}

/// The call is not sent: the reported queues show that no server can serve it in time.
pub fn servers_overloaded(
    call: &Call,
    reason: RefusalReason,
    queue_time: Duration,
    servers: usize,
) {
    counter!("badgerferry_calls_overloaded_total", "reason" => reason.code()).increment(1);
    if !LATE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        service = %call.service,
        reason = reason.code(),
        servers,
        queue_ms = queue_time.as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
        "call rejected: all servers overloaded"
    );
}

/// An attempt ended without a response head.
pub fn attempt_failed(call: &Call, selection: &Selection, sent_at: Time, cause: &SendError) {
    counter!("badgerferry_tries_failed_total", "why" => "no_answer").increment(1);
    // The fingerprint is logged only if the call may have run, and so may have crashed its server.
    let fingerprint = cause.may_have_run().then(|| call.fingerprint());
    let heard_since_send = lock(&call.relay.tracker).is_heard_since(sent_at, &selection.server);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        server = %selection.server,
        address = selection.address,
        sent_ms_ago = call.relay.clock.now().since(sent_at).as_millis() as u64,
        heard_since_send,
        work = fingerprint.map(tracing::field::display),
        parts = %call.head.parts,
        %cause,
        "attempt failed"
    );
}

/// A server did not read the body of a call, or those sent to it before.
pub fn server_cut(call: &Call, selection: &Selection, why: &'static str, waited: Duration) {
    counter!("badgerferry_request_bodies_unread_total", "why" => why).increment(1);
    let account = &call.relay.held_bytes;
    tracing::warn!(
        call = call.id(),
        server = %selection.server,
        side = Side::Servers.name(),
        why,
        held = account.held(Side::Servers),
        bound = account.limits().map(|limits| limits.side),
        bytes = call.body.len(),
        waited_ms = waited.as_millis() as u64,
        "request body unread"
    );
}

/// The server responded that it did not run the call.
pub fn declined(call: &Call, selection: &Selection, status: StatusCode, head: &ResponseHead) {
    counter!("badgerferry_tries_failed_total", "why" => "declined").increment(1);
    tracing::info!(
        call = call.id(),
        server = %selection.server,
        status = status.as_u16(),
        at_fault = head.faulty_server,
        // Saturates, as a server may state any duration.
        retry_after_ms = (head.notice.retry_after.value())
            .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
        load = ?head.load.map(|load| (load.running, load.waiting, load.slots)),
        "server declined"
    );
}

/// The response of a server is invalid or incomplete, or did not arrive in time.
pub fn unusable_response(call: &Call, selection: &Selection, status: StatusCode, why: &str) {
    counter!("badgerferry_tries_failed_total", "why" => "unusable").increment(1);
    tracing::info!(
        call = call.id(),
        server = %selection.server,
        status = status.as_u16(),
        work = %call.fingerprint(),
        parts = %call.head.parts,
        why,
        "response unusable"
    );
}

/// A response without framing ended with its connection.
pub fn unframed_response_ended(call: &Call, selection: &Selection, end: ConnectionEnd) {
    counter!("badgerferry_unframed_responses_total", "end" => end.code()).increment(1);
    if !LATE_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        server = %selection.server,
        end = end.code(),
        is_whole = end.is_response_whole(),
        "response without framing ended"
    );
}

/// The first event of a stream is being forwarded to the caller.
pub fn stream_started(call: &Call, live: &StreamingResponse) {
    let elapsed = call.relay.clock.now().since(call.arrived);
    histogram!("badgerferry_relay_first_event_seconds", "service" => call.service.to_string())
        .record(elapsed.as_secs_f64());
    if !ON_TIME_LINES.allow() {
        return;
    }
    tracing::info!(
        call = call.id(),
        server = %live.attempt.selection.server,
        first_event_ms = elapsed.as_millis() as u64,
        expected_ms = live.attempt.selection.expected_first_event.as_millis() as u64,
        "stream begins"
    );
}

/// The attempt of a stream that its caller leaves unread is ended, which releases the memory that is
/// reserved for it.
pub fn reservations_left_unread(call: &Call, selection: &Selection, waited: Duration) {
    tracing::info!(
        call = call.id(),
        server = %selection.server,
        engines = selection.helpers.len(),
        waited_ms = waited.as_millis() as u64,
        "attempt ended: stream unread, reservations released"
    );
}

/// A stream that its server cut is resumed: its caller had left it unread, and reads again.
pub fn paused_stream_resumed(call: &Call, paused: Duration) {
    counter!("badgerferry_paused_streams_resumed_total").increment(1);
    tracing::info!(
        call = call.id(),
        service = %call.service,
        paused_ms = paused.as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
        "paused stream resumed"
    );
}

/// A call whose response is not streamed ended with `outcome`.
pub fn call_ended(call: &Call, attempts: &Attempts, outcome: &'static str, status: StatusCode) {
    record_outcome(call, attempts, outcome, status, None);
}

/// Latencies of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamTimings {
    /// Time from the request head to the first event.
    pub first_event: Duration,
    /// Time that the first attempt waited for engines.
    pub waited: Duration,
    /// Estimated time to the first event of the first attempt.
    pub expected_first_event: Duration,
    /// Longest gap between events.
    pub longest_gap: Duration,
}

impl StreamTimings {
    /// Timings of a stream whose first event is forwarded now.
    pub fn start(call: &Call, live: &StreamingResponse) -> Self {
        Self {
            first_event: call.relay.clock.now().since(call.arrived),
            waited: live.attempt.selection.waited,
            expected_first_event: live.attempt.selection.expected_first_event,
            longest_gap: Duration::ZERO,
        }
    }

    /// Whether the stream met the objective and the gap limit of its route.
    fn is_on_time(&self, call: &Call) -> bool {
        let is_within_gap_limit = call
            .route
            .max_gap
            .is_none_or(|max_gap| self.longest_gap <= max_gap);
        self.first_event <= call.route.objective && is_within_gap_limit
    }
}

/// The stream of a call is still in progress when a stopping box answers the other calls.
pub fn stream_outlasts_stop(call: &Call) {
    tracing::warn!(
        call = call.id(),
        route = call.route.name,
        took_ms = call.relay.clock.now().since(call.arrived).as_millis() as u64,
        "stream outlasts the planned stop: cut when the process exits, unless it ends before"
    );
}

/// The stream of a call ended with `outcome`.
pub fn stream_ended(call: &Call, attempts: &Attempts, outcome: &'static str, times: StreamTimings) {
    record_outcome(call, attempts, outcome, StatusCode::OK, Some(times));
}

fn record_outcome(
    call: &Call,
    attempts: &Attempts,
    outcome: &'static str,
    status: StatusCode,
    times: Option<StreamTimings>,
) {
    let elapsed = call.relay.clock.now().since(call.arrived);
    counter!("badgerferry_calls_total", "outcome" => outcome).increment(1);
    histogram!("badgerferry_relay_call_seconds", "service" => call.service.to_string())
        .record(elapsed.as_secs_f64());
    let on_time = match times {
        Some(times) => times.is_on_time(call),
        None => elapsed <= call.route.objective,
    };
    let should_log = match (outcome, on_time) {
        ("answered", true) => ON_TIME_LINES.allow(),
        ("answered", false) => LATE_LINES.allow(),
        _ => true,
    };
    if !should_log {
        return;
    }
    let millis = |duration: Duration| duration.as_millis() as u64;
    tracing::info!(
        call = call.id(),
        route = call.route.name,
        outcome,
        status = status.as_u16(),
        sent = attempts.sent(),
        tokens = call.head.prompt.map(|prompt| prompt.tokens),
        took_ms = millis(elapsed),
        objective_ms = millis(call.route.objective),
        first_event_ms = times.map(|times| millis(times.first_event)),
        waited_ms = times.map(|times| millis(times.waited)),
        expected_ms = times.map(|times| millis(times.expected_first_event)),
        longest_pause_ms = times.map(|times| millis(times.longest_gap)),
        pause_limit_ms = call.route.max_gap.map(millis),
        "call ended"
    );
}
