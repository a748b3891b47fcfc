//! The HTTP routes: model requests, service calls, health, metrics and status.
//!
//! A request passes a chain of filters, each of which may reject it: settings present, key and
//! headers, size of the body, format of the body, claim of the request key. Only then is it
//! submitted to the dispatcher.

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
use badgerferry_lib::request::Request as DispatchRequest;
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
use crate::api_error::json_response;
use crate::caller;
use crate::caller::Caller;
use crate::chat;
use crate::chat::Endpoint;
use crate::chat::ModelRequest;
use crate::chat::ResponseWriter;
use crate::control;
use crate::request_driver;
use crate::request_driver::PreparedRequest;
use crate::request_driver::ResponseEvent;
use crate::request_key_claim;
use crate::request_key_claim::Claim;
use crate::service_driver;
use crate::service_driver::PreparedCall;
use crate::traffic::InFlightGuard;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// Header with the identifier of the request, set on every response.
const REQUEST_ID_HEADER: &str = "x-badgerferry-request-id";
/// Timeout for the head of a request. A caller that sends slowly occupies only its connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay stated to callers whose request a filter refused.
const FILTER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of bytes to read and discard of a body that is too large.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Chunks of a response buffered for a caller that reads slowly.
const RESPONSE_BUFFER: usize = 64;
/// Length of the prompt prefix, in bytes, that engines are assumed to cache as a unit.
const PREFIX_BYTES: usize = 4_096;

type SharedTraffic = Arc<Traffic>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener, traffic: SharedTraffic) {
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
        tracing::error!(cause = %cause, "HTTP listener failed");
    }
}

fn traffic_state(req: &Request) -> SharedTraffic {
    req.state::<SharedTraffic>()
        .expect("the router sets the state of every request")
}

async fn health(_: Request) -> Result<Response> {
    Ok("alive\n".into_response())
}

async fn ready(req: Request) -> Result<Response> {
    let is_ready = traffic_state(&req).is_ready();
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
    let traffic = traffic_state(&req);
    control::set_gauges(&traffic);
    Ok(traffic.metrics.render().into_response())
}

async fn status(req: Request) -> Result<Response> {
    let status = control::status(&traffic_state(&req));
    Response::json(status).map_err(Into::into)
}

async fn chat_completions(req: Request) -> Result<Response> {
    Ok(serve_model_request(req, Endpoint::Chat).await)
}

async fn completions(req: Request) -> Result<Response> {
    Ok(serve_model_request(req, Endpoint::Text).await)
}

async fn service(req: Request) -> Result<Response> {
    let traffic = traffic_state(&req);
    let id = RequestId::draw(&mut rand::rng());
    let response = match service_call(&traffic, req, id).await {
        Ok(response) => response,
        Err(error) => rejection(id, &error),
    };
    Ok(with_request_id(response, id))
}

async fn serve_model_request(req: Request, endpoint: Endpoint) -> Response {
    let traffic = traffic_state(&req);
    let id = RequestId::draw(&mut rand::rng());
    let response = match start_model_request(&traffic, req, endpoint, id).await {
        Ok(response) => response,
        Err(error) => rejection(id, &error),
    };
    with_request_id(response, id)
}

fn rejection(id: RequestId, error: &ApiError) -> Response {
    tracing::info!(request = %id, code = error.code(), "request rejected");
    error.response()
}

fn with_request_id(mut response: Response, id: RequestId) -> Response {
    let value = id
        .to_string()
        .parse()
        .expect("hexadecimal digits are a valid header value");
    response.headers_mut().insert(REQUEST_ID_HEADER, value);
    response
}

fn refusal(reason: RefusalReason) -> ApiError {
    ApiError::from_refusal(reason, FILTER_RETRY_DELAY)
}

fn active_settings(traffic: &Traffic) -> Result<Arc<SettingsView>, ApiError> {
    traffic
        .settings
        .load_full()
        .ok_or_else(|| refusal(RefusalReason::NoSettings))
}

/// Reads the body of a request, unless the box exits before it has arrived.
async fn read_body(traffic: &Traffic, req: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    tokio::select! {
        biased;
        body = read_whole_body(req, limit) => body,
        () = traffic.answers_due.wait() => Err(refusal(RefusalReason::Leaving)),
    }
}

async fn read_whole_body(req: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        ApiError::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    };
    let declared = req.content_length();
    let Ok(body) = req.incoming() else {
        return Ok(Bytes::new());
    };
    if declared.is_some_and(|length| length > limit as u64) {
        // Read part of the body, or the connection closes before the caller has read the error.
        let discarded = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        let _ = tokio::time::timeout(BODY_TIMEOUT, discarded).await;
        return Err(too_large());
    }
    let complete = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, complete).await {
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

/// Claims the key of a non-repeatable request, if it has one.
async fn claim_key(
    traffic: &SharedTraffic,
    caller: &Caller,
    id: RequestId,
) -> Result<Option<Claim>, ApiError> {
    match &caller.request_key {
        Some(key) if caller.repeatable != Some(true) => {
            let claim = request_key_claim::claim(traffic, &caller.workspace, key, id).await;
            claim.map(Some).map_err(refusal)
        }
        _ => Ok(None),
    }
}

/// The request for the dispatcher, without the token counts and the prefix of a model request.
fn new_dispatch_request(
    traffic: &Traffic,
    view: &SettingsView,
    caller: &Caller,
    id: RequestId,
    model: ModelName,
) -> DispatchRequest {
    let now = traffic.clock.now();
    let workspace = view.workspace(&caller.workspace);
    DispatchRequest {
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
        deadline: traffic.deadline_after(caller.time_limit),
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

fn prefix_hash(prompt: &str) -> PrefixHash {
    let end = prompt.floor_char_boundary(PREFIX_BYTES);
    let digest = Sha256::digest(&prompt.as_bytes()[..end]);
    PrefixHash(u64::from_be_bytes(
        digest[..8]
            .try_into()
            .expect("a digest has at least eight bytes"),
    ))
}

async fn start_model_request(
    traffic: &SharedTraffic,
    mut req: Request,
    endpoint: Endpoint,
    id: RequestId,
) -> Result<Response, ApiError> {
    let guard = InFlightGuard::new(traffic);
    let view = active_settings(traffic)?;
    let caller = caller::identify(&view, req.headers())?;
    let body = read_body(traffic, &mut req, view.max_body).await?;
    let model_request = chat::parse(endpoint, &body)?;
    drop(body);
    let mut request =
        new_dispatch_request(traffic, &view, &caller, id, model_request.model.clone());
    let bytes_per_token = caller.class.bytes_per_token;
    let prompt_bytes = model_request.prompt.len();
    request.prompt_tokens = lock(&traffic.token_estimator).estimate(
        &model_request.model,
        prompt_bytes,
        bytes_per_token,
    );
    if request.prompt_tokens > caller.class.max_prompt {
        return Err(refusal(RefusalReason::PromptTooLong));
    }
    let requested = model_request.max_tokens.unwrap_or(caller.class.max_output);
    request.max_output = requested.min(caller.class.max_output);
    request.prefix = Some(prefix_hash(&model_request.prompt));
    let claim = claim_key(traffic, &caller, id).await?;
    let (tx, rx) = mpsc::channel(RESPONSE_BUFFER);
    let prepared = PreparedRequest {
        request,
        repeatable: caller.repeatable.unwrap_or(true),
        limit: hall_limit(&view, &caller),
        prompt: model_request.prompt.as_str().into(),
        class: caller.class,
    };
    tokio::spawn(request_driver::run(Arc::clone(traffic), prepared, tx));
    let responder = Responder {
        traffic: Arc::clone(traffic),
        writer: ResponseWriter::new(&model_request, id),
        rx,
        claim,
        _guard: guard,
    };
    Ok(responder.respond(&model_request).await)
}

/// Turns the events of a model request into the response to its caller.
struct Responder {
    traffic: SharedTraffic,
    writer: ResponseWriter,
    rx: mpsc::Receiver<ResponseEvent>,
    claim: Option<Claim>,
    _guard: InFlightGuard,
}

impl Responder {
    /// The error response for an outcome; `None` for a completed request. Releases the claim of a
    /// refused request.
    fn error_for(&mut self, outcome: &Outcome) -> Option<ApiError> {
        if let (Outcome::Refused(_), Some(claim)) = (outcome, self.claim.take()) {
            request_key_claim::release(&self.traffic, claim);
        }
        ApiError::from_outcome(outcome)
    }

    async fn respond(mut self, request: &ModelRequest) -> Response {
        // The status is sent before the first chunk, so only the first event can select an error
        // status.
        let first = self.rx.recv().await;
        match first {
            Some(ResponseEvent::Text(text)) if request.stream => self.stream(text),
            Some(ResponseEvent::Text(text)) => self.collect(text).await,
            Some(ResponseEvent::End {
                outcome,
                prompt_tokens,
            }) => match self.error_for(&outcome) {
                Some(error) => error.response(),
                None if request.stream => self.stream(String::new()),
                None => self.complete_response(&outcome, "", prompt_tokens),
            },
            None => ApiError::from_outcome(&Outcome::Cancelled)
                .expect("a cancelled request is an error")
                .response(),
        }
    }

    async fn collect(mut self, mut text: String) -> Response {
        loop {
            match self.rx.recv().await {
                Some(ResponseEvent::Text(chunk)) => text.push_str(&chunk),
                Some(ResponseEvent::End {
                    outcome,
                    prompt_tokens,
                }) => {
                    return match self.error_for(&outcome) {
                        Some(error) => error.response(),
                        None => self.complete_response(&outcome, &text, prompt_tokens),
                    };
                }
                None => {
                    let error = ApiError::from_outcome(&Outcome::Cancelled);
                    return error.expect("a cancelled request is an error").response();
                }
            }
        }
    }

    fn complete_response(&self, outcome: &Outcome, text: &str, prompt_tokens: u64) -> Response {
        let completion_tokens = match outcome {
            Outcome::Completed { tokens } => *tokens,
            _ => 0,
        };
        let body = self.writer.complete(text, prompt_tokens, completion_tokens);
        json_response(body.to_string(), Ran::Yes)
    }

    fn stream(self, first: String) -> Response {
        let state = (self, Some(first));
        let events = futures::stream::unfold(state, |(mut responder, first)| async move {
            if let Some(text) = first {
                let event = responder.writer.chunk(&text);
                return Some((Ok::<_, Infallible>(event), (responder, None)));
            }
            let event = match responder.rx.recv().await? {
                ResponseEvent::Text(text) => responder.writer.chunk(&text),
                ResponseEvent::End { outcome, .. } => match responder.error_for(&outcome) {
                    Some(error) => ResponseWriter::failure(&error),
                    None => responder.writer.end(),
                },
            };
            Some((Ok(event), (responder, None)))
        });
        let mut response = Response::stream(events);
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            "text/event-stream"
                .parse()
                .expect("a constant is a valid header value"),
        );
        headers.insert(
            "cache-control",
            "no-store"
                .parse()
                .expect("a constant is a valid header value"),
        );
        response
    }
}

async fn service_call(
    traffic: &SharedTraffic,
    mut req: Request,
    id: RequestId,
) -> Result<Response, ApiError> {
    let _guard = InFlightGuard::new(traffic);
    let view = active_settings(traffic)?;
    let caller = caller::identify(&view, req.headers())?;
    let body = read_body(traffic, &mut req, view.max_body).await?;
    let pool = req.param::<String>("pool").unwrap_or_default();
    let request = new_dispatch_request(traffic, &view, &caller, id, ModelName::new(&pool));
    let claim = claim_key(traffic, &caller, id).await?;
    let prepared = PreparedCall {
        request,
        repeatable: caller
            .repeatable
            .unwrap_or_else(|| is_repeatable(req.method())),
        limit: hall_limit(&view, &caller),
        call: forwarded_call(&req, &pool, body),
        class: caller.class,
    };
    let end = service_driver::run(traffic, prepared).await;
    if let (Outcome::Refused(_), Some(claim)) = (&end.outcome, claim) {
        request_key_claim::release(traffic, claim);
    }
    match (ApiError::from_outcome(&end.outcome), end.response) {
        (None, Some(service_response)) => {
            let mut response = service_response.body.into_response();
            *response.status_mut() = service_response.status;
            *response.headers_mut() = service_response.headers;
            let headers = response.headers_mut();
            headers.remove("content-length");
            headers.remove("transfer-encoding");
            headers.remove("connection");
            headers.insert(
                RAN_HEADER,
                Ran::Yes
                    .as_str()
                    .parse()
                    .expect("a constant is a valid header value"),
            );
            Ok(response)
        }
        (Some(error), _) => Err(error),
        (None, None) => Err(refusal(RefusalReason::NoServer)),
    }
}

/// Whether HTTP defines the method as idempotent. Requests with other methods may be retried only
/// if a header says so.
fn is_repeatable(method: &hyper::Method) -> bool {
    method.is_idempotent()
}

fn forwarded_call(req: &Request, pool: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/services/{pool}");
    let path_and_query = req
        .uri()
        .path_and_query()
        .map_or("/", |found| found.as_str());
    let path = path_and_query
        .strip_prefix(&prefix)
        .unwrap_or("/")
        .to_owned();
    let mut headers = req.headers().clone();
    headers.remove("authorization");
    let own_headers: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(caller::HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own_headers {
        headers.remove(name);
    }
    ServiceCall {
        method: req.method().clone(),
        path,
        headers,
        body,
    }
}
