//! Lifecycle of a call, from its request head to the head of its response.
//!
//! The steps, in order: wait for the routes, find the route, check the key, read the body, then
//! make attempts until one succeeds or no further attempt is allowed. The rules for the step after
//! an attempt are in [`badgerferry_lib::relay::attempts`].

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use badgerferry_lib::relay::held_bytes::Side;
use badgerferry_lib::relay::reader_patience::CallerPatience;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::route_table::Route;
use badgerferry_lib::relay::route_table::RouteIndex;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::suspect_key::CallKeys;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers;
use badgerferry_platform::headers::CallHead;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body::Body as _;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::relay::attempt_response::StreamingResponse;
use crate::relay::call_attempt;
use crate::relay::call_attempt::AttemptResult;
use crate::relay::call_log;
use crate::relay::call_retry::CallRetry;
use crate::relay::caller_io::ReaderLimits;
use crate::relay::caller_presence::CallPhase;
use crate::relay::caller_presence::CallerPresence;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::error_response;
use crate::relay::held_bytes::HeldBody;
use crate::relay::response_body::ResponseBody;
use crate::relay::server_gate::MAX_ADMISSION_WAIT;
use crate::relay::state::Relay;
use crate::relay::stream_relay;

/// Fraction of the time left, and longest time, by which a retry states less.
const RETRY_RESERVE_FRACTION: f64 = 0.25;
const MAX_RETRY_RESERVE: Duration = Duration::from_millis(500);
/// Longest wait of a call for the first route table of a box that has just started. A call with a
/// shorter deadline waits for half of its remaining time.
const MAX_ROUTES_WAIT: Duration = Duration::from_secs(2);
/// Retry-After of a box that has no routes yet, is stopping or holds too many bytes. The caller
/// retries at another box.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Code of calls refused because the box stops.
const BOX_LEAVING: &str = RefusalReason::Leaving.code();
/// Code of calls refused because the box holds too many bytes.
const MEMORY_FULL: &str = "memory_full";
/// Longest time for which the body of a refused call is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(5);

/// A call whose head and body have been read.
#[derive(Debug)]
pub struct Call {
    /// Shared state of the daemon.
    pub relay: Arc<Relay>,
    /// Routes that were active when the call arrived.
    pub routes: Arc<RouteIndex>,
    /// Route of the call.
    pub route: Route,
    /// Service selected among the targets of the route.
    pub service: ServiceName,
    /// Workspace that the key belongs to, if the route requires a key.
    pub workspace: Option<WorkspaceName>,
    /// Priority of the principal, or else of the route.
    pub priority: u8,
    /// Parsed request head.
    pub head: CallHead,
    /// Fingerprint of the request, computed on first use.
    fingerprint: OnceLock<RequestFingerprint>,
    /// Whether a server crashed during an attempt of this call.
    pub saw_crash: Arc<AtomicBool>,
    /// Whether the caller has received the response head. From then on the response can only be
    /// continued or aborted.
    pub response_started: AtomicBool,
    /// Retry that the call holds.
    pub retry: CallRetry,
    /// Host of the URI, or else of the Host header.
    pub host: String,
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers, unmodified.
    pub headers: HeaderMap,
    /// Request body, kept for retries.
    pub body: Bytes,
    /// Counts the body as held.
    _held_body: HeldBody,
    /// Counts the call once its caller has left. `None` after its end.
    _caller: Option<Arc<CallerPresence>>,
    /// Time at which the request head was read.
    pub arrived: Time,
    /// Time by which the call must have ended.
    pub deadline: Time,
}

impl Call {
    /// Id chosen by the caller, or `-` if there is none; for logs.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// Fingerprint of the request and its workspace. It is the same if the caller retries the
    /// request at any box.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::of(&FingerprintInput {
                method: self.method.as_str(),
                host: &self.host,
                target: self
                    .uri
                    .path_and_query()
                    .map_or("", |target| target.as_str()),
                workspace: self.workspace.as_ref(),
                body: &self.body,
            })
        })
    }

    /// The call for what happens after its end, for which its body is not needed.
    pub fn without_body(&self) -> Self {
        Self {
            relay: Arc::clone(&self.relay),
            routes: Arc::clone(&self.routes),
            route: self.route.clone(),
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            priority: self.priority,
            head: self.head.clone(),
            fingerprint: OnceLock::from(self.fingerprint()),
            saw_crash: Arc::clone(&self.saw_crash),
            response_started: AtomicBool::new(self.response_started.load(Ordering::Relaxed)),
            retry: CallRetry::new(&self.relay, &self.service),
            host: self.host.clone(),
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            _held_body: HeldBody::new(Arc::clone(&self.relay.held_bytes)),
            _caller: None,
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }

    /// What crashes during a run of the call are attributed to; without the request if its body
    /// shall not be read for it.
    pub fn keys(&self, with_request: bool) -> CallKeys {
        CallKeys::of(
            with_request.then(|| self.fingerprint()),
            &self.head.parts,
            &self.service,
            self.workspace.as_ref(),
        )
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.relay.clock.now().until(self.deadline)
    }

    /// Time that a server is told to have. A server may read a retry late, and would then work for longer than
    /// the caller waits: retries state less than is left.
    pub fn time_to_state(&self, is_retry: bool) -> Duration {
        let left = self.time_left();
        if is_retry {
            let reserve = left.mul_f64(RETRY_RESERVE_FRACTION).min(MAX_RETRY_RESERVE);
            left.saturating_sub(reserve)
        } else {
            left
        }
    }

    /// Time by which the response, or the first event of a stream, is due under the objective of
    /// the route.
    pub fn due(&self) -> Time {
        self.first_request_time() + self.route.objective
    }

    /// Estimated time of the caller's first request. A caller that retries states its remaining
    /// time; the difference to the time limit of the route has passed since its first request.
    pub fn first_request_time(&self) -> Time {
        let left = self.head.time_left.unwrap_or(self.route.time_limit);
        let elapsed = self.route.time_limit.saturating_sub(left);
        Time::from_micros(
            self.arrived
                .as_micros()
                .saturating_sub(elapsed.as_micros() as u64),
        )
    }

    /// Longest wait for admission if no server accepts the call at once. A first attempt waits for
    /// at most half of the time until it is due, so that it can still be on time; a retry does not
    /// wait. A stream whose response has started may wait until its deadline, because it would be
    /// aborted otherwise. No wait exceeds [`MAX_ADMISSION_WAIT`].
    pub fn max_admission_wait(&self, is_first: bool) -> Duration {
        let left = self.relay.clock.now().until(self.due());
        let max_wait = match self.response_started.load(Ordering::Relaxed) {
            true => self.time_left(),
            false if is_first => left / 2,
            false => Duration::ZERO,
        };
        max_wait.min(MAX_ADMISSION_WAIT)
    }

    /// Records how long the call took, which is served now.
    pub fn record_served(&self) {
        let took = self.relay.clock.now().since(self.arrived);
        self.relay.stop.record_served(&self.route, took);
    }

    /// Whether the call may be sent again after it may have run, and the retry budget may have a retry
    /// left for it.
    pub fn may_resend(&self, attempts: &Attempts) -> bool {
        attempts.may_retry() && self.retry.may_be_left()
    }
}

/// Handles a request and returns the response to the caller.
pub async fn handle(
    relay: Arc<Relay>,
    caller: Arc<CallerPresence>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = relay.clock.now();
    let read = tokio::select! {
        biased;
        read = read_call(&relay, &caller, arrived, req) => read,
        () = relay.stop.answers_due.wait() => {
            call_log::rejected(caller.id(), BOX_LEAVING);
            Err(error_response::not_run(BOX_LEAVING, Some(UNAVAILABLE_RETRY_AFTER)))
        }
    };
    match read {
        Ok(call) => {
            caller.set_phase(CallPhase::Waiting);
            let call = Arc::new(call);
            let limits = ReaderLimits {
                call: call.id().to_owned(),
                patience: CallerPatience::of(&call.route, call.deadline),
            };
            let mut response = run_attempts(call).await;
            response.body_mut().set_limits(limits);
            response
        }
        Err(response) => response,
    }
}

async fn read_call(
    relay: &Arc<Relay>,
    caller: &Arc<CallerPresence>,
    arrived: Time,
    req: Request<Incoming>,
) -> Result<Call, Response<ResponseBody>> {
    let (parts, body) = req.into_parts();
    let head = headers::parse_call_head(&parts.headers).map_err(|cause| {
        call_log::rejected("-", cause.0);
        error_response::invalid_request(StatusCode::BAD_REQUEST, cause.0)
    })?;
    let id = head.id.clone().unwrap_or_else(|| "-".to_owned());
    caller.set_id(&id);
    if head.parts.omitted() > 0 {
        call_log::prompt_parts_omitted(&id, head.parts.omitted());
    }
    let routes_wait = head.time_left.map_or(MAX_ROUTES_WAIT, |left| left / 2);
    let Some(routes) = relay.routes_within(routes_wait.min(MAX_ROUTES_WAIT)).await else {
        call_log::rejected(&id, "no_settings");
        return Err(error_response::not_run(
            "no_settings",
            Some(UNAVAILABLE_RETRY_AFTER),
        ));
    };
    let host = parts.uri.host().map(str::to_owned).or_else(|| {
        let value = parts.headers.get(http::header::HOST)?;
        value.to_str().ok().map(str::to_owned)
    });
    let host = host.unwrap_or_default();
    let deny = |denied| {
        call_log::denied(&id, routes.table().version, &host, parts.uri.path(), denied);
        error_response::denied(denied)
    };
    let route = routes.route(&host, parts.uri.path()).map_err(deny)?;
    let principal = routes.principal(route, head.key.as_deref()).map_err(deny)?;
    let limits = routes.table().limits;
    let time_left = head.time_left.unwrap_or(route.time_limit);
    let deadline = arrived + time_left.min(route.time_limit);
    let body = Limited::new(body, limits.body_bytes);
    if !relay.held_bytes.has_room_for_call() {
        return Err(reject_for_memory(&id, relay, body, Side::Callers));
    }
    let mut held_body = HeldBody::new(Arc::clone(&relay.held_bytes));
    let until = Instant::now() + relay.clock.now().until(deadline);
    let body = match read_body(body, &mut held_body, limits.header_time, until).await {
        Ok(body) => body,
        Err(BodyError::Invalid(status, code)) => {
            call_log::rejected(&id, code);
            return Err(error_response::invalid_request(status, code));
        }
        Err(BodyError::NoRoom(rest)) => {
            drop(held_body);
            return Err(reject_for_memory(&id, relay, rest, Side::Servers));
        }
    };
    if relay
        .stop
        .refuses_call(route, relay.clock.now().until(deadline))
    {
        call_log::rejected(&id, BOX_LEAVING);
        return Err(error_response::not_run(
            BOX_LEAVING,
            Some(UNAVAILABLE_RETRY_AFTER),
        ));
    }
    let service = route.target(rand::random()).clone();
    let retry = CallRetry::new(relay, &service);
    Ok(Call {
        relay: Arc::clone(relay),
        service,
        workspace: principal.map(|principal| principal.workspace.clone()),
        priority: principal
            .and_then(|principal| principal.priority)
            .unwrap_or(route.priority),
        deadline,
        route: route.clone(),
        head,
        fingerprint: OnceLock::new(),
        saw_crash: Arc::default(),
        response_started: AtomicBool::new(false),
        retry,
        host,
        method: parts.method,
        uri: parts
            .uri
            .path_and_query()
            .cloned()
            .map_or_else(Uri::default, Uri::from),
        headers: parts.headers,
        body,
        _held_body: held_body,
        _caller: Some(Arc::clone(caller)),
        arrived,
        routes: Arc::clone(&routes),
    })
}

/// Why a request body was not read.
enum BodyError {
    /// It is incomplete, too long or too late.
    Invalid(StatusCode, &'static str),
    /// The box holds too many bytes; the rest of the body.
    NoRoom(Limited<Incoming>),
}

async fn read_body(
    mut body: Limited<Incoming>,
    held: &mut HeldBody,
    read_timeout: Duration,
    until: Instant,
) -> Result<Bytes, BodyError> {
    let invalid = |status, code| Err(BodyError::Invalid(status, code));
    // A body of known length takes its room at once, so that two that fit only one after the other
    // don't both fail halfway.
    let announced = body.size_hint().exact();
    let mut chunks: Vec<Bytes> = Vec::new();
    if announced.is_some_and(|len| !held.try_grow(len)) {
        return Err(BodyError::NoRoom(body));
    }
    loop {
        let until = until.min(Instant::now() + read_timeout);
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(cause))) if cause.is::<LengthLimitError>() => {
                return invalid(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
            }
            Ok(Some(Err(_invalid))) => return invalid(StatusCode::BAD_REQUEST, "bad_body"),
            Err(_elapsed) => return invalid(StatusCode::REQUEST_TIMEOUT, "body_stopped"),
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if announced.is_none() && !held.try_grow(chunk.len() as u64) {
            return Err(BodyError::NoRoom(body));
        }
        chunks.push(chunk);
    }
    Ok(match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    })
}

/// Refuses a call that was sent to no server, because the box holds too many bytes. The rest of the
/// body is read and discarded: closing with unread bytes would reset the connection before the
/// caller has the response.
fn reject_for_memory(
    id: &str,
    relay: &Relay,
    mut rest: Limited<Incoming>,
    side: Side,
) -> Response<ResponseBody> {
    tokio::spawn(timeout(MAX_DISCARD_TIME, async move {
        while let Some(Ok(_discarded)) = rest.frame().await {}
    }));
    call_log::rejected(id, MEMORY_FULL);
    relay.held_bytes.log_rejected(id, side);
    error_response::not_run(MEMORY_FULL, Some(UNAVAILABLE_RETRY_AFTER))
}

/// Where the response to a call comes from.
enum Answer {
    /// It is complete.
    Response(Box<Response<ResponseBody>>),
    /// A server streams it.
    Live(Box<StreamingResponse>),
}

impl Answer {
    fn complete(response: Response<ResponseBody>) -> Self {
        Self::Response(Box::new(response))
    }
}

/// Makes attempts until the call is answered, also if the box exits before.
async fn run_attempts(call: Arc<Call>) -> Response<ResponseBody> {
    let mut attempts = Attempts::new(call.route.kind.is_repeatable(), call.route.max_attempts);
    call.retry.record_first_send(call.arrived);
    let mut tried = Vec::new();
    let answer = tokio::select! {
        biased;
        answer = run_until_answered(&call, &mut attempts, &mut tried) => Some(answer),
        () = call.relay.stop.answers_due.wait() => None,
    };
    match answer {
        Some(Answer::Response(response)) => *response,
        Some(Answer::Live(live)) => stream_relay::respond(call, attempts, tried, live),
        None => {
            let next = attempts.stop(UNAVAILABLE_RETRY_AFTER);
            finish(&call, &attempts, next)
        }
    }
}

async fn run_until_answered(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
) -> Answer {
    loop {
        let attempt = call_attempt::run_attempt(call, attempts, tried, None);
        let result = match timeout(call.time_left(), attempt).await {
            Ok(result) => result,
            Err(_elapsed) => {
                let next = attempts.give_up(RefusalReason::DeadlineWhileWaiting, NO_SERVER_RETRY);
                return Answer::complete(finish(call, attempts, next));
            }
        };
        let (end, server_error) = match result {
            AttemptResult::Complete(response) => {
                call.record_served();
                call_log::call_ended(call, attempts, "answered", response.status());
                return Answer::complete(response);
            }
            AttemptResult::Live(live) => return Answer::Live(live),
            AttemptResult::NoServer(reason, retry_after) => {
                let next = attempts.give_up(reason, retry_after);
                return Answer::complete(finish(call, attempts, next));
            }
            AttemptResult::ServerError(response) => (AttemptEnd::ServerError, Some(response)),
            AttemptResult::Ended(end) => (end, None),
        };
        call.retry.prepare(attempts, end).await;
        match attempts.on_attempt_end(end, NO_SERVER_RETRY, || call.retry.try_reserve(call, end)) {
            NextStep::TryElsewhere => {}
            NextStep::PassOn => {
                let Some(response) = server_error else {
                    let next = NextStep::Fail(FailureReason::ServerError);
                    return Answer::complete(finish(call, attempts, next));
                };
                call_log::call_ended(call, attempts, "server_error", response.status());
                return Answer::complete(response);
            }
            next => return Answer::complete(finish(call, attempts, next)),
        }
    }
}

fn finish(call: &Call, attempts: &Attempts, next: NextStep) -> Response<ResponseBody> {
    let (code, response) = match next {
        NextStep::Refuse(refused) => (refused.reason().code(), error_response::refused(&refused)),
        NextStep::Fail(reason) => (reason.code(), error_response::failed(reason)),
        // Not expected: `run_attempts` carries out these steps itself.
        NextStep::TryElsewhere | NextStep::PassOn => {
            let reason = FailureReason::AttemptsUsed;
            (reason.code(), error_response::failed(reason))
        }
    };
    call_log::call_ended(call, attempts, code, response.status());
    response
}
