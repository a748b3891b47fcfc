//! Calls whose work may end servers: whether one runs now, and what the end of its run tells.
//!
//! What is known and decided is [`badgerferry_lib::relay::quarantine`]; here it meets calls,
//! connections and the store.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::quarantine::Admission;
use badgerferry_lib::relay::quarantine::ISOLATION_MIN_CRASHES;
use badgerferry_lib::relay::quarantine::QuarantineChange;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::suspect_request::RequestStatus;
use badgerferry_lib::time::Time;
use badgerferry_platform::store::Store;
use metrics::counter;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::relay::call::Call;
use crate::relay::engines::Chosen;
use crate::relay::gossip::source_name;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Longest wait for what another run of the same work tells; half of the call's time where that is
/// less. A run that ends its server does so within some tenths of a second.
const VERDICT_PATIENCE: Duration = Duration::from_secs(1);
/// How often a waiting call looks again: a box's turn comes without news.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// When to come back where another run of the work goes on for long.
const RUNS_RETRY: Duration = Duration::from_millis(500);
/// Bodies up to this size are read for their key with each call; larger ones only while
/// any work is suspect.
const SMALL_BODY: usize = 16 << 10;
/// Longest wait for a server's machine to refuse a connection, or to take it.
const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// How long a call waits for a process to end whose first connection has: the next server that runs its
/// work may end as well.
const ENDS_WITHIN: Duration = Duration::from_millis(50);
/// How long the process is watched after that; its end counts whenever it comes.
const WATCHED_FOR: Duration = Duration::from_secs(1);
/// Between two connections to a server that closes each at once.
const PROBE_PAUSE: Duration = Duration::from_millis(2);
/// Longest silence of the store in a call that writes.
const STORE_LIMIT: Duration = Duration::from_secs(1);
/// Until a write that failed is tried again.
const STORE_PAUSE: Duration = Duration::from_millis(300);

/// A run that was let begin; it counts as under way until dropped.
#[derive(Debug)]
pub struct Run {
    relay: Arc<Relay>,
    work: Option<RequestFingerprint>,
    /// Whether to place it apart from other calls.
    pub is_apart: bool,
}

impl Run {
    /// Whether it may still be sent, after what it has waited for. One whose body was not read for its
    /// key, since no work was suspect, is to be admitted anew once any is.
    pub fn may_send(&self) -> bool {
        let now = self.relay.clock.now();
        let quarantine = lock(&self.relay.quarantine);
        match self.work {
            Some(work) => quarantine.may_send(now, work),
            None => quarantine.is_empty(),
        }
    }

    /// Records that it ended well.
    pub fn record_success(&self) {
        let Some(work) = self.work else { return };
        let now = self.relay.clock.now();
        let change = lock(&self.relay.quarantine).record_success(now, work);
        tell(&self.relay, change, "a run here");
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let Some(work) = self.work else { return };
        let now = self.relay.clock.now();
        if lock(&self.relay.quarantine).end_run(now, work) {
            self.relay.admission_changed.notify_waiters();
            self.relay.urgent_changed.notify_one();
        }
    }
}

/// Lets a run of the call begin, at once unless its work ended servers.
///
/// # Errors
///
/// Why it may not run, and when to come back.
pub async fn admit(call: &Arc<Call>) -> Result<Run, (RefusalReason, Duration)> {
    let relay = &call.relay;
    let run = |work, crashes| Run {
        relay: Arc::clone(relay),
        work,
        is_apart: crashes >= ISOLATION_MIN_CRASHES,
    };
    let is_told_apart = call.body.len() <= SMALL_BODY || !lock(&relay.quarantine).is_empty();
    if !is_told_apart {
        return Ok(run(None, 0));
    }
    let work = call.work();
    let patience = VERDICT_PATIENCE.min(call.time_left() / 2);
    let until = relay.clock.now() + patience;
    loop {
        // Listens before it looks: a verdict that comes between the two is not missed.
        let news = relay.admission_changed.notified();
        let now = relay.clock.now();
        let saw_crash = call.saw_crash.load(Ordering::Relaxed);
        let rank = || relay.rank_for(work);
        let admission = lock(&relay.quarantine).admit(now, work, saw_crash, rank);
        match admission {
            Admission::Run { crashes } => {
                if crashes > 0 {
                    tracing::info!(call = call.id(), %work, lives = crashes, "suspect call runs");
                    relay.urgent_changed.notify_one();
                }
                return Ok(run(Some(work), crashes));
            }
            Admission::Quarantined { left, crashes } => {
                counter!("badgerferry_calls_held_total").increment(1);
                let left_s = left.as_secs();
                tracing::info!(call = call.id(), %work, lives = crashes, left_s, "call held: it ends servers");
                return Err((RefusalReason::EndsServers, left));
            }
            Admission::Wait if now >= until => {
                return Err((RefusalReason::SuspectRuns, RUNS_RETRY));
            }
            Admission::Wait => {
                // Looked at again in either case.
                let _ = timeout(LOOK_AGAIN, news).await;
            }
        }
    }
}

/// Finds out whether the server's life ended with a run that broke off, and records it.
///
/// A broken connection alone proves nothing: connections are reset, answers are cut short. Where
/// nobody listens any more, the server is gone; one that leaves by plan ends by itself. `began` is when
/// the run was sent.
pub async fn broke_off(call: &Arc<Call>, chosen: &Chosen, began: Time) {
    let relay = &call.relay;
    let is_listed = {
        let tracker = lock(&relay.tracker);
        let record = tracker.get(&chosen.server);
        record.is_some_and(|record| !record.info.leaving && record.life == chosen.target.life)
    };
    if !is_listed || relay.gate.leaves(&chosen.target) {
        return;
    }
    let ended = ServerEnd {
        server: chosen.server.clone(),
        life: chosen.target.life,
        began,
    };
    let address = chosen.address.clone();
    match has_ended(&address, ENDS_WITHIN).await {
        Ending::Ended => ended.record(call),
        Ending::Lives => {}
        Ending::Open(mut stream) => {
            let call = Arc::clone(call);
            tokio::spawn(async move {
                let closed = timeout(WATCHED_FOR, stream.read(&mut [0])).await.is_ok();
                if closed && matches!(has_ended(&address, ENDS_WITHIN).await, Ending::Ended) {
                    ended.record(&call);
                }
            });
        }
    }
}

/// A life that ended with a run.
struct ServerEnd {
    server: ServerName,
    life: ServerIncarnation,
    /// When the run was sent.
    began: Time,
}

impl ServerEnd {
    fn record(&self, call: &Call) {
        let relay = &call.relay;
        let (now, work) = (relay.clock.now(), call.work());
        counter!("badgerferry_servers_ended_total").increment(1);
        tracing::warn!(
            call = call.id(),
            %work,
            server = %self.server,
            life = format!("{:016x}", self.life.0),
            "server ended under a call"
        );
        call.saw_crash.store(true, Ordering::Relaxed);
        let change = lock(&relay.quarantine).record_crash(now, work, self.life, self.began);
        tell(relay, change, "a run here");
    }
}

/// Whether a server's process has ended.
enum Ending {
    Ended,
    Lives,
    /// It took a connection and has not closed it yet.
    Open(TcpStream),
}

/// Looks whether a process ends within a time.
///
/// One that ends closes its connections one after the other, some before it stops listening: new ones
/// are taken and closed with it until nobody takes another.
async fn has_ended(address: &str, within: Duration) -> Ending {
    let until = Instant::now() + within;
    loop {
        match probe(address).await {
            Probe::Refused => return Ending::Ended,
            Probe::NoAnswer => return Ending::Lives,
            Probe::Closed => {}
            Probe::Taken(mut stream) => {
                // Closed in order or reset, it is closed.
                let closed = timeout_at(until, stream.read(&mut [0])).await;
                if closed.is_err() {
                    return Ending::Open(stream);
                }
            }
        }
        if Instant::now() >= until {
            return Ending::Lives;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

/// What became of a connection to a server.
enum Probe {
    Refused,
    /// It was reset while it was made: nobody has listened since, or somebody does.
    Closed,
    Taken(TcpStream),
    NoAnswer,
}

async fn probe(address: &str) -> Probe {
    match timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Probe::Taken(stream),
        Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionReset => Probe::Closed,
        Ok(Err(cause)) => {
            tracing::info!(address, %cause, "a server could not be looked at");
            Probe::NoAnswer
        }
        Err(_elapsed) => Probe::NoAnswer,
    }
}

/// Takes what another box, or a hall, tells of suspect works. All boxes that are to be told by this
/// one hear it from there as well, but for those of other halls, if this one speaks for its own.
pub fn heard(relay: &Relay, now: Time, datagram: &LoadDatagram) {
    let (from, rows) = (source_name(datagram), &datagram.suspects);
    let of = match datagram.source {
        LoadSource::Box => RunScope::Box,
        LoadSource::Hall { .. } => RunScope::Hall,
    };
    let changes = lock(&relay.quarantine).merge_rows(now, of, from, rows);
    relay.admission_changed.notify_waiters();
    if !changes.is_empty() {
        relay.hall_changed.notify_one();
        relay.quarantine_changed.notify_one();
    }
    for change in &changes {
        log(change, from);
    }
}

/// Takes what the store holds.
pub fn stored(relay: &Relay, work: RequestFingerprint, fact: StoredFact) {
    let now = relay.clock.now();
    let change = lock(&relay.quarantine).apply_fact(now, work, fact);
    tell(relay, change, "the store");
}

/// Logs a change that became known here first, and lets everybody know: calls that wait here, and the
/// other boxes.
fn tell(relay: &Relay, change: Option<QuarantineChange>, source: &str) {
    let Some(change) = change else { return };
    log(&change, source);
    relay.admission_changed.notify_waiters();
    relay.urgent_changed.notify_one();
    relay.hall_changed.notify_one();
    relay.quarantine_changed.notify_one();
}

fn log(change: &QuarantineChange, source: &str) {
    let QuarantineChange {
        fingerprint,
        status,
        crashes,
    } = change;
    match status {
        RequestStatus::Suspect => {
            tracing::info!(work = %fingerprint, lives = crashes, source, "work is suspect");
        }
        RequestStatus::Quarantined => {
            tracing::warn!(work = %fingerprint, lives = crashes, source, "work is held: it ends servers");
        }
        RequestStatus::Cleared => tracing::info!(work = %fingerprint, source, "work is cleared"),
    }
}

/// Writes for ever to the store what is known of such works, for boxes that are cut off from this one
/// and for those that start later.
pub async fn keep_in_store(relay: &Arc<Relay>) {
    loop {
        relay.quarantine_changed.notified().await;
        // A new connection each time: this is rare, and the watch holds the other one.
        let mut store = Store::new(relay.settings.store, STORE_LIMIT);
        loop {
            let now = relay.clock.now();
            let is_alone = !lock(&relay.cluster_view).peer_liveness.has_live_peer(now);
            let facts = lock(&relay.quarantine).unstored_facts(now, is_alone);
            if facts.is_empty() {
                break;
            }
            match store.put_suspects(&facts).await {
                Ok(()) => {
                    tracing::info!(
                        facts = facts.len(),
                        is_alone,
                        "suspect works kept in the store"
                    );
                    for (work, fact) in facts {
                        stored(relay, work, fact);
                    }
                }
                Err(cause) => {
                    tracing::warn!(%cause, facts = facts.len(), "suspect works not kept in the store");
                    tokio::time::sleep(STORE_PAUSE).await;
                }
            }
        }
    }
}
