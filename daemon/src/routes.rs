//! The HTTP routes: callers' requests, health, metrics and status.
//!
//! A caller's request passes a chain of filters, each of which may answer it: settings
//! present, key and headers, size of the body, shape of the body, claim of its key. Only
//! then is it handed to the dispatcher.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::no_delay_listener::NoDelayListener;
use badgerferry_edges::service::ServiceCall;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::request::PrefixHash;
use badgerferry_lib::request::Request as Asked;
use badgerferry_lib::settings_view::SettingsView;
use badgerferry_lib::workspace_limit::HallLimit;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::Result;
use viz::Router;
use viz::types::State;

use crate::api_error::ApiError;
use crate::api_error::RAN_HEADER;
use crate::api_error::Ran;
use crate::api_error::json_answer;
use crate::caller;
use crate::caller::Caller;
use crate::chat;
use crate::chat::AnswerWriter;
use crate::chat::Interface;
use crate::chat::ModelRequest;
use crate::control;
use crate::once_claim;
use crate::once_claim::Claim;
use crate::request_run;
use crate::request_run::PreparedRequest;
use crate::request_run::ToCaller;
use crate::service_run;
use crate::service_run::PreparedCall;
use crate::traffic::InFlightGuard;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// Header with the request's identifier, on every answer.
const REQUEST_ID_HEADER: &str = "x-badgerferry-request-id";
/// Time for a caller to send its request's head; a slow sender holds only its connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// When to come back after a refusal by a filter.
const RETRY_LATER: Duration = Duration::from_secs(2);
/// Most of a body that is too large which is read and thrown away.
const DISCARDED_BYTES: usize = 1 << 20;
/// Pieces buffered for a caller that reads slowly.
const CALLER_BUFFER: usize = 64;
/// Bytes of a prompt's beginning that engines are taken to cache together.
const PREFIX_BYTES: usize = 4_096;

type Shared = Arc<Traffic>;

/// Serves callers until the process ends.
pub async fn serve(listener: TcpListener, traffic: Shared) {
    let router = Router::new()
        .post("/v1/chat/completions", chat_completions)
        .post("/v1/completions", completions)
        .any("/services/:pool/*", service)
        .get("/healthz", health)
        .get("/readyz", ready)
        .get("/metrics", metrics)
        .get("/status", status)
        .with(State::new(traffic));
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let server = viz::Server::with_builder(NoDelayListener(listener), router, builder);
    if let Err(cause) = server.await {
        tracing::error!(cause = %cause, "callers can't be served");
    }
}

fn shared(req: &Request) -> Shared {
    req.state::<Shared>().expect("every route has the state")
}

async fn health(_: Request) -> Result<Response> {
    Ok("alive\n".into_response())
}

async fn ready(req: Request) -> Result<Response> {
    let is_ready = shared(&req).is_ready();
    if is_ready {
        return Ok("ready
"
        .into_response());
    }
    Ok((
        StatusCode::SERVICE_UNAVAILABLE,
        "not ready
",
    )
        .into_response())
}

async fn metrics(req: Request) -> Result<Response> {
    let traffic = shared(&req);
    control::set_gauges(&traffic);
    Ok(traffic.metrics.render().into_response())
}

async fn status(req: Request) -> Result<Response> {
    let status = control::status(&shared(&req));
    Response::json(status).map_err(Into::into)
}

async fn chat_completions(req: Request) -> Result<Response> {
    Ok(model_request(req, Interface::Chat).await)
}

async fn completions(req: Request) -> Result<Response> {
    Ok(model_request(req, Interface::Text).await)
}

async fn service(req: Request) -> Result<Response> {
    let traffic = shared(&req);
    let id = RequestId::draw(&mut rand::rng());
    let answer = match service_call(&traffic, req, id).await {
        Ok(answer) => answer,
        Err(error) => rejected(id, &error),
    };
    Ok(with_id(answer, id))
}

async fn model_request(req: Request, interface: Interface) -> Response {
    let traffic = shared(&req);
    let id = RequestId::draw(&mut rand::rng());
    let answer = match start_model_request(&traffic, req, interface, id).await {
        Ok(answer) => answer,
        Err(error) => rejected(id, &error),
    };
    with_id(answer, id)
}

fn rejected(id: RequestId, error: &ApiError) -> Response {
    tracing::info!(request = %id, code = error.code(), "request rejected");
    error.response()
}

fn with_id(mut answer: Response, id: RequestId) -> Response {
    let value = id.to_string().parse().expect("hexadecimal digits");
    answer.headers_mut().insert(REQUEST_ID_HEADER, value);
    answer
}

fn refusal(reason: RefusalReason) -> ApiError {
    ApiError::before_dispatch(reason, RETRY_LATER)
}

fn view_of(traffic: &Traffic) -> Result<Arc<SettingsView>, ApiError> {
    traffic
        .settings
        .load_full()
        .ok_or_else(|| refusal(RefusalReason::NoSettings))
}

async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        ApiError::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let announced = req.content_length();
    let Ok(body) = req.incoming() else {
        return Ok(Bytes::new());
    };
    if announced.is_some_and(|length| length > limit as u64) {
        // Read some of it, or the caller sees its connection break in place of the error.
        let some = Limited::new(body, DISCARDED_BYTES).collect();
        let _ = tokio::time::timeout(BODY_TIMEOUT, some).await;
        return Err(too_large());
    }
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(ApiError::bad_request("broken_body", "the body broke off")),
        Err(_elapsed) => Err(ApiError::refused(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            "the body took too long to arrive",
        )),
    }
}

/// Claims a not-repeatable request's key, if it has one.
async fn claim_key(
    traffic: &Shared,
    caller: &Caller,
    id: RequestId,
) -> Result<Option<Claim>, ApiError> {
    match &caller.request_key {
        Some(key) if caller.repeatable != Some(true) => {
            let claim = once_claim::claim(traffic, &caller.workspace, key, id).await;
            claim.map(Some).map_err(refusal)
        }
        _ => Ok(None),
    }
}

fn asked(
    traffic: &Traffic,
    view: &SettingsView,
    caller: &Caller,
    id: RequestId,
    model: ModelName,
) -> Asked {
    let now = traffic.clock.now();
    let workspace = view.workspace(&caller.workspace);
    Asked {
        id,
        workspace: caller.workspace.clone(),
        weight: workspace.map_or(1, |found| found.weight),
        queue_limit: workspace.map_or(1, |found| found.queue_requests),
        model,
        prompt_tokens: 0,
        max_output: 0,
        priority: caller.class.priority,
        ageing: caller.class.ageing,
        arrived: now,
        deadline: now + caller.time_limit,
        prefix: None,
    }
}

fn hall_limit(view: &SettingsView, caller: &Caller) -> HallLimit {
    let workspace = view.workspace(&caller.workspace);
    HallLimit {
        requests_per_s: workspace.map_or(0, |found| found.requests_per_s),
        tokens_per_s: workspace.map_or(0, |found| found.tokens_per_s),
    }
}

fn prefix_of(prompt: &str) -> PrefixHash {
    let end = prompt.floor_char_boundary(PREFIX_BYTES);
    let digest = Sha256::digest(&prompt.as_bytes()[..end]);
    PrefixHash(u64::from_be_bytes(
        digest[..8].try_into().expect("eight bytes of a digest"),
    ))
}

async fn start_model_request(
    traffic: &Shared,
    mut req: Request,
    interface: Interface,
    id: RequestId,
) -> Result<Response, ApiError> {
    let guard = InFlightGuard::new(traffic);
    let view = view_of(traffic)?;
    let caller = caller::identify(&view, req.headers())?;
    let body = read_body(&mut req, view.max_body).await?;
    let model_request = chat::parse(interface, &body)?;
    drop(body);
    let mut request = asked(traffic, &view, &caller, id, model_request.model.clone());
    let ratio = caller.class.bytes_per_token;
    let prompt_bytes = model_request.prompt.len();
    request.prompt_tokens =
        lock(&traffic.estimate).estimate(&model_request.model, prompt_bytes, ratio);
    if request.prompt_tokens > caller.class.max_prompt {
        return Err(refusal(RefusalReason::PromptTooLong));
    }
    let wanted = model_request.max_tokens.unwrap_or(caller.class.max_output);
    request.max_output = wanted.min(caller.class.max_output);
    request.prefix = Some(prefix_of(&model_request.prompt));
    let claim = claim_key(traffic, &caller, id).await?;
    let (tx, rx) = mpsc::channel(CALLER_BUFFER);
    let prepared = PreparedRequest {
        request,
        repeatable: caller.repeatable.unwrap_or(true),
        limit: hall_limit(&view, &caller),
        prompt: model_request.prompt.as_str().into(),
        class: caller.class,
    };
    tokio::spawn(request_run::run(Arc::clone(traffic), prepared, tx));
    let answering = Answering {
        traffic: Arc::clone(traffic),
        writer: AnswerWriter::new(&model_request, id),
        rx,
        claim,
        _guard: guard,
    };
    Ok(answering.answer(&model_request).await)
}

/// Turns what the run says into the caller's answer.
struct Answering {
    traffic: Shared,
    writer: AnswerWriter,
    rx: mpsc::Receiver<ToCaller>,
    claim: Option<Claim>,
    _guard: InFlightGuard,
}

impl Answering {
    /// The error for an outcome; a refusal gives the claim back.
    fn error_of(&mut self, outcome: &Outcome) -> Option<ApiError> {
        if let (Outcome::Refused(_), Some(claim)) = (outcome, self.claim.take()) {
            once_claim::release(&self.traffic, claim);
        }
        ApiError::of(outcome)
    }

    async fn answer(mut self, request: &ModelRequest) -> Response {
        // The first word decides between an error's status and a stream.
        let first = self.rx.recv().await;
        match first {
            Some(ToCaller::Text(text)) if request.stream => self.stream(text),
            Some(ToCaller::Text(text)) => self.whole(text).await,
            Some(ToCaller::End {
                outcome,
                prompt_tokens,
            }) => match self.error_of(&outcome) {
                Some(error) => error.response(),
                None if request.stream => self.stream(String::new()),
                None => self.finished(&outcome, "", prompt_tokens),
            },
            None => ApiError::of(&Outcome::Cancelled)
                .expect("a cancelled request is an error")
                .response(),
        }
    }

    async fn whole(mut self, mut text: String) -> Response {
        loop {
            match self.rx.recv().await {
                Some(ToCaller::Text(piece)) => text.push_str(&piece),
                Some(ToCaller::End {
                    outcome,
                    prompt_tokens,
                }) => {
                    return match self.error_of(&outcome) {
                        Some(error) => error.response(),
                        None => self.finished(&outcome, &text, prompt_tokens),
                    };
                }
                None => {
                    let error = ApiError::of(&Outcome::Cancelled);
                    return error.expect("a cancelled request is an error").response();
                }
            }
        }
    }

    fn finished(&self, outcome: &Outcome, text: &str, prompt_tokens: u64) -> Response {
        let tokens = match outcome {
            Outcome::Completed { tokens } => *tokens,
            _ => 0,
        };
        let body = self.writer.whole(text, prompt_tokens, tokens);
        json_answer(body.to_string(), Ran::Yes)
    }

    fn stream(self, first: String) -> Response {
        let state = (self, Some(first));
        let events = futures::stream::unfold(state, |(mut answering, first)| async move {
            if let Some(text) = first {
                let event = answering.writer.piece(&text);
                return Some((Ok::<_, Infallible>(event), (answering, None)));
            }
            let event = match answering.rx.recv().await? {
                ToCaller::Text(text) => answering.writer.piece(&text),
                ToCaller::End { outcome, .. } => match answering.error_of(&outcome) {
                    Some(error) => AnswerWriter::failure(&error),
                    None => answering.writer.end(),
                },
            };
            Some((Ok(event), (answering, None)))
        });
        let mut answer = Response::stream(events);
        let headers = answer.headers_mut();
        headers.insert(
            "content-type",
            "text/event-stream".parse().expect("a fixed header"),
        );
        headers.insert("cache-control", "no-store".parse().expect("a fixed header"));
        answer
    }
}

async fn service_call(
    traffic: &Shared,
    mut req: Request,
    id: RequestId,
) -> Result<Response, ApiError> {
    let _guard = InFlightGuard::new(traffic);
    let view = view_of(traffic)?;
    let caller = caller::identify(&view, req.headers())?;
    let body = read_body(&mut req, view.max_body).await?;
    let pool = req.param::<String>("pool").unwrap_or_default();
    let request = asked(traffic, &view, &caller, id, ModelName::new(&pool));
    let claim = claim_key(traffic, &caller, id).await?;
    let prepared = PreparedCall {
        request,
        repeatable: caller
            .repeatable
            .unwrap_or_else(|| is_repeatable(req.method())),
        limit: hall_limit(&view, &caller),
        call: passed_on(&req, &pool, body),
        class: caller.class,
    };
    let end = service_run::run(traffic, prepared).await;
    if let (Outcome::Refused(_), Some(claim)) = (&end.outcome, claim) {
        once_claim::release(traffic, claim);
    }
    match (ApiError::of(&end.outcome), end.answer) {
        (None, Some(found)) => {
            let mut answer = found.body.into_response();
            *answer.status_mut() = found.status;
            *answer.headers_mut() = found.headers;
            let headers = answer.headers_mut();
            headers.remove("content-length");
            headers.remove("transfer-encoding");
            headers.remove("connection");
            headers.insert(
                RAN_HEADER,
                Ran::Yes.as_str().parse().expect("a fixed header"),
            );
            Ok(answer)
        }
        (Some(error), _) => Err(error),
        (None, None) => Err(refusal(RefusalReason::NoServer)),
    }
}

/// Methods that HTTP calls idempotent may be repeated; others only if a header says so.
fn is_repeatable(method: &hyper::Method) -> bool {
    method.is_idempotent()
}

fn passed_on(req: &Request, pool: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/services/{pool}");
    let whole = req
        .uri()
        .path_and_query()
        .map_or("/", |found| found.as_str());
    let path = whole.strip_prefix(&prefix).unwrap_or("/").to_owned();
    let mut headers = req.headers().clone();
    headers.remove("authorization");
    let ours: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(caller::HEADER_PREFIX))
        .cloned()
        .collect();
    for name in ours {
        headers.remove(name);
    }
    ServiceCall {
        method: req.method().clone(),
        path,
        headers,
        body,
    }
}
