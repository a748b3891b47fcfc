//! What is known of one piece of work that may end servers, and what follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::signed_time::SignedTime;
use crate::time::Time;

/// Lives of servers that one piece of work may end: with two, a call that did nothing and lost its
/// run twice where many servers end would be held; with four, each such work costs a server more.
pub const QUARANTINE_MIN_CRASHES: usize = 3;
/// Lives that end within so long of each other count as one, unless the later run began when the
/// earlier life had ended: what ends many servers in one moment is something else, and equal calls of
/// one caller run on many of them.
const SAME_MOMENT: Duration = Duration::from_millis(70);
/// How long a work is held after the last life that ended under it: the longest lease of the store,
/// where it is kept for boxes that start later.
pub const QUARANTINE_PERIOD: Duration = Duration::from_mins(10);
/// How long it is remembered: after it was held, it is suspect for as long again, so that a single
/// run decides.
const REMEMBERED: Duration = Duration::from_mins(20);
/// How long after a good run an end says nothing: servers that end together are heard of for some
/// seconds, while equal calls end well elsewhere.
const GOOD_FOR: Duration = Duration::from_secs(10);
/// How long another box's run counts after it was last told: two heartbeats and a lost datagram.
pub(super) const RUN_REPORT_TTL: Duration = Duration::from_millis(1_200);
/// Lives remembered for one work.
const MOST_REMEMBERED: usize = 8;

/// What became known of a work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// Servers ended under it, fewer than [`QUARANTINE_MIN_CRASHES`].
    Suspect,
    /// [`QUARANTINE_MIN_CRASHES`] or more did.
    Quarantined,
    /// It ran well.
    Cleared,
}

/// A life that ended under a work, as one box tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRow {
    /// The life.
    pub incarnation: ServerIncarnation,
    /// How many milliseconds ago it ended.
    pub age_ms: u32,
    /// How many milliseconds the run had taken.
    pub run_ms: u32,
}

/// A life that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    pub(super) life: ServerIncarnation,
    pub(super) at: SignedTime,
    /// When the run began that it ended under.
    pub(super) began: SignedTime,
    /// Whether this box saw it and the store does not hold it yet.
    pub(super) needs_store: bool,
}

impl End {
    pub(super) const fn told(&self, now: Time) -> CrashRow {
        let age_ms = self.at.age_ms(now);
        CrashRow {
            incarnation: self.life,
            age_ms,
            run_ms: self.began.age_ms(now).saturating_sub(age_ms),
        }
    }
}

/// Between which lives it came to be held. A good run that speaks for the first of them speaks for
/// all: so it matters not what becomes known first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Hold {
    pub(super) first: SignedTime,
    pub(super) last: SignedTime,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Work {
    pub(super) ends: Vec<End>,
    pub(super) held: Option<Hold>,
    /// When an operator released it.
    pub(super) released: Option<SignedTime>,
    /// Whether the store lost the release, and is to hold it again.
    pub(super) is_release_lost: bool,
    /// Whether the store says that it is held.
    pub(super) is_held_in_store: bool,
    /// Whether a server ended under a run of this box.
    pub(super) is_own: bool,
    pub(super) good: Option<SignedTime>,
    /// When boxes of this hall, or of all where there are few, last said that they run it.
    pub(super) boxes: BTreeMap<String, Time>,
    /// When other halls did.
    pub(super) halls: BTreeMap<String, Time>,
    /// When something was last learned of it.
    pub(super) changed: Time,
}

impl Work {
    /// Whether what happened then counts: no good run speaks against it, and it is not too long ago.
    pub(super) fn counts(&self, now: Time, at: SignedTime) -> bool {
        let is_cleared = self.good.is_some_and(|good| at <= good.plus(GOOD_FOR));
        !is_cleared && at.age(now) < REMEMBERED
    }

    /// Lives that count.
    pub(super) fn counting(&self, now: Time) -> impl Iterator<Item = &End> + Clone {
        let ends = self.ends.iter();
        ends.filter(move |end| self.counts(now, end.at))
    }

    /// When it was last known to be held, if that counts.
    pub(super) fn held_at(&self, now: Time) -> Option<SignedTime> {
        let held = self.held.filter(|held| self.counts(now, held.first));
        held.map(|held| held.last)
    }

    /// Lives that ended at moments of their own.
    pub(super) fn crashes(&self, now: Time) -> usize {
        let mut last: Option<SignedTime> = None;
        let mut crashes = 0;
        for end in self.counting(now) {
            let is_apart = |last: SignedTime| end.began > last || end.at > last.plus(SAME_MOMENT);
            if last.is_none_or(is_apart) {
                crashes += 1;
                last = Some(end.at);
            }
        }
        crashes
    }

    pub(super) fn verdict(&self, now: Time) -> RequestStatus {
        match self.held_at(now) {
            Some(at) if at.age(now) < QUARANTINE_PERIOD && self.released < Some(at) => {
                RequestStatus::Quarantined
            }
            Some(_) => RequestStatus::Suspect,
            None if self.crashes(now) > 0 => RequestStatus::Suspect,
            None => RequestStatus::Cleared,
        }
    }

    /// How long ago the last life that counts ended.
    pub(super) fn last_end(&self, now: Time) -> Duration {
        let ends = self.counting(now).map(|end| end.at);
        let last = ends.chain(self.held_at(now)).max();
        last.map_or(Duration::MAX, |at| at.age(now))
    }

    /// Holds it if enough lives ended.
    pub(super) fn judge(&mut self, now: Time) {
        if self.crashes(now) >= QUARANTINE_MIN_CRASHES {
            let ends = self.counting(now).map(|end| end.at);
            let hold = ends.clone().min().zip(ends.max());
            let hold = hold.map(|(first, last)| Hold { first, last });
            self.held = self.held.max(hold);
        }
    }

    pub(super) fn runs_elsewhere(&self, now: Time) -> bool {
        self.runs_at_boxes(now) || is_believed(now, &self.halls)
    }

    /// Whether another box runs it, of those that this one hears by themselves.
    pub(super) fn runs_at_boxes(&self, now: Time) -> bool {
        is_believed(now, &self.boxes)
    }

    /// Adds a life; the earliest word of it counts, and the newest lives stay.
    pub(super) fn add(&mut self, end: End) {
        match self.ends.iter_mut().find(|known| known.life == end.life) {
            Some(known) => known.at = known.at.min(end.at),
            None => self.ends.push(end),
        }
        self.ends.sort_by_key(|end| (end.at, end.life));
        if self.ends.len() > MOST_REMEMBERED {
            self.ends.remove(0);
        }
    }

    /// What a good run speaks for is remembered as long as the lives: another box, which missed it,
    /// may still tell of those.
    pub(super) fn is_forgotten(&self, now: Time) -> bool {
        let ends = self.ends.iter().map(|end| end.at);
        let mut ends = ends.chain(self.held.map(|held| held.last));
        let ends_count = ends.any(|at| at.age(now) < REMEMBERED);
        let good_counts = self.good.is_some_and(|at| at.age(now) < GOOD_FOR);
        !ends_count && !good_counts
    }
}

fn is_believed(now: Time, told: &BTreeMap<String, Time>) -> bool {
    let mut told = told.values();
    told.any(|at| now.since(*at) < RUN_REPORT_TTL)
}
