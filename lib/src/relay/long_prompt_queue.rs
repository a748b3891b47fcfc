//! Long prompts that wait at a box until engines can read them soon.
//!
//! Engines are sent little more than they can read at once, so the order is still open here.
//! Those that can be on time go first, the shortest reading before longer: most prompts are
//! on time so. Prompts whose reading takes even all engines that may read one a good part of their
//! time go by lot: else the largest would always be passed, and never served where there is more to
//! read than engines can. The larger one is, the better is its lot, since it can start less often. One that
//! will be late whoever reads it goes when nothing else waits, and is given up once no engines could answer it
//! in time. Where engines are few a large one is nearly always late when others wait: there it keeps its place,
//! and is read by few engines in longer parts.
//!
//! The order holds over all boxes: each tells the others which of its prompts comes first, and
//! a prompt waits while another box has one that goes before it. Without that, all boxes see
//! the same engines turn free and take them in the same moment. Nothing depends on it for
//! correctness: what a box tells lapses soon, and a prompt that could be read for a while
//! stops giving way.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::engine_plan::MAX_HELPERS;
use crate::time::Time;

/// How often a waiting long prompt looks whether engines can read it; a part takes longer.
pub const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// Pause after memory was not set aside everywhere; each order has a price, and a stream that
/// holds memory ends within about a second.
pub const RESERVATION_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Engines that read one prompt at most.
const MOST_READERS: u32 = MAX_HELPERS as u32 + 1;
/// Part of its objective that reading takes all engines that may read a prompt, from which on it is large:
/// large ones go by lot. First come, first served would make all of them late in turn.
const LARGE_PART: f64 = 0.07;
/// The same where engines are few: one takes most of them and holds up all others.
const LARGE_PART_OF_FEW: f64 = 0.1;
/// Engines beneath which they are few: one group of readers is more than half of them.
const FEW_ENGINES: usize = 2 * MOST_READERS as usize;
/// Power of a large prompt's reading by which its lot is divided.
const LOT_POWER: f64 = 0.6;
/// Longest part of a large prompt that is late and keeps its place: few engines need to be free at once.
const LATE_PART: Duration = Duration::from_millis(3_500);
/// Time that passes and writing need at least, beside the reading.
const LEAST_RUN: Duration = Duration::from_secs(2);

/// How long another box's first prompt counts: three times as long as a box that has one waiting
/// is silent.
const HEAD_LIFETIME: Duration = Duration::from_millis(450);
/// How long a prompt gives way to other boxes' while engines could read it.
///
/// Whoever is first may need more engines than are free, and what turns free gathers for it only while
/// others give way: else the next ones take it, one by one. Bounded, since its box may be unable to start it for
/// reasons that others don't see; a dead box's prompt lapses before.
const GIVES_WAY: Duration = Duration::from_secs(1);
/// Least time between a prompt's arrival and its start, so that other boxes hear of it first: a
/// datagram takes about a millisecond between halls, and up to ten where processors are slow.
const ANNOUNCED: Duration = Duration::from_millis(8);

/// Identifies a waiting prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A prompt that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPrompt {
    /// Reading, by one engine alone.
    pub prefill: Duration,
    /// When its first event is due to be on time.
    pub due: Time,
    /// How long after its caller first asked that is.
    pub objective: Duration,
    /// Drawn for it: the order among large prompts, the same for all boxes.
    pub random_rank: u16,
    /// Engines of its service.
    pub engines: usize,
    /// When it came.
    pub arrived: Time,
    /// When its answer must be whole.
    pub deadline: Time,
}

impl QueuedPrompt {
    /// When it is given up: from then on no engines could answer it in its caller's time.
    /// Refused before, its caller would come back to the same queue.
    pub fn expires_at(&self) -> Time {
        let needs = LEAST_RUN + self.prefill / MOST_READERS;
        self.arrived + self.deadline.since(self.arrived).saturating_sub(needs)
    }

    /// Whether its first event is late even if all engines that may read it begin now.
    ///
    /// Then no time is spent on a prompt that is late all the same, while others still are not.
    fn will_be_late(&self, now: Time) -> bool {
        now + self.prefill / MOST_READERS > self.due
    }

    fn engines_are_few(&self) -> bool {
        self.engines < FEW_ENGINES
    }

    /// Reading from which it counts as large.
    fn large_read(&self) -> Duration {
        let part = if self.engines_are_few() {
            LARGE_PART_OF_FEW
        } else {
            LARGE_PART
        };
        self.objective.mul_f64(part) * MOST_READERS
    }

    /// Whether it keeps its place among large prompts though it will be late.
    fn keeps_place(&self) -> bool {
        self.engines_are_few() && self.prefill >= self.large_read()
    }

    /// Longest part that it may be read in because it will be late all the same, and has its turn;
    /// none where it is read as others are.
    fn late_chunk(&self, now: Time) -> Option<Duration> {
        if !self.will_be_late(now) || !self.keeps_place() {
            return None;
        }
        let time_to_read = now.until(self.deadline).saturating_sub(2 * LEAST_RUN);
        Some(LATE_PART.min(time_to_read)).filter(|part| !part.is_zero())
    }

    fn head(&self, now: Time) -> QueueHead {
        let is_late = self.will_be_late(now) && !self.keeps_place();
        let large = self.large_read();
        let (prefill, random_rank) = match self.prefill {
            // Late ones are no longer worth much: what takes engines the least goes first.
            prefill if is_late || prefill < large => (prefill, 0),
            prefill => (large, weighted_lot(self.random_rank, prefill, large)),
        };
        QueueHead {
            is_late,
            prefill_ms: prefill.as_millis() as u32,
            random_rank,
        }
    }
}

/// The lot of a large prompt: better, so smaller, the more reading it takes.
fn weighted_lot(random_rank: u16, prefill: Duration, large: Duration) -> u16 {
    let times = prefill.as_secs_f64() / large.as_secs_f64().max(f64::MIN_POSITIVE);
    (f64::from(random_rank) / times.powf(LOT_POWER)) as u16
}

/// What a box tells of the prompt that it would send next; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueHead {
    /// Whether its first event will be late whoever reads it.
    pub is_late: bool,
    /// Reading, in milliseconds of one engine alone; the same for all large prompts of an objective.
    pub prefill_ms: u32,
    /// The order among those.
    pub random_rank: u16,
}

/// What a waiting prompt met when it looked for its turn; tells whether the order or the engines
/// kept it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockedPolls {
    /// Another prompt went first, here or at another box.
    pub not_first: u32,
    /// It was first, and too few engines could read it.
    pub too_few_engines: u32,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    ticket: Ticket,
    waiting: QueuedPrompt,
    since: Time,
    /// Since when engines could read it while it gives way to another box's.
    gives_way_since: Option<Time>,
    blocked_polls: BlockedPolls,
}

/// Whether a prompt may be sent now, if engines can read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Another prompt of this box goes first, or other boxes have not heard of this one.
    Blocked,
    /// Another box has one that goes first: it is sent only if that has lasted too long.
    Yields,
    /// It is first.
    First,
}

/// The waiting prompts of one box, and the first ones of the others.
#[derive(Debug, Default)]
pub struct LongPromptQueue {
    next: u64,
    rows: Vec<Row>,
    others: HashMap<String, ToldHead>,
    /// The first ones of other halls, where those are told of as a whole.
    halls: HashMap<String, ToldHead>,
}

#[derive(Debug, Clone, Copy)]
struct ToldHead {
    head: QueueHead,
    at: Time,
}

impl ToldHead {
    fn lives(&self, now: Time) -> bool {
        now.since(self.at) < HEAD_LIFETIME
    }
}

fn take(from: &mut HashMap<String, ToldHead>, name: &str, head: Option<QueueHead>, at: Time) {
    match head {
        Some(head) => {
            from.insert(name.to_owned(), ToldHead { head, at });
        }
        None => {
            from.remove(name);
        }
    }
}

impl LongPromptQueue {
    /// Lets a prompt wait.
    pub fn push(&mut self, now: Time, waiting: QueuedPrompt) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.rows.push(Row {
            ticket,
            waiting,
            since: now,
            gives_way_since: None,
            blocked_polls: BlockedPolls::default(),
        });
        ticket
    }

    /// Takes a prompt out.
    pub fn remove(&mut self, ticket: Ticket) {
        self.rows.retain(|row| row.ticket != ticket);
    }

    /// The prompt that goes first here, for the other boxes.
    pub fn head(&self, now: Time) -> Option<QueueHead> {
        self.rows.iter().map(|row| row.waiting.head(now)).min()
    }

    /// The first of the prompts that wait in this box's hall, for the other halls.
    pub fn hall_head(&self, now: Time) -> Option<QueueHead> {
        let live = self.others.values().filter(|told| told.lives(now));
        let others = live.map(|told| told.head);
        others.chain(self.head(now)).min()
    }

    /// Takes what another box told.
    pub fn record_box_head(&mut self, now: Time, from: &str, head: Option<QueueHead>) {
        take(&mut self.others, from, head, now);
    }

    /// Takes the first of another hall's prompts.
    pub fn record_hall_head(&mut self, now: Time, hall: &HallName, head: Option<QueueHead>) {
        take(&mut self.halls, hall.as_str(), head, now);
    }

    /// Whose turn it is; `own` is this box's name, which decides between equals.
    pub fn turn(&self, now: Time, ticket: Ticket, own: &str) -> Turn {
        let first = self
            .rows
            .iter()
            .min_by_key(|row| (row.waiting.head(now), row.ticket));
        let Some(first) = first.filter(|row| row.ticket == ticket) else {
            return Turn::Blocked;
        };
        if now.since(first.since) < ANNOUNCED {
            return Turn::Blocked;
        }
        let head = first.waiting.head(now);
        let goes_before = |(name, told): (&String, &ToldHead)| {
            told.lives(now) && (told.head, name.as_str()) < (head, own)
        };
        if self.others.iter().chain(&self.halls).any(goes_before) {
            Turn::Yields
        } else {
            Turn::First
        }
    }

    /// Takes a prompt's turn, if it is its turn and `plan` finds engines that can read it.
    pub fn try_start<P>(
        &mut self,
        now: Time,
        ticket: Ticket,
        own: &str,
        plan: impl FnOnce() -> Option<P>,
    ) -> Option<P> {
        let turn = self.turn(now, ticket, own);
        let planned = match turn {
            Turn::Blocked => None,
            Turn::First => plan(),
            Turn::Yields => {
                let planned = plan();
                let long_enough = self.yielded_long_enough(now, ticket, planned.is_some());
                planned.filter(|_| long_enough)
            }
        };
        if let Some(row) = self.rows.iter_mut().find(|row| row.ticket == ticket) {
            row.blocked_polls.not_first += u32::from(turn != Turn::First);
            row.blocked_polls.too_few_engines +=
                u32::from(turn == Turn::First && planned.is_none());
        }
        planned
    }

    /// Longest part that a waiting prompt may be read in because it will be late all the same, while
    /// others wait; none where it is read as others are.
    pub fn late_chunk(&self, now: Time, ticket: Ticket) -> Option<Duration> {
        let mut told = self.others.values().chain(self.halls.values());
        let others_wait = self.rows.len() > 1 || told.any(|told| told.lives(now));
        let row = self.rows.iter().find(|row| row.ticket == ticket)?;
        row.waiting.late_chunk(now).filter(|_| others_wait)
    }

    /// What a waiting prompt met so far.
    pub fn blocked_polls(&self, ticket: Ticket) -> BlockedPolls {
        let row = self.rows.iter().find(|row| row.ticket == ticket);
        row.map(|row| row.blocked_polls).unwrap_or_default()
    }

    /// Records whether engines could read a prompt that gives way; true once that has lasted so
    /// long that it is sent all the same.
    pub fn yielded_long_enough(&mut self, now: Time, ticket: Ticket, could_start: bool) -> bool {
        let Some(row) = self.rows.iter_mut().find(|row| row.ticket == ticket) else {
            return false;
        };
        let since = *row.gives_way_since.get_or_insert(now);
        if !could_start {
            row.gives_way_since = None;
        }
        could_start && now.since(since) >= GIVES_WAY
    }

    /// Prompts that wait.
    pub const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
