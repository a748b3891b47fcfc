//! Applies the quarantine of requests and prompt parts to calls: admits their runs, records server
//! crashes during them, and replicates the results to other boxes and to the store.
//!
//! The state and its rules are in [`badgerferry_lib::relay::quarantine`], the detection of crashes
//! in [`super::connection_end`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::prompt_parts::PartId;
use badgerferry_lib::relay::quarantine::Admission;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::quarantine::ISOLATION_MIN_CRASHES;
use badgerferry_lib::relay::quarantine::QuarantineChange;
use badgerferry_lib::relay::quarantine::QuarantineRow;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::suspect_key::CallKeys;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_lib::relay::suspect_key::SuspectKind;
use badgerferry_lib::relay::suspect_record::SuspectStatus;
use badgerferry_lib::time::Time;
use badgerferry_platform::store::Store;
use metrics::counter;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::datagram_receiver::source_name;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Maximum wait for the outcome of another run of the same request, or half of the call's remaining
/// time if that is less. A run that crashes its server does so within some tenths of a second.
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(1);
/// Polling interval of a waiting call: this box's start slot arrives without a notification.
const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay given to the caller if another run of the request outlasts the wait.
const RUN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum size of a body that is fingerprinted for each call. Larger bodies are fingerprinted only
/// while any request has a quarantine record.
const MAX_ALWAYS_HASHED_BODY: usize = 16 << 10;
/// Response time-out of the store for writes.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed write is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// An admitted run of a call. It counts as in progress until dropped.
#[derive(Debug)]
pub struct Run {
    relay: Arc<Relay>,
    keys: CallKeys,
    /// Whether to run it on a server with few other calls.
    pub is_isolated: bool,
}

impl Run {
    /// Whether the run may still be sent after the call has waited for other resources. A run that
    /// was admitted without a fingerprint, because no request had a record, has to be admitted anew
    /// once any request has one.
    pub fn may_send(&self) -> bool {
        let now = self.relay.clock.now();
        let quarantine = lock(&self.relay.quarantine);
        let has_all_keys = self.keys.request().is_some() || quarantine.has_no_requests();
        has_all_keys && quarantine.may_send(now, &self.keys)
    }

    /// Records that the run succeeded, and announces the changes.
    pub fn record_success(&self) {
        let now = self.relay.clock.now();
        let changes = lock(&self.relay.quarantine).record_success(now, &self.keys);
        announce(&self.relay, changes, "a run here");
    }

    /// Records that the run has responded for this long and goes on, and announces the changes.
    pub fn record_progress(&self, responding: Duration) {
        let now = self.relay.clock.now();
        let changes = lock(&self.relay.quarantine).record_progress(now, &self.keys, responding);
        announce(&self.relay, changes, "a run here");
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let now = self.relay.clock.now();
        if lock(&self.relay.quarantine).end_run(now, &self.keys) {
            self.relay.admission_changed.notify_waiters();
            self.relay.urgent_changed.notify_one();
        }
    }
}

/// A run of a call that has ended, while its server may still run it.
pub fn continue_run(call: &Call) -> Run {
    let relay = Arc::clone(&call.relay);
    let keys = call.keys(true);
    lock(&relay.quarantine).continue_run(relay.clock.now(), &keys);
    Run {
        relay,
        keys,
        is_isolated: false,
    }
}

/// Admits a run of the call, at once unless servers crashed during runs of the same request, or of
/// requests with a part of its prompt.
///
/// # Errors
///
/// The reason for the refusal, and the time until a retry.
pub async fn admit(call: &Arc<Call>) -> Result<Run, (RefusalReason, Duration)> {
    let relay = &call.relay;
    let max_wait = MAX_OUTCOME_WAIT.min(call.time_left() / 2);
    let until = relay.clock.now() + max_wait;
    loop {
        // Subscribes before the check, so that no notification between the two is missed.
        let notified = relay.admission_changed.notified();
        let keys = call_keys(call);
        let now = relay.clock.now();
        let saw_crash = call.saw_crash.load(Ordering::Relaxed);
        let (changes, admission) = {
            let mut quarantine = lock(&relay.quarantine);
            let changes = quarantine.quarantine_settled_parts(now, &keys);
            let rank = |key| relay.rank_for(key);
            (changes, quarantine.admit(now, &keys, saw_crash, rank))
        };
        announce(relay, changes, "reports of crashes");
        match admission {
            Admission::Run { crashes } => {
                if crashes > 0 {
                    tracing::info!(
                        call = call.id(),
                        work = %call.fingerprint(),
                        parts = %call.head.parts,
                        lives = crashes,
                        "suspect request admitted"
                    );
                    relay.urgent_changed.notify_one();
                }
                return Ok(Run {
                    relay: Arc::clone(relay),
                    keys,
                    is_isolated: crashes >= ISOLATION_MIN_CRASHES,
                });
            }
            Admission::Quarantined { key, left, crashes } => {
                return Err((log_refusal(call, key, left, crashes), left));
            }
            Admission::Wait if now >= until => {
                return Err((RefusalReason::SuspectRunning, RUN_RETRY_DELAY));
            }
            Admission::Wait => {
                // Checked again after either the notification or the time-out.
                let _ = timeout(ADMISSION_POLL_INTERVAL, notified).await;
            }
        }
    }
}

/// Keys of the call. A large body is read for its fingerprint only if any request has a record.
fn call_keys(call: &Call) -> CallKeys {
    let has_fingerprint = call.body.len() <= MAX_ALWAYS_HASHED_BODY
        || !lock(&call.relay.quarantine).has_no_requests();
    call.keys(has_fingerprint)
}

/// Logs that the call is refused, and returns the reason.
fn log_refusal(call: &Call, key: SuspectKey, left: Duration, crashes: usize) -> RefusalReason {
    counter!("badgerferry_calls_held_total").increment(1);
    let left_s = left.as_secs();
    match key {
        SuspectKey::Request(_) => {
            tracing::info!(call = call.id(), work = %key, lives = crashes, left_s, "call refused: request is quarantined");
            RefusalReason::CrashesServers
        }
        SuspectKey::Part(part) => {
            let part = PartId(part.id);
            tracing::info!(call = call.id(), work = %key, %part, lives = crashes, left_s, "call refused: part of the prompt is quarantined");
            RefusalReason::PartCrashesServers
        }
    }
}

/// Crash of a server during a run.
#[derive(Debug, Clone)]
pub struct ServerCrash {
    /// Server.
    pub server: ServerName,
    /// Incarnation that crashed.
    pub incarnation: ServerIncarnation,
    /// Run that may have caused the crash.
    pub run: CrashedRun,
}

/// Records a crash during a run of the call, and announces the changes.
pub fn record_crash(call: &Call, crash: &ServerCrash) {
    let relay = &call.relay;
    let CrashedRun {
        started,
        response_started,
        ended,
    } = crash.run;
    counter!("badgerferry_servers_ended_total").increment(1);
    tracing::warn!(
        call = call.id(),
        work = %call.fingerprint(),
        server = %crash.server,
        life = format!("{:016x}", crash.incarnation.0),
        parts = %call.head.parts,
        run_ms = ended.since(started).as_millis() as u64,
        response_ms = response_started.map(|started| ended.since(started).as_millis() as u64),
        "server crashed during a call"
    );
    call.saw_crash.store(true, Ordering::Relaxed);
    let (now, keys) = (relay.clock.now(), call.keys(true));
    let changes = lock(&relay.quarantine).record_crash(now, &keys, crash.incarnation, crash.run);
    announce(relay, changes, "a run here");
    // Uncertain evidence changes no status, and still has to be added up with that of other boxes.
    relay.urgent_changed.notify_one();
}

/// Merges the quarantine rows reported by another box or hall. Changes are announced only to other
/// halls, if this box is a delegate of its hall: the boxes that it gossips to receive the rows from
/// the same sender.
pub fn merge_reports(relay: &Relay, now: Time, datagram: &LoadDatagram) {
    let (from, rows) = (source_name(datagram), &datagram.suspects);
    let scope = match datagram.source {
        LoadSource::Box => RunScope::Box,
        LoadSource::Hall { .. } => RunScope::Hall,
    };
    merge(relay, now, scope, from, rows);
}

/// Merges the rows that a peer sent this box, which has just started.
pub fn merge_initial(relay: &Relay, rows: &[QuarantineRow]) {
    merge(relay, relay.clock.now(), RunScope::Box, "a pull", rows);
}

fn merge(relay: &Relay, now: Time, scope: RunScope, from: &str, rows: &[QuarantineRow]) {
    let changes = lock(&relay.quarantine).merge_rows(now, scope, from, rows);
    relay.admission_changed.notify_waiters();
    if !changes.is_empty() {
        relay.hall_changed.notify_one();
        relay.quarantine_changed.notify_one();
    }
    for change in &changes {
        log_change(change, from);
    }
}

/// Applies a fact read from the store or written to it.
pub fn apply_fact(relay: &Relay, key: SuspectKey, fact: StoredFact) {
    let now = relay.clock.now();
    let change = lock(&relay.quarantine).apply_fact(now, key, fact);
    announce(relay, change, "the store");
}

/// Logs changes that this box observed itself or found in the store, and notifies waiting calls,
/// other boxes and the store writer.
fn announce(relay: &Relay, changes: impl IntoIterator<Item = QuarantineChange>, source: &str) {
    let mut has_changed = false;
    for change in changes {
        log_change(&change, source);
        has_changed = true;
    }
    if has_changed {
        relay.admission_changed.notify_waiters();
        relay.urgent_changed.notify_one();
        relay.hall_changed.notify_one();
        relay.quarantine_changed.notify_one();
    }
}

fn log_change(change: &QuarantineChange, source: &str) {
    let QuarantineChange {
        key,
        status,
        crashes,
        incarnations,
    } = change;
    let ended: Vec<String> = incarnations
        .iter()
        .map(|id| format!("{:016x}", id.0))
        .collect();
    let ended = ended.join(",");
    let is_part = key.kind() == SuspectKind::Part;
    match status {
        SuspectStatus::Suspect if is_part => {
            tracing::info!(work = %key, lives = crashes, ended, source, "prompt part is suspect");
        }
        SuspectStatus::Suspect => {
            tracing::info!(work = %key, lives = crashes, ended, source, "request is suspect");
        }
        SuspectStatus::Quarantined if is_part => {
            tracing::warn!(work = %key, lives = crashes, ended, source, "prompt part is quarantined");
        }
        SuspectStatus::Quarantined => {
            tracing::warn!(work = %key, lives = crashes, ended, source, "request is quarantined");
        }
        SuspectStatus::Cleared if is_part => {
            tracing::info!(work = %key, source, "prompt part cleared");
        }
        SuspectStatus::Cleared => tracing::info!(work = %key, source, "request cleared"),
    }
}

/// Writes facts observed by this box to the store, for boxes that are partitioned from this one or
/// start later. Never returns.
pub async fn store_facts(relay: &Arc<Relay>) {
    loop {
        relay.quarantine_changed.notified().await;
        // Opens a connection each time: writes are rare, and the store follower's connection is
        // occupied by its watch.
        let mut store = Store::new(relay.settings.store, STORE_TIMEOUT);
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
                        "quarantine facts written to the store"
                    );
                    for (key, fact) in facts {
                        apply_fact(relay, key, fact);
                    }
                }
                Err(cause) => {
                    tracing::warn!(%cause, facts = facts.len(), "failed to write quarantine facts to the store");
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }
}
