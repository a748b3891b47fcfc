//! What the response to an attempt means: complete, a stream, declined or unusable.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::plain_selection::DeclineCause;
use badgerferry_lib::relay::plain_selection::ReportedLoad;
use badgerferry_lib::relay::reader_patience;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_tracker::ServerOutcome;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers;
use badgerferry_platform::headers::ExecutionStatus;
use badgerferry_platform::headers::ResponseHead;
use badgerferry_platform::headers::ServerLoad;
use bytes::BytesMut;
use http::Response;
use http::StatusCode;
use hyper::body::Bytes;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::call_attempt::AttemptGuard;
use crate::relay::call_attempt::AttemptResult;
use crate::relay::call_attempt::ResponseEnd;
use crate::relay::call_log;
use crate::relay::candidates;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::Via;
use crate::relay::held_bytes::ResponseReader;
use crate::relay::response_body::ResponseBody;
use crate::relay::response_source::ResponseSource;
use crate::relay::server_path;
use crate::relay::server_selection::Selection;

/// Largest body of a unary response, which is read completely before it is forwarded.
const MAX_UNARY_BODY_BYTES: usize = 4 << 20;
/// Limits of a body that is read only so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Response bytes of a call that are not counted as held, as they fit into the buffers of its
/// connection.
pub const MAX_UNCOUNTED_BYTES: usize = 16 << 10;

/// A response stream in progress.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Head of the response.
    pub head: http::response::Parts,
    /// Events that have arrived and are not forwarded yet.
    pub events: Bytes,
    /// Whether the stream has already ended.
    pub complete: bool,
    /// Rest of the body.
    pub source: ResponseSource,
    /// Joins events over the attempts of the call.
    pub join: EventJoin,
    /// Records the end of the attempt when dropped.
    pub attempt: AttemptGuard,
    /// What to do with the connection after the response.
    pub after: AfterResponse,
}

/// Why a response of [`ResponseEnd::MaybeCut`] is not used, for logs.
pub const MAYBE_CUT: &str = "ended with its connection, and may be cut";

/// Why a response without framing that its box left unread is not used, for logs.
pub const MAYBE_CUT_UNREAD: &str = "left unread, ended with its connection, and may be cut";

/// What to do with a connection after a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// Close it: the server ends it with this response.
    Close,
    /// Return it to the pool for another call.
    Pool {
        /// Idle timeout of the server, if it sent one.
        keep_alive: Option<Duration>,
    },
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct Received {
    /// Registers the attempt.
    pub attempt: AttemptGuard,
    /// Head of the response.
    pub parts: http::response::Parts,
    /// Parsed head.
    pub head: ResponseHead,
    /// Body, not read yet.
    pub source: ResponseSource,
}

impl Received {
    const fn after(&self) -> AfterResponse {
        if self.head.closes_connection {
            AfterResponse::Close
        } else {
            AfterResponse::Pool {
                keep_alive: self.head.keep_alive,
            }
        }
    }
}

/// Why a stream broke off before its end.
#[derive(Debug)]
pub enum StreamFailure {
    /// The connection ended; the server may have crashed.
    ConnectionLost(String),
    /// The stream could not be parsed.
    InvalidData(String),
    /// No data arrived, see [`Silence`].
    TimedOut(&'static str),
    /// No data arrived, and the path of this box to the servers is cut.
    PathCut,
}

impl StreamFailure {
    /// Logs the failure.
    pub fn log(&self, call: &Call, attempt: &AttemptGuard) {
        let why = match self {
            Self::ConnectionLost(why) | Self::InvalidData(why) => why,
            Self::TimedOut(why) => *why,
            Self::PathCut => "silent, and the path to the servers is cut",
        };
        call_log::unusable_response(call, &attempt.selection, StatusCode::OK, why);
    }

    /// Logs the failure and records the end of the attempt.
    pub async fn finish(self, call: &Call, attempt: AttemptGuard) -> AttemptResult {
        self.log(call, &attempt);
        match self {
            Self::ConnectionLost(_) => attempt.finish_broken().await,
            Self::InvalidData(_) | Self::TimedOut(_) => attempt.finish(ServerOutcome::Failure),
            Self::PathCut => attempt.finish(ServerOutcome::Inconclusive),
        }
        AttemptResult::Ended(AttemptEnd::Lost)
    }
}

/// Load that a server reported at `at`.
pub const fn load_report(load: ServerLoad, at: Time) -> ReportedLoad {
    ReportedLoad {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        at,
    }
}

/// Reads the response as far as the result of the attempt depends on it.
pub async fn classify(
    call: &Arc<Call>,
    attempts: &Attempts,
    tried: &[ServerName],
    received: Received,
    join: Option<&EventJoin>,
) -> AttemptResult {
    let (head, status) = (&received.head, received.parts.status);
    if head.execution != ExecutionStatus::Unknown && !status.is_success() {
        return handle_declined(call, tried, received);
    }
    if !head.is_for_call {
        return handle_unusable(call, received, "response belongs to another call");
    }
    if status.is_success() && !head.has_proof {
        return handle_unusable(call, received, "response lacks the server's proof");
    }
    if status.is_success() && call.route.kind.is_stream() {
        let join = match join {
            Some(join) => join.clone(),
            None => EventJoin::after(call.head.resume_after),
        };
        return receive_first_events(call, attempts, received, join).await;
    }
    receive_unary(call, attempts, received).await
}

fn handle_unusable(call: &Call, received: Received, why: &str) -> AttemptResult {
    let Received {
        attempt,
        parts,
        source,
        ..
    } = received;
    source.reset();
    call_log::unusable_response(call, &attempt.selection, parts.status, why);
    attempt.finish(ServerOutcome::Failure);
    AttemptResult::Ended(AttemptEnd::Lost)
}

fn handle_declined(call: &Call, tried: &[ServerName], received: Received) -> AttemptResult {
    let after = received.after();
    let cause = decline_cause(call, &received);
    let Received {
        attempt,
        parts,
        head,
        source,
    } = received;
    call_log::declined(call, &attempt.selection, parts.status, &head);
    reuse_after_body(call, &attempt.selection.server, source, after);
    attempt.finish(match (head.execution, cause) {
        (ExecutionStatus::Misdirected, _) => ServerOutcome::Unreachable,
        (_, Some(DeclineCause::Faulty)) => ServerOutcome::Failure,
        (ExecutionStatus::NotExecuted | ExecutionStatus::Unknown, _) => ServerOutcome::Inconclusive,
    });
    let retry_after = head.notice.retry_after.value().unwrap_or_default();
    AttemptResult::Ended(match cause {
        _ if !retry_after.is_zero() => AttemptEnd::Shed,
        Some(_) => AttemptEnd::Full {
            has_untried: candidates::has_untried(call, tried),
        },
        None => AttemptEnd::Declined,
    })
}

/// Why a server of a plain service declined a call, if its response states no reason; `None` if it
/// does.
fn decline_cause(call: &Call, received: &Received) -> Option<DeclineCause> {
    let service = call.routes.service(&call.service);
    let is_plain = service.is_none_or(|service| service.engine.is_none());
    let ResponseHead { load, notice, .. } = &received.head;
    let states_reason = *notice != Notice::default();
    let is_unavailable = received.parts.status == StatusCode::SERVICE_UNAVAILABLE;
    if !is_plain || states_reason || !is_unavailable {
        return None;
    }
    let report = load.map(|load| load_report(load, received.attempt.sent_at));
    Some(report.map_or(DeclineCause::Full, |report| report.decline_cause()))
}

async fn receive_unary(call: &Call, attempts: &Attempts, received: Received) -> AttemptResult {
    let after = received.after();
    let Received {
        mut attempt,
        parts,
        mut source,
        ..
    } = received;
    let read = match read_unary_body(call, &mut source).await {
        Ok(read) if attempt.may_be_cut_unread(read.held_back) => Err(BodyUnusable {
            held_back: read.held_back,
            why: MAYBE_CUT_UNREAD,
        }),
        read => read,
    };
    let UnaryBody { bytes, reader, .. } = match read {
        Ok(read) => read,
        Err(BodyUnusable { held_back, why }) => {
            source.reset();
            call_log::unusable_response(call, &attempt.selection, parts.status, why);
            if reader_patience::counts_against_server(held_back) {
                attempt.finish_broken().await;
            } else {
                attempt.finish_unread().await;
            }
            return AttemptResult::Ended(AttemptEnd::Lost);
        }
    };
    if let Some(connection) = source.into_connection() {
        return_connection(call, &attempt.selection.server, connection, after);
    }
    let body = ResponseBody::full(bytes).with_reader(reader);
    let response = response_to_caller(&parts, body);
    let may_repeat = call.may_resend(attempts);
    let is_error = parts.status.is_server_error();
    let end = if is_error {
        attempt.finish_with_error(may_repeat).await
    } else {
        attempt.finish_served(may_repeat).await
    };
    match end {
        ResponseEnd::Whole if is_error => AttemptResult::ServerError(response),
        ResponseEnd::Whole => AttemptResult::Complete(response),
        ResponseEnd::MaybeCut => {
            call_log::unusable_response(call, &attempt.selection, parts.status, MAYBE_CUT);
            AttemptResult::Ended(AttemptEnd::Lost)
        }
    }
}

/// Returns a connection to the pool after a complete response, or closes it if the server does so.
pub fn return_connection(
    call: &Call,
    server: &ServerName,
    connection: Connection,
    after: AfterResponse,
) {
    match after {
        AfterResponse::Close => connection.control.end_exchange(),
        AfterResponse::Pool { keep_alive } => {
            call.relay
                .connection_pool
                .put(server, connection, keep_alive);
        }
    }
}

/// Body of a unary response that looks complete.
struct UnaryBody {
    bytes: Bytes,
    /// Counts the body as held, unless it is small.
    reader: Option<Arc<ResponseReader>>,
    /// How long the box left it unread, for want of room.
    held_back: Duration,
}

/// A unary response broke off, is too large, or may be cut.
struct BodyUnusable {
    /// How long the box left it unread, for want of room.
    held_back: Duration,
    /// Reason for logs.
    why: &'static str,
}

/// Reads a unary response. Once it is not small, room for all of it is taken at once.
async fn read_unary_body(
    call: &Call,
    source: &mut ResponseSource,
) -> Result<UnaryBody, BodyUnusable> {
    let mut held_back = Duration::ZERO;
    let len = source.size_hint().exact();
    let (mut chunks, mut read) = (Vec::new(), 0);
    let mut counted = None;
    while let Some(frame) = source.frame().await {
        let frame = frame.map_err(|_cause| BodyUnusable {
            held_back,
            why: "response body incomplete",
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        read += chunk.len();
        if read > MAX_UNARY_BODY_BYTES {
            let why = "response body too large";
            return Err(BodyUnusable { held_back, why });
        }
        chunks.push(chunk);
        if counted.is_none() && read.max(len.unwrap_or(0) as usize) > MAX_UNCOUNTED_BYTES {
            let reader = ResponseReader::open(&call.relay.held_bytes, &call.route);
            let len = len.map_or(MAX_UNARY_BODY_BYTES, |len| len as usize);
            let waits_since = Instant::now();
            let held = reader.hold(len.min(MAX_UNARY_BODY_BYTES)).await;
            held_back = waits_since.elapsed();
            counted = Some((reader, held));
        }
    }
    let bytes = match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    };
    let (bytes, reader) = match counted {
        Some((reader, held)) => (held.attach(bytes), Some(reader)),
        None => (bytes, None),
    };
    Ok(UnaryBody {
        bytes,
        reader,
        held_back,
    })
}

/// Returns a connection to the pool once the body of a response that is not needed has ended. The call
/// goes on meanwhile: the body may come slowly, or without end.
fn reuse_after_body(
    call: &Call,
    server: &ServerName,
    mut source: ResponseSource,
    after: AfterResponse,
) {
    if source.is_end_stream() {
        if let Some(connection) = source.into_connection() {
            return_connection(call, server, connection, after);
        }
        return;
    }
    let AfterResponse::Pool { keep_alive } = after else {
        source.reset();
        return;
    };
    let (relay, server) = (Arc::clone(&call.relay), server.clone());
    tokio::spawn(async move {
        let discarded = source.discard(MAX_DISCARDED_BYTES);
        if !matches!(timeout(MAX_DISCARD_TIME, discarded).await, Ok(true)) {
            source.reset();
        } else if let Some(connection) = source.into_connection() {
            relay.connection_pool.put(&server, connection, keep_alive);
        }
    });
}

/// Response for the caller: the server's head without the headers of its own connection.
pub fn response_to_caller(
    parts: &http::response::Parts,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::without_hop_by_hop(&parts.headers);
    response
}

/// How long an attempt may receive no event. Other bytes don't count: a server may send them without
/// end.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// When the attempt began, or the last event arrived.
    since: Instant,
    /// Events until then.
    events: u64,
    /// Time after which the attempt counts as failed.
    timeout: Duration,
    /// Time after which the path to the server is checked; the attempt fails early if it is cut.
    expected: Duration,
    why: &'static str,
}

impl Silence {
    /// However long it lasts.
    pub fn tolerated() -> Self {
        Self {
            since: Instant::now(),
            events: 0,
            timeout: MAX_SILENCE,
            expected: MAX_SILENCE,
            why: "",
        }
    }

    /// Records how many events have arrived so far.
    pub fn record_events(&mut self, events: u64) {
        if events > self.events {
            self.events = events;
            self.since = Instant::now();
        }
    }

    /// Leaves out a time in which the box did not read.
    pub fn exclude(&mut self, span: Duration) {
        self.since += span;
    }

    /// Silence until the first event.
    fn before_first_event(call: &Call, selection: &Selection, via: Via) -> Self {
        let expected = selection.expected_first_event;
        Self {
            since: Instant::now(),
            events: 0,
            timeout: (expected * 3).max(call.route.objective) + FIRST_EVENT_SLACK,
            expected: expected * 2,
            why: "first event timed out",
        }
        .on(via)
    }

    /// Silence after this many events.
    pub fn between_events(call: &Call, via: Via, events: u64) -> Self {
        let Some(max_gap) = call.route.max_gap else {
            return Self::tolerated();
        };
        Self {
            since: Instant::now(),
            events,
            timeout: (max_gap * 4).max(MIN_EVENT_TIMEOUT),
            expected: max_gap,
            why: "no data within the timeout",
        }
        .on(via)
    }

    /// Only connections that this box made itself depend on its path.
    const fn on(mut self, via: Via) -> Self {
        if matches!(via, Via::Peer) {
            self.expected = MAX_SILENCE;
        }
        self
    }

    /// Resolves once the silence has lasted too long.
    pub async fn lasts(self, call: &Call, server: &ServerName) -> StreamFailure {
        let expected = self.expected.saturating_sub(self.since.elapsed());
        tokio::select! {
            () = tokio::time::sleep_until(self.since + self.timeout) => {
                StreamFailure::TimedOut(self.why)
            }
            () = server_path::cut_while_silent(call, server, expected) => {
                StreamFailure::PathCut
            }
        }
    }
}

/// Longer than any call.
const MAX_SILENCE: Duration = Duration::from_hours(24);
/// Added to the larger of the route's objective and three times the estimate, which gives the
/// timeout of the first event.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);
/// Comments that may precede the first event of an attempt.
const MAX_LEADING_COMMENT_BYTES: usize = 64 << 10;
/// Shortest silence after which a stream is resumed on another server. Callers disconnect after two
/// seconds of silence.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

async fn receive_first_events(
    call: &Arc<Call>,
    attempts: &Attempts,
    received: Received,
    mut join: EventJoin,
) -> AttemptResult {
    let after = received.after();
    let Received {
        mut attempt,
        parts,
        mut source,
        ..
    } = received;
    let mut silence = Silence::before_first_event(call, &attempt.selection, source.via());
    let events_before = join.event_count();
    let mut received = BytesMut::new();
    let (events, complete) = loop {
        let frame = tokio::select! {
            frame = source.frame() => Ok(frame),
            failure = silence.lasts(call, &attempt.selection.server) => Err(failure),
        };
        let failure = match frame {
            Ok(Some(Ok(frame))) => match join.push(&frame.into_data().unwrap_or_default()) {
                Ok(bytes) => {
                    received.extend_from_slice(&bytes);
                    if join.event_count() > events_before {
                        break (received.freeze(), false);
                    }
                    if received.len() <= MAX_LEADING_COMMENT_BYTES {
                        continue;
                    }
                    StreamFailure::InvalidData("too many comments before an event".to_owned())
                }
                Err(cause) => StreamFailure::InvalidData(cause.to_string()),
            },
            Ok(None) if !join.is_inside_event() => {
                let may_repeat = call.may_resend(attempts);
                if attempt.finish_served(may_repeat).await == ResponseEnd::MaybeCut {
                    call_log::unusable_response(call, &attempt.selection, parts.status, MAYBE_CUT);
                    return AttemptResult::Ended(AttemptEnd::Lost);
                }
                break (received.freeze(), true);
            }
            Ok(None) => StreamFailure::ConnectionLost("stream ended inside an event".to_owned()),
            Ok(Some(Err(cause))) => StreamFailure::ConnectionLost(cause.to_string()),
            Err(failure) if call.may_resend(attempts) => failure,
            // Without a retry, the attempt goes on until the deadline of the call.
            Err(_silent) => {
                silence = Silence::tolerated();
                continue;
            }
        };
        return failure.finish(call, attempt).await;
    };
    attempt.selection.prefill_done(call);
    AttemptResult::Live(Box::new(StreamingResponse {
        head: parts,
        events,
        complete,
        source,
        join,
        attempt,
        after,
    }))
}
