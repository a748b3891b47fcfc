//! Stand-in for the platform: key-value service with compare-and-swap, leases and
//! watches, and the box list. `POST /standin/faults` makes it misbehave.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use badgerferry_lib::platform_wire::BoxList;
use badgerferry_lib::platform_wire::LeaseRequest;
use badgerferry_lib::platform_wire::VERSION_HEADER;
use badgerferry_lib::platform_wire::WriteResponse;
use badgerferry_lib::settings_commit::Versioned;
use badgerferry_lib::time::Time;
use badgerferry_testutils::fake_platform::FakePlatform;
use badgerferry_testutils::fake_platform::WriteRefusal;
use badgerferry_testutils::http;
use badgerferry_testutils::http::bad_request;
use badgerferry_testutils::http::body;
use badgerferry_testutils::http::json_answer;
use hyper::StatusCode;
use serde::Deserialize;
use tokio::sync::Notify;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::types::State;

/// Stand-in for the platform.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

/// How it misbehaves.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Every call fails.
    down: bool,
    /// Every call takes this much longer, in milliseconds.
    slow_ms: u64,
    /// This many writes take effect and have their answers lost.
    lose_write_answers: u32,
    /// Milliseconds by which the box list lags behind what it was told.
    list_lag_ms: u64,
}

struct Inner {
    platform: FakePlatform,
    faults: Faults,
    told: Vec<(Instant, BoxList)>,
}

#[derive(Clone)]
struct Standin {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    start: Instant,
}

impl Standin {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits as told; none if the service is down.
    async fn enter(&self) -> Option<()> {
        let faults = self.with(|inner| inner.faults);
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        (!faults.down).then_some(())
    }

    /// Whether this write's answer is to be lost.
    fn loses_answer(&self) -> bool {
        self.with(|inner| {
            let loses = inner.faults.lose_write_answers > 0;
            inner.faults.lose_write_answers -= u32::from(loses);
            loses
        })
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
    expect: Option<u64>,
    ttl_ms: Option<u64>,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
}

fn standin(req: &Request) -> Standin {
    req.state::<Standin>().expect("every route has the state")
}

fn down() -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

fn value_answer(found: Versioned) -> Response {
    let status = match found.value {
        Some(_) => StatusCode::OK,
        None => StatusCode::NOT_FOUND,
    };
    let mut answer = found.value.unwrap_or_default().into_response();
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(VERSION_HEADER, found.version.into());
    answer
}

async fn read(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let query: KeyQuery = req.query()?;
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let now = standin.now();
    Ok(value_answer(
        standin.with(|inner| inner.platform.read(now, &query.key)),
    ))
}

async fn watch(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let query: KeyQuery = req.query()?;
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    standin.with(|inner| inner.platform.calls.reads += 1);
    loop {
        let changed = standin.changed.notified();
        let now = standin.now();
        let (found, is_down) =
            standin.with(|inner| (inner.platform.peek(now, &query.key), inner.faults.down));
        if is_down {
            return Ok(down());
        }
        if found.version > query.after {
            return Ok(value_answer(found));
        }
        let waits = tokio::time::timeout_at(until.into(), changed);
        if waits.await.is_err() {
            return Ok(StatusCode::NOT_MODIFIED.into_response());
        }
    }
}

async fn write(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let query: KeyQuery = req.query()?;
    let value = req.bytes().await?.to_vec();
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let now = standin.now();
    let ttl = query.ttl_ms.map(Duration::from_millis);
    let done = standin.with(|inner| {
        let platform = &mut inner.platform;
        platform.write(now, &query.key, query.expect, value, ttl)
    });
    Ok(write_answer(&standin, done))
}

async fn delete(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let query: KeyQuery = req.query()?;
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let now = standin.now();
    let done = standin.with(|inner| inner.platform.delete(now, &query.key, query.expect));
    Ok(write_answer(&standin, done))
}

fn write_answer(standin: &Standin, done: Result<u64, WriteRefusal>) -> Response {
    standin.changed.notify_waiters();
    if standin.loses_answer() {
        return down();
    }
    match done {
        Ok(version) => json_answer(StatusCode::OK, &WriteResponse { version }),
        Err(WriteRefusal::Conflict(version)) => {
            json_answer(StatusCode::CONFLICT, &WriteResponse { version })
        }
        Err(WriteRefusal::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}

async fn list(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let query: PrefixQuery = req.query()?;
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let now = standin.now();
    let keys = standin.with(|inner| inner.platform.list(now, &query.prefix));
    Ok(json_answer(StatusCode::OK, &keys))
}

async fn lease(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(asked) = body::<LeaseRequest>(&mut req).await? else {
        return Ok(bad_request());
    };
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let now = standin.now();
    let answer = standin.with(|inner| inner.platform.lease(now, &asked));
    if standin.loses_answer() {
        return Ok(down());
    }
    Ok(json_answer(StatusCode::OK, &answer))
}

async fn boxes(req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(()) = standin.enter().await else {
        return Ok(down());
    };
    let list = standin.with(|inner| {
        inner.platform.calls.reads += 1;
        let lag = Duration::from_millis(inner.faults.list_lag_ms);
        let old_enough = |(at, _): &&(Instant, BoxList)| at.elapsed() >= lag;
        let known = inner.told.iter().rev().find(old_enough);
        known.map(|(_, list)| list.clone()).unwrap_or_default()
    });
    Ok(json_answer(StatusCode::OK, &list))
}

async fn set_boxes(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(list) = body::<BoxList>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| inner.told.push((Instant::now(), list)));
    Ok(StatusCode::OK.into_response())
}

async fn set_faults(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(faults) = body::<Faults>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| inner.faults = faults);
    standin.changed.notify_waiters();
    Ok(StatusCode::OK.into_response())
}

async fn calls(req: Request) -> viz::Result<Response> {
    let counts = standin(&req).with(|inner| inner.platform.calls);
    Ok(json_answer(StatusCode::OK, &counts))
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let inner = Inner {
        platform: FakePlatform::new(),
        faults: Faults::default(),
        told: Vec::new(),
    };
    let state = Standin {
        inner: Arc::new(Mutex::new(inner)),
        changed: Arc::new(Notify::new()),
        start: Instant::now(),
    };
    let router = Router::new()
        .get("/v1/kv", read)
        .put("/v1/kv", write)
        .delete("/v1/kv", delete)
        .get("/v1/watch", watch)
        .get("/v1/list", list)
        .post("/v1/lease", lease)
        .get("/v1/boxes", boxes)
        .post("/standin/boxes", set_boxes)
        .post("/standin/faults", set_faults)
        .get("/standin/calls", calls)
        .with(State::new(state));
    http::serve(&args.listen, router).await
}
