//! The one way to a backend server: whatever is sent there passes here, and is counted where the server
//! says how many calls it takes.
//!
//! Who gives out a limited server's calls is [`badgerferry_lib::relay::quota_keeper`]; here it is asked, by
//! datagrams, and answers.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::permit_wire::PermitAnswer;
use badgerferry_lib::relay::permit_wire::PermitAsk;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::Verdict;
use badgerferry_lib::relay::quota_keeper::Keeper;
use badgerferry_lib::relay::server_limits::LimitChange;
use badgerferry_lib::relay::server_limits::LimitRow;
use badgerferry_lib::relay::stated::Stated;
use badgerferry_lib::relay::work_key::ServerLife;
use metrics::counter;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::engines::Chosen;
use crate::relay::log_lines;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Longest waits for an answer to a question, which is then asked again: halls are milliseconds apart,
/// regions some tens.
const ANSWER_LIMITS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(110)];
/// How long a server is closed whose keeper does not answer, or is not known yet.
pub const NO_KEEPER: Duration = Duration::from_millis(250);
/// Servers asked for one try of a call, each closed to this box since: where all are that slow to
/// answer, the call hears so.
pub const MOST_ASKED: usize = 8;
/// Longest wait of a call for its place at a limited server, where all are.
const MOST_PATIENCE: Duration = Duration::from_secs(1);

/// Allows one request to one server; only this module makes it.
#[derive(Debug)]
pub struct Pass(());

/// The server has no room for the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// A server as far as its limit goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gate {
    /// The life of it that is meant.
    pub life: ServerLife,
    /// Its data hall.
    pub hall: HallName,
}

/// How long a call may wait for its place, where no server takes it at once: so that it can still be on
/// time, and a repeat not at all. A stream that has begun would be cut instead.
pub fn patience(call: &Call, is_first: bool) -> Duration {
    let left = call.relay.clock.now().until(call.due());
    let most = match call.has_begun.load(Ordering::Relaxed) {
        true => call.time_left(),
        false if is_first => left / 2,
        false => Duration::ZERO,
    };
    most.min(MOST_PATIENCE)
}

/// Lets a call to its server, at once where that names no limit.
///
/// # Errors
///
/// The server has no room, and is closed to this box until it may have some.
pub async fn enter(call: &Call, chosen: &Chosen, is_first: bool) -> Result<Pass, Closed> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let (limit, was_closed) = {
        let limits = lock(&relay.limits);
        let life = chosen.gate.life;
        (limits.limit(life), !limits.closed_for(now, life).is_zero())
    };
    let Some(limit) = limit else {
        return Ok(Pass(()));
    };
    // It was chosen though it is closed: there is no other one.
    let patience = if was_closed {
        patience(call, is_first)
    } else {
        Duration::ZERO
    };
    let verdict = ask(relay, &chosen.gate, patience).await;
    log_lines::asked_limited(call, chosen, limit, verdict);
    if let Ok(wait) = verdict {
        tokio::time::sleep(wait).await;
    }
    verdict.map(|_wait| Pass(())).map_err(|_room_in| Closed)
}

/// Lets a request to a server that nobody waits for.
///
/// # Errors
///
/// It has no room.
pub async fn enter_idle(relay: &Relay, gate: &Gate) -> Result<Pass, Closed> {
    if lock(&relay.limits).limit(gate.life).is_none() {
        return Ok(Pass(()));
    }
    let verdict = ask(relay, gate, Duration::ZERO).await;
    verdict.map(|_wait| Pass(())).map_err(|_room_in| Closed)
}

/// Lets a request go that can't be held back, as what gives memory back can't; it counts.
pub fn charge(relay: &Relay, gate: &Gate) -> Pass {
    let now = relay.clock.now();
    let word = lock(&relay.limits).row_of(now, gate.life);
    let Some((word, limit)) = word.and_then(|word| Some((word, word.rate?))) else {
        return Pass(());
    };
    match relay.keeper(&gate.hall) {
        Keeper::Here { takers } => {
            lock(&relay.quotas).charge(now, gate.life, limit.shared_by(takers));
        }
        Keeper::At(address) => {
            let ask = question(gate, word, Duration::ZERO);
            relay.permits.send(address, &PermitFrame::Charge(ask));
        }
        Keeper::Unknown => {}
    }
    Pass(())
}

/// Asks for a call; gives back how long it must wait, or when there is room. Then the server is
/// closed to this box until that time.
async fn ask(relay: &Relay, gate: &Gate, patience: Duration) -> Result<Duration, Duration> {
    let asked = relay.clock.now();
    let Some(word) = lock(&relay.limits).row_of(asked, gate.life) else {
        return Ok(Duration::ZERO);
    };
    let verdict = match relay.keeper(&gate.hall) {
        Keeper::Here { takers } => decide(relay, gate.life, takers, patience),
        Keeper::At(address) => ask_keeper(relay, address, question(gate, word, patience)).await,
        Keeper::Unknown => Verdict::NotKept,
    };
    let room_in = match verdict {
        Verdict::Granted { after } => return Ok(Duration::from_micros(after.into())),
        Verdict::Full { room_in } => Duration::from_micros(room_in.into()),
        Verdict::NotKept => NO_KEEPER,
    };
    lock(&relay.limits).close(relay.clock.now(), gate.life, room_in);
    Err(room_in)
}

fn question(gate: &Gate, word: LimitRow, patience: Duration) -> PermitAsk {
    PermitAsk {
        id: rand::random(),
        hall: gate.hall.clone(),
        word,
        patience_ms: patience.as_millis() as u32,
    }
}

async fn ask_keeper(relay: &Relay, address: SocketAddr, ask: PermitAsk) -> Verdict {
    let id = ask.id;
    let frame = PermitFrame::Ask(ask);
    for limit in ANSWER_LIMITS {
        let answer = relay.permits.expect(id);
        relay.permits.send(address, &frame);
        if let Ok(Ok(verdict)) = timeout(limit, answer).await {
            return verdict;
        }
    }
    relay.permits.forget(id);
    counter!("badgerferry_limit_questions_lost_total").increment(1);
    tracing::info!(keeper = %address, "a question for a limited server got no answer");
    Verdict::NotKept
}

/// Decides on a call to a server whose calls this box gives out.
fn decide(relay: &Relay, life: ServerLife, takers: usize, patience: Duration) -> Verdict {
    let now = relay.clock.now();
    // Its limit may be over by a newer word than the asking box has.
    let Some(limit) = lock(&relay.limits).limit(life) else {
        return Verdict::Granted { after: 0 };
    };
    let taken = lock(&relay.quotas).take(now, life, limit.shared_by(takers), patience);
    let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
    match taken {
        Ok(wait) => Verdict::Granted {
            after: micros(wait),
        },
        Err(full) => Verdict::Full {
            room_in: micros(full.room_in),
        },
    }
}

/// Takes a datagram of another box; gives back the answer to it, if it asks for one.
pub fn heard(relay: &Relay, bytes: &[u8]) -> Option<PermitFrame> {
    match PermitFrame::decode(bytes) {
        Ok(PermitFrame::Ask(ask)) => Some(PermitFrame::Answer(answer(relay, &ask))),
        Ok(PermitFrame::Charge(ask)) => {
            charged(relay, &ask);
            None
        }
        Ok(PermitFrame::Answer(answer)) => {
            relay.permits.take(answer);
            None
        }
        Err(cause) => {
            counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
            tracing::debug!(%cause, "a datagram was dropped");
            None
        }
    }
}

fn answer(relay: &Relay, ask: &PermitAsk) -> PermitAnswer {
    let id = ask.id;
    if let Some(verdict) = lock(&relay.quotas).answered_before(id) {
        return PermitAnswer { id, verdict };
    }
    take_rows(relay, &[ask.word], "a question");
    let patience = Duration::from_millis(ask.patience_ms.into());
    let verdict = match relay.keeper(&ask.hall) {
        Keeper::Here { takers } => decide(relay, ask.word.life, takers, patience),
        Keeper::At(_) | Keeper::Unknown => Verdict::NotKept,
    };
    lock(&relay.quotas).note_answer(id, verdict);
    PermitAnswer { id, verdict }
}

fn charged(relay: &Relay, ask: &PermitAsk) {
    take_rows(relay, &[ask.word], "a question");
    let now = relay.clock.now();
    let limit = lock(&relay.limits).limit(ask.word.life);
    if let (Some(limit), Keeper::Here { takers }) = (limit, relay.keeper(&ask.hall)) {
        lock(&relay.quotas).charge(now, ask.word.life, limit.shared_by(takers));
    }
}

/// Takes what a server's answer says of its limit.
pub fn answered(call: &Call, chosen: &Chosen, word: Stated<CallRate>) {
    let relay = &call.relay;
    if word == Stated::Unreadable {
        counter!("badgerferry_limits_unreadable_total").increment(1);
        tracing::info!(call = call.id(), server = %chosen.server, "a limit can't be read");
    }
    let now = relay.clock.now();
    let change = lock(&relay.limits).answered(now, chosen.gate.life, word);
    if let Some(change) = change {
        tell(relay, &change, "an answer");
    }
}

/// Takes what another box tells of servers' limits.
pub fn take_rows(relay: &Relay, rows: &[LimitRow], source: &str) {
    let now = relay.clock.now();
    let changes = lock(&relay.limits).take_rows(now, rows);
    for change in changes.iter().filter(|change| change.is_news) {
        log(relay, change, source);
        // Other halls are told by whoever speaks for this one.
        relay.hall_changed.notify_one();
    }
}

/// Logs a change that became known here first, and tells the other boxes.
fn tell(relay: &Relay, change: &LimitChange, source: &str) {
    if change.is_news {
        log(relay, change, source);
        relay.urgent_changed.notify_one();
        relay.hall_changed.notify_one();
    }
}

fn log(relay: &Relay, change: &LimitChange, source: &str) {
    let server = lock(&relay.book).name_of(change.life);
    let server = server.map(tracing::field::display);
    let life = format!("{:016x}", change.life.0);
    let before = change.before.map(CallRate::calls_per_second);
    if let Some(rate) = change.now {
        let limit = rate.calls_per_second();
        tracing::info!(server, life, limit, before, source, "server names a limit");
    } else {
        tracing::info!(
            server,
            life,
            before,
            source,
            "server names no limit any more"
        );
    }
}
