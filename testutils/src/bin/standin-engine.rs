//! Stand-in for a model engine. `POST /standin/faults` makes it misbehave.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::convert::Infallible;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use badgerferry_lib::engine_wire::CancelRequest;
use badgerferry_lib::engine_wire::GenerateRequest;
use badgerferry_lib::engine_wire::Order;
use badgerferry_lib::engine_wire::PrefillRequest;
use badgerferry_lib::engine_wire::ReleaseRequest;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::engine_wire::ReportResponse;
use badgerferry_lib::engine_wire::ReserveRequest;
use badgerferry_lib::engine_wire::ServerErrorBody;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::priority::Rank;
use badgerferry_lib::server_view::EngineReport;
use badgerferry_lib::stream_join::Frame;
use badgerferry_lib::stream_join::FrameBody;
use badgerferry_lib::time::Time;
use badgerferry_testutils::fake_engine::EngineSize;
use badgerferry_testutils::fake_engine::FakeEngine;
use badgerferry_testutils::fake_engine::Output;
use badgerferry_testutils::fake_engine::Work;
use badgerferry_testutils::http;
use badgerferry_testutils::http::bad_request;
use badgerferry_testutils::http::body;
use badgerferry_testutils::http::json_answer;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::Router;
use viz::types::State;

/// Longest answer unless fewer tokens are asked for.
const ANSWER_TOKENS: u64 = 24;
/// Bytes of a prompt that the stand-in counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Stand-in for a model engine.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// models that are loaded
    #[argh(option)]
    model: Vec<String>,
    /// memory in tokens
    #[argh(option, default = "400_000")]
    memory: u64,
    /// prompt tokens prefilled a second
    #[argh(option, default = "20_000")]
    prefill_rate: u64,
    /// prompt tokens in one iteration
    #[argh(option, default = "512")]
    chunk: u64,
    /// length of an empty iteration in milliseconds
    #[argh(option, default = "10")]
    iteration_ms: u64,
}

/// How it misbehaves.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched by itself"
)]
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// The process ends after this many tokens were sent.
    die_after_tokens: Option<u64>,
    /// New work is answered with "not started".
    refuse: bool,
    /// Each stream ends without its end marker after this many tokens.
    truncate_after: Option<u64>,
    /// Each token frame is sent twice.
    double: bool,
    /// A frame of a foreign attempt is put before each token.
    cross: bool,
    /// The first token frame of a stream past the second is left out.
    skip: bool,
    /// Says that it is leaving.
    leaving: bool,
    /// Each stream goes on with sound frames without end.
    endless: bool,
    /// Its report has no end.
    endless_report: bool,
}

/// Text of the frames of a stream without end.
const FILLER: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

#[derive(Default)]
struct Sent {
    tokens: u64,
    prefills: u64,
    generates: u64,
}

struct Inner {
    engine: FakeEngine,
    faults: Faults,
    streams: BTreeMap<AttemptId, mpsc::UnboundedSender<Frame>>,
    shares: BTreeMap<AttemptId, mpsc::UnboundedSender<()>>,
    sent: Sent,
    reported: (Instant, EngineReport),
}

#[derive(Clone)]
struct Standin {
    inner: Arc<Mutex<Inner>>,
    woken: Arc<Notify>,
    start: Instant,
}

/// What the tests ask of it.
#[derive(Serialize)]
struct Holdings {
    memory_used: u64,
    held: usize,
    generates: u64,
    prefills: u64,
}

impl Standin {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Passes time on and hands outputs to the streams that wait for them.
    async fn run(self) {
        const LONGEST_SLEEP: Duration = Duration::from_millis(50);
        loop {
            let wake = self.with(|inner| inner.engine.next_wake());
            let sleep = wake.map_or(LONGEST_SLEEP, |wake| self.now().until(wake));
            let timer = tokio::time::sleep(sleep.min(LONGEST_SLEEP));
            tokio::select! {
                () = timer => {}
                () = self.woken.notified() => {}
            }
            let now = self.now();
            self.with(|inner| inner.pass(now));
        }
    }
}

impl Inner {
    fn pass(&mut self, now: Time) {
        self.engine.free_orphans(now);
        for output in self.engine.advance(now) {
            match output {
                Output::Frame(frame) => {
                    let attempt = frame.attempt;
                    let ends = matches!(frame.body, FrameBody::End { .. });
                    if let Some(tx) = self.streams.get(&attempt) {
                        let _ = tx.send(frame);
                    }
                    if ends {
                        self.streams.remove(&attempt);
                    }
                }
                Output::ShareReady(group) => {
                    if let Some(tx) = self.shares.remove(&group) {
                        let _ = tx.send(());
                    }
                }
            }
        }
    }
}

fn standin(req: &Request) -> Standin {
    req.state::<Standin>().expect("every route has the state")
}

fn not_started(message: &str) -> Response {
    let fault = ServerErrorBody {
        not_started: true,
        message: message.to_owned(),
    };
    json_answer(StatusCode::SERVICE_UNAVAILABLE, &fault)
}

fn work_of(asked: &GenerateRequest) -> Work {
    let mut hash = DefaultHasher::new();
    asked.prompt.hash(&mut hash);
    let counted = (asked.prompt.len() / BYTES_PER_TOKEN) as u64;
    Work {
        attempt: asked.attempt,
        owner: asked.owner.clone(),
        rank: asked.checked_rank(),
        prompt_tokens: counted.max(1),
        seed: hash.finish(),
        answer_tokens: asked.max_tokens.min(ANSWER_TOKENS),
        offset: asked.offset,
        group: asked.group,
    }
}

async fn generate(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<GenerateRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    let now = standin.now();
    let (tx, rx) = mpsc::unbounded_channel();
    let attempt = asked.attempt;
    let started = standin.with(|inner| {
        if inner.faults.refuse || !inner.engine.models().contains(&asked.model) {
            return false;
        }
        let submitted = inner.engine.submit(now, work_of(&asked)).is_ok();
        if submitted {
            inner.sent.generates += 1;
            inner.streams.insert(attempt, tx);
        }
        submitted
    });
    standin.woken.notify_one();
    if !started {
        return Ok(not_started("the engine takes no such work now"));
    }
    let lines = futures::stream::unfold((standin, rx, 0), move |state| next_line(state, attempt));
    Ok(Response::stream(lines))
}

type LineState = (Standin, mpsc::UnboundedReceiver<Frame>, u64);

async fn next_line(
    (standin, mut rx, sent): LineState,
    attempt: AttemptId,
) -> Option<(Result<String, Infallible>, LineState)> {
    if standin.with(|inner| inner.faults.endless) {
        let body = FrameBody::Token {
            offset: sent,
            text: FILLER.repeat(16),
        };
        let line = line_of(&Frame { attempt, body }, Faults::default(), attempt);
        return Some((Ok(line), (standin, rx, sent + 1)));
    }
    let frame = rx.recv().await?;
    let faults = standin.with(|inner| {
        inner.sent.tokens += 1;
        (inner.faults, inner.sent.tokens)
    });
    let (faults, whole) = faults;
    if faults.die_after_tokens.is_some_and(|limit| whole > limit) {
        std::process::exit(3);
    }
    if faults.truncate_after.is_some_and(|limit| sent >= limit) {
        standin.with(|inner| inner.streams.remove(&attempt));
        return None;
    }
    if faults.skip && sent == 2 {
        let next = rx.recv().await?;
        let line = line_of(&next, faults, attempt);
        return Some((Ok(line), (standin, rx, sent + 2)));
    }
    let line = line_of(&frame, faults, attempt);
    Some((Ok(line), (standin, rx, sent + 1)))
}

fn line_of(frame: &Frame, faults: Faults, attempt: AttemptId) -> String {
    let text = |frame: &Frame| {
        let json = serde_json::to_string(frame).expect("plain data always encodes");
        format!("{json}\n")
    };
    let mut line = String::new();
    if faults.cross {
        let digits: String = attempt.to_string().chars().rev().collect();
        let foreign = Frame {
            attempt: digits.parse().expect("an id's digits in another order"),
            ..frame.clone()
        };
        line += &text(&foreign);
    }
    line += &text(frame);
    if faults.double {
        line += &text(frame);
    }
    line
}

async fn prefill(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<PrefillRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    let now = standin.now();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let rank = Rank::from_wire(asked.rank);
    let started = standin.with(|inner| {
        let submitted = inner
            .engine
            .prefill(now, asked.group, rank, asked.tokens)
            .is_ok();
        if submitted {
            inner.sent.prefills += 1;
            inner.shares.insert(asked.group, tx);
        }
        submitted
    });
    standin.woken.notify_one();
    if !started {
        return Ok(not_started("no such reservation"));
    }
    match rx.recv().await {
        Some(()) => Ok(json_answer(StatusCode::OK, &())),
        None => Ok(StatusCode::GONE.into_response()),
    }
}

async fn reserve(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<ReserveRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    let now = standin.now();
    let done = standin.with(|inner| {
        let engine = &mut inner.engine;
        engine.reserve(now, asked.group, asked.owner, asked.tokens)
    });
    Ok(match done {
        Ok(()) => json_answer(StatusCode::OK, &()),
        Err(_) => not_started("no room"),
    })
}

async fn release(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<ReleaseRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| {
        inner.engine.release(asked.group);
        inner.shares.remove(&asked.group);
    });
    Ok(json_answer(StatusCode::OK, &()))
}

async fn cancel(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<CancelRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| {
        inner.engine.cancel(asked.attempt);
        inner.streams.remove(&asked.attempt);
    });
    Ok(json_answer(StatusCode::OK, &()))
}

async fn renew(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<RenewRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    let now = standin.now();
    standin.with(|inner| inner.engine.renew(now, &asked));
    Ok(json_answer(StatusCode::OK, &()))
}

/// Age that a report may reach before a new one is made.
const REPORT_EVERY: Duration = Duration::from_millis(100);

async fn report(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    if standin.with(|inner| inner.faults.endless_report) {
        let chunks = futures::stream::repeat_with(|| Ok::<_, Infallible>(FILLER));
        return Ok(Response::stream(chunks));
    }
    let answer = standin.with(|inner| {
        if inner.reported.0.elapsed() >= REPORT_EVERY || inner.reported.1.memory_total == 0 {
            inner.reported = (Instant::now(), inner.engine.report());
        }
        let mut report = inner.reported.1.clone();
        report.leaving = inner.faults.leaving;
        ReportResponse {
            report,
            age_ms: inner.reported.0.elapsed().as_millis() as u64,
        }
    });
    Ok(json_answer(StatusCode::OK, &answer))
}

async fn order(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<Order>(&mut req).await? else {
        return Ok(bad_request());
    };
    let done = standin.with(|inner| inner.engine.order(asked.fence, &asked.action));
    Ok(match done {
        Ok(()) => json_answer(StatusCode::OK, &()),
        Err(_) => StatusCode::CONFLICT.into_response(),
    })
}

async fn holdings(req: Request) -> viz::Result<Response> {
    let answer = standin(&req).with(|inner| Holdings {
        memory_used: inner.engine.memory_used(),
        held: inner.engine.held(),
        generates: inner.sent.generates,
        prefills: inner.sent.prefills,
    });
    Ok(json_answer(StatusCode::OK, &answer))
}

async fn set_faults(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(faults) = body::<Faults>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| {
        inner.faults = faults;
        inner.sent.tokens = 0;
    });
    Ok(json_answer(StatusCode::OK, &()))
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let size = EngineSize {
        memory: args.memory,
        chunk: args.chunk,
        prefill_rate: args.prefill_rate,
        iteration: Duration::from_millis(args.iteration_ms),
        ..EngineSize::default()
    };
    let models = args.model.iter().map(ModelName::new).collect();
    let inner = Inner {
        engine: FakeEngine::new(size, models),
        faults: Faults::default(),
        streams: BTreeMap::new(),
        shares: BTreeMap::new(),
        sent: Sent::default(),
        reported: (Instant::now(), EngineReport::default()),
    };
    let state = Standin {
        inner: Arc::new(Mutex::new(inner)),
        woken: Arc::new(Notify::new()),
        start: Instant::now(),
    };
    tokio::spawn(state.clone().run());
    let router = Router::new()
        .post("/v1/generate", generate)
        .post("/v1/prefill", prefill)
        .post("/v1/reserve", reserve)
        .post("/v1/release", release)
        .post("/v1/cancel", cancel)
        .post("/v1/renew", renew)
        .get("/v1/report", report)
        .post("/v1/orders", order)
        .get("/standin/holdings", holdings)
        .post("/standin/faults", set_faults)
        .with(State::new(state));
    http::serve(&args.listen, router).await
}
