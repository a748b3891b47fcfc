//! One box gives out the calls that a limited server takes; the others ask it, call by call.
//!
//! A count kept by each box would let as many boxes each send their own first call, and an even share
//! would leave most of a small limit unused. So the first living box of the server's hall keeps the
//! count. No box is needed for it: where that one is gone, the next one begins with nothing in hand, and
//! a box that can ask nobody sends no call there while other servers will do.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::HallName;
use crate::relay::call_quota::CallQuota;
use crate::relay::call_quota::QuotaExceeded;
use crate::relay::call_rate::CallRate;
use crate::relay::cells;
use crate::relay::cells::Boxes;
use crate::relay::heard_boxes::LIVES;
use crate::relay::permit_wire::PermitDecision;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// Servers whose count is kept, at some 50 bytes each.
const MOST_QUOTAS: usize = 2_048;
/// A count that nobody asked for in this time is full again, but for the slowest servers.
const IDLE: Duration = Duration::from_secs(30);
/// Answers that are given again to whoever asks with the same id.
const MOST_ANSWERS: usize = 512;

/// Who gives out the calls of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaOwner {
    /// This box, of a rate that so many takers share that may not hear each other.
    Local {
        /// Takers.
        shares: usize,
    },
    /// Another box.
    Remote(SocketAddr),
    /// It isn't known yet who.
    Unknown,
}

impl QuotaOwner {
    /// The keeper for servers of a hall, as a box sees it that started `up_for` ago: the first of the
    /// boxes there that live, or of another hall's, where none does.
    pub fn elect(
        boxes: &Boxes,
        own: &str,
        hall: &HallName,
        up_for: Duration,
        lives: impl Fn(&str) -> bool,
    ) -> Self {
        let hears_others = boxes.keys().any(|name| name != own && lives(name));
        if !hears_others {
            return match boxes.len() {
                0 | 1 => Self::Local { shares: 1 },
                _ if up_for < LIVES => Self::Unknown,
                // It is cut off from the others, or they are gone.
                boxes => Self::Local { shares: boxes },
            };
        }
        let Some(first) = cells::first_living(boxes, own, hall, &lives) else {
            return Self::Unknown;
        };
        if first.name != own {
            return first.load.parse().map_or(Self::Unknown, Self::Remote);
        }
        if up_for < LIVES {
            // It may not have heard yet who was first before.
            return Self::Unknown;
        }
        let shares = if first.hall == hall.as_str() {
            parts_of_hall(boxes, own, hall, lives)
        } else {
            // Each hall may believe that it is the first one left.
            cells::halls(boxes)
        };
        Self::Local { shares }
    }
}

/// Into how many parts a hall may be cut: one, while most of its boxes are heard. Those that are not
/// may only be cut off, and go on with a keeper of their own.
fn parts_of_hall(boxes: &Boxes, own: &str, hall: &HallName, lives: impl Fn(&str) -> bool) -> usize {
    let known = cells::ranked(boxes, hall.as_str());
    let heard = known
        .iter()
        .filter(|of| of.name == own || lives(&of.name))
        .count();
    if heard * 2 > known.len() {
        1
    } else {
        known.len().div_ceil(heard.max(1))
    }
}

/// Counts of the servers whose calls this box gives out.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    quotas: HashMap<ServerLife, Kept>,
    /// Latest answers by the id of the question, oldest first.
    answers: VecDeque<(u64, PermitDecision)>,
}

#[derive(Debug)]
struct Kept {
    quota: CallQuota,
    asked: Time,
}

impl OwnedQuotas {
    /// Takes a call that can wait so long; gives back how long it must.
    ///
    /// # Errors
    ///
    /// It would have to wait longer.
    pub fn take(
        &mut self,
        now: Time,
        incarnation: ServerLife,
        rate: CallRate,
        patience: Duration,
    ) -> Result<Duration, QuotaExceeded> {
        self.quota(now, incarnation, rate).take(now, patience)
    }

    /// Counts a call that goes in any case.
    pub fn charge(&mut self, now: Time, incarnation: ServerLife, rate: CallRate) {
        self.quota(now, incarnation, rate).charge(now);
    }

    /// What a question was answered that came before: its answer was lost, or late.
    pub fn cached_response(&self, id: u64) -> Option<PermitDecision> {
        let mut answers = self.answers.iter().rev();
        answers
            .find(|(of, _)| *of == id)
            .map(|(_, decision)| *decision)
    }

    /// Remembers the answer to a question.
    pub fn cache_response(&mut self, id: u64, decision: PermitDecision) {
        if self.answers.len() >= MOST_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((id, decision));
    }

    fn quota(&mut self, now: Time, incarnation: ServerLife, rate: CallRate) -> &mut CallQuota {
        if !self.quotas.contains_key(&incarnation) && self.quotas.len() >= MOST_QUOTAS {
            self.make_room(now);
        }
        let kept = self.quotas.entry(incarnation).or_insert_with(|| Kept {
            quota: CallQuota::new(now, rate),
            asked: now,
        });
        kept.asked = now;
        kept.quota.set_rate(now, rate);
        &mut kept.quota
    }

    fn make_room(&mut self, now: Time) {
        self.quotas.retain(|_, kept| now.since(kept.asked) < IDLE);
        let oldest = self.quotas.iter().min_by_key(|(_, kept)| kept.asked);
        if let (true, Some((&incarnation, _))) = (self.quotas.len() >= MOST_QUOTAS, oldest) {
            self.quotas.remove(&incarnation);
        }
    }
}
