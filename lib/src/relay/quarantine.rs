//! Quarantine of requests, and of parts of prompts, that crash the servers which run them.
//!
//! A request may crash each server that starts to run it. Retry limits per call, box or service do
//! not contain it, because its caller may send it again through any box. A part of a prompt may do
//! so as well, in requests of which no two are alike. So boxes gossip a set of pairs of a key, which
//! is a request or a part, and a server incarnation that crashed while a run with that key was in
//! progress. The set only grows, and can be merged in any order and from any source.
//!
//! From the first crash on, a key is suspect: it runs at most once at a time over all boxes that
//! reach each other. From [`ISOLATION_MIN_CRASHES`] on, its runs are also isolated from other calls.
//! After three crashes it is quarantined: its calls are refused at once until ten minutes after the
//! last crash, and then it is suspect for as long again. A successful run clears it. This keeps the
//! many identical calls of one caller from being quarantined when servers crash for other reasons.
//!
//! Sound requests share parts with those that crash servers, so that parts need more evidence, and
//! less to be cleared:
//!
//! - A crash counts fully against a part only if a run with the part had begun to respond at most
//!   [`Quarantine::with_crash_delay`] before. A run that responds for longer clears its parts at once.
//! - Any other crash during a run with the part is uncertain evidence: its response may have been lost with
//!   the server, or a slow server may crash late. Three of these make a part suspect, and five quarantine
//!   it, unless a run with it succeeds meanwhile. They do not count in other workspaces.
//! - Of the crashes of one request at most two count: it may crash servers by itself.
//! - Once a part is quarantined, crashes that it accounts for don't count against anything else. Of
//!   several parts with equal crashes, the last one of the prompt is quarantined: fewer requests
//!   share it.
//! - The crashes of each other workspace count as one, and only until a run with the part succeeds in
//!   any workspace, since a caller may state any part.
//!
//! See `docs/design/quarantine.md` for the alternatives considered.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rand::Rng;

use crate::relay::quarantine_evidence::same_part;
pub use crate::relay::quarantine_report::QuarantineRow;
pub use crate::relay::quarantine_report::RunScope;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::signed_time::SignedTime;
use crate::relay::suspect_key::CallKeys;
use crate::relay::suspect_key::PartFingerprint;
use crate::relay::suspect_key::SuspectKey;
use crate::relay::suspect_key::SuspectKind;
use crate::relay::suspect_record::Crash;
use crate::relay::suspect_record::CrashSpan;
use crate::relay::suspect_record::ExplainedCrashes;
use crate::relay::suspect_record::QUARANTINE_MIN_CRASHES;
use crate::relay::suspect_record::QUARANTINE_PERIOD;
use crate::relay::suspect_record::SuspectRecord;
use crate::relay::suspect_record::SuspectStatus;
use crate::time::Time;

/// Interval between the start slots of boxes that wait to run the same request. A report reaches
/// other halls within a few milliseconds, so a run that starts in one slot is known to all boxes
/// before the next slot.
const SLOT_INTERVAL: Duration = Duration::from_millis(20);
/// How long a call whose run ended with a server crash waits for reports of other such runs, whose
/// calls are about to be retried as well. Its caller is answered no sooner either, so that the box
/// to which the caller repeats the request knows of the crash.
pub const REPORT_WAIT: Duration = SLOT_INTERVAL;
/// Number of start slots. If there are more boxes, several share a slot.
const SLOTS: usize = 16;
/// Maximum number of records of each kind, at some 200 bytes each.
const MAX_RECORDS: usize = 512;
/// Maximum number of records of each kind per workspace, so that no workspace can evict the records
/// of others.
const MAX_RECORDS_PER_WORKSPACE: usize = 64;
/// Default of [`Quarantine::with_crash_delay`].
pub const DEFAULT_CRASH_DELAY: Duration = Duration::from_millis(500);
/// A run clears its parts once it has responded for this many times the longest response that a
/// crash has cut so far.
const PROOF_FACTOR: u32 = 4;
/// The least such time, as a fraction of the crash delay.
const MIN_PROOF_FRACTION: u32 = 4;

/// Whether a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may run; the run is counted as in progress.
    Run {
        /// Crashes that count against the request or a part, the highest number.
        crashes: usize,
    },
    /// The call must wait for the outcome of another run, which is in progress or may start first.
    Wait,
    /// The request or a part is quarantined.
    Quarantined {
        /// What is quarantined.
        key: SuspectKey,
        /// Remaining time of the quarantine.
        left: Duration,
        /// Crashes that count against it.
        crashes: usize,
    },
}

/// A change of the status or crash count of a request or part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request or part.
    pub key: SuspectKey,
    /// Status after the change.
    pub status: SuspectStatus,
    /// Crashes that count after the change.
    pub crashes: usize,
    /// Server incarnations whose crashes count, the oldest first.
    pub incarnations: Vec<ServerIncarnation>,
}

/// A fact about a request or part that is kept in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredFact {
    /// This server incarnation crashed during a run.
    Crashed(ServerIncarnation),
    /// The box that wrote this fact counted enough crashes for a quarantine. It is stored
    /// separately because the stored crashes have no times: a box that reads them later can't tell
    /// whether they were simultaneous.
    Quarantined,
    /// An operator released the request or part. It is suspect again, and the outcome of its next
    /// run decides.
    Released,
}

/// A run during which its server crashed.
#[derive(Debug, Clone, Copy)]
pub struct CrashedRun {
    /// When the run was sent.
    pub started: Time,
    /// When its response began, if it did.
    pub response_started: Option<Time>,
    /// When its connection broke. The crash may be detected later, when other runs have started.
    pub ended: Time,
}

impl CrashedRun {
    fn response_time(&self) -> Option<Duration> {
        let started = self.response_started?;
        Some(self.ended.since(started))
    }
}

/// Crash records of requests and parts, as known to one box.
#[derive(Debug, Clone)]
pub struct Quarantine {
    pub(super) records: BTreeMap<SuspectKey, SuspectRecord>,
    /// Number of runs of this box in progress.
    pub(super) runs: BTreeMap<SuspectKey, u32>,
    /// Crashes that the quarantined records account for.
    pub(super) explained: ExplainedCrashes,
    /// See [`Self::with_crash_delay`].
    crash_delay: Duration,
    /// Last record sent in rotation; the next datagram continues after it.
    pub(super) rotation_cursor: Option<SuspectKey>,
    /// Records evicted for capacity.
    evicted: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::with_crash_delay(DEFAULT_CRASH_DELAY)
    }
}

impl Quarantine {
    /// A quarantine without records. `crash_delay` is the longest time from the beginning of a
    /// response until a crash that a part of the prompt causes.
    pub fn with_crash_delay(crash_delay: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            runs: BTreeMap::new(),
            explained: ExplainedCrashes::default(),
            crash_delay,
            rotation_cursor: None,
            evicted: 0,
        }
    }

    /// Whether no request has a record, so that no body has to be read for its fingerprint.
    pub fn has_no_requests(&self) -> bool {
        let first = self.records.keys().next();
        first.is_none_or(|key| key.kind() != SuspectKind::Request)
    }

    /// Decides whether a call may be sent.
    ///
    /// `saw_crash` states that the call's own last run ended with a server crash. Such a call waits
    /// only for one slot interval instead of a start slot, unless another server crashed as well.
    /// `rank` returns this box's position as given by [`rank`].
    pub fn admit(
        &mut self,
        now: Time,
        keys: &CallKeys,
        saw_crash: bool,
        rank: impl Fn(SuspectKey) -> usize,
    ) -> Admission {
        let mut crashes = 0;
        let mut must_wait = false;
        for key in keys.iter() {
            match self.admit_key(now, key, saw_crash, &rank) {
                Admission::Run { crashes: of_key } => crashes = crashes.max(of_key),
                Admission::Wait => must_wait = true,
                refused @ Admission::Quarantined { .. } => return refused,
            }
        }
        if must_wait {
            return Admission::Wait;
        }
        for key in keys.iter() {
            self.begin_run(now, key);
        }
        Admission::Run { crashes }
    }

    fn admit_key(
        &self,
        now: Time,
        key: SuspectKey,
        saw_crash: bool,
        rank: impl Fn(SuspectKey) -> usize,
    ) -> Admission {
        let status = self.status(now, key);
        if status == SuspectStatus::Cleared {
            return Admission::Run { crashes: 0 };
        }
        let runs = self.runs_anywhere(now, key);
        let crashes = self.crash_count(now, key);
        let since_last_crash = self.since_last_crash(now, key);
        let goes_first =
            saw_crash && self.has_one_crash(now, key) && since_last_crash >= REPORT_WAIT;
        match status {
            // A run of the request that is still in progress may clear it.
            SuspectStatus::Quarantined if runs && key.kind() == SuspectKind::Request => {
                Admission::Wait
            }
            SuspectStatus::Quarantined => Admission::Quarantined {
                key,
                left: QUARANTINE_PERIOD.saturating_sub(since_last_crash),
                crashes,
            },
            SuspectStatus::Suspect
                if !runs && (goes_first || since_last_crash >= start_delay(rank(key))) =>
            {
                Admission::Run { crashes }
            }
            SuspectStatus::Suspect | SuspectStatus::Cleared => Admission::Wait,
        }
    }

    /// Counts a run as in progress whose call has ended, but not the run.
    pub fn continue_run(&mut self, now: Time, keys: &CallKeys) {
        for key in keys.iter() {
            self.begin_run(now, key);
        }
    }

    fn begin_run(&mut self, now: Time, key: SuspectKey) {
        *self.runs.entry(key).or_default() += 1;
        // Others must learn of this run, although the crashes were those of other workspaces.
        if !self.records.contains_key(&key) && self.status(now, key) != SuspectStatus::Cleared {
            self.record(now, key).changed = now;
        }
    }

    /// Whether a call admitted by [`Self::admit`] may still be sent after it has waited in a queue:
    /// its request or a part may have been quarantined meanwhile, or may run elsewhere.
    pub fn may_send(&self, now: Time, keys: &CallKeys) -> bool {
        keys.iter().all(|key| match self.status(now, key) {
            SuspectStatus::Cleared => true,
            SuspectStatus::Suspect => {
                self.runs_here(now, key) == 1 && !self.runs_elsewhere(now, key)
            }
            SuspectStatus::Quarantined => false,
        })
    }

    /// Records the end of a run admitted by [`Self::admit`]. Returns true if any key is not cleared,
    /// since then other calls may be waiting for this run.
    pub fn end_run(&mut self, now: Time, keys: &CallKeys) -> bool {
        let mut is_awaited = false;
        for key in keys.iter() {
            if let Some(runs) = self.runs.get_mut(&key) {
                *runs -= 1;
                if *runs == 0 {
                    self.runs.remove(&key);
                }
            }
            if self.status(now, key) == SuspectStatus::Cleared {
                continue;
            }
            // The end is reported for RUN_REPORT_TTL, as long as others assume that the run
            // continues.
            if let Some(record) = self.records.get_mut(&key) {
                record.mark_changed(now);
                is_awaited = true;
            }
        }
        is_awaited
    }

    /// Records that a server crashed during a run of this box.
    pub fn record_crash(
        &mut self,
        now: Time,
        keys: &CallKeys,
        incarnation: ServerIncarnation,
        run: CrashedRun,
    ) -> Vec<QuarantineChange> {
        let at = SignedTime::of(run.ended);
        let request_digest = keys.request().map_or(0, |request| request.digest as u32);
        let crash = Crash {
            incarnation,
            at,
            run_started: Some(SignedTime::of(run.started)),
            response_ms: run.response_time().map(|time| time.as_millis() as u32),
            request_digest: 0,
            needs_store: true,
        };
        let add = |record: &mut SuspectRecord, crash: Crash| {
            record.is_own = true;
            // After a quarantine, a single crash starts the next one.
            if record.quarantined_at(now).is_some() {
                record.quarantine = Some(CrashSpan {
                    first: at,
                    last: at,
                });
            }
            record.add_crash(crash);
        };
        let mut changes = Vec::new();
        for (position, part) in keys.parts().iter().enumerate() {
            changes.extend(self.change(now, SuspectKey::Part(*part), |record| {
                record.position = record.position.max(position as u8);
                add(
                    record,
                    Crash {
                        request_digest,
                        ..crash
                    },
                );
            }));
        }
        changes.extend(self.quarantine_parts(now, Duration::ZERO));
        if let Some(request) = keys.request() {
            let key = SuspectKey::Request(request);
            changes.extend(self.change(now, key, |record| add(record, crash)));
        }
        changes
    }

    /// Quarantines parts with enough crashes once all boxes have had time to report theirs, if any
    /// key of a call that is about to be admitted is not cleared.
    pub fn quarantine_settled_parts(
        &mut self,
        now: Time,
        keys: &CallKeys,
    ) -> Vec<QuarantineChange> {
        let mut keys = keys.iter();
        if keys.all(|key| self.status(now, key) == SuspectStatus::Cleared) {
            return Vec::new();
        }
        self.quarantine_parts(now, REPORT_WAIT)
    }

    /// Quarantines parts with enough crashes, the last of them at least `min_age` ago. The part with
    /// the most crashes comes first, and of several the one that is last in its prompts: it may
    /// account for the crashes of the others.
    fn quarantine_parts(&mut self, now: Time, min_age: Duration) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        loop {
            let parts = self.records.iter().filter(|(_, record)| {
                record.kind == SuspectKind::Part
                    && record.quarantined_at(now).is_none()
                    && record
                        .counted_crashes(now, &self.explained)
                        .next()
                        .is_some()
            });
            let counted =
                parts.map(|(key, record)| (self.crash_count(now, *key), record.position, *key));
            let due = counted.filter(|(crashes, _, key)| {
                *crashes >= QUARANTINE_MIN_CRASHES && self.since_last_crash(now, *key) >= min_age
            });
            let Some((_, _, key)) = due.max() else {
                return changes;
            };
            let explained = std::mem::take(&mut self.explained);
            let record = self.record(now, key);
            record.quarantine(now, &explained);
            record.mark_changed(now);
            self.update_explained(now);
            changes.push(self.change_of(now, key));
        }
    }

    /// Records that a run succeeded.
    pub fn record_success(&mut self, now: Time, keys: &CallKeys) -> Vec<QuarantineChange> {
        let is_known = |key: &SuspectKey| {
            self.records.contains_key(key) || self.status(now, *key) != SuspectStatus::Cleared
        };
        let known: Vec<SuspectKey> = keys.iter().filter(is_known).collect();
        let succeed = |record: &mut SuspectRecord| record.success = Some(SignedTime::of(now));
        let changes = known.into_iter().map(|key| self.change(now, key, succeed));
        changes.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Records that a run has responded for this long and goes on, which clears parts that crash
    /// servers sooner.
    pub fn record_progress(
        &mut self,
        now: Time,
        keys: &CallKeys,
        responding: Duration,
    ) -> Vec<QuarantineChange> {
        let proves = |part: &&PartFingerprint| {
            let key = SuspectKey::Part(**part);
            let is_suspect = self.status(now, key) != SuspectStatus::Cleared;
            is_suspect && responding >= self.proof_time(now, key)
        };
        let parts = keys.parts().iter().filter(proves).copied();
        let cleared: Vec<SuspectKey> = parts.map(SuspectKey::Part).collect();
        let succeed = |record: &mut SuspectRecord| record.success = Some(SignedTime::of(now));
        let changes = cleared
            .into_iter()
            .map(|key| self.change(now, key, succeed));
        changes.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// How long a run with a part has to respond until it clears the part: some times as long as
    /// runs with it have responded before crashes.
    fn proof_time(&self, now: Time, part: SuspectKey) -> Duration {
        let Some(record) = self.records.get(&part) else {
            return self.crash_delay;
        };
        let least = self.crash_delay / MIN_PROOF_FRACTION;
        let longest = record.longest_response(now, &self.explained);
        let certain = longest.map(|longest| (longest * PROOF_FACTOR).max(least));
        let certain = certain.map_or(self.crash_delay, |time| time.min(self.crash_delay));
        let uncertain = record.shortest_uncertain_response(now);
        uncertain.map_or(certain, |shortest| certain.max(shortest * PROOF_FACTOR))
    }

    /// Applies a fact read from the store or written to it.
    pub fn apply_fact(
        &mut self,
        now: Time,
        key: SuspectKey,
        fact: StoredFact,
    ) -> Option<QuarantineChange> {
        let at = SignedTime::of(now);
        match fact {
            StoredFact::Crashed(incarnation) => self.change(now, key, |record| {
                record.add_crash(Crash {
                    incarnation,
                    at,
                    run_started: None,
                    response_ms: None,
                    request_digest: 0,
                    needs_store: false,
                });
                let mut crashes = record.crashes.iter_mut();
                if let Some(crash) = crashes.find(|crash| crash.incarnation == incarnation) {
                    crash.needs_store = false;
                }
            }),
            StoredFact::Quarantined => self.change(now, key, |record| {
                record.is_quarantine_stored = true;
                if record.quarantined_at(now).is_none() {
                    record.quarantine = Some(CrashSpan {
                        first: at,
                        last: at,
                    });
                }
            }),
            StoredFact::Released => self.change(now, key, |record| {
                record.released = record.released.max(Some(at));
                record.is_quarantine_stored = false;
                record.is_release_lost = false;
            }),
        }
    }

    /// Changes a record, which is created if there is none.
    pub(super) fn change(
        &mut self,
        now: Time,
        key: SuspectKey,
        f: impl FnOnce(&mut SuspectRecord),
    ) -> Option<QuarantineChange> {
        self.record(now, key);
        let before = (self.status(now, key), self.crash_count(now, key));
        let evidence_before = self.counted(now, key);
        let record = self.record(now, key);
        let was_quarantined = record.quarantined_at(now).is_some();
        let success_before = record.success;
        f(record);
        let has_succeeded = record.success > success_before;
        if has_succeeded {
            self.spread_part_success(key);
        }
        if was_quarantined || has_succeeded {
            // A record that is cleared does not account for crashes any more.
            self.update_explained(now);
        }
        let count = self.crash_count(now, key);
        let explained = std::mem::take(&mut self.explained);
        let record = self.record(now, key);
        if key.kind() == SuspectKind::Request && count >= QUARANTINE_MIN_CRASHES {
            record.quarantine(now, &explained);
        }
        let is_quarantined = record.quarantined_at(now).is_some();
        self.explained = explained;
        if is_quarantined {
            self.update_explained(now);
        }
        let is_unchanged = before == (self.status(now, key), self.crash_count(now, key));
        if !is_unchanged || evidence_before != self.counted(now, key) {
            self.record(now, key).mark_changed(now);
        }
        (!is_unchanged).then(|| self.change_of(now, key))
    }

    /// Number of crashes that count, certain or not.
    pub(super) fn counted(&self, now: Time, key: SuspectKey) -> usize {
        let record = self.records.get(&key);
        record.map_or(0, |record| {
            record.counted_crashes(now, &self.explained).count()
        })
    }

    /// Tells the records of a part in all workspaces of the latest successful run in any.
    fn spread_part_success(&mut self, key: SuspectKey) {
        let Some(part) = same_part(key) else { return };
        let records = self.records.range(part.clone());
        let success = records.filter_map(|(_, record)| record.success).max();
        for (_, record) in self.records.range_mut(part) {
            record.part_success = success;
        }
    }

    fn change_of(&self, now: Time, key: SuspectKey) -> QuarantineChange {
        let record = self.records.get(&key);
        let crashes = record.into_iter().flat_map(|record| {
            let counted = record.counted_crashes(now, &self.explained);
            counted.map(|crash| crash.incarnation)
        });
        QuarantineChange {
            key,
            status: self.status(now, key),
            crashes: self.crash_count(now, key),
            incarnations: crashes.collect(),
        }
    }

    fn record(&mut self, now: Time, key: SuspectKey) -> &mut SuspectRecord {
        if !self.records.contains_key(&key) {
            self.make_room(now, key);
        }
        let part_success = same_part(key).and_then(|part| {
            let records = self.records.range(part);
            records.filter_map(|(_, record)| record.success).max()
        });
        let crash_delay = self.crash_delay;
        self.records.entry(key).or_insert_with(|| SuspectRecord {
            kind: key.kind(),
            crash_delay,
            part_success,
            ..SuspectRecord::default()
        })
    }

    pub(super) fn update_explained(&mut self, now: Time) {
        self.explained = ExplainedCrashes::collect(now, self.records.values());
    }

    /// Drops expired records that don't run here.
    pub(super) fn drop_expired(&mut self, now: Time) {
        let runs = &self.runs;
        self.records
            .retain(|key, record| !record.is_expired(now) || runs.contains_key(key));
    }

    /// Drops expired records and, if a limit is still reached, evicts one more: preferably one that
    /// is not quarantined, then the one with the fewest crashes, then the oldest. It is a record of
    /// the kind and workspace of `key` if these are at their own limit, otherwise of the workspace
    /// with the most records of that kind.
    fn make_room(&mut self, now: Time, key: SuspectKey) {
        self.drop_expired(now);
        let of_kind = |other: &&SuspectKey| other.kind() == key.kind();
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for other in self.records.keys().filter(of_kind) {
            *counts.entry(other.workspace_digest()).or_default() += 1;
        }
        let workspace = key.workspace_digest();
        let workspace_count = counts.get(&workspace).copied().unwrap_or_default();
        let evict_from = match () {
            () if workspace_count >= MAX_RECORDS_PER_WORKSPACE => Some(workspace),
            () if counts.values().sum::<usize>() >= MAX_RECORDS => {
                let most = counts.iter().max_by_key(|(_, count)| **count);
                most.map(|(workspace, _)| *workspace)
            }
            () => None,
        };
        let Some(evict_from) = evict_from else { return };
        let candidates = self
            .records
            .iter()
            .filter(|(other, _)| of_kind(other) && other.workspace_digest() == evict_from);
        let priority = |record: &SuspectRecord| {
            let is_quarantined = record.quarantined_at(now).is_some();
            let crashes = record.crash_count(now, &self.explained);
            let last_crash = record.last_crash(now, &self.explained);
            (is_quarantined, crashes, last_crash)
        };
        let first = candidates.min_by_key(|(_, record)| priority(record));
        if let Some((&key, _)) = first {
            self.records.remove(&key);
            self.evicted += 1;
        }
    }

    /// Facts observed by this box that the store should hold but does not yet: quarantines, and the
    /// crashes of each suspect request or part that has more than one. If no other box is live
    /// (`is_alone`), single crashes are included too; otherwise they are reported by datagram only,
    /// and most of them are cleared within a second.
    pub fn unstored_facts(&self, now: Time, is_alone: bool) -> Vec<(SuspectKey, StoredFact)> {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        let facts = own.flat_map(|(&key, record)| {
            let status = self.status(now, key);
            let is_due =
                status != SuspectStatus::Cleared && (is_alone || self.counted(now, key) > 1);
            let crashes = record
                .crashes
                .iter()
                .filter(move |crash| is_due && crash.needs_store);
            let crashes = crashes.map(|crash| StoredFact::Crashed(crash.incarnation));
            let is_quarantined =
                status == SuspectStatus::Quarantined && !record.is_quarantine_stored;
            let quarantined = is_quarantined.then_some(StoredFact::Quarantined);
            // A release that the store lost is not written again once the request is quarantined
            // anew.
            let is_released = record.is_release_lost && status != SuspectStatus::Quarantined;
            let released = is_released.then_some(StoredFact::Released);
            let facts = crashes.chain(quarantined).chain(released);
            facts.map(move |fact| (key, fact))
        });
        facts.collect()
    }

    /// Marks the facts observed by this box to be written again, after the store was restored from
    /// a backup that may lack them.
    pub fn on_store_restored(&mut self) {
        for record in self.records.values_mut().filter(|record| record.is_own) {
            record
                .crashes
                .iter_mut()
                .for_each(|crash| crash.needs_store = true);
            record.is_quarantine_stored = false;
            record.is_release_lost = record.released.is_some();
        }
    }

    /// Number of requests or parts that are quarantined now.
    pub fn quarantined_count(&self, now: Time, kind: SuspectKind) -> usize {
        let keys = self.records.keys().filter(|key| key.kind() == kind);
        let statuses = keys.map(|key| self.status(now, *key));
        statuses
            .filter(|status| *status == SuspectStatus::Quarantined)
            .count()
    }

    /// Number of records evicted for capacity so far.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }
}

/// Number of crashes from which on the runs of a request or part are isolated from other calls. One crash
/// is not enough: it makes all calls of that server suspect for a moment, and these are best placed
/// like any other call.
pub const ISOLATION_MIN_CRASHES: usize = 2;

/// Picks the server for an isolated call at random from the half of the servers with the fewest
/// calls. Always picking the server with the fewest calls would send all calls that were lost with
/// one server, and are suspect for a moment, to the same next server, including the one that
/// crashes it.
pub fn pick_isolated<T>(
    mut servers: Vec<T>,
    calls: impl Fn(&T) -> u32,
    rng: &mut impl Rng,
) -> Vec<T> {
    servers.sort_by_key(calls);
    servers.truncate(servers.len().div_ceil(2));
    let drawn = rng.random_range(0..servers.len().max(1));
    servers.into_iter().skip(drawn).take(1).collect()
}

/// How long after a crash a box of this rank waits before it runs the request, so that the boxes do
/// not all start at once.
fn start_delay(rank: usize) -> Duration {
    SLOT_INTERVAL * (1 + rank % SLOTS) as u32
}

/// Rank of a box among all known boxes, in an order specific to the request. If there are no more
/// boxes than start slots, no two of them share a slot.
pub fn rank<'a>(key: SuspectKey, own: &str, boxes: impl Iterator<Item = &'a str>) -> usize {
    let order = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (key, name).hash(&mut hasher);
        hasher.finish()
    };
    let own = order(own);
    boxes.filter(|name| order(name) < own).count()
}
