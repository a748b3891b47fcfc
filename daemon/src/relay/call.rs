//! One call from its head to the head of its answer.
//!
//! The steps, in order: routes known, route found, key known, body read, then tries until
//! one gives an answer or none may follow. What follows a try is decided by
//! [`badgerferry_lib::relay::attempts`].

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::relay::route_table::Route;
use badgerferry_lib::relay::route_table::RouteIndex;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers;
use badgerferry_platform::headers::CallHead;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::relay::answer_body::AnswerBody;
use crate::relay::caller_answer;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::live_stream;
use crate::relay::log_lines;
use crate::relay::server_gate::MOST_PATIENCE;
use crate::relay::state::Relay;
use crate::relay::tries;
use crate::relay::tries::TryResult;
use crate::traffic::lock;

/// How long a call waits at most for the first routes of a box that has just started; half of its
/// time where that is less.
const ROUTES_SOON: Duration = Duration::from_secs(2);
/// When to come back where this box has no routes yet, or is leaving.
const SOON: Duration = Duration::from_millis(300);

/// A call whose head and body are read.
#[derive(Debug)]
pub struct Call {
    /// Shared state.
    pub relay: Arc<Relay>,
    /// The routes in force when it came.
    pub routes: Arc<RouteIndex>,
    /// Its route.
    pub route: Route,
    /// The service drawn for it.
    pub service: ServiceName,
    /// Whose it is.
    pub workspace: Option<WorkspaceName>,
    /// Its rank.
    pub priority: u8,
    /// What its head says.
    pub head: CallHead,
    /// What it asks for, once that was worked out.
    work: OnceLock<RequestFingerprint>,
    /// Whether a server ended under its last run.
    pub saw_crash: AtomicBool,
    /// Whether its caller has the head of an answer: from then on it can only go on or be cut.
    pub has_begun: AtomicBool,
    /// Host.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Time,
    /// When it must have its final answer.
    pub deadline: Time,
}

impl Call {
    /// The caller's id, for logs.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// What it asks for and for whom, the same for each caller's try at any box.
    pub fn work(&self) -> RequestFingerprint {
        *self.work.get_or_init(|| {
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

    /// Time that is left.
    pub fn time_left(&self) -> Duration {
        self.relay.clock.now().until(self.deadline)
    }

    /// When its answer, or its first event, should be there.
    pub fn due(&self) -> Time {
        self.first_arrived() + self.route.objective
    }

    /// When the caller first asked: one that comes back has less time left than its route gives.
    pub fn first_arrived(&self) -> Time {
        let left = self.head.time_left.unwrap_or(self.route.time_limit);
        let passed = self.route.time_limit.saturating_sub(left);
        Time::from_micros(
            self.arrived
                .as_micros()
                .saturating_sub(passed.as_micros() as u64),
        )
    }

    /// How long it may wait for its place, where no server takes it at once: so that it can still be on
    /// time, and a repeat not at all. A stream that has begun would be cut instead.
    pub fn patience(&self, is_first: bool) -> Duration {
        let left = self.relay.clock.now().until(self.due());
        let most = match self.has_begun.load(Ordering::Relaxed) {
            true => self.time_left(),
            false if is_first => left / 2,
            false => Duration::ZERO,
        };
        most.min(MOST_PATIENCE)
    }

    /// Whether the box's share of the retry budget has a repeat left.
    pub fn has_retry_budget(&self) -> bool {
        let (now, boxes) = (self.relay.clock.now(), self.relay.box_count());
        self.with_retries(|window, rule| window.has_retry_left(now, rule, boxes))
    }

    /// Takes one repeat from the box's share of the retry budget, if there is one.
    pub fn may_repeat(&self) -> bool {
        let (now, boxes) = (self.relay.clock.now(), self.relay.box_count());
        let allowed = self.with_retries(|window, rule| window.try_spend(now, rule, boxes));
        if !allowed {
            tracing::info!(call = self.id(), service = %self.service, boxes, "no retry budget left");
        }
        allowed
    }

    fn with_retries<T>(&self, f: impl FnOnce(&mut RetryWindow, &RetryBudgetRule) -> T) -> T {
        let mut retries = lock(&self.relay.retries);
        let window = retries.entry(self.service.clone()).or_default();
        f(window, &self.relay.settings.retries)
    }
}

/// Answers a call.
pub async fn answer(relay: Arc<Relay>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = relay.clock.now();
    match read(&relay, arrived, req).await {
        Ok(call) => run(call).await,
        Err(answer) => answer,
    }
}

async fn read(
    relay: &Arc<Relay>,
    arrived: Time,
    req: Request<Incoming>,
) -> Result<Call, Response<AnswerBody>> {
    let (parts, body) = req.into_parts();
    let head = headers::read_call(&parts.headers).map_err(|cause| {
        log_lines::turned_away("-", cause.0);
        caller_answer::bad(StatusCode::BAD_REQUEST, cause.0)
    })?;
    let id = head.id.clone().unwrap_or_else(|| "-".to_owned());
    let patience = head.time_left.map_or(ROUTES_SOON, |left| left / 2);
    let Some(routes) = relay.routes_within(patience.min(ROUTES_SOON)).await else {
        log_lines::turned_away(&id, "no_settings");
        return Err(caller_answer::not_run("no_settings", Some(SOON)));
    };
    let host = parts.uri.host().map(str::to_owned).or_else(|| {
        let value = parts.headers.get(http::header::HOST)?;
        value.to_str().ok().map(str::to_owned)
    });
    let host = host.unwrap_or_default();
    let denied = |denied| {
        log_lines::denied(&id, routes.table().version, &host, parts.uri.path(), denied);
        caller_answer::denied(denied)
    };
    let route = routes.route(&host, parts.uri.path()).map_err(denied)?;
    let principal = routes
        .principal(route, head.key.as_deref())
        .map_err(denied)?;
    let limits = routes.table().limits;
    let body = read_body(body, limits.body_bytes, limits.header_time)
        .await
        .map_err(|(status, code)| {
            log_lines::turned_away(&id, code);
            caller_answer::bad(status, code)
        })?;
    if relay.refuses_calls() {
        log_lines::turned_away(&id, "box_leaving");
        return Err(caller_answer::not_run("box_leaving", Some(SOON)));
    }
    let time_left = head.time_left.unwrap_or(route.time_limit);
    let service = route.target(rand::random()).clone();
    Ok(Call {
        relay: Arc::clone(relay),
        service,
        workspace: principal.map(|principal| principal.workspace.clone()),
        priority: principal
            .and_then(|principal| principal.priority)
            .unwrap_or(route.priority),
        deadline: arrived + time_left.min(route.time_limit),
        route: route.clone(),
        head,
        work: OnceLock::new(),
        saw_crash: AtomicBool::new(false),
        has_begun: AtomicBool::new(false),
        host,
        method: parts.method,
        uri: parts
            .uri
            .path_and_query()
            .cloned()
            .map_or_else(Uri::default, Uri::from),
        headers: parts.headers,
        body,
        arrived,
        routes: Arc::clone(&routes),
    })
}

async fn read_body(
    body: Incoming,
    most: usize,
    silence: Duration,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let mut body = Limited::new(body, most);
    let mut pieces: Vec<Bytes> = Vec::new();
    loop {
        let frame = match timeout(silence, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(cause))) if cause.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_long"));
            }
            Ok(Some(Err(_broken))) => return Err((StatusCode::BAD_REQUEST, "bad_body")),
            Err(_elapsed) => return Err((StatusCode::REQUEST_TIMEOUT, "body_stopped")),
        };
        pieces.extend(frame.into_data().ok());
    }
    Ok(match pieces.len() {
        1 => pieces.remove(0),
        _ => pieces.concat().into(),
    })
}

async fn run(call: Call) -> Response<AnswerBody> {
    let call = Arc::new(call);
    let mut attempts = Attempts::new(call.route.kind.is_repeatable(), call.route.max_attempts);
    call.with_retries(|window, rule| window.record_first_send(call.arrived, rule));
    let mut tried = Vec::new();
    loop {
        let result = match timeout(
            call.time_left(),
            tries::try_once(&call, &mut attempts, &mut tried, None),
        )
        .await
        {
            Ok(result) => result,
            Err(_elapsed) => {
                let next = attempts.give_up(RefusalReason::DeadlineWhileWaiting, NO_SERVER_RETRY);
                return finish(&call, &attempts, next);
            }
        };
        let (end, own_failure) = match result {
            TryResult::Whole(answer) => {
                log_lines::ended(&call, &attempts, "answered", answer.status());
                return answer;
            }
            TryResult::Live(live) => return live_stream::respond(call, attempts, tried, live),
            TryResult::NoServer(reason, retry_after) => {
                let next = attempts.give_up(reason, retry_after);
                return finish(&call, &attempts, next);
            }
            TryResult::ServerError(answer) => (AttemptEnd::ServerError, Some(answer)),
            TryResult::Ended(end) => (end, None),
        };
        match attempts.on_attempt_end(end, NO_SERVER_RETRY, || call.may_repeat()) {
            NextStep::TryElsewhere => {}
            NextStep::PassOn => {
                let Some(answer) = own_failure else {
                    let next = NextStep::Fail(FailureReason::ServerError);
                    return finish(&call, &attempts, next);
                };
                log_lines::ended(&call, &attempts, "server_error", answer.status());
                return answer;
            }
            next => return finish(&call, &attempts, next),
        }
    }
}

fn finish(call: &Call, attempts: &Attempts, next: NextStep) -> Response<AnswerBody> {
    let (code, answer) = match next {
        NextStep::Refuse(refused) => (refused.reason().code(), caller_answer::refused(&refused)),
        NextStep::Fail(reason) => (reason.code(), caller_answer::failed(reason)),
        NextStep::TryElsewhere | NextStep::PassOn => {
            let reason = FailureReason::AttemptsUsed;
            (reason.code(), caller_answer::failed(reason))
        }
    };
    log_lines::ended(call, attempts, code, answer.status());
    answer
}
