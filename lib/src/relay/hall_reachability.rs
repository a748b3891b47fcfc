//! Which data halls can be reached, by what is heard from the boxes there.
//!
//! Boxes tell each other of their work several times a second, so a cut between two halls shows
//! as the silence of all boxes in the other one, long before each box would have found it out
//! by calls of its own. An answer from any server there speaks against it: then the boxes are
//! gone, and not the way. A box that hears nobody at all says nothing about halls.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::HallName;
use crate::time::Time;

/// Longest time between two datagrams of one box.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence that is borne whatever the number of boxes: datagrams are lost or late now and then.
const SILENCE: Duration = Duration::from_millis(250);
/// A box counts as one that would be heard if it was heard this long before the last one.
const LIVES: Duration = Duration::from_millis(1_500);
/// After the last datagram, or a call that tried it, until a call tries a silent hall; its boxes
/// are heard again as soon as the way is back.
const TRIAL: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Reach {
    /// When each box there was last heard.
    boxes: HashMap<String, Time>,
    /// When any of them was.
    heard: Time,
    /// When a server there last answered.
    answered: Time,
    /// When a call may try it although it is silent.
    next_trial: Time,
    /// Whether it was silent when that was last asked for.
    was_silent: bool,
}

/// A hall that fell silent, or is heard again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallReachabilityChange {
    /// The hall.
    pub hall: HallName,
    /// Whether it is silent now.
    pub is_silent: bool,
    /// How long ago its boxes were last heard.
    pub heard_ago: Duration,
    /// How long ago a server there last answered.
    pub answered_ago: Duration,
}

impl Reach {
    /// How long all of its boxes are silent before that says something.
    fn patience(&self) -> Duration {
        let lives = |heard: &&Time| self.heard.since(**heard) < LIVES;
        let boxes = self.boxes.values().filter(lives).count();
        SILENCE + HEARTBEAT_INTERVAL * 2 / boxes.max(1) as u32
    }

    fn is_silent(&self, now: Time) -> bool {
        let patience = self.patience();
        !self.boxes.is_empty()
            && now.since(self.heard) > patience
            && now.since(self.answered) > patience
    }
}

/// What is heard from each hall.
#[derive(Debug, Default)]
pub struct HallReachability {
    halls: HashMap<HallName, Reach>,
    /// When another box of this box's own hall was last heard; that hall is never cut off.
    near: Option<Time>,
}

impl HallReachability {
    /// Records a datagram of another box of the same hall.
    pub fn record_own_hall_heartbeat(&mut self, now: Time) {
        self.near = Some(now);
    }

    /// Records a datagram of a box of another hall.
    pub fn record_heartbeat(&mut self, now: Time, hall: &HallName, from: &str) {
        let reach = self.of(hall);
        reach.heard = now;
        reach.next_trial = now + TRIAL;
        match reach.boxes.get_mut(from) {
            Some(at) => *at = now,
            None => {
                reach.boxes.insert(from.to_owned(), now);
            }
        }
    }

    /// Records an answer of a server.
    pub fn record_answer(&mut self, now: Time, hall: &HallName) {
        self.of(hall).answered = now;
    }

    /// Records a call sent there.
    pub fn record_call(&mut self, now: Time, hall: &HallName) {
        if self.is_silent(now, hall) {
            self.of(hall).next_trial = now + TRIAL;
        }
    }

    /// Whether calls may go there.
    pub fn allows_calls(&self, now: Time, hall: &HallName) -> bool {
        let trial = self.halls.get(hall).map(|reach| reach.next_trial);
        !self.is_silent(now, hall) || trial.is_some_and(|trial| now >= trial)
    }

    /// What changed since this was last asked for.
    pub fn take_changes(&mut self, now: Time) -> Vec<HallReachabilityChange> {
        let silent: Vec<bool> = self
            .halls
            .keys()
            .map(|hall| self.is_silent(now, hall))
            .collect();
        let rows = self.halls.iter_mut().zip(silent);
        let changed = rows.filter(|((_, reach), is_silent)| reach.was_silent != *is_silent);
        let change = |((hall, reach), is_silent): ((&HallName, &mut Reach), bool)| {
            reach.was_silent = is_silent;
            HallReachabilityChange {
                hall: hall.clone(),
                is_silent,
                heard_ago: now.since(reach.heard),
                answered_ago: now.since(reach.answered),
            }
        };
        changed.map(change).collect()
    }

    fn is_silent(&self, now: Time, hall: &HallName) -> bool {
        let hears_near = || {
            let lately = |near: Time| now.since(near) <= SILENCE + HEARTBEAT_INTERVAL * 2;
            self.near.is_some_and(lately)
        };
        let hears_others = || {
            let others = self.halls.iter().filter(|(name, _)| *name != hall);
            others.into_iter().any(|(_, reach)| {
                !reach.boxes.is_empty() && now.since(reach.heard) <= reach.patience()
            })
        };
        let reach = self.halls.get(hall);
        reach.is_some_and(|reach| reach.is_silent(now)) && (hears_near() || hears_others())
    }

    fn of(&mut self, hall: &HallName) -> &mut Reach {
        if !self.halls.contains_key(hall) {
            self.halls.insert(hall.clone(), Reach::default());
        }
        self.halls.get_mut(hall).expect("it was just put in")
    }
}
