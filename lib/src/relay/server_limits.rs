//! Which servers say how many calls they take from all boxes together, and which are closed here.
//!
//! A limit belongs to one life of a server. Boxes tell each other what answers said, with its age, and the
//! newest word wins, whoever tells it; a datagram that leaves a server out says nothing of it. A
//! server that was denied to this box is closed to it until there is room. Who gives out the calls is
//! [`crate::relay::quota_keeper`]. Ways weighed: `docs/design/server-limits.md`.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::call_rate::CallRate;
use crate::relay::round_robin;
use crate::relay::signed_time::SignedTime;
use crate::relay::standing::Standing;
use crate::relay::stated::Stated;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// How long a word is remembered: servers that nobody asks any more are gone by then.
const REMEMBERED: Duration = Duration::from_mins(10);
/// Servers remembered, at some 60 bytes each; the oldest word goes first.
const MOST_SERVERS: usize = 2_048;
/// How long a change is told with each datagram: two heartbeats and a lost one.
const FRESH: Duration = Duration::from_millis(1_200);
/// Changes told with one datagram, at up to 19 bytes each, of 1,400.
const MOST_FRESH_ROWS: usize = 16;
/// Others told with one, each in turn, for boxes that missed the change.
const ROWS_IN_TURN: usize = 4;
/// Added to the age of what is told: else a word would grow younger on each way there and back.
const WAY: Duration = Duration::from_millis(5);
/// Changes of one server within this time are told with the next heartbeat, not at once.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);

/// A server whose limit began, changed or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The server's life.
    pub life: ServerLife,
    /// What held before.
    pub before: Option<CallRate>,
    /// What holds now.
    pub now: Option<CallRate>,
    /// Whether it is worth a line and a datagram of its own: not one of many in a moment.
    pub is_news: bool,
}

/// What one box tells another of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The server's life.
    pub life: ServerLife,
    /// What it takes; none if its limit is over.
    pub rate: Option<CallRate>,
    /// How many milliseconds ago it said so.
    pub ago: u32,
}

/// What a server last said.
#[derive(Debug, Clone, Copy)]
struct Word {
    rate: Option<CallRate>,
    at: SignedTime,
    /// When this box learned that it changed.
    changed: Time,
}

/// Limits of servers by their lives.
#[derive(Debug, Default)]
pub struct ServerLimits {
    words: HashMap<ServerLife, Word>,
    /// Until when servers are closed to this box.
    closed: HashMap<ServerLife, Time>,
    /// Where the next datagram goes on, of the words that are not new.
    told_to: Option<ServerLife>,
    /// Servers that went for want of room.
    pushed_out: u64,
}

impl ServerLimits {
    /// Takes what an answer of the server says, which came now.
    pub fn answered(
        &mut self,
        now: Time,
        life: ServerLife,
        word: Stated<CallRate>,
    ) -> Option<LimitChange> {
        let rate = match word {
            Stated::Value(rate) => Some(rate),
            Stated::Absent if self.words.contains_key(&life) => None,
            Stated::Absent | Stated::Unreadable => return None,
        };
        self.take(now, life, rate, SignedTime::of(now))
    }

    /// Takes what another box tells.
    pub fn take_rows(&mut self, now: Time, rows: &[LimitRow]) -> Vec<LimitChange> {
        let take = |row: &LimitRow| {
            self.take(
                now,
                row.life,
                row.rate,
                SignedTime::before_now(now, row.ago),
            )
        };
        rows.iter().filter_map(take).collect()
    }

    fn take(
        &mut self,
        now: Time,
        life: ServerLife,
        rate: Option<CallRate>,
        at: SignedTime,
    ) -> Option<LimitChange> {
        let known = self.words.get(&life).copied();
        let is_newer = known.is_none_or(|known| at > known.at);
        if !is_newer || at.age(now) >= REMEMBERED {
            return None;
        }
        if known.is_none() {
            self.make_room(now);
        }
        let before = known.and_then(|known| known.rate);
        let last_change = known.map(|known| known.changed);
        let changed = match last_change {
            Some(at) if before == rate => at,
            _ => now,
        };
        self.words.insert(life, Word { rate, at, changed });
        if rate.is_none() {
            self.closed.remove(&life);
        }
        (before != rate).then_some(LimitChange {
            life,
            before,
            now: rate,
            is_news: last_change.is_none_or(|at| now.since(at) >= CHANGE_PAUSE),
        })
    }

    fn make_room(&mut self, now: Time) {
        if self.words.len() < MOST_SERVERS {
            return;
        }
        self.words.retain(|_, word| word.at.age(now) < REMEMBERED);
        let oldest = self.words.iter().min_by_key(|(_, word)| word.at);
        if let (true, Some((&life, _))) = (self.words.len() >= MOST_SERVERS, oldest) {
            self.words.remove(&life);
            self.closed.remove(&life);
            self.pushed_out += 1;
        }
    }

    /// What a server takes, if it names a limit.
    pub fn limit(&self, life: ServerLife) -> Option<CallRate> {
        self.words.get(&life).and_then(|word| word.rate)
    }

    /// Whether a server takes a call of this box now.
    pub fn standing(&self, now: Time, life: ServerLife) -> Standing {
        match self.limit(life) {
            None => Standing::Open,
            Some(_) if self.closed_for(now, life).is_zero() => Standing::Limited,
            Some(_) => Standing::Closed,
        }
    }

    /// How long a server stays closed to this box.
    pub fn closed_for(&self, now: Time, life: ServerLife) -> Duration {
        let until = self.closed.get(&life);
        until.map_or(Duration::ZERO, |until| now.until(*until))
    }

    /// Closes a server to this box until there is room.
    pub fn close(&mut self, now: Time, life: ServerLife, room_in: Duration) {
        self.closed.retain(|_, until| *until > now);
        self.closed.insert(life, now + room_in);
    }

    /// What to tell other boxes now: words that changed lately, those that changed last first, and a
    /// few others in turn.
    pub fn rows(&mut self, now: Time) -> Vec<LimitRow> {
        if self.words.is_empty() {
            return Vec::new();
        }
        self.words.retain(|_, word| word.at.age(now) < REMEMBERED);
        let is_fresh = |word: &Word| now.since(word.changed) < FRESH;
        let mut fresh: Vec<_> = (self.words.iter())
            .filter(|(_, word)| is_fresh(word))
            .collect();
        fresh.sort_by_key(|(life, word)| (Reverse(word.changed), **life));
        fresh.truncate(MOST_FRESH_ROWS);
        let rest = self.words.iter().filter(|(_, word)| !is_fresh(word));
        let mut rest: Vec<_> = rest.collect();
        rest.sort_by_key(|(life, _)| **life);
        let in_turn = round_robin::next_in_rotation(&rest, self.told_to.as_ref(), ROWS_IN_TURN);
        let told_to = in_turn.last().map(|(life, _)| **life);
        let told = fresh.iter().chain(&in_turn);
        let rows = told.map(|(life, word)| row(now, **life, word)).collect();
        self.told_to = told_to;
        rows
    }

    /// Everything, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> Vec<LimitRow> {
        let words = self.words.iter();
        words.map(|(life, word)| row(now, *life, word)).collect()
    }

    /// The word on one server, for whoever gives out its calls.
    pub fn row_of(&self, now: Time, life: ServerLife) -> Option<LimitRow> {
        self.words.get(&life).map(|word| row(now, life, word))
    }

    /// Servers that name a limit, and what it is.
    pub fn limited(&self) -> impl Iterator<Item = (ServerLife, CallRate)> {
        let words = self.words.iter();
        words.filter_map(|(life, word)| word.rate.map(|rate| (*life, rate)))
    }

    /// Servers that went for want of room so far.
    pub const fn pushed_out(&self) -> u64 {
        self.pushed_out
    }
}

fn row(now: Time, life: ServerLife, word: &Word) -> LimitRow {
    LimitRow {
        life,
        rate: word.rate,
        ago: word.at.age_ms(now) + WAY.as_millis() as u32,
    }
}
