//! Callers of a deployment: they make calls of its kinds at their rates, repeat those that failed as their
//! kinds say, and may leave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller_habit::CallerHabit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::retry_audit::SentCall;
use badgerferry_standin::sheet::CallKind;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Pause of a caller whose box refused the connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Time that callers of the request that crashes servers wait.
const CRASHING_PATIENCE: Duration = Duration::from_secs(3);
/// Time left below which a call is not repeated.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);
/// Longest time for which a kept connection is used again; boxes close idle ones later.
const MAX_KEPT_TIME: Duration = Duration::from_secs(2);
/// Fraction of the calls that use a kept connection if there is one.
const KEPT_FRACTION: f64 = 0.5;
/// Fraction of the callers that leave in the middle of their request.
const CUT_REQUEST_FRACTION: f64 = 0.1;
/// Parts with which prompts begin, and their size in tokens.
const SHARED_PARTS: u32 = 60;
const SHARED_TOKENS: f64 = 40.0;
/// Id of the part that crashes servers.
pub const CRASHING_PART: &str = "bad0bad0";
/// Body of the request that crashes its servers.
pub const CRASHING_BODY: &str = "crashes";

#[derive(Debug, Clone)]
pub struct Sent {
    pub call: SentCall,
    pub kind: usize,
    pub crashing: Option<Crashing>,
}

/// What makes a call crash its servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crashing {
    /// All of the request.
    Request,
    /// A part of its prompt, which it shares with others.
    Part,
}

/// Calls that crash their servers, and come at a steady rate.
#[derive(Debug, Clone, Copy)]
pub struct CrashingCalls {
    pub crashing: Crashing,
    pub interval: Duration,
    /// When the next one is due.
    pub next_at: Instant,
}

/// What callers share.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Address of each box for callers.
    pub fronts: Mutex<Vec<SocketAddr>>,
    pub kinds: Vec<CallKind>,
    pub sent: Mutex<Vec<Sent>>,
    pub served: Mutex<BTreeSet<u64>>,
    /// Which callers leave, and when; the last one holds.
    pub leaving: Mutex<Vec<Leaving>>,
    /// Fraction of the callers that repeat at once, and the factor on their retries.
    pub impatient: Mutex<Option<(f64, f64)>>,
    /// Factor on the rates, less one.
    pub burst: Mutex<f64>,
    /// Callers that left.
    pub departures: Mutex<Vec<Departure>>,
    /// Ids of calls whose connection closed without a response, and when.
    pub unanswered: Mutex<Vec<(String, Instant)>>,
    /// Connections kept for further calls, by box, and since when.
    pub kept: Mutex<BTreeMap<usize, Vec<(Caller, Instant)>>>,
    /// Calls that crash their servers.
    pub crashing: Mutex<Vec<CrashingCalls>>,
}

/// Which callers leave, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Leaving {
    pub fraction: f64,
    pub when: LeavingTime,
}

/// When callers leave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeavingTime {
    /// At any time between these.
    Between(Duration, Duration),
    /// Within half the objective of their calls.
    HalfObjective,
}

impl Leaving {
    /// When a caller leaves, if it does.
    fn draw(&self, kind: &CallKind, rng: &mut ChaCha8Rng) -> Option<Duration> {
        let leaves = rng.random_bool(self.fraction);
        let (earliest, latest) = match self.when {
            LeavingTime::Between(earliest, latest) => (earliest, latest),
            LeavingTime::HalfObjective => (Duration::ZERO, kind.objective / 2),
        };
        leaves.then(|| rng.random_range(earliest..=latest))
    }
}

/// Makes calls at their rates until the end; waits for all of them.
pub async fn make_calls(traffic: Arc<Traffic>, lasts: Duration, mut rng: ChaCha8Rng) {
    let rate: f64 = traffic.kinds.iter().map(|kind| kind.rate).sum();
    let until = Instant::now() + lasts;
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    let mut next = tokio::time::Instant::now();
    while Instant::now() < until {
        let present_rate = rate * (1.0 + *lock(&traffic.burst));
        next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / present_rate);
        sleep_until(next).await;
        number += 1;
        let mut left = rng.random_range(0.0..rate);
        let kinds = traffic.kinds.iter();
        let drawn = kinds.take_while(|kind| {
            left -= kind.rate;
            left > 0.0
        });
        let kind = drawn.count().min(traffic.kinds.len() - 1);
        let crashing = take_due(&mut lock(&traffic.crashing));
        let caller_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let one = OneCall {
            number,
            kind: if crashing.is_some() { 0 } else { kind },
            crashing,
        };
        calls.spawn(make_call(Arc::clone(&traffic), one, caller_rng));
    }
    while calls.join_next().await.is_some() {}
}

/// The first kind of crashing calls of which one is due.
fn take_due(all: &mut [CrashingCalls]) -> Option<Crashing> {
    let now = Instant::now();
    let due = all.iter_mut().find(|calls| calls.next_at <= now)?;
    due.next_at = now + due.interval;
    Some(due.crashing)
}

#[derive(Debug, Clone, Copy)]
struct OneCall {
    number: u64,
    kind: usize,
    crashing: Option<Crashing>,
}

/// Makes a call, and repeats it as its kind says.
async fn make_call(traffic: Arc<Traffic>, one: OneCall, mut rng: ChaCha8Rng) {
    let kind = &traffic.kinds[one.kind];
    let deadline = if one.crashing == Some(Crashing::Request) {
        CRASHING_PATIENCE
    } else {
        kind.deadline
    };
    let until = Instant::now() + deadline;
    let impatience = lock(&traffic.impatient)
        .filter(|(fraction, _)| rng.random_bool(*fraction))
        .map(|(_, factor)| factor);
    let retries = f64::from(kind.retries) * impatience.unwrap_or(1.0);
    for attempt in 0..=retries.round() as u32 {
        let left = until.saturating_duration_since(Instant::now());
        if left < MIN_TIME_LEFT {
            return;
        }
        let index = rng.random_range(0..lock(&traffic.fronts).len());
        let id = format!("c{}-{attempt}-b{index}", one.number);
        let text = request_text(kind, &id, one.crashing, left, &mut rng);
        let leaves_after = {
            let leaving = lock(&traffic.leaving).last().copied();
            leaving.and_then(|leaving| leaving.draw(kind, &mut rng))
        };
        let leaves_after =
            leaves_after.filter(|after| *after < left && one.crashing != Some(Crashing::Request));
        let (habit, is_cut) = draw_habit(leaves_after.is_some(), &mut rng);
        let text = &text[..text.len() - usize::from(is_cut)];
        let Some(mut caller) = connect(&traffic, index, &mut rng).await else {
            sleep(RECONNECT_PAUSE).await;
            continue;
        };
        caller.set_patience(kind.patience);
        let exchange = async {
            lock(&traffic.sent).push(Sent {
                call: SentCall {
                    id: id.clone(),
                    at: Instant::now(),
                    deadline: left,
                },
                kind: one.kind,
                crashing: one.crashing,
            });
            habit.send(&mut caller, text).await?;
            if habit.reads() {
                caller.read_response().await
            } else {
                pending().await
            }
        };
        let patience = leaves_after.unwrap_or(left);
        let response: RawResponse = match timeout(patience, exchange).await {
            Ok(Ok(response)) => response,
            Ok(Err(_refused)) => {
                sleep(RECONNECT_PAUSE).await;
                continue;
            }
            Err(_left) => {
                habit.leave(caller).await;
                record_departure(&traffic, id);
                return;
            }
        };
        if caller.gave_up() {
            drop(caller);
            record_departure(&traffic, id);
            return;
        }
        if response.status == 0 {
            lock(&traffic.unanswered).push((id, Instant::now()));
        } else if response.is_complete && response.header("connection") != Some("close") {
            let mut kept = lock(&traffic.kept);
            kept.entry(index)
                .or_default()
                .push((caller, Instant::now()));
        }
        if response.status == 200 && response.is_complete {
            lock(&traffic.served).insert(one.number);
            return;
        }
        if !may_repeat(kind, response.status) {
            return;
        }
        let retry_after = response
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        let left = until.saturating_duration_since(Instant::now());
        let pause = Duration::from_secs_f64(retry_after.unwrap_or(0.0));
        if impatience.is_none() {
            sleep(pause.min(left / 3)).await;
        }
    }
}

/// Whether callers repeat a call of this kind that failed with this status.
const fn may_repeat(kind: &CallKind, status: u16) -> bool {
    match status {
        429 | 503 | 408 | 421 => true,
        400 | 401 | 403 | 404 | 413 | 431 => false,
        _ => kind.is_repeatable,
    }
}

fn record_departure(traffic: &Traffic, id: String) {
    let at = Instant::now();
    lock(&traffic.departures).push(Departure { id, at });
}

/// How a caller uses its connection, and whether it leaves in the middle of its request.
fn draw_habit(leaves: bool, rng: &mut ChaCha8Rng) -> (CallerHabit, bool) {
    let is_cut = leaves && rng.random_bool(CUT_REQUEST_FRACTION);
    let habits = match leaves {
        true if is_cut => &[CallerHabit::Plain],
        true => &CallerHabit::ALL[..],
        false => &CallerHabit::PATIENT,
    };
    (habits[rng.random_range(0..habits.len())], is_cut)
}

/// A kept or new connection to this box; `None` if it is refused.
async fn connect(traffic: &Traffic, index: usize, rng: &mut ChaCha8Rng) -> Option<Caller> {
    let kept = rng
        .random_bool(KEPT_FRACTION)
        .then(|| take_kept(traffic, index));
    if let Some(caller) = kept.flatten() {
        return Some(caller);
    }
    let front = lock(&traffic.fronts)[index];
    Caller::connect(front).await.ok()
}

/// A connection to this box that was used shortly before.
fn take_kept(traffic: &Traffic, index: usize) -> Option<Caller> {
    let mut kept = lock(&traffic.kept);
    let kept = kept.get_mut(&index)?;
    kept.retain(|(_, since)| since.elapsed() < MAX_KEPT_TIME);
    kept.pop().map(|(caller, _)| caller)
}

fn request_text(
    kind: &CallKind,
    id: &str,
    crashing: Option<Crashing>,
    left: Duration,
    rng: &mut ChaCha8Rng,
) -> String {
    let body = match (crashing, kind.method.as_str()) {
        (Some(Crashing::Request), _) => CRASHING_BODY.to_owned(),
        (_, "GET") => String::new(),
        (_, _) => format!("prompt {id}"),
    };
    let counts = if let Some((prompt, response)) = &kind.tokens {
        let prompt = prompt.draw(rng).max(2.0 * SHARED_TOKENS);
        let response = response.draw(rng);
        let first = match crashing {
            Some(Crashing::Part) => CRASHING_PART.to_owned(),
            _ => format!("{:08x}", rng.random_range(1..SHARED_PARTS)),
        };
        let own = rng.random::<u32>();
        format!(
            "Badgerferry-Token-Counts: {:.0},{response:.0}\r\n\
             Badgerferry-Prompt-Prefix: {first}:{SHARED_TOKENS},{own:08x}:{:.0}\r\n",
            prompt,
            prompt - SHARED_TOKENS
        )
    } else {
        String::new()
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: host.example\r\nBadgerferry-Attempt-Id: {id}\r\n\
         Badgerferry-Deadline-Ms: {}\r\nAuthorization: Bearer key-1\r\n{counts}\
         Content-Length: {}\r\n\r\n{body}",
        kind.method,
        kind.path,
        left.as_millis(),
        body.len()
    )
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
