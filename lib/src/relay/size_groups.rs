//! Served shares of long prompts by size, kept over all boxes while the prompts still wait.
//!
//! Each box counts the long prompts that arrived and those that engines took, by size, and gossips
//! its counts. From the sum every box derives the same two groups of large prompts, the largest tenth
//! and the fifth beneath it, and the share of each group that was taken relative to the share of all
//! prompts. Waiting prompts count as not taken, so a group shows as behind long before its prompts
//! expire. Counts decay, so the shares follow the recent load.
//!
//! The share of a group determines how far its prompts are moved up in the queue: not at all while it
//! is near that of all prompts, and ahead of all others before it reaches the share that must be
//! kept. The order is thus a feedback loop that settles at any load, as in deficit round robin.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::served_shares::BELOW_FRACTION;
use crate::relay::served_shares::LARGEST_FRACTION;
use crate::time::Time;

/// Time in which a count decays to half: several times as long as prompts may wait.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Size buckets per doubling of the prefill time.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Units of a gossiped count per prompt.
const UNITS_PER_PROMPT: f64 = 16.0;
/// Counts of another box or hall that have decayed to fewer prompts are dropped.
const NEGLIGIBLE_PROMPTS: f64 = 0.1;
/// Maximum age of the derived shares while prompts wait.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Least share of a size group to keep, relative to the share of all prompts. Half is the stated
/// target; the rest covers prompts that are taken and not completed.
const MIN_RELATIVE_SHARE: f64 = 0.55;
/// Relative share from which a group is not moved up.
const FAIR_RELATIVE_SHARE: f64 = 0.85;
/// Relative share below which a prompt keeps its place in the order although it will be late.
const LATE_RELATIVE_SHARE: f64 = 0.6;
/// Prompts that each group is assumed to have had before, so that a few don't decide alone.
const PRIOR_PROMPTS: f64 = 2.0;
/// Share of the assumed prompts that was taken, relative to the share of all. Low, since the share of
/// a group with few prompts moves in large steps.
const PRIOR_RELATIVE_SHARE: f64 = 0.25;

/// Counts of one size bucket, as gossiped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizeCount {
    bucket: u8,
    arrived_units: u32,
    taken_units: u32,
}

/// Prompts of one size bucket; fractions result from decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Count {
    arrived: f64,
    taken: f64,
}

impl Count {
    fn add(&mut self, other: Self, factor: f64) {
        self.arrived += other.arrived * factor;
        self.taken += other.taken * factor;
    }
}

/// Decaying counts by size bucket.
#[derive(Debug, Clone, Default)]
struct Tally {
    at: Time,
    counts: BTreeMap<u8, Count>,
}

impl Tally {
    fn received(at: Time, rows: &[SizeCount]) -> Self {
        let count = |row: &SizeCount| Count {
            arrived: f64::from(row.arrived_units) / UNITS_PER_PROMPT,
            taken: f64::from(row.taken_units) / UNITS_PER_PROMPT,
        };
        let counts = rows.iter().map(|row| (row.bucket, count(row))).collect();
        Self { at, counts }
    }

    fn decay_factor(&self, now: Time) -> f64 {
        0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, now: Time, bucket: u8, count: Count) {
        let factor = self.decay_factor(now);
        self.at = now;
        for old in self.counts.values_mut() {
            *old = Count {
                arrived: old.arrived * factor,
                taken: old.taken * factor,
            };
        }
        self.counts.entry(bucket).or_default().add(count, 1.0);
    }

    fn add_to(&self, now: Time, sum: &mut BTreeMap<u8, Count>) {
        let factor = self.decay_factor(now);
        for (&bucket, &count) in &self.counts {
            sum.entry(bucket).or_default().add(count, factor);
        }
    }

    fn is_negligible(&self, now: Time) -> bool {
        let arrived: f64 = self.counts.values().map(|count| count.arrived).sum();
        arrived * self.decay_factor(now) < NEGLIGIBLE_PROMPTS
    }
}

/// Size group of a long prompt among those that arrived recently at all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeGroup {
    /// Largest tenth.
    LargestTenth,
    /// The fifth of all prompts below the largest tenth.
    FifthBeneath,
    /// All smaller prompts.
    Smaller,
}

impl SizeGroup {
    /// All groups, the largest first.
    pub const ALL: [Self; 3] = [Self::LargestTenth, Self::FifthBeneath, Self::Smaller];

    /// Name, for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LargestTenth => "largest_tenth",
            Self::FifthBeneath => "fifth_beneath",
            Self::Smaller => "smaller",
        }
    }

    /// Range of the fraction of prompts that are larger.
    const fn larger_fraction(self) -> (f64, f64) {
        match self {
            Self::LargestTenth => (0.0, LARGEST_FRACTION),
            Self::FifthBeneath => (LARGEST_FRACTION, LARGEST_FRACTION + BELOW_FRACTION),
            Self::Smaller => (LARGEST_FRACTION + BELOW_FRACTION, 1.0),
        }
    }
}

/// Shares of the size groups at one time.
#[derive(Debug, Clone, Default)]
struct GroupShares {
    /// Group of each size bucket with prompts.
    groups: BTreeMap<u8, SizeGroup>,
    /// Share of each group that was taken, relative to the share of all prompts, in the order of
    /// [`SizeGroup::ALL`].
    relative: Option<[f64; 3]>,
}

impl GroupShares {
    fn of(counts: &BTreeMap<u8, Count>) -> Self {
        let mut all = Count::default();
        for count in counts.values() {
            all.add(*count, 1.0);
        }
        if all.arrived < NEGLIGIBLE_PROMPTS || all.taken <= 0.0 {
            return Self::default();
        }
        let share = all.taken / all.arrived;
        let mut groups = BTreeMap::new();
        let mut sums = [Count::default(); 3];
        let mut larger = 0.0;
        for (&bucket, count) in counts.iter().rev() {
            let fraction = count.arrived / all.arrived;
            let (from, to) = (larger, larger + fraction);
            larger = to;
            for (group, sum) in SizeGroup::ALL.into_iter().zip(&mut sums) {
                let (first, last) = group.larger_fraction();
                let overlap = to.min(last) - from.max(first);
                if overlap > 0.0 {
                    sum.add(*count, overlap / fraction);
                }
                if (first..last).contains(&f64::midpoint(from, to)) {
                    groups.insert(bucket, group);
                }
            }
        }
        let relative = |sum: Count| {
            let taken = sum.taken / share + PRIOR_PROMPTS * PRIOR_RELATIVE_SHARE;
            taken / (sum.arrived + PRIOR_PROMPTS)
        };
        Self {
            groups,
            relative: Some(sums.map(relative)),
        }
    }

    /// Group of a bucket; a size that was not seen belongs to the group of the next larger one.
    fn group(&self, bucket: u8) -> SizeGroup {
        let next = self.groups.range(bucket..).next();
        next.map_or(SizeGroup::LargestTenth, |(_, group)| *group)
    }

    fn relative_share(&self, group: SizeGroup) -> f64 {
        self.relative.map_or(1.0, |shares| shares[group as usize])
    }
}

/// Place of a prompt in the order, by the share of its size group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizePriority {
    /// Group of the prompt.
    pub group: SizeGroup,
    /// Share of the group that engines took, relative to the share of all prompts.
    pub relative_share: f64,
}

impl SizePriority {
    /// Factor of the prefill time by which the prompt is ordered: 1 unless its group is behind, and 0
    /// if it must start before all others.
    pub fn prefill_factor(&self) -> f64 {
        let above_min = self.relative_share - MIN_RELATIVE_SHARE;
        (above_min / (FAIR_RELATIVE_SHARE - MIN_RELATIVE_SHARE)).clamp(0.0, 1.0)
    }

    /// Whether the prompt keeps its place in the order although it will be late.
    pub fn keeps_place(&self) -> bool {
        self.relative_share < LATE_RELATIVE_SHARE
    }
}

/// A size group fell behind the others, or caught up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeGroupChange {
    /// The group.
    pub group: SizeGroup,
    /// Whether it is behind now.
    pub is_behind: bool,
    /// Share of the group that engines took, relative to the share of all prompts.
    pub relative_share: f64,
}

/// Counts of this box, of the other boxes and of other halls, and the shares derived from them.
#[derive(Debug, Default)]
pub struct SizeGroups {
    own: Tally,
    boxes: HashMap<String, Tally>,
    halls: HashMap<String, Tally>,
    shares: GroupShares,
    refreshed: Option<Time>,
    /// Groups reported as behind, in the order of [`SizeGroup::ALL`].
    reported_behind: [bool; 3],
}

impl SizeGroups {
    /// Counts a prompt that arrived at this box.
    pub fn record_arrival(&mut self, now: Time, prefill: Duration) {
        self.count(now, prefill, 1.0, 0.0);
    }

    /// Counts a prompt that engines took.
    pub fn record_start(&mut self, now: Time, prefill: Duration) {
        self.count(now, prefill, 0.0, 1.0);
    }

    /// Takes back a start whose prefill did not complete.
    pub fn record_lost_start(&mut self, now: Time, prefill: Duration) {
        self.count(now, prefill, 0.0, -1.0);
    }

    fn count(&mut self, now: Time, prefill: Duration, arrived: f64, taken: f64) {
        self.own.add(now, bucket(prefill), Count { arrived, taken });
        self.refreshed = None;
    }

    /// Replaces the counts of another box.
    pub fn record_box(&mut self, now: Time, name: &str, rows: &[SizeCount]) {
        replace(&mut self.boxes, now, name, rows);
    }

    /// Replaces the counts of another hall.
    pub fn record_hall(&mut self, now: Time, name: &str, rows: &[SizeCount]) {
        replace(&mut self.halls, now, name, rows);
    }

    /// Counts of this box, to gossip to other boxes.
    pub fn own_counts(&self, now: Time) -> Vec<SizeCount> {
        let mut sum = BTreeMap::new();
        self.own.add_to(now, &mut sum);
        to_rows(&sum)
    }

    /// Counts of all boxes of this hall, to gossip to other halls.
    pub fn hall_counts(&self, now: Time) -> Vec<SizeCount> {
        let mut sum = BTreeMap::new();
        for tally in self.boxes.values().chain([&self.own]) {
            tally.add_to(now, &mut sum);
        }
        to_rows(&sum)
    }

    /// Derives the shares again if they are no longer current.
    pub fn refresh(&mut self, now: Time) {
        let is_current = |at: Time| now.since(at) < REFRESH_INTERVAL;
        if self.refreshed.is_some_and(is_current) {
            return;
        }
        self.refreshed = Some(now);
        for tallies in [&mut self.boxes, &mut self.halls] {
            tallies.retain(|_, tally| !tally.is_negligible(now));
        }
        let mut sum = BTreeMap::new();
        let others = self.boxes.values().chain(self.halls.values());
        for tally in others.chain([&self.own]) {
            tally.add_to(now, &mut sum);
        }
        self.shares = GroupShares::of(&sum);
    }

    /// Priority of a prompt, by the shares derived last.
    pub fn priority(&self, prefill: Duration) -> SizePriority {
        let group = self.shares.group(bucket(prefill));
        SizePriority {
            group,
            relative_share: self.shares.relative_share(group),
        }
    }

    /// Groups that fell behind or caught up since the last call. A group falls behind where late
    /// prompts keep their place and catches up where it is no longer moved up.
    pub fn take_changes(&mut self, now: Time) -> Vec<SizeGroupChange> {
        self.refresh(now);
        let change = |group: SizeGroup| {
            let relative_share = self.shares.relative_share(group);
            let reported = &mut self.reported_behind[group as usize];
            let limit = if *reported {
                FAIR_RELATIVE_SHARE
            } else {
                LATE_RELATIVE_SHARE
            };
            let is_behind = relative_share < limit;
            let has_changed = std::mem::replace(reported, is_behind) != is_behind;
            has_changed.then_some(SizeGroupChange {
                group,
                is_behind,
                relative_share,
            })
        };
        SizeGroup::ALL.into_iter().filter_map(change).collect()
    }

    /// Share of a group that engines took, relative to the share of all prompts, as derived last.
    pub fn relative_share(&self, group: SizeGroup) -> f64 {
        self.shares.relative_share(group)
    }
}

fn replace(tallies: &mut HashMap<String, Tally>, now: Time, name: &str, rows: &[SizeCount]) {
    if rows.is_empty() {
        tallies.remove(name);
    } else {
        tallies.insert(name.to_owned(), Tally::received(now, rows));
    }
}

fn bucket(prefill: Duration) -> u8 {
    let octaves = (prefill.as_secs_f64() * 1e3).max(1.0).log2();
    (octaves * BUCKETS_PER_OCTAVE) as u8
}

fn to_rows(counts: &BTreeMap<u8, Count>) -> Vec<SizeCount> {
    let row = |(&bucket, count): (&u8, &Count)| SizeCount {
        bucket,
        arrived_units: (count.arrived * UNITS_PER_PROMPT).round() as u32,
        taken_units: (count.taken.max(0.0) * UNITS_PER_PROMPT).round() as u32,
    };
    let rows = counts.iter().map(row);
    rows.filter(|row| row.arrived_units > 0).collect()
}
