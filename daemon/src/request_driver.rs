//! Drives one model request: passes events to its [`Exchange`], the state machine of the request,
//! and executes the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::engine::Engine;
use badgerferry_edges::engine::FrameStream;
use badgerferry_edges::http_client::SendError;
use badgerferry_lib::dispatcher::Decision;
use badgerferry_lib::dispatcher::Start;
use badgerferry_lib::engine_wire::CancelRequest;
use badgerferry_lib::engine_wire::GenerateRequest;
use badgerferry_lib::engine_wire::PrefillRequest;
use badgerferry_lib::engine_wire::ReleaseRequest;
use badgerferry_lib::engine_wire::ReserveRequest;
use badgerferry_lib::exchange::Action;
use badgerferry_lib::exchange::Event;
use badgerferry_lib::exchange::Exchange;
use badgerferry_lib::exchange::ExchangeLimits;
use badgerferry_lib::exchange::PlacementEnd;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::request::Request;
use badgerferry_lib::settings_view::ClassSettings;
use badgerferry_lib::stream_join::Frame;
use badgerferry_lib::time::Time;
use badgerferry_lib::workspace_limit::HallLimit;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::mpsc;

use crate::telemetry;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// Timeout for sending the outcome to a caller that reads slowly and has filled its buffer.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of a response, sent to the task that writes the response to the caller.
#[derive(Debug)]
pub enum ResponseEvent {
    /// A chunk of the response.
    Text(String),
    /// The outcome; always the last event.
    End {
        /// The outcome.
        outcome: Outcome,
        /// Prompt tokens as counted by the engine, zero if it did not count them. The estimate if the
        /// response is not complete.
        prompt_tokens: u64,
    },
}

/// A model request ready to run.
#[derive(Debug)]
pub struct PreparedRequest {
    /// The request, as submitted to the dispatcher.
    pub request: Request,
    /// Settings of the request class.
    pub class: ClassSettings,
    /// Whether the request may be retried after it may have run.
    pub repeatable: bool,
    /// Rate limit of the workspace.
    pub limit: HallLimit,
    /// Text of the prompt.
    pub prompt: Arc<str>,
}

/// Result of a call to an engine.
enum EngineCallResult {
    Reserved(bool),
    Prefilled(Result<(), SendError>),
    Streaming(Result<FrameStream, SendError>),
}

/// Input that the driver waits for.
enum Wakeup {
    CallerDisconnected,
    BoxStopping,
    Decision(Decision),
    EngineCall(EngineCallResult),
    Frame(Frame),
    StreamEnded,
    Tick,
}

struct RequestDriver {
    traffic: Arc<Traffic>,
    id: RequestId,
    request: Request,
    prompt: Arc<str>,
    class: ClassSettings,
    decisions: mpsc::UnboundedReceiver<Decision>,
    engine_call: Option<BoxFuture<'static, EngineCallResult>>,
    stream: Option<FrameStream>,
    tx: mpsc::Sender<ResponseEvent>,
    prompt_tokens: u64,
    last_token: Option<Time>,
    holdings: Vec<(ServerName, AttemptId)>,
}

/// Runs a request until its outcome is sent to the caller.
pub async fn run(
    traffic: Arc<Traffic>,
    prepared: PreparedRequest,
    tx: mpsc::Sender<ResponseEvent>,
) {
    let PreparedRequest {
        request,
        class,
        repeatable,
        limit,
        prompt,
    } = prepared;
    let id = request.id;
    let mut exchange = Exchange::new(ExchangeLimits {
        deadline: request.deadline,
        first_token: class.first_token,
        between_tokens: class.between_tokens,
        max_attempts: class.max_attempts,
        max_tokens: request.max_output,
        repeatable,
    });
    let mut driver = RequestDriver {
        decisions: traffic.subscribe(id),
        traffic: Arc::clone(&traffic),
        id,
        request: request.clone(),
        prompt,
        class,
        engine_call: None,
        stream: None,
        tx,
        prompt_tokens: request.prompt_tokens,
        last_token: None,
        holdings: Vec::new(),
    };
    let now = traffic.clock.now();
    traffic.decide(|dispatcher| dispatcher.submit(now, request, limit, &mut rand::rng()));
    while !exchange.is_done() {
        let wakeup = driver.next_wakeup(&exchange).await;
        let now = traffic.clock.now();
        let actions = driver.handle_wakeup(&mut exchange, now, wakeup);
        for action in actions {
            driver.execute(&exchange, now, action).await;
        }
    }
    traffic.forget(id);
}

impl RequestDriver {
    async fn next_wakeup(&mut self, exchange: &Exchange) -> Wakeup {
        let tick = self.traffic.clock.instant(exchange.next_tick());
        tokio::select! {
            () = self.tx.closed() => Wakeup::CallerDisconnected,
            () = self.traffic.answers_due.wait() => Wakeup::BoxStopping,
            Some(decision) = self.decisions.recv() => Wakeup::Decision(decision),
            result = engine_call_result(&mut self.engine_call) => {
                self.engine_call = None;
                Wakeup::EngineCall(result)
            }
            frame = next_frame(&mut self.stream) => frame,
            () = tokio::time::sleep_until(tick) => Wakeup::Tick,
        }
    }

    fn handle_wakeup(&mut self, exchange: &mut Exchange, now: Time, wakeup: Wakeup) -> Vec<Action> {
        let frame;
        let event = match wakeup {
            Wakeup::CallerDisconnected => Event::CallerDisconnected,
            Wakeup::BoxStopping => Event::BoxStopping,
            Wakeup::Decision(decision) => {
                if let Decision::Start(start) = &decision {
                    self.log_start(start);
                }
                decision.into_event()
            }
            Wakeup::EngineCall(EngineCallResult::Reserved(true)) => Event::Reserved,
            Wakeup::EngineCall(EngineCallResult::Reserved(false)) => Event::ReservationFailed,
            Wakeup::EngineCall(EngineCallResult::Prefilled(Ok(()))) => Event::SharePrefilled,
            Wakeup::EngineCall(EngineCallResult::Streaming(Ok(stream))) => {
                self.stream = Some(stream);
                return Vec::new();
            }
            Wakeup::EngineCall(
                EngineCallResult::Prefilled(Err(cause)) | EngineCallResult::Streaming(Err(cause)),
            ) => self.failure_event(&cause),
            Wakeup::Frame(received) => {
                frame = received;
                Event::Frame(&frame)
            }
            Wakeup::StreamEnded => Event::AttemptLost,
            Wakeup::Tick => Event::Tick,
        };
        exchange.on_event(now, &event, &mut rand::rng())
    }

    fn failure_event(&self, cause: &SendError) -> Event<'static> {
        tracing::warn!(request = %self.id, cause = %cause, "attempt failed");
        match cause {
            SendError::NoConnection { .. } => Event::NoConnection,
            SendError::NotStarted { .. } => Event::ServerDidNotStart,
            SendError::Lost { .. } => Event::AttemptLost,
        }
    }

    fn log_start(&self, start: &Start) {
        let servers: Vec<_> = start
            .placement
            .servers()
            .iter()
            .map(ToString::to_string)
            .collect();
        let candidates: Vec<_> = start.candidates.iter().map(ToString::to_string).collect();
        tracing::info!(
            request = %self.id,
            workspace = %self.request.workspace,
            model = %self.request.model,
            prompt_tokens = self.request.prompt_tokens,
            priority = self.request.priority.as_str(),
            servers = servers.join(","),
            waited_ms = start.waited.as_millis() as u64,
            weighed = candidates.join(" "),
            "routing decision"
        );
    }

    async fn execute(&mut self, exchange: &Exchange, now: Time, action: Action) {
        match action {
            Action::Reserve {
                server,
                group,
                tokens,
            } => self.reserve(&server, group, tokens),
            Action::Prefill {
                server,
                group,
                from,
                tokens,
            } => self.prefill(&server, group, from, tokens),
            Action::Send {
                server,
                attempt,
                group,
                ..
            } => self.generate(exchange, &server, attempt, group),
            Action::Release { server, group } => self.release(&server, group),
            Action::Cancel { server, attempt } => self.cancel(&server, attempt),
            Action::Forward(text) => self.forward(now, text).await,
            Action::CountDropped(reason) => telemetry::count_dropped_frame(reason.label()),
            Action::FirstToken => {
                let elapsed = now.since(self.request.arrived);
                telemetry::record_first_token(self.request.prompt_tokens, elapsed);
                self.traffic.dispatcher().record_first_token(now, self.id);
            }
            Action::PlacementEnded(end) => self.finish_placement(now, &end),
            Action::Requeue { avoid, is_retry } => self.requeue(now, avoid, is_retry),
            Action::Finish(outcome) => self.finish(now, outcome).await,
        }
    }

    fn address(&self, server: &ServerName) -> String {
        // An unlisted server is unreachable: use an address that refuses connections.
        let address = self.traffic.address_of(server);
        address.unwrap_or_else(|| "0.0.0.0:0".to_owned())
    }

    fn add_holding(&mut self, server: &ServerName, id: AttemptId) {
        self.traffic.add_holding(server, id);
        self.holdings.push((server.clone(), id));
    }

    fn reserve(&mut self, server: &ServerName, group: AttemptId, tokens: u64) {
        self.add_holding(server, group);
        let address = self.address(server);
        let payload = ReserveRequest {
            group,
            owner: self.traffic.owner.clone(),
            tokens,
        };
        let engine = self.traffic.engine.clone();
        let call = async move {
            EngineCallResult::Reserved(engine.reserve(&address, &payload).await.is_ok())
        };
        self.engine_call = Some(call.boxed());
    }

    fn prefill(&mut self, server: &ServerName, group: AttemptId, from: u64, tokens: u64) {
        let address = self.address(server);
        let payload = PrefillRequest {
            group,
            from,
            tokens,
            rank: self.rank(),
            text: self.prompt_slice(from, tokens).to_owned(),
        };
        let engine = self.traffic.engine.clone();
        let connect_timeout = self.class.connect_timeout;
        let call = async move {
            EngineCallResult::Prefilled(engine.prefill(&address, connect_timeout, &payload).await)
        };
        self.engine_call = Some(call.boxed());
    }

    fn rank(&self) -> u8 {
        let long = self.traffic.dispatcher().is_long(&self.request);
        self.request.priority.rank(long).index() as u8
    }

    /// Text of a range of prompt tokens, located by the estimated number of tokens in the prompt.
    fn prompt_slice(&self, from: u64, tokens: u64) -> &str {
        let bytes = self.prompt.len() as u64;
        let byte_offset = |token: u64| {
            let offset = (bytes * token).div_ceil(self.request.prompt_tokens.max(1)) as usize;
            self.prompt.floor_char_boundary(offset)
        };
        &self.prompt[byte_offset(from)..byte_offset(from + tokens)]
    }

    fn generate(
        &mut self,
        exchange: &Exchange,
        server: &ServerName,
        attempt: AttemptId,
        group: Option<AttemptId>,
    ) {
        self.add_holding(server, attempt);
        let address = self.address(server);
        let prompt = match group {
            Some(_) => String::new(),
            None => self.prompt.to_string(),
        };
        let payload = GenerateRequest {
            attempt,
            owner: self.traffic.owner.clone(),
            model: self.request.model.clone(),
            prompt,
            prompt_tokens: self.request.prompt_tokens,
            max_tokens: self.request.max_output,
            rank: self.rank(),
            offset: exchange.join().next_offset(),
            emitted: exchange.join().text().to_owned(),
            group,
        };
        let engine = self.traffic.engine.clone();
        let connect_timeout = self.class.connect_timeout;
        let call = async move {
            EngineCallResult::Streaming(engine.generate(&address, connect_timeout, &payload).await)
        };
        self.engine_call = Some(call.boxed());
    }

    fn release(&self, server: &ServerName, group: AttemptId) {
        let address = self.address(server);
        let engine = self.traffic.engine.clone();
        tokio::spawn(async move {
            // If the release is lost, the next renewal frees the reservation.
            let _ = engine.release(&address, &ReleaseRequest { group }).await;
        });
    }

    fn cancel(&mut self, server: &ServerName, attempt: AttemptId) {
        self.stream = None;
        self.engine_call = None;
        let address = self.address(server);
        let engine = self.traffic.engine.clone();
        tokio::spawn(async move {
            let _ = engine.cancel(&address, &CancelRequest { attempt }).await;
        });
    }

    async fn forward(&mut self, now: Time, text: String) {
        if let Some(previous) = self.last_token.replace(now) {
            let prompt_tokens = self.request.prompt_tokens;
            telemetry::record_inter_token_latency(prompt_tokens, now.since(previous));
        }
        let deadline = self.traffic.clock.instant(self.request.deadline);
        // A slow caller delays only its own stream, and no longer than its time limit.
        let sent = self.tx.send(ResponseEvent::Text(text));
        let _ = tokio::time::timeout_at(deadline, sent).await;
    }

    fn finish_placement(&mut self, now: Time, end: &PlacementEnd) {
        self.stream = None;
        self.engine_call = None;
        for (server, id) in self.holdings.drain(..) {
            self.traffic.remove_holding(&server, id);
        }
        if let PlacementEnd::Whole { prompt_tokens, .. } = end {
            self.prompt_tokens = *prompt_tokens;
            let mut token_estimator = lock(&self.traffic.token_estimator);
            token_estimator.record(
                &self.request.model,
                self.prompt.len(),
                *prompt_tokens,
                self.class.bytes_per_token,
            );
        }
        self.traffic.dispatcher().placement_ended(now, self.id, end);
    }

    fn requeue(&self, now: Time, avoid: Option<ServerName>, is_retry: bool) {
        let request = self.request.clone();
        self.traffic.decide(|dispatcher| {
            dispatcher.requeue(now, request, avoid, is_retry, &mut rand::rng())
        });
    }

    async fn finish(&mut self, now: Time, outcome: Outcome) {
        let elapsed = now.since(self.request.arrived);
        telemetry::count_outcome(&outcome, self.request.prompt_tokens, elapsed);
        log_outcome(self.id, &outcome, elapsed.as_millis() as u64);
        let prompt_tokens = self.prompt_tokens;
        let end = ResponseEvent::End {
            outcome,
            prompt_tokens,
        };
        // Bounded: a caller that stops reading must not block this task forever.
        let _ = tokio::time::timeout(FINAL_SEND_TIMEOUT, self.tx.send(end)).await;
    }
}

/// Logs the outcome of a request.
pub fn log_outcome(id: RequestId, outcome: &Outcome, took_ms: u64) {
    match outcome {
        Outcome::Completed { tokens } => {
            tracing::info!(request = %id, tokens, took_ms, "request completed");
        }
        Outcome::Refused(refused) => {
            let reason = refused.reason();
            log_refusal(id, reason, took_ms);
        }
        Outcome::Failed(reason) => {
            tracing::warn!(request = %id, reason = %reason, took_ms, "request failed");
        }
        Outcome::Cancelled => tracing::info!(request = %id, took_ms, "request cancelled"),
    }
}

/// Logs that a request was refused without running.
pub fn log_refusal(id: RequestId, reason: RefusalReason, took_ms: u64) {
    tracing::info!(request = %id, reason = %reason, took_ms, "request refused");
}

async fn engine_call_result(
    engine_call: &mut Option<BoxFuture<'static, EngineCallResult>>,
) -> EngineCallResult {
    match engine_call {
        Some(engine_call) => engine_call.await,
        None => std::future::pending().await,
    }
}

async fn next_frame(stream: &mut Option<FrameStream>) -> Wakeup {
    match stream {
        Some(stream) => match stream.next().await {
            Ok(frame) => Wakeup::Frame(frame),
            Err(_ended) => Wakeup::StreamEnded,
        },
        None => std::future::pending().await,
    }
}
