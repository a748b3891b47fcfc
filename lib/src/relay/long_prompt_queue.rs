//! Queue of the long prompts that wait at a box until engines can prefill them soon.
//!
//! Engines are sent little more than they can prefill at once, so the order in which queued prompts
//! start is decided here. A prompt is on time if its first event arrives by the time it is due.
//! Prompts that can be on time start first, the shortest prefill before longer ones, so that as many
//! as possible are on time. By that order alone the largest would always be overtaken and never
//! served under overload. A prompt whose size group is behind is therefore ordered as if its prefill
//! were shorter, see [`size_groups`](crate::relay::size_groups). A prompt that will be late on any
//! engines starts when nothing else waits, unless its size group is behind, and expires once no
//! engines could complete it before its deadline. Where engines are few, a late prompt of a group that
//! is behind is prefilled on few engines in longer chunks.
//!
//! The order applies across all boxes. Each box announces its first prompt, and a prompt waits
//! while another box has one ahead of it. Otherwise all boxes would see the same engines become
//! free and use them at the same moment. Correctness doesn't depend on the announcements: they
//! expire soon, and a prompt that could have started for some time stops yielding.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallName;
use crate::relay::engine_plan::EngineModel;
use crate::relay::engine_plan::MAX_HELPERS;
use crate::relay::size_groups::SizeGroups;
use crate::relay::size_groups::SizePriority;
use crate::time::Time;

/// Interval at which a queued prompt checks whether it may start; shorter than any chunk.
pub const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// Delay before a retry after a failed memory reservation. Each reservation call has a cost, and a
/// stream that holds memory ends within about a second.
pub const RESERVATION_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of engines that prefill one prompt.
const MAX_PREFILL_ENGINES: u32 = MAX_HELPERS as u32 + 1;
/// Number of engines below which they are few: one prompt may use more than half of them.
const FEW_ENGINES: usize = 2 * MAX_PREFILL_ENGINES as usize;
/// Maximum prefill time of a chunk of a prompt that is late and keeps its place; long, so that few
/// engines need to be free at once.
const MAX_LATE_CHUNK: Duration = Duration::from_millis(3_500);
/// Maximum fraction of its time that is kept for the response of a prompt. Its length is the limit
/// that the caller stated, and most responses are shorter.
const MAX_DECODE_FRACTION: f64 = 0.25;
/// Minimum time assumed for passes and decoding, in addition to the prefill.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);

/// Lifetime of another box's announcement: three times the maximum interval between the datagrams of
/// a box with a queued prompt.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(450);
/// Maximum time that a prompt yields to another box while engines could prefill it.
///
/// The first prompt may need more engines than are free. Free engines accumulate for it only while
/// others yield; otherwise smaller prompts take them one by one. The time is bounded because the
/// box of the first prompt may be unable to start it for reasons that others don't see. The
/// announcement of a failed box expires earlier.
const MAX_YIELD: Duration = Duration::from_secs(1);
/// Minimum time between enqueueing a prompt and its start, so that other boxes learn of it first. A
/// datagram between halls takes about 1 ms, and up to 10 ms where processors are slow.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(8);

/// Identifies a prompt in the queue of this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A prompt that waits for engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPrompt {
    /// Prefill time on a single engine.
    pub prefill: Duration,
    /// Estimated time to decode its response at its maximum length.
    pub decode: Duration,
    /// Time at which its first event is due.
    pub due: Time,
    /// Number of engines of its service.
    pub engines: usize,
    /// Arrival time at this box.
    pub arrived: Time,
    /// Time by which its response must be complete.
    pub deadline: Time,
    /// Whether the same request was queued here before; it then counts as one arrival.
    pub is_requeued: bool,
}

/// Time to decode a response of up to `tokens` on a busy engine. Prefill work in the same passes
/// about doubles their duration.
pub fn decode_time(model: &EngineModel, tokens: u64) -> Duration {
    let passes = tokens.div_ceil(u64::from(model.steps_per_pass.max(1)));
    let passes = u32::try_from(passes).unwrap_or(u32::MAX);
    let pass = model.pass_time(model.slots);
    pass.saturating_mul(passes).saturating_mul(2)
}

impl QueuedPrompt {
    /// Time from which no engines could complete the response before the deadline.
    ///
    /// The prompt isn't rejected earlier, since its caller would retry into the same queue.
    pub fn expires_at(&self) -> Time {
        let run_time = self.decode_reserve().max(MIN_RUN_TIME) + self.prefill / MAX_PREFILL_ENGINES;
        self.arrived + self.deadline.since(self.arrived).saturating_sub(run_time)
    }

    /// Whether the response can be complete before the deadline if the prompt starts now and its
    /// first event takes this time. Otherwise its prefill would be wasted.
    pub fn can_complete(&self, now: Time, first_event: Duration) -> bool {
        now + first_event + self.decode_reserve() <= self.deadline
    }

    fn decode_reserve(&self) -> Duration {
        let time = self.deadline.since(self.arrived);
        self.decode.min(time.mul_f64(MAX_DECODE_FRACTION))
    }

    /// Delay to state to the caller once the prompt has expired: until the deadline. A retry before it
    /// would be rejected as well, while a new request has its own deadline.
    pub const fn retry_after(&self, now: Time) -> Duration {
        now.until(self.deadline)
    }

    /// Whether the first event is late even if the maximum number of engines starts now.
    ///
    /// Such a prompt starts after those that can still be on time, so that no engine time is spent on
    /// it at their expense.
    fn will_be_late(&self, now: Time) -> bool {
        now + self.prefill / MAX_PREFILL_ENGINES > self.due
    }

    fn has_few_engines(&self) -> bool {
        self.engines < FEW_ENGINES
    }

    /// Maximum prefill time of a chunk of a prompt that keeps its place although it will be late;
    /// `None` if the usual limits apply.
    fn late_chunk(&self, now: Time, priority: SizePriority) -> Option<Duration> {
        if !self.will_be_late(now) || !self.has_few_engines() || !priority.keeps_place() {
            return None;
        }
        let time_to_prefill = now.until(self.deadline).saturating_sub(2 * MIN_RUN_TIME);
        Some(MAX_LATE_CHUNK.min(time_to_prefill)).filter(|chunk| !chunk.is_zero())
    }

    /// Announcement of this prompt, which also determines its place in the order.
    fn head(&self, now: Time, priority: SizePriority) -> QueueHead {
        let ordered_by = self.prefill.mul_f64(priority.prefill_factor());
        QueueHead {
            // Late prompts have lost most of their value.
            is_late: self.will_be_late(now) && !priority.keeps_place(),
            prefill_ms: ordered_by.as_millis() as u32,
        }
    }
}

/// Announcement of the prompt that a box would start next. Prompts start in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueHead {
    /// Whether it starts after prompts that can be on time.
    pub is_late: bool,
    /// Prefill time on a single engine, in milliseconds, reduced if its size group is behind.
    pub prefill_ms: u32,
}

/// Polls at which a queued prompt could not start, by cause: the order or a lack of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockedPolls {
    /// Polls at which another prompt was ahead, at this or another box.
    pub not_first: u32,
    /// Polls at which it was first but too few engines could prefill it.
    pub too_few_engines: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    ticket: Ticket,
    prompt: QueuedPrompt,
    enqueued: Time,
    /// Time since which engines could prefill it while it yields to another box.
    yielding_since: Option<Time>,
    blocked_polls: BlockedPolls,
}

/// Whether a prompt may start now, provided engines can prefill it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Another prompt of this box is ahead, or other boxes may not know of this one yet.
    Blocked,
    /// Another box has a prompt ahead of it; it starts only after it has yielded for a bounded time.
    Yields,
    /// The prompt is first at all boxes.
    First,
}

/// The waiting prompts of one box, and the announcements of other boxes and halls.
#[derive(Debug, Default)]
pub struct LongPromptQueue {
    next_ticket: u64,
    entries: Vec<Entry>,
    /// Served shares by size, over all boxes.
    pub size_groups: SizeGroups,
    /// Announcements of other boxes.
    boxes: HashMap<String, Announcement>,
    /// Announcements of other halls, where halls are cells and announce one prompt each.
    halls: HashMap<String, Announcement>,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    head: QueueHead,
    at: Time,
}

impl Announcement {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.at) < ANNOUNCEMENT_LIFETIME
    }
}

fn record(
    announcements: &mut HashMap<String, Announcement>,
    name: &str,
    head: Option<QueueHead>,
    at: Time,
) {
    match head {
        Some(head) => {
            announcements.insert(name.to_owned(), Announcement { head, at });
        }
        None => {
            announcements.remove(name);
        }
    }
}

impl LongPromptQueue {
    /// Adds a prompt.
    pub fn push(&mut self, now: Time, prompt: QueuedPrompt) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if !prompt.is_requeued {
            self.size_groups.record_arrival(now, prompt.prefill);
        }
        self.size_groups.refresh(now);
        self.entries.push(Entry {
            ticket,
            prompt,
            enqueued: now,
            yielding_since: None,
            blocked_polls: BlockedPolls::default(),
        });
        ticket
    }

    /// Removes a prompt; does nothing if it isn't queued.
    pub fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }

    /// The first prompt of this box, to announce to other boxes.
    pub fn head(&self, now: Time) -> Option<QueueHead> {
        let heads = self.entries.iter().map(|entry| self.head_of(now, entry));
        heads.min()
    }

    fn head_of(&self, now: Time, entry: &Entry) -> QueueHead {
        let priority = self.size_groups.priority(entry.prompt.prefill);
        entry.prompt.head(now, priority)
    }

    /// Size group of a waiting prompt and the share of that group.
    pub fn size_priority(&self, ticket: Ticket) -> Option<SizePriority> {
        let entry = self.entries.iter().find(|entry| entry.ticket == ticket)?;
        Some(self.size_groups.priority(entry.prompt.prefill))
    }

    /// The first prompt of all boxes of this hall, to announce to other halls.
    pub fn hall_head(&self, now: Time) -> Option<QueueHead> {
        let fresh = self
            .boxes
            .values()
            .filter(|announcement| announcement.is_fresh(now));
        let others = fresh.map(|announcement| announcement.head);
        others.chain(self.head(now)).min()
    }

    /// Records the announcement of another box; `None` if no prompt waits there.
    pub fn record_box_head(&mut self, now: Time, from: &str, head: Option<QueueHead>) {
        record(&mut self.boxes, from, head, now);
    }

    /// Records the announcement of another hall; `None` if no prompt waits there.
    pub fn record_hall_head(&mut self, now: Time, hall: &HallName, head: Option<QueueHead>) {
        record(&mut self.halls, hall.as_str(), head, now);
    }

    /// Whether a prompt may start; `own` is this box's name, which breaks ties between boxes.
    pub fn turn(&self, now: Time, ticket: Ticket, own: &str) -> Turn {
        let first = self
            .entries
            .iter()
            .min_by_key(|entry| (self.head_of(now, entry), entry.ticket));
        let Some(first) = first.filter(|entry| entry.ticket == ticket) else {
            return Turn::Blocked;
        };
        if now.since(first.enqueued) < ANNOUNCEMENT_DELAY {
            return Turn::Blocked;
        }
        let head = self.head_of(now, first);
        let is_ahead = |(name, announcement): (&String, &Announcement)| {
            announcement.is_fresh(now) && (announcement.head, name.as_str()) < (head, own)
        };
        if self.boxes.iter().chain(&self.halls).any(is_ahead) {
            Turn::Yields
        } else {
            Turn::First
        }
    }

    /// Returns a plan if the prompt may start and `plan` finds engines; otherwise counts the poll as
    /// blocked.
    pub fn try_start<P>(
        &mut self,
        now: Time,
        ticket: Ticket,
        own: &str,
        plan: impl FnOnce() -> Option<P>,
    ) -> Option<P> {
        self.size_groups.refresh(now);
        let turn = self.turn(now, ticket, own);
        let planned = match turn {
            Turn::Blocked => None,
            Turn::First => plan(),
            Turn::Yields => {
                let planned = plan();
                let yielded_enough = self.yielded_long_enough(now, ticket, planned.is_some());
                planned.filter(|_| yielded_enough)
            }
        };
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.ticket == ticket) {
            entry.blocked_polls.not_first += u32::from(turn != Turn::First);
            entry.blocked_polls.too_few_engines +=
                u32::from(turn == Turn::First && planned.is_none());
            if planned.is_some() {
                self.size_groups.record_start(now, entry.prompt.prefill);
            }
        }
        planned
    }

    /// Maximum prefill time of a chunk of a prompt that keeps its place although it will be late, if
    /// other prompts wait; `None` if the usual limits apply.
    pub fn late_chunk(&self, now: Time, ticket: Ticket) -> Option<Duration> {
        let mut announcements = self.boxes.values().chain(self.halls.values());
        let others_wait =
            self.entries.len() > 1 || announcements.any(|announcement| announcement.is_fresh(now));
        let entry = self.entries.iter().find(|entry| entry.ticket == ticket)?;
        let priority = self.size_groups.priority(entry.prompt.prefill);
        let chunk = entry.prompt.late_chunk(now, priority);
        chunk.filter(|_| others_wait)
    }

    /// Polls at which a prompt could not start so far.
    pub fn blocked_polls(&self, ticket: Ticket) -> BlockedPolls {
        let entry = self.entries.iter().find(|entry| entry.ticket == ticket);
        entry.map(|entry| entry.blocked_polls).unwrap_or_default()
    }

    /// Records whether engines could prefill a yielding prompt. Returns true once they could at all
    /// polls within the maximum yielding time; the prompt then starts.
    pub fn yielded_long_enough(&mut self, now: Time, ticket: Ticket, could_start: bool) -> bool {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.ticket == ticket) else {
            return false;
        };
        let since = *entry.yielding_since.get_or_insert(now);
        if !could_start {
            entry.yielding_since = None;
        }
        could_start && now.since(since) >= MAX_YIELD
    }

    /// Number of waiting prompts.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no prompt waits.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
