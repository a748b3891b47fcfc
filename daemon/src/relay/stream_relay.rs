//! Forwards a stream to the caller and resumes it on another server when its server fails, or when
//! its server cut it because the caller paused.

use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::reader_patience;
use http::Response;
use http::StatusCode;
use hyper::body::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::attempt_response;
use crate::relay::attempt_response::MAX_UNCOUNTED_BYTES;
use crate::relay::attempt_response::MAYBE_CUT;
use crate::relay::attempt_response::MAYBE_CUT_UNREAD;
use crate::relay::attempt_response::Silence;
use crate::relay::attempt_response::StreamFailure;
use crate::relay::attempt_response::StreamingResponse;
use crate::relay::call::Call;
use crate::relay::call_attempt;
use crate::relay::call_attempt::AttemptGuard;
use crate::relay::call_attempt::AttemptResult;
use crate::relay::call_attempt::ResponseEnd;
use crate::relay::call_log;
use crate::relay::call_log::StreamTimings;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::held_bytes::ResponseReader;
use crate::relay::reservations::reservation_ttl;
use crate::relay::response_body::BodyChunk;
use crate::relay::response_body::COUNTED_CHANNEL_CAPACITY;
use crate::relay::response_body::ResponseBody;
use crate::relay::response_body::UNCOUNTED_CHANNEL_CAPACITY;
use crate::relay::server_selection::Selection;

/// How the forwarding of one attempt ended.
enum ForwardEnd {
    Complete,
    Broken {
        join: EventJoin,
        /// Whether a retry is already reserved for the next attempt.
        has_retry: bool,
    },
    CallerGone,
    /// The stream broke off after its caller had not read it for too long.
    LeftUnread {
        join: EventJoin,
    },
}

/// Sends the events of a stream to its caller, and counts those that the caller has not read.
struct CallerSink {
    tx: mpsc::Sender<BodyChunk>,
    reader: Arc<ResponseReader>,
    /// Longest time for which the current attempt was left unread, for want of room.
    held_back: Duration,
}

impl CallerSink {
    /// Sends events; returns whether the caller is still connected.
    async fn send(&mut self, events: Bytes) -> bool {
        let keeps_up = self.tx.capacity() == self.tx.max_capacity();
        if keeps_up && events.len() <= MAX_UNCOUNTED_BYTES {
            return self.tx.send(BodyChunk::Data(events)).await.is_ok();
        }
        let waits_since = Instant::now();
        let held = tokio::select! {
            held = self.reader.hold(events.len()) => held,
            () = self.tx.closed() => return false,
        };
        let events = held.attach(events);
        let is_connected = self.tx.send(BodyChunk::Data(events)).await.is_ok();
        self.held_back = self.held_back.max(waits_since.elapsed());
        is_connected
    }

    /// Whether the caller has read everything.
    fn is_caught_up(&self) -> bool {
        self.tx.capacity() == self.tx.max_capacity() && self.reader.held() == 0
    }

    /// Waits until the caller has read everything; returns whether it is still connected.
    async fn caught_up(&self) -> bool {
        let all = self.tx.max_capacity();
        self.tx.reserve_many(all).await.is_ok()
    }
}

/// Returns the response head of the first attempt and forwards the stream in a new task.
pub fn respond(
    call: Arc<Call>,
    attempts: Attempts,
    tried: Vec<ServerName>,
    live: Box<StreamingResponse>,
) -> Response<ResponseBody> {
    let capacity = match call.relay.held_bytes.limits() {
        Some(_) => COUNTED_CHANNEL_CAPACITY,
        None => UNCOUNTED_CHANNEL_CAPACITY,
    };
    let (tx, rx) = mpsc::channel(capacity);
    let reader = ResponseReader::open(&call.relay.held_bytes, &call.route);
    let body = ResponseBody::channel(rx).with_reader(Some(Arc::clone(&reader)));
    let response = attempt_response::response_to_caller(&live.head, body);
    let sink = CallerSink {
        tx,
        reader,
        held_back: Duration::ZERO,
    };
    call_log::stream_started(&call, &live);
    call.response_started.store(true, Ordering::Relaxed);
    tokio::spawn(forward_stream(call, attempts, tried, live, sink));
    response
}

async fn forward_stream(
    call: Arc<Call>,
    mut attempts: Attempts,
    mut tried: Vec<ServerName>,
    live: Box<StreamingResponse>,
    mut sink: CallerSink,
) {
    let mut timings = StreamTimings::start(&call, &live);
    let mut gaps = EventGaps::start();
    let forwarded = timeout(
        call.time_left(),
        forward_until_end(&call, &mut attempts, &mut tried, live, &mut sink, &mut gaps),
    );
    let result = tokio::select! {
        result = forwarded => result,
        never = log_if_cut_by_stop(&call) => match never {},
    };
    let outcome = result.unwrap_or("deadline_while_running");
    timings.longest_gap = gaps.longest;
    call_log::stream_ended(&call, &attempts, outcome, timings);
    if outcome == COMPLETE {
        call.record_served();
    } else {
        drop(call);
        // Without this chunk, dropping the sender would make the response look complete. If the
        // channel is full, the send waits until the caller reads, disconnects or is cut.
        let _ = sink.tx.send(BodyChunk::Aborted).await;
    }
}

/// Logs a stream that is still in progress late in a planned stop: it goes on until the process exits.
async fn log_if_cut_by_stop(call: &Call) -> Infallible {
    call.relay.stop.answers_due.wait().await;
    call_log::stream_outlasts_stop(call);
    pending().await
}

/// Tracks the longest gap between events.
#[derive(Debug)]
struct EventGaps {
    last: Instant,
    longest: Duration,
}

impl EventGaps {
    fn start() -> Self {
        Self {
            last: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
    }
}

/// Time after which an attempt that still receives events counts as harmless to its server. Other
/// calls of the same request that wait for the result then need not wait for the end of the stream.
const HARMLESS_AFTER: Duration = Duration::from_secs(2);

/// Outcome of a complete stream in logs and metrics.
const COMPLETE: &str = "answered";
/// Outcome of a stream that broke off because its caller had not read it.
const CALLER_STALLED: &str = "caller_stalled";

async fn forward_until_end(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    mut live: Box<StreamingResponse>,
    sink: &mut CallerSink,
    gaps: &mut EventGaps,
) -> &'static str {
    loop {
        let expected_first_event = live.attempt.selection.expected_first_event;
        let (mut join, mut has_retry, mut end) =
            match forward_attempt(call, attempts, live, sink, gaps).await {
                ForwardEnd::Complete => return COMPLETE,
                ForwardEnd::CallerGone => return "caller_gone",
                ForwardEnd::LeftUnread { .. } if !attempts.may_resume_pause() => {
                    return CALLER_STALLED;
                }
                ForwardEnd::LeftUnread { join } => {
                    // A caller that stays away is cut, which closes the channel.
                    if !sink.caught_up().await {
                        return "caller_gone";
                    }
                    if !reader_patience::is_resumed_in_time(call.time_left(), expected_first_event)
                    {
                        return CALLER_STALLED;
                    }
                    (join, false, AttemptEnd::LeftUnread)
                }
                ForwardEnd::Broken { join, has_retry } => (join, has_retry, AttemptEnd::Lost),
            };
        let is_paused = end == AttemptEnd::LeftUnread;
        live = loop {
            let already_held = std::mem::take(&mut has_retry);
            if !is_paused && !already_held {
                call.retry.prepare(attempts, end).await;
            }
            let may_retry = || {
                if is_paused {
                    call.retry.try_reserve_on_pause(call)
                } else {
                    already_held || call.retry.try_reserve(call, end)
                }
            };
            match attempts.on_attempt_end(end, NO_SERVER_RETRY, may_retry) {
                NextStep::TryElsewhere => {}
                NextStep::Fail(_) if end == AttemptEnd::LeftUnread => return CALLER_STALLED,
                NextStep::Fail(reason) => return reason.code(),
                NextStep::PassOn | NextStep::Refuse(_) => return "server_lost",
            }
            join.discard_partial();
            let result = tokio::select! {
                // Nothing is sent for a caller that left while the attempt before was examined.
                biased;
                () = sink.tx.closed() => return "caller_gone",
                result = call_attempt::run_attempt(call, attempts, tried, Some(&join)) => result,
            };
            end = match result {
                AttemptResult::Live(live) => break live,
                AttemptResult::Ended(end) => end,
                AttemptResult::ServerError(_) => AttemptEnd::ServerError,
                // A response without a stream, such as a client error, can't continue this one.
                AttemptResult::Complete(_) => AttemptEnd::Lost,
                AttemptResult::NoServer(..) => return "no_server",
            };
        };
        if is_paused {
            call_log::paused_stream_resumed(call, sink.held_back);
        }
    }
}

async fn forward_attempt(
    call: &Call,
    attempts: &Attempts,
    live: Box<StreamingResponse>,
    sink: &mut CallerSink,
    gaps: &mut EventGaps,
) -> ForwardEnd {
    let StreamingResponse {
        mut events,
        mut complete,
        mut source,
        mut join,
        attempt,
        after,
        ..
    } = *live;
    sink.held_back = Duration::ZERO;
    let mut silence = Silence::between_events(call, source.via(), join.event_count());
    let unread_limit = unread_limit(call, &attempt.selection);
    let mut caught_up_at = Instant::now();
    let mut harmless_at = Some(Instant::now() + HARMLESS_AFTER);
    loop {
        {
            if unread_limit.is_some() && sink.is_caught_up() {
                caught_up_at = Instant::now();
            }
            let left = unread_limit.map_or(Duration::MAX, |limit| {
                limit.saturating_sub(caught_up_at.elapsed())
            });
            let sending = Instant::now();
            let mut sent = pin!(send_events(std::mem::take(&mut events), sink, gaps));
            match timeout(left, &mut sent).await {
                Ok(true) => silence.exclude(sending.elapsed()),
                Ok(false) => return ForwardEnd::CallerGone,
                Err(_elapsed) => {
                    let waited = caught_up_at.elapsed();
                    call_log::reservations_left_unread(call, &attempt.selection, waited);
                    drop(source);
                    attempt.finish_unread().await;
                    // These events still have to be sent: `join` counts them as forwarded.
                    return if sent.await {
                        ForwardEnd::LeftUnread { join }
                    } else {
                        ForwardEnd::CallerGone
                    };
                }
            }
        }
        if complete {
            break;
        }
        let frame = tokio::select! {
            frame = source.frame() => Ok(frame),
            failure = silence.lasts(call, &attempt.selection.server) => Err(failure),
            () = sink.tx.closed() => return ForwardEnd::CallerGone,
        };
        let mut has_retry = false;
        let failure = match frame {
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                match join.push(&bytes) {
                    Ok(received) => {
                        record_progress(&attempt, &mut harmless_at);
                        silence.record_events(join.event_count());
                        events = received;
                        continue;
                    }
                    Err(cause) => StreamFailure::InvalidData(cause.to_string()),
                }
            }
            Ok(None) if !join.is_inside_event() => {
                complete = true;
                continue;
            }
            Ok(None) => StreamFailure::ConnectionLost("stream ended inside an event".to_owned()),
            Ok(Some(Err(cause))) => StreamFailure::ConnectionLost(cause.to_string()),
            Err(failure) => {
                has_retry = reserve_after_silence(call, attempts).await;
                if !has_retry {
                    silence = Silence::tolerated();
                    continue;
                }
                failure
            }
        };
        let is_excused = !reader_patience::counts_against_server(sink.held_back);
        let is_silence = matches!(failure, StreamFailure::TimedOut(_) | StreamFailure::PathCut);
        if is_excused && !is_silence {
            failure.log(call, &attempt);
            attempt.finish_unread().await;
            return ForwardEnd::LeftUnread { join };
        }
        failure.finish(call, attempt).await;
        return ForwardEnd::Broken { join, has_retry };
    }
    if attempt.may_be_cut_unread(sink.held_back) {
        call_log::unusable_response(call, &attempt.selection, StatusCode::OK, MAYBE_CUT_UNREAD);
        attempt.finish_unread().await;
        return ForwardEnd::LeftUnread { join };
    }
    if let Some(connection) = source.into_connection() {
        attempt_response::return_connection(call, &attempt.selection.server, connection, after);
    }
    finish_complete(call, attempts, attempt, join).await
}

fn record_progress(attempt: &AttemptGuard, harmless_at: &mut Option<Instant>) {
    attempt.record_progress();

    if harmless_at.is_some_and(|at| Instant::now() >= at) {
        *harmless_at = None;
        attempt.record_success();
    }
}

/// Silence alone does not end a stream: if it may not be resumed on another server, the attempt goes
/// on until the deadline of the call.
async fn reserve_after_silence(call: &Call, attempts: &Attempts) -> bool {
    call.retry.prepare(attempts, AttemptEnd::Lost).await;
    attempts.may_retry() && call.retry.try_reserve(call, AttemptEnd::Lost)
}

/// Ends an attempt whose stream looks complete.
async fn finish_complete(
    call: &Call,
    attempts: &Attempts,
    mut attempt: AttemptGuard,
    join: EventJoin,
) -> ForwardEnd {
    match attempt.finish_served(call.may_resend(attempts)).await {
        ResponseEnd::Whole => ForwardEnd::Complete,
        ResponseEnd::MaybeCut => {
            let status = StatusCode::OK;
            call_log::unusable_response(call, &attempt.selection, status, MAYBE_CUT);
            ForwardEnd::Broken {
                join,
                has_retry: false,
            }
        }
    }
}

/// Longest time for which the caller may be behind while the stream of an attempt waits for it, if
/// that is limited.
fn unread_limit(call: &Call, selection: &Selection) -> Option<Duration> {
    let mut helpers = selection.helpers.iter();
    let has_reservations = helpers.any(|helper| helper.reservation.is_some());
    has_reservations
        .then(|| reader_patience::reservation_patience(reservation_ttl(&call.relay.settings)))
}

async fn send_events(events: Bytes, sink: &mut CallerSink, gaps: &mut EventGaps) -> bool {
    if events.is_empty() {
        return true;
    }
    gaps.record_event();
    sink.send(events).await
}
