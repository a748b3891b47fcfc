//! Drives one model request: feeds its exchange what happens and carries out its actions.

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

/// Longest wait for a caller to take the outcome from its buffer.
const LAST_WORD: Duration = Duration::from_secs(5);

/// What the caller's side gets.
#[derive(Debug)]
pub enum ToCaller {
    /// A piece of the answer.
    Text(String),
    /// The outcome; nothing follows.
    End {
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens as the engine counted them, or as estimated.
        prompt_tokens: u64,
    },
}

/// A model request ready to run.
#[derive(Debug)]
pub struct PreparedRequest {
    /// What the dispatcher knows of it.
    pub request: Request,
    /// The class's limits.
    pub class: ClassSettings,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// The workspace's limit.
    pub limit: HallLimit,
    /// The prompt.
    pub prompt: Arc<str>,
}

/// What a call to an engine came to.
enum StepDone {
    Reserved(bool),
    Prefilled(Result<(), SendError>),
    Streaming(Result<FrameStream, SendError>),
}

/// What woke the run.
enum Woken {
    CallerGone,
    Decided(Decision),
    Step(StepDone),
    Frame(Frame),
    StreamEnded,
    Tick,
}

struct Run {
    traffic: Arc<Traffic>,
    id: RequestId,
    meta: Request,
    prompt: Arc<str>,
    class: ClassSettings,
    decisions: mpsc::UnboundedReceiver<Decision>,
    step: Option<BoxFuture<'static, StepDone>>,
    stream: Option<FrameStream>,
    tx: mpsc::Sender<ToCaller>,
    prompt_tokens: u64,
    last_token: Option<Time>,
    held: Vec<(ServerName, AttemptId)>,
}

/// Runs a request to its outcome.
pub async fn run(traffic: Arc<Traffic>, prepared: PreparedRequest, tx: mpsc::Sender<ToCaller>) {
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
        repeatable,
    });
    let mut run = Run {
        decisions: traffic.wait_for(id),
        traffic: Arc::clone(&traffic),
        id,
        meta: request.clone(),
        prompt,
        class,
        step: None,
        stream: None,
        tx,
        prompt_tokens: request.prompt_tokens,
        last_token: None,
        held: Vec::new(),
    };
    let now = traffic.clock.now();
    traffic.decide(|dispatcher| dispatcher.submit(now, request, limit, &mut rand::rng()));
    while !exchange.is_done() {
        let woken = run.wait(&exchange).await;
        let now = traffic.clock.now();
        let actions = run.feed(&mut exchange, now, woken);
        for action in actions {
            run.act(&exchange, now, action).await;
        }
    }
    traffic.forget(id);
}

impl Run {
    async fn wait(&mut self, exchange: &Exchange) -> Woken {
        let tick = self.traffic.clock.instant(exchange.next_tick());
        tokio::select! {
            () = self.tx.closed() => Woken::CallerGone,
            Some(decision) = self.decisions.recv() => Woken::Decided(decision),
            done = pending_step(&mut self.step) => {
                self.step = None;
                Woken::Step(done)
            }
            frame = pending_frame(&mut self.stream) => frame,
            () = tokio::time::sleep_until(tick) => Woken::Tick,
        }
    }

    fn feed(&mut self, exchange: &mut Exchange, now: Time, woken: Woken) -> Vec<Action> {
        let frame;
        let event = match woken {
            Woken::CallerGone => Event::CallerDisconnected,
            Woken::Decided(decision) => {
                if let Decision::Start(start) = &decision {
                    self.log_start(start);
                }
                decision.into_event()
            }
            Woken::Step(StepDone::Reserved(true)) => Event::Reserved,
            Woken::Step(StepDone::Reserved(false)) => Event::ReservationFailed,
            Woken::Step(StepDone::Prefilled(Ok(()))) => Event::SharePrefilled,
            Woken::Step(StepDone::Streaming(Ok(stream))) => {
                self.stream = Some(stream);
                return Vec::new();
            }
            Woken::Step(StepDone::Prefilled(Err(cause)) | StepDone::Streaming(Err(cause))) => {
                self.failure(&cause)
            }
            Woken::Frame(found) => {
                frame = found;
                Event::Frame(&frame)
            }
            Woken::StreamEnded => Event::AttemptLost,
            Woken::Tick => Event::Tick,
        };
        exchange.on_event(now, &event, &mut rand::rng())
    }

    fn failure(&self, cause: &SendError) -> Event<'static> {
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
        let weighed: Vec<_> = start.candidates.iter().map(ToString::to_string).collect();
        tracing::info!(
            request = %self.id,
            workspace = %self.meta.workspace,
            model = %self.meta.model,
            prompt_tokens = self.meta.prompt_tokens,
            priority = self.meta.priority.as_str(),
            servers = servers.join(","),
            waited_ms = start.waited.as_millis() as u64,
            weighed = weighed.join(" "),
            "routing decision"
        );
    }

    async fn act(&mut self, exchange: &Exchange, now: Time, action: Action) {
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
            Action::CountDropped(why) => telemetry::count_dropped_frame(why.label()),
            Action::FirstToken => {
                let took = now.since(self.meta.arrived);
                telemetry::record_first_token(self.meta.prompt_tokens, took);
                self.traffic.dispatcher().record_first_token(now, self.id);
            }
            Action::PlacementEnded(end) => self.ended(now, &end),
            Action::Requeue { avoid, is_retry } => self.queue_again(now, avoid, is_retry),
            Action::Finish(outcome) => self.finish(now, outcome).await,
        }
    }

    fn address(&self, server: &ServerName) -> String {
        // A server that is no longer listed can't be reached: an address that refuses.
        let found = self.traffic.address_of(server);
        found.unwrap_or_else(|| "0.0.0.0:0".to_owned())
    }

    fn hold(&mut self, server: &ServerName, id: AttemptId) {
        self.traffic.hold(server, id);
        self.held.push((server.clone(), id));
    }

    fn reserve(&mut self, server: &ServerName, group: AttemptId, tokens: u64) {
        self.hold(server, group);
        let address = self.address(server);
        let asked = ReserveRequest {
            group,
            owner: self.traffic.owner.clone(),
            tokens,
        };
        let engine = self.traffic.engine.clone();
        let call =
            async move { StepDone::Reserved(engine.reserve(&address, &asked).await.is_ok()) };
        self.step = Some(call.boxed());
    }

    fn prefill(&mut self, server: &ServerName, group: AttemptId, from: u64, tokens: u64) {
        let address = self.address(server);
        let asked = PrefillRequest {
            group,
            from,
            tokens,
            rank: self.rank(),
            text: self.slice(from, tokens).to_owned(),
        };
        let engine = self.traffic.engine.clone();
        let connect = self.class.connect_timeout;
        let call =
            async move { StepDone::Prefilled(engine.prefill(&address, connect, &asked).await) };
        self.step = Some(call.boxed());
    }

    fn rank(&self) -> u8 {
        let long = self.traffic.dispatcher().is_long(&self.meta);
        self.meta.priority.rank(long).index() as u8
    }

    /// The part of the prompt that this many tokens are estimated to be.
    fn slice(&self, from: u64, tokens: u64) -> &str {
        let bytes = self.prompt.len() as u64;
        let at = |token: u64| {
            let byte = (bytes * token).div_ceil(self.meta.prompt_tokens.max(1)) as usize;
            self.prompt.floor_char_boundary(byte)
        };
        &self.prompt[at(from)..at(from + tokens)]
    }

    fn generate(
        &mut self,
        exchange: &Exchange,
        server: &ServerName,
        attempt: AttemptId,
        group: Option<AttemptId>,
    ) {
        self.hold(server, attempt);
        let address = self.address(server);
        let prompt = match group {
            Some(_) => String::new(),
            None => self.prompt.to_string(),
        };
        let asked = GenerateRequest {
            attempt,
            owner: self.traffic.owner.clone(),
            model: self.meta.model.clone(),
            prompt,
            prompt_tokens: self.meta.prompt_tokens,
            max_tokens: self.meta.max_output,
            rank: self.rank(),
            offset: exchange.join().next_offset(),
            emitted: exchange.join().text().to_owned(),
            group,
        };
        let engine = self.traffic.engine.clone();
        let connect = self.class.connect_timeout;
        let call =
            async move { StepDone::Streaming(engine.generate(&address, connect, &asked).await) };
        self.step = Some(call.boxed());
    }

    fn release(&self, server: &ServerName, group: AttemptId) {
        let address = self.address(server);
        let engine = self.traffic.engine.clone();
        tokio::spawn(async move {
            // If this is lost, the next renewal makes it good.
            let _ = engine.release(&address, &ReleaseRequest { group }).await;
        });
    }

    fn cancel(&mut self, server: &ServerName, attempt: AttemptId) {
        self.stream = None;
        self.step = None;
        let address = self.address(server);
        let engine = self.traffic.engine.clone();
        tokio::spawn(async move {
            let _ = engine.cancel(&address, &CancelRequest { attempt }).await;
        });
    }

    async fn forward(&mut self, now: Time, text: String) {
        if let Some(before) = self.last_token.replace(now) {
            let prompt_tokens = self.meta.prompt_tokens;
            telemetry::record_inter_token_latency(prompt_tokens, now.since(before));
        }
        let until = self.traffic.clock.instant(self.meta.deadline);
        // A slow caller holds its own stream up, and no longer than its time limit.
        let sent = self.tx.send(ToCaller::Text(text));
        let _ = tokio::time::timeout_at(until, sent).await;
    }

    fn ended(&mut self, now: Time, end: &PlacementEnd) {
        self.stream = None;
        self.step = None;
        for (server, id) in self.held.drain(..) {
            self.traffic.let_go(&server, id);
        }
        if let PlacementEnd::Whole { prompt_tokens, .. } = end {
            self.prompt_tokens = *prompt_tokens;
            let mut estimate = lock(&self.traffic.estimate);
            estimate.record(
                &self.meta.model,
                self.prompt.len(),
                *prompt_tokens,
                self.class.bytes_per_token,
            );
        }
        self.traffic.dispatcher().placement_ended(now, self.id, end);
    }

    fn queue_again(&self, now: Time, avoid: Option<ServerName>, is_retry: bool) {
        let request = self.meta.clone();
        self.traffic.decide(|dispatcher| {
            dispatcher.requeue(now, request, avoid, is_retry, &mut rand::rng())
        });
    }

    async fn finish(&mut self, now: Time, outcome: Outcome) {
        let took = now.since(self.meta.arrived);
        telemetry::count_outcome(&outcome, self.meta.prompt_tokens, took);
        log_outcome(self.id, &outcome, took.as_millis() as u64);
        let prompt_tokens = self.prompt_tokens;
        let end = ToCaller::End {
            outcome,
            prompt_tokens,
        };
        // A caller that does not read its last bytes must not hold this task for ever.
        let _ = tokio::time::timeout(LAST_WORD, self.tx.send(end)).await;
    }
}

/// Logs how a request ended.
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

/// Logs a refusal.
pub fn log_refusal(id: RequestId, reason: RefusalReason, took_ms: u64) {
    tracing::info!(request = %id, reason = %reason, took_ms, "request refused");
}

async fn pending_step(step: &mut Option<BoxFuture<'static, StepDone>>) -> StepDone {
    match step {
        Some(step) => step.await,
        None => std::future::pending().await,
    }
}

async fn pending_frame(stream: &mut Option<FrameStream>) -> Woken {
    match stream {
        Some(stream) => match stream.next().await {
            Ok(frame) => Woken::Frame(frame),
            Err(_ended) => Woken::StreamEnded,
        },
        None => std::future::pending().await,
    }
}
