//! Crash record of one suspect request or prompt part, and the status that follows from it.
//!
//! Requests and parts differ in how crashes count. A crash counts against a request whenever a run
//! of it was in progress. It counts fully against a part only if a run with the part had just begun to
//! respond, since many sound runs share parts; other crashes during runs with it are uncertain, and it takes
//! more of them: see [`crate::relay::quarantine`].

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::signed_time::SignedTime;
use crate::relay::suspect_key::SuspectKind;
use crate::time::Time;

/// Number of server crashes from which on a request or part is quarantined. With two, a harmless
/// request that lost its run twice while many servers crash would be quarantined; with four, each
/// request that crashes servers would crash one more.
pub const QUARANTINE_MIN_CRASHES: usize = 3;
/// Number of crashes from which on a part is quarantined if it is uncertain that it caused them.
const QUARANTINE_MIN_UNCERTAIN: usize = 5;
/// Number of such crashes from which on a part is suspect. Most servers that crash for other reasons leave
/// fewer, since the next run with a sound part succeeds.
const SUSPECT_MIN_UNCERTAIN: usize = 3;
/// Crashes within this time of each other count as one, unless the later run started after the
/// earlier crash. Servers that crash together have a common cause other than the request, and
/// identical calls of one caller may be running on many of them.
const SIMULTANEOUS_CRASH_WINDOW: Duration = Duration::from_millis(70);
/// How long a request or part stays quarantined after the last crash. Equals the longest lease of the
/// store, where the record is kept for boxes that start later.
pub const QUARANTINE_PERIOD: Duration = Duration::from_mins(10);
/// How long a crash counts: twice [`QUARANTINE_PERIOD`]. After the quarantine the request is
/// suspect for as long again, so that it runs once at a time and a single crash starts the next
/// quarantine.
const CRASH_RETENTION: Duration = Duration::from_mins(20);
/// How long after a successful run of a request crashes are ignored. Reports of servers that crashed together
/// keep arriving for some seconds, while identical calls succeed elsewhere.
const SUCCESS_GRACE: Duration = Duration::from_secs(10);
/// How long after an uncertain crash a run has to respond for longer to clear its part.
const DOUBT_PERIOD: Duration = Duration::from_secs(10);
/// How long a reported run of another box is assumed to continue: two heartbeats, and one that may
/// be lost.
pub(super) const RUN_REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Maximum number of crashes kept per record; the newest ones are kept. A quarantined part accounts
/// for the crashes of its neighbours for as long as they are kept.
const MAX_KEPT_CRASHES: usize = 16;
/// Maximum number of crashes during runs of one request that count against a part. A request that
/// crashes servers by itself is repeated by its caller, and must not get its parts quarantined.
const MAX_CRASHES_PER_REQUEST: usize = 2;

/// Status of a request or part, derived from the crashes during its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Servers crashed during its runs, fewer than [`QUARANTINE_MIN_CRASHES`], or its quarantine is
    /// over or was released.
    Suspect,
    /// Calls are refused: at least [`QUARANTINE_MIN_CRASHES`] servers crashed.
    Quarantined,
    /// No crash counts against it, for example because a run succeeded.
    Cleared,
}

/// A server crash as reported to other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRow {
    /// The incarnation that crashed.
    pub incarnation: ServerIncarnation,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Milliseconds from the start of the run to the crash; [`UNKNOWN_RUN_MS`] if not known.
    pub run_ms: u32,
    /// Milliseconds from the beginning of the response to the crash; `None` if it had not begun, or
    /// if that is not known.
    pub response_ms: Option<u32>,
    /// Digest of the request that ran, in the record of a part; 0 if not known.
    pub request_digest: u32,
}

/// Value of [`CrashRow::run_ms`] for a crash that was read from the store.
const UNKNOWN_RUN_MS: u32 = u32::MAX;

/// A server crash during a run of the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    pub(super) incarnation: ServerIncarnation,
    pub(super) at: SignedTime,
    /// Start of the run during which the server crashed, unless only the store told of the crash.
    pub(super) run_started: Option<SignedTime>,
    /// Milliseconds from the beginning of the response to the crash, if known.
    pub(super) response_ms: Option<u32>,
    /// Digest of the request that ran; 0 if not known.
    pub(super) request_digest: u32,
    /// Whether this box observed the crash and the store does not hold it yet.
    pub(super) needs_store: bool,
}

impl Crash {
    pub(super) const fn row(&self, now: Time) -> CrashRow {
        let age_ms = self.at.age_ms(now);
        CrashRow {
            incarnation: self.incarnation,
            age_ms,
            run_ms: match self.run_started {
                Some(run_started) => run_started.age_ms(now).saturating_sub(age_ms),
                None => UNKNOWN_RUN_MS,
            },
            response_ms: self.response_ms,
            request_digest: self.request_digest,
        }
    }

    pub(super) fn from_row(now: Time, row: CrashRow) -> Self {
        let ago = |millis: u32| SignedTime::before_now(now, millis);
        let is_known = row.run_ms != UNKNOWN_RUN_MS;
        Self {
            incarnation: row.incarnation,
            at: ago(row.age_ms),
            run_started: is_known.then(|| ago(row.age_ms.saturating_add(row.run_ms))),
            response_ms: row.response_ms,
            request_digest: row.request_digest,
            needs_store: false,
        }
    }
}

/// First and last of the crashes that caused a quarantine. A successful run that clears the first
/// crash clears the quarantine, so that the status does not depend on the order in which a box
/// learns of the run and of the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashSpan {
    pub(super) first: SignedTime,
    pub(super) last: SignedTime,
}

/// Crashes that quarantined requests and parts account for. They don't count against others.
#[derive(Debug, Clone, Default)]
pub(super) struct ExplainedCrashes {
    by_parts: BTreeSet<ServerIncarnation>,
    by_requests: BTreeSet<ServerIncarnation>,
}

impl ExplainedCrashes {
    /// Collects the crashes of the quarantined records.
    pub(super) fn collect<'a>(now: Time, records: impl Iterator<Item = &'a SuspectRecord>) -> Self {
        let mut explained = Self::default();
        for record in records.filter(|record| record.quarantined_at(now).is_some()) {
            let crashes = record.crashes.iter().map(|crash| crash.incarnation);
            match record.kind {
                SuspectKind::Request => explained.by_requests.extend(crashes),
                SuspectKind::Part => explained.by_parts.extend(crashes),
            }
        }
        explained
    }

    /// Whether a crash doesn't count against a request or part that is not quarantined. A
    /// quarantined request does not excuse parts: they may have made it crash servers.
    fn excuses(&self, kind: SuspectKind, incarnation: ServerIncarnation) -> bool {
        let by_request = || self.by_requests.contains(&incarnation);
        self.by_parts.contains(&incarnation) || (kind == SuspectKind::Request && by_request())
    }
}

/// What one box knows about a request or part during whose runs servers crashed.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRecord {
    pub(super) kind: SuspectKind,
    /// Longest time from the beginning of a response to a crash that a part certainly caused.
    pub(super) crash_delay: Duration,
    /// Position of the part in its prompts, the highest one seen.
    pub(super) position: u8,
    pub(super) crashes: Vec<Crash>,
    /// Crashes that caused the latest quarantine.
    pub(super) quarantine: Option<CrashSpan>,
    /// When an operator last released the request.
    pub(super) released: Option<SignedTime>,
    /// Whether the store lost the release, so that it must be written again.
    pub(super) is_release_lost: bool,
    /// Whether the store holds the quarantine.
    pub(super) is_quarantine_stored: bool,
    /// Whether a server crashed during a run of this box.
    pub(super) is_own: bool,
    /// Time of the latest successful run: its end, or the time at which it showed that it does not
    /// crash its server.
    pub(super) success: Option<SignedTime>,
    /// Time of the latest successful run with the part in any workspace.
    pub(super) part_success: Option<SignedTime>,
    /// When boxes of this hall, or all boxes of a small fleet, last reported a run in progress.
    pub(super) running_boxes: BTreeMap<String, Time>,
    /// When other halls last reported a run in progress.
    pub(super) running_halls: BTreeMap<String, Time>,
    /// Last change of the record.
    pub(super) changed: Time,
    /// Whether the latest change has been reported by a datagram, to boxes and to other halls.
    pub(super) reported: [bool; 2],
}

impl SuspectRecord {
    /// Whether a crash at this time counts: no later successful run clears it, and it has not
    /// expired.
    pub(super) fn counts(&self, now: Time, at: SignedTime) -> bool {
        let grace = match self.kind {
            SuspectKind::Request => SUCCESS_GRACE,
            SuspectKind::Part => Duration::ZERO,
        };
        let is_cleared = (self.success).is_some_and(|success| at <= success.plus(grace));
        !is_cleared && at.age(now) < CRASH_RETENTION
    }

    /// Crashes that count. Those of a quarantined record count even if others account for them too.
    pub(super) fn counted_crashes(
        &self,
        now: Time,
        explained: &ExplainedCrashes,
    ) -> impl Iterator<Item = &Crash> + Clone {
        let is_quarantined = self.quarantined_at(now).is_some();
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| {
            let is_excused = || explained.excuses(self.kind, crash.incarnation);
            self.counts(now, crash.at) && (is_quarantined || !is_excused())
        })
    }

    /// The last crash of the latest quarantine, if that still counts. A quarantine for crashes of
    /// other workspaces ends with a successful run in any workspace.
    pub(super) fn quarantined_at(&self, now: Time) -> Option<SignedTime> {
        let quarantine = self.quarantine?;
        let counts = self.counts(now, quarantine.first)
            && (Some(quarantine.first) > self.part_success || self.has_enough_crashes(now));
        counts.then_some(quarantine.last)
    }

    /// Whether the crashes of the own workspace alone are enough for a quarantine.
    fn has_enough_crashes(&self, now: Time) -> bool {
        let crashes = self.crashes.iter();
        let counted = crashes.filter(|crash| self.counts(now, crash.at));
        let certain = counted.clone().filter(|crash| self.is_certain(crash));
        count_separate(certain) >= QUARANTINE_MIN_CRASHES
            || count_separate(counted) >= QUARANTINE_MIN_UNCERTAIN
    }

    /// Whether a run had just begun to respond. Crashes that only the store told of count as if one had: they
    /// have no times, and count as one. All crashes during runs of a request are certain.
    fn is_certain(&self, crash: &Crash) -> bool {
        let has_just_responded = || {
            let response_ms = crash.response_ms.map(u128::from);
            response_ms.is_some_and(|ms| ms <= self.crash_delay.as_millis())
        };
        self.kind == SuspectKind::Request || crash.run_started.is_none() || has_just_responded()
    }

    /// Crashes that count and are certain.
    pub(super) fn certain_crashes(
        &self,
        now: Time,
        explained: &ExplainedCrashes,
    ) -> impl Iterator<Item = &Crash> + Clone {
        let crashes = self.counted_crashes(now, explained);
        crashes.filter(|crash| self.is_certain(crash))
    }

    /// Number of crashes that count; simultaneous ones count as one. If few of them are certain, some count as
    /// one, and as many as a quarantine takes count as that.
    pub(super) fn crash_count(&self, now: Time, explained: &ExplainedCrashes) -> usize {
        let certain = count_of_requests(self.certain_crashes(now, explained));
        match count_of_requests(self.counted_crashes(now, explained)) {
            QUARANTINE_MIN_UNCERTAIN.. => certain.max(QUARANTINE_MIN_CRASHES),
            SUSPECT_MIN_UNCERTAIN.. => certain.max(1),
            _ => certain,
        }
    }

    /// Time of the last crash that counts.
    pub(super) fn last_crash(&self, now: Time, explained: &ExplainedCrashes) -> Option<SignedTime> {
        let crashes = self.counted_crashes(now, explained).map(|crash| crash.at);
        crashes.chain(self.quarantined_at(now)).max()
    }

    /// Starts or extends the quarantine.
    pub(super) fn quarantine(&mut self, now: Time, explained: &ExplainedCrashes) {
        let crashes = self.counted_crashes(now, explained).map(|crash| crash.at);
        let span = crashes.clone().min().zip(crashes.max());
        let span = span.map(|(first, last)| CrashSpan { first, last });
        self.quarantine = self.quarantine.max(span);
    }

    /// Longest time from the beginning of a response to a crash that counts and is certain.
    pub(super) fn longest_response(
        &self,
        now: Time,
        explained: &ExplainedCrashes,
    ) -> Option<Duration> {
        let crashes = self.certain_crashes(now, explained);
        let longest = crashes.filter_map(|crash| crash.response_ms).max();
        longest.map(|millis| Duration::from_millis(millis.into()))
    }

    /// Shortest time from the beginning of a response to an uncertain crash of the last seconds, or to one of
    /// which only the store told. It holds although a later run succeeded: that run may have been taken for a
    /// success too soon.
    pub(super) fn shortest_uncertain_response(&self, now: Time) -> Option<Duration> {
        let recent = self
            .crashes
            .iter()
            .filter(|crash| crash.at.age(now) < DOUBT_PERIOD);
        let responses = recent.filter_map(|crash| match (crash.run_started, crash.response_ms) {
            (None, _) => Some(self.crash_delay),
            (Some(_), Some(ms)) if !self.is_certain(crash) => {
                Some(Duration::from_millis(ms.into()))
            }
            (Some(_), _) => None,
        });
        responses.min()
    }

    /// Marks the record as changed, so that it is reported again.
    pub(super) const fn mark_changed(&mut self, now: Time) {
        self.changed = now;
        self.reported = [false; 2];
    }

    pub(super) fn runs_elsewhere(&self, now: Time) -> bool {
        self.runs_at_boxes(now) || has_fresh_report(now, &self.running_halls)
    }

    /// Whether the request runs at another box whose reports reach this one directly.
    pub(super) fn runs_at_boxes(&self, now: Time) -> bool {
        has_fresh_report(now, &self.running_boxes)
    }

    /// Adds a crash. If the crash of this incarnation is already known, the earlier times are kept:
    /// reports move them by the time that they take. Several runs with a part may be lost with one
    /// server; of these, the one whose response began last is kept. If there are too many crashes,
    /// the oldest one is dropped.
    pub(super) fn add_crash(&mut self, crash: Crash) {
        match self
            .crashes
            .iter_mut()
            .find(|known| known.incarnation == crash.incarnation)
        {
            // The store keeps no times: it tells nothing of a run that is known.
            Some(known) if known.run_started.is_some() && crash.run_started.is_none() => {
                known.at = known.at.min(crash.at);
            }
            Some(known) => {
                known.at = known.at.min(crash.at);
                let run = |crash: &Crash| {
                    let response_ms = crash.response_ms.unwrap_or(u32::MAX);
                    (response_ms, crash.request_digest)
                };
                match run(&crash).cmp(&run(known)) {
                    Ordering::Less if self.kind == SuspectKind::Part => {
                        known.run_started = crash.run_started;
                        known.response_ms = crash.response_ms;
                        known.request_digest = crash.request_digest;
                    }
                    Ordering::Greater if self.kind == SuspectKind::Part => {}
                    Ordering::Less | Ordering::Equal | Ordering::Greater => {
                        let starts = known.run_started.into_iter().chain(crash.run_started);
                        known.run_started = starts.min();
                        known.response_ms = known.response_ms.or(crash.response_ms);
                    }
                }
            }
            None => self.crashes.push(crash),
        }
        self.crashes
            .sort_by_key(|crash| (crash.at, crash.incarnation));
        if self.crashes.len() > MAX_KEPT_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Whether the record can be dropped. Cleared crashes and the successful run are kept until the
    /// crashes expire: a box that missed the run may still report them.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let mut crashes = crashes.chain(self.quarantine.map(|quarantine| quarantine.last));
        let has_recent_crash = crashes.any(|at| at.age(now) < CRASH_RETENTION);
        // A successful run with a part counts against the crashes of other workspaces too.
        let success_retention = match self.kind {
            SuspectKind::Request => SUCCESS_GRACE,
            SuspectKind::Part => CRASH_RETENTION,
        };
        let has_recent_success = (self.success).is_some_and(|at| at.age(now) < success_retention);
        !has_recent_crash && !has_recent_success
    }
}

/// Crashes in order of time, of simultaneous ones only the first.
fn separate_crashes<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
) -> impl Iterator<Item = &'a Crash> {
    let mut last: Option<SignedTime> = None;
    crashes.filter(move |crash| {
        let is_separate = last.is_none_or(|last| {
            crash.run_started > Some(last) || crash.at > last.plus(SIMULTANEOUS_CRASH_WINDOW)
        });
        if is_separate {
            last = Some(crash.at);
        }
        is_separate
    })
}

/// The same number, of which at most [`MAX_CRASHES_PER_REQUEST`] are of one request.
fn count_of_requests<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut of_requests: BTreeMap<u32, usize> = BTreeMap::new();
    let counted = separate_crashes(crashes).filter(|crash| {
        let of_request = of_requests.entry(crash.request_digest).or_default();
        *of_request += 1;
        *of_request <= MAX_CRASHES_PER_REQUEST || crash.request_digest == 0
    });
    counted.count()
}

/// Number of crashes, given in order of time; simultaneous ones count as one.
pub(super) fn count_separate<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    separate_crashes(crashes).count()
}

fn has_fresh_report(now: Time, reports: &BTreeMap<String, Time>) -> bool {
    let mut reports = reports.values();
    reports.any(|at| now.since(*at) < RUN_REPORT_TTL)
}
