//! A stream on its way to the caller, continued elsewhere when its server breaks off.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use badgerferry_lib::relay::event_join::EventJoin;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::call_log::StreamTimings;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::response_body::BODY_CHANNEL_CAPACITY;
use crate::relay::response_body::BodyChunk;
use crate::relay::response_body::ResponseBody;
use crate::relay::tries;
use crate::relay::tries::Broken;
use crate::relay::tries::Live;
use crate::relay::tries::TryResult;

/// Why a run of a stream is over.
enum RunEnd {
    Complete,
    Broken {
        join: EventJoin,
        /// Whether the retry budget has been asked already.
        repeat_paid: bool,
    },
    CallerGone,
}

/// Answers with the head of the first run and lets the rest follow.
pub fn respond(
    call: Arc<Call>,
    attempts: Attempts,
    tried: Vec<ServerName>,
    live: Box<Live>,
) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let answer = tries::pass_on(&live.head, ResponseBody::channel(rx));
    call_log::stream_started(&call, &live);
    call.response_started.store(true, Ordering::Relaxed);
    tokio::spawn(run(call, attempts, tried, live, tx));
    answer
}

async fn run(
    call: Arc<Call>,
    mut attempts: Attempts,
    mut tried: Vec<ServerName>,
    live: Box<Live>,
    tx: mpsc::Sender<BodyChunk>,
) {
    let mut times = StreamTimings::start(&call, &live);
    let mut pauses = Pauses::begin();
    let ended = timeout(
        call.time_left(),
        run_until_end(&call, &mut attempts, &mut tried, live, &tx, &mut pauses),
    )
    .await;
    let how = ended.unwrap_or("deadline_while_running");
    times.longest_pause = pauses.longest;
    call_log::stream_ended(&call, &attempts, how, times);
    if how != COMPLETE {
        // Without room the caller does not read; dropping the sender would look complete.
        let _ = tx.send(BodyChunk::Aborted).await;
    }
}

/// The longest pause between events so far.
#[derive(Debug)]
struct Pauses {
    last: Instant,
    longest: Duration,
}

impl Pauses {
    fn begin() -> Self {
        Self {
            last: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    fn event(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
    }
}

/// A server that has sent events for so long does not end by them: those that did ended within
/// 0.5 s of beginning (39 runs). Calls that wait for what this run tells need not wait for its end.
const LIVED_ON: Duration = Duration::from_secs(2);

/// How a complete stream is called in logs.
const COMPLETE: &str = "answered";

async fn run_until_end(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    mut live: Box<Live>,
    tx: &mpsc::Sender<BodyChunk>,
    pauses: &mut Pauses,
) -> &'static str {
    loop {
        let (mut join, mut repeat_paid) = match pump(call, attempts, live, tx, pauses).await {
            RunEnd::Complete => return COMPLETE,
            RunEnd::CallerGone => return "caller_gone",
            RunEnd::Broken { join, repeat_paid } => (join, repeat_paid),
        };
        let mut end = AttemptEnd::Lost;
        live = loop {
            let paid = std::mem::take(&mut repeat_paid);
            match attempts.on_attempt_end(end, NO_SERVER_RETRY, || paid || call.try_spend_retry()) {
                NextStep::TryElsewhere => {}
                NextStep::Fail(reason) => return reason.code(),
                NextStep::PassOn | NextStep::Refuse(_) => return "server_lost",
            }
            join.discard_partial();
            let next = tokio::select! {
                next = tries::try_once(call, attempts, tried, Some(&join)) => next,
                () = tx.closed() => return "caller_gone",
            };
            end = match next {
                TryResult::Live(live) => break live,
                TryResult::Ended(end) => end,
                TryResult::ServerError(_) => AttemptEnd::ServerError,
                TryResult::Whole(_) => AttemptEnd::Lost,
                TryResult::NoServer(..) => return "no_server",
            };
        };
    }
}

async fn pump(
    call: &Call,
    attempts: &Attempts,
    live: Box<Live>,
    tx: &mpsc::Sender<BodyChunk>,
    pauses: &mut Pauses,
) -> RunEnd {
    let Live {
        events,
        mut complete,
        mut body,
        mut join,
        connection,
        flight,
        after,
        ..
    } = *live;
    if !forward(events, tx, pauses).await {
        return RunEnd::CallerGone;
    }
    let mut patience = tries::silence(call, &flight.chosen, false);
    let mut lived_on = Some(Instant::now() + LIVED_ON);
    while !complete {
        let frame = tokio::select! {
            frame = timeout(patience, body.frame()) => frame,
            () = tx.closed() => return RunEnd::CallerGone,
        };
        let mut repeat_paid = false;
        let broken = match frame {
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                match join.push(&bytes) {
                    Ok(events) => {
                        if lived_on.is_some_and(|at| Instant::now() >= at) {
                            lived_on = None;
                            flight.runs_well();
                        }
                        if !forward(events, tx, pauses).await {
                            return RunEnd::CallerGone;
                        }
                        continue;
                    }
                    Err(cause) => Broken::Spoiled(cause.to_string()),
                }
            }
            Ok(None) if !join.is_inside_event() => {
                complete = true;
                continue;
            }
            Ok(None) => Broken::Off("it ended inside an event".to_owned()),
            Ok(Some(Err(cause))) => Broken::Off(cause.to_string()),
            Err(_elapsed) => {
                // Silence alone ends no answer: without another server to go on, it is waited for.
                repeat_paid = attempts.may_retry() && call.try_spend_retry();
                if !repeat_paid {
                    patience = Duration::MAX;
                    continue;
                }
                Broken::Silent("it was silent too long")
            }
        };
        broken.end(call, flight).await;
        return RunEnd::Broken { join, repeat_paid };
    }
    tries::put_back(call, &flight.chosen.server, connection, after);
    flight.served().await;
    RunEnd::Complete
}

async fn forward(events: Bytes, tx: &mpsc::Sender<BodyChunk>, pauses: &mut Pauses) -> bool {
    if events.is_empty() {
        return true;
    }
    pauses.event();
    tx.send(BodyChunk::Data(events)).await.is_ok()
}
