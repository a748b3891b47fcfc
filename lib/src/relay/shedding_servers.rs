//! Servers that shed load: they turned a call away and named a time for which they want none.
//!
//! The pause binds the box that was turned away, and nothing that it concludes by itself shortens it.
//! Other boxes are told, and prefer other servers meanwhile: a server that sheds a few calls of each
//! box would get none at all if one pause bound everybody. After a pause one call tries the server
//! before others follow. Ways weighed: `docs/design/server-limits.md`.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// Longest pause: a server is asked again once in this time, whatever it names.
const LONGEST_PAUSE: Duration = Duration::from_hours(1);
/// Servers remembered, at some 60 bytes each; the pause that ends first goes first.
const MOST_SERVERS: usize = 2_048;
/// How long a call that tries a server again keeps others away; a server that sheds says so at once.
const TRIAL: Duration = Duration::from_millis(500);
/// How long a server is remembered that nobody has tried since its pause.
const REMEMBERED: Duration = Duration::from_mins(1);
/// How long a pause is told with each datagram: two heartbeats and a lost one.
const FRESH: Duration = Duration::from_millis(1_200);
/// Pauses told with one datagram, at up to 15 bytes each, of 1,400.
const MOST_ROWS: usize = 16;
/// Other boxes prefer other servers for so long after a pause: the box that was turned away tries
/// first, and tells if it is turned away again.
const AFTER_THE_TELLER: Duration = Duration::from_millis(250);
/// Longest that other boxes go by what they were told.
const LONGEST_TOLD: Duration = Duration::from_secs(10);

/// What one box tells another of a server that turned it away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShedRow {
    /// The server's incarnation.
    pub incarnation: ServerLife,
    /// How much longer it wants no call of that box, in milliseconds.
    pub remaining_ms: u32,
}

/// A pause that a server asked this box for.
#[derive(Debug, Clone, Copy)]
struct BackOff {
    began: Time,
    until: Time,
    /// When a call went there after it.
    tried: Option<Time>,
}

/// Servers that shed load, by their lives.
#[derive(Debug, Default)]
pub struct SheddingServers {
    /// Those that turned this box away.
    own: HashMap<ServerLife, BackOff>,
    /// Until when others are preferred, by what other boxes told.
    told: HashMap<ServerLife, Time>,
}

impl SheddingServers {
    /// Notes that a server turned this box away; true where no pause was under way. Of two pauses the
    /// one that ends last holds.
    pub fn record_shed(
        &mut self,
        now: Time,
        incarnation: ServerLife,
        retry_after: Duration,
    ) -> bool {
        if retry_after.is_zero() {
            return false;
        }
        let until = now + retry_after.min(LONGEST_PAUSE);
        if let Some(known) = self.own.get_mut(&incarnation) {
            let begins = known.until <= now;
            if begins || until > known.until {
                *known = BackOff {
                    began: now,
                    until: until.max(known.until),
                    tried: None,
                };
            }
            return begins;
        }
        self.make_room(now);
        let back_off = BackOff {
            began: now,
            until,
            tried: None,
        };
        self.own.insert(incarnation, back_off);
        true
    }

    /// Notes an answer of a server that does not turn this box away; true if that ends its trial.
    pub fn record_accepted(&mut self, now: Time, incarnation: ServerLife) -> bool {
        let ends = self
            .own
            .get(&incarnation)
            .is_some_and(|known| known.until <= now);
        if ends {
            self.own.remove(&incarnation);
            self.told.remove(&incarnation);
        }
        ends
    }

    /// Notes that a call goes there.
    pub fn record_sent(&mut self, now: Time, incarnation: ServerLife) {
        if let Some(known) = self.own.get_mut(&incarnation) {
            let tries = known.until <= now && !is_on_trial(now, known);
            known.tried = if tries { Some(now) } else { known.tried };
        }
    }

    /// Takes what another box tells.
    pub fn merge_rows(&mut self, now: Time, rows: &[ShedRow]) -> Vec<ServerLife> {
        self.told.retain(|_, until| *until > now);
        let mut news = Vec::new();
        for row in rows {
            let left = Duration::from_millis(row.remaining_ms.into()).min(LONGEST_TOLD);
            let until = now + left + AFTER_THE_TELLER;
            let known = self.told.get(&row.incarnation).copied();
            if known.is_none() && self.told.len() < MOST_SERVERS {
                news.push(row.incarnation);
            }
            if known.is_some() || self.told.len() < MOST_SERVERS {
                let until = known.map_or(until, |known| known.max(until));
                self.told.insert(row.incarnation, until);
            }
        }
        news
    }

    /// Whether a server takes calls, by its pauses.
    pub fn availability(&self, now: Time, incarnation: ServerLife) -> Availability {
        let own = match self.own.get(&incarnation) {
            Some(known) if known.until > now => return Availability::BackOff,
            Some(known) => is_on_trial(now, known),
            None => false,
        };
        let told = self
            .told
            .get(&incarnation)
            .is_some_and(|until| *until > now);
        if own || told {
            Availability::Shedding
        } else {
            Availability::Open
        }
    }

    /// Whether a server's pause is over and no call has tried it since: a call that was turned away
    /// already is not the one to do so.
    pub fn awaits_probe(&self, now: Time, incarnation: ServerLife) -> bool {
        let known = self.own.get(&incarnation);
        known.is_some_and(|known| known.until <= now && !is_on_trial(now, known))
    }

    /// How much longer a server wants no call of this box.
    pub fn pause_remaining(&self, now: Time, incarnation: ServerLife) -> Duration {
        let known = self.own.get(&incarnation);
        known.map_or(Duration::ZERO, |known| now.until(known.until))
    }

    /// Servers that want no call of this box now.
    pub fn paused_count(&self, now: Time) -> usize {
        self.own.values().filter(|known| known.until > now).count()
    }

    /// What to tell other boxes now.
    pub fn rows(&self, now: Time) -> Vec<ShedRow> {
        let is_fresh = |known: &BackOff| known.until > now && now.since(known.began) < FRESH;
        let fresh = self.own.iter().filter(|(_, known)| is_fresh(known));
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|(incarnation, known)| (std::cmp::Reverse(known.began), **incarnation));
        fresh.truncate(MOST_ROWS);
        let row = |(incarnation, known): &(&ServerLife, &BackOff)| ShedRow {
            incarnation: **incarnation,
            remaining_ms: now.until(known.until).as_millis() as u32,
        };
        fresh.iter().map(row).collect()
    }

    fn make_room(&mut self, now: Time) {
        if self.own.len() < MOST_SERVERS {
            return;
        }
        let is_needed = |known: &BackOff| now.since(known.until) < REMEMBERED;
        self.own.retain(|_, known| is_needed(known));
        let first = self.own.iter().min_by_key(|(_, known)| known.until);
        if let (true, Some((&incarnation, _))) = (self.own.len() >= MOST_SERVERS, first) {
            self.own.remove(&incarnation);
        }
    }
}

/// Whether a call that went there after the pause has no answer yet.
fn is_on_trial(now: Time, known: &BackOff) -> bool {
    known.tried.is_some_and(|at| now.since(at) < TRIAL)
}
