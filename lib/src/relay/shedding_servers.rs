//! Servers that shed load: they rejected a call and requested a pause.
//!
//! The pause is binding for the box whose call was rejected, and nothing that the box infers by
//! itself shortens it. Other boxes are notified and merely prefer other servers meanwhile: a server
//! that sheds a few calls of each box would get no calls at all if each pause were binding for all
//! boxes. After a pause, a single call probes the server before others follow. See
//! `docs/design/server-limits.md` for the alternatives considered.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::time::Time;

/// Upper bound for pauses: a server is probed at least this often, whatever pause it requests.
const MAX_PAUSE: Duration = Duration::from_hours(1);
/// Maximum number of servers, at about 60 bytes each; the pause that ends first is evicted
/// first.
const MAX_SERVERS: usize = 2_048;
/// How long a probe without a response holds off other calls. A server that sheds load rejects
/// calls at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the pause of a server that has not been probed is kept after it has elapsed.
const RETENTION: Duration = Duration::from_mins(1);
/// How long a pause is included in every datagram: two heartbeats, and one that may be lost.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);
/// Maximum number of pauses per datagram, at up to 15 of its 1,400 bytes each.
const MAX_ROWS: usize = 16;
/// How long boxes continue to prefer other servers after a pause reported to them: the reporting
/// box probes first, and reports a new pause if it is rejected again.
const REPORTER_HEAD_START: Duration = Duration::from_millis(250);
/// Upper bound for pauses reported by other boxes.
const MAX_REPORTED_PAUSE: Duration = Duration::from_secs(10);

/// Pause of the sending box as gossiped between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShedRow {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Remaining pause in milliseconds.
    pub remaining_ms: u32,
}

/// Pause that a server requested from this box.
#[derive(Debug, Clone, Copy)]
struct Pause {
    started_at: Time,
    until: Time,
    /// When a probe was sent after the pause.
    probed_at: Option<Time>,
}

/// Pauses by server incarnation.
#[derive(Debug, Default)]
pub struct SheddingServers {
    /// Pauses requested from this box.
    own_pauses: HashMap<ServerIncarnation, Pause>,
    /// Until when other servers are preferred because of pauses reported by other boxes.
    reported_until: HashMap<ServerIncarnation, Time>,
}

impl SheddingServers {
    /// Records that a server rejected a call with a requested pause. Returns whether a new pause
    /// starts. Of overlapping pauses, the one that ends last applies.
    pub fn record_shed(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        retry_after: Duration,
    ) -> bool {
        if retry_after.is_zero() {
            return false;
        }
        let until = now + retry_after.min(MAX_PAUSE);
        if let Some(pause) = self.own_pauses.get_mut(&incarnation) {
            let is_new = pause.until <= now;
            if is_new || until > pause.until {
                *pause = Pause {
                    started_at: now,
                    until: until.max(pause.until),
                    probed_at: None,
                };
            }
            return is_new;
        }
        self.make_room(now);
        let pause = Pause {
            started_at: now,
            until,
            probed_at: None,
        };
        self.own_pauses.insert(incarnation, pause);
        true
    }

    /// Records a response without a requested pause. Returns whether it clears an elapsed pause.
    pub fn record_accepted(&mut self, now: Time, incarnation: ServerIncarnation) -> bool {
        let clears_pause = self
            .own_pauses
            .get(&incarnation)
            .is_some_and(|pause| pause.until <= now);
        if clears_pause {
            self.own_pauses.remove(&incarnation);
            self.reported_until.remove(&incarnation);
        }
        clears_pause
    }

    /// Records that a call is sent to a server; the first one after a pause is the probe.
    pub fn record_sent(&mut self, now: Time, incarnation: ServerIncarnation) {
        if let Some(pause) = self.own_pauses.get_mut(&incarnation) {
            let starts_probe = pause.until <= now && !is_being_probed(now, pause);
            pause.probed_at = if starts_probe {
                Some(now)
            } else {
                pause.probed_at
            };
        }
    }

    /// Merges pauses reported by another box. Returns the servers that had not been reported
    /// before.
    pub fn merge_rows(&mut self, now: Time, rows: &[ShedRow]) -> Vec<ServerIncarnation> {
        self.reported_until.retain(|_, until| *until > now);
        let mut newly_reported = Vec::new();
        for row in rows {
            let remaining = Duration::from_millis(row.remaining_ms.into()).min(MAX_REPORTED_PAUSE);
            let until = now + remaining + REPORTER_HEAD_START;
            let known = self.reported_until.get(&row.incarnation).copied();
            if known.is_none() && self.reported_until.len() < MAX_SERVERS {
                newly_reported.push(row.incarnation);
            }
            if known.is_some() || self.reported_until.len() < MAX_SERVERS {
                let until = known.map_or(until, |known| known.max(until));
                self.reported_until.insert(row.incarnation, until);
            }
        }
        newly_reported
    }

    /// Availability of a server, considering only pauses.
    pub fn availability(&self, now: Time, incarnation: ServerIncarnation) -> Availability {
        let probing = match self.own_pauses.get(&incarnation) {
            Some(pause) if pause.until > now => return Availability::BackOff,
            Some(pause) => is_being_probed(now, pause),
            None => false,
        };
        let reported = self
            .reported_until
            .get(&incarnation)
            .is_some_and(|until| *until > now);
        if probing || reported {
            Availability::Shedding
        } else {
            Availability::Open
        }
    }

    /// Whether a server's pause has elapsed and no probe is in flight. A call that was already
    /// rejected elsewhere should not be the probe.
    pub fn awaits_probe(&self, now: Time, incarnation: ServerIncarnation) -> bool {
        let pause = self.own_pauses.get(&incarnation);
        pause.is_some_and(|pause| pause.until <= now && !is_being_probed(now, pause))
    }

    /// Remaining pause of a server for this box.
    pub fn pause_remaining(&self, now: Time, incarnation: ServerIncarnation) -> Duration {
        let pause = self.own_pauses.get(&incarnation);
        pause.map_or(Duration::ZERO, |pause| now.until(pause.until))
    }

    /// Number of servers whose pause for this box has not elapsed yet.
    pub fn paused_count(&self, now: Time) -> usize {
        self.own_pauses
            .values()
            .filter(|pause| pause.until > now)
            .count()
    }

    /// Pauses for the next datagram to other boxes.
    pub fn rows(&self, now: Time) -> Vec<ShedRow> {
        let is_recent =
            |pause: &Pause| pause.until > now && now.since(pause.started_at) < GOSSIP_TIME;
        let recent = self.own_pauses.iter().filter(|(_, pause)| is_recent(pause));
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(incarnation, pause)| {
            (std::cmp::Reverse(pause.started_at), **incarnation)
        });
        recent.truncate(MAX_ROWS);
        let row = |(incarnation, pause): &(&ServerIncarnation, &Pause)| ShedRow {
            incarnation: **incarnation,
            remaining_ms: now.until(pause.until).as_millis() as u32,
        };
        recent.iter().map(row).collect()
    }

    fn make_room(&mut self, now: Time) {
        if self.own_pauses.len() < MAX_SERVERS {
            return;
        }
        let is_needed = |pause: &Pause| now.since(pause.until) < RETENTION;
        self.own_pauses.retain(|_, pause| is_needed(pause));
        let first = self.own_pauses.iter().min_by_key(|(_, pause)| pause.until);
        if let (true, Some((&incarnation, _))) = (self.own_pauses.len() >= MAX_SERVERS, first) {
            self.own_pauses.remove(&incarnation);
        }
    }
}

/// Whether a probe was sent less than [`PROBE_TIMEOUT`] ago.
fn is_being_probed(now: Time, pause: &Pause) -> bool {
    pause
        .probed_at
        .is_some_and(|at| now.since(at) < PROBE_TIMEOUT)
}
