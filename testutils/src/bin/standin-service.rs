//! Stand-in for a plain service: counts each call that it runs, by its `x-call` header.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use argh::FromArgs;
use badgerferry_lib::engine_wire::ServerErrorBody;
use badgerferry_testutils::http;
use badgerferry_testutils::http::bad_request;
use badgerferry_testutils::http::body;
use badgerferry_testutils::http::json_answer;
use hyper::StatusCode;
use serde::Deserialize;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::Router;
use viz::types::State;

/// Stand-in for a plain service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

/// How it misbehaves.
/// Bytes of a response without end.
const FILLER: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Calls are answered with "not started" and do not run.
    refuse: bool,
    /// Calls run and the process ends before it answers.
    die_after_run: bool,
    /// Calls run and are answered this much later, in milliseconds.
    slow_ms: u64,
    /// Calls whose name begins with `endless` run, and their response has no end.
    endless: bool,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    runs: BTreeMap<String, u64>,
}

#[derive(Clone, Default)]
struct Standin {
    inner: Arc<Mutex<Inner>>,
}

impl Standin {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn standin(req: &Request) -> Standin {
    req.state::<Standin>().expect("every route has the state")
}

async fn run(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let call: String = req.header("x-call").unwrap_or_default();
    let path = req.path().to_owned();
    let body = req.bytes().await?;
    let faults = standin.with(|inner| inner.faults);
    if faults.refuse {
        let fault = ServerErrorBody {
            not_started: true,
            message: "busy".to_owned(),
        };
        return Ok(json_answer(StatusCode::SERVICE_UNAVAILABLE, &fault));
    }
    let count = standin.with(|inner| {
        let count = inner.runs.entry(call.clone()).or_default();
        *count += 1;
        *count
    });
    if faults.die_after_run {
        std::process::exit(3);
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.endless && call.starts_with("endless") {
        let chunks = futures::stream::repeat_with(|| Ok::<_, Infallible>(FILLER.repeat(256)));
        return Ok(Response::stream(chunks));
    }
    let answer = serde_json::json!({
        "path": path,
        "call": call,
        "runs": count,
        "bytes": body.len(),
    });
    Ok(json_answer(StatusCode::OK, &answer))
}

async fn runs(req: Request) -> viz::Result<Response> {
    let runs = standin(&req).with(|inner| inner.runs.clone());
    Ok(json_answer(StatusCode::OK, &runs))
}

async fn set_faults(mut req: Request) -> viz::Result<Response> {
    let standin = standin(&req);
    let Some(faults) = body::<Faults>(&mut req).await? else {
        return Ok(bad_request());
    };
    standin.with(|inner| inner.faults = faults);
    Ok(StatusCode::OK.into_response())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let router = Router::new()
        .get("/standin/runs", runs)
        .post("/standin/faults", set_faults)
        .any("/*", run)
        .with(State::new(Standin::default()));
    http::serve(&args.listen, router).await
}
