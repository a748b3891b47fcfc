//! Pieces of work that end the servers which run them, and what is done with calls that ask for them.
//!
//! A request may bring down each server that begins to run it. Bounds by try, by box or by service
//! don't hold it: its caller comes again at any box. So boxes keep a set of pairs, a piece of work and
//! a life of a server that ended under it, which only grows and joins in any order, whoever tells it.
//!
//! From the first life on the work is suspect: one run of it at a time over all boxes that hear each
//! other, apart from other calls. After three lives it is held: refused at once, for ten minutes from
//! the last of them, and for as long again it is suspect. A run that ends well speaks for the work:
//! whatever ended under it until a little later had other causes. So many equal calls of one caller
//! are not blamed while servers end by themselves. Ways weighed: `docs/design/quarantine.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::relay::round_robin;
use crate::relay::signed_time::SignedTime;
use crate::relay::suspect_work::End;
use crate::relay::suspect_work::HELD_FOR;
use crate::relay::suspect_work::Hold;
use crate::relay::suspect_work::RUN_BELIEVED;
use crate::relay::suspect_work::ToldEnd;
use crate::relay::suspect_work::Verdict;
use crate::relay::suspect_work::Work;
use crate::relay::work_key::ServerLife;
use crate::relay::work_key::WorkKey;
use crate::time::Time;

/// Between the turns of boxes that wait for the same verdict; news takes a few milliseconds between
/// halls, so the first one's run is known before the next begins.
const TURN: Duration = Duration::from_millis(20);
/// How long a call that lost its run waits for news of others that did: those are about to go again, too.
const OTHERS_HEARD: Duration = TURN;
/// Turns; more boxes share one.
const TURNS: usize = 16;
/// Works that are remembered, at some 200 bytes each.
const MOST_WORKS: usize = 512;
/// Works of one workspace that are, so that it can't push out others'.
const MOST_OF_OWNER: usize = 64;
/// Works told with one datagram that are new or run here: some 60 bytes each, of 1,400.
const MOST_ROWS: usize = 6;
/// Works told with one that are neither, for boxes that missed the news: each in turn.
const ROWS_IN_TURN: usize = 1;
/// Lives told of each: enough to hold it, though some ended together.
const MOST_LIVES_TOLD: usize = 5;

/// What is to be done with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs; the run counts as begun.
    Run {
        /// Lives of servers that ended under its work.
        lives: usize,
    },
    /// Another run of the work is under way: it will tell.
    Wait,
    /// It is held.
    Held {
        /// For how long.
        left: Duration,
        /// Lives of servers that ended under it.
        lives: usize,
    },
}

/// A change of what is known of a work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The work.
    pub work: WorkKey,
    /// What is known now.
    pub verdict: Verdict,
    /// Lives that ended under it.
    pub lives: usize,
}

/// What the store holds of a work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
    /// A life of a server ended under it.
    Ended(ServerLife),
    /// Enough had to hold it, on the time line of the box that says so. Told by itself: whoever
    /// reads it later knows no more whether they ended in one moment.
    Held,
    /// An operator released it: one run decides.
    Released,
}

/// What one box tells another of a work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow {
    /// The work.
    pub work: WorkKey,
    /// Lives that ended under it.
    pub lives: Vec<ToldEnd>,
    /// How many milliseconds ago the first and the last of the lives ended that hold it, if it is.
    pub held: Option<(u32, u32)>,
    /// How many milliseconds ago an operator released it, if one did.
    pub released: Option<u32>,
    /// How many milliseconds ago it last ran well, if it did.
    pub good: Option<u32>,
    /// Whether a run of it is under way there.
    pub runs: bool,
}

/// Whose runs are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunsOf {
    /// Those of one box.
    Box,
    /// Those of all boxes of a hall, to another one.
    Hall,
}

/// What a box knows of such works.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    works: BTreeMap<WorkKey, Work>,
    /// Own runs under way, of all works that are told apart.
    runs: HashMap<WorkKey, u32>,
    /// Where the next datagram goes on, of the works that are not new.
    told_to: Option<WorkKey>,
    /// Works that went for want of room.
    pushed_out: u64,
}

impl Quarantine {
    /// Whether nothing is known of any work: then no body need be read for its key.
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Decides on a call that is about to be sent; `saw_end` if its own last run ended a server: it
    /// goes before the boxes that wait for a verdict, unless another run was lost as well. `rank` is
    /// this box's in the order of [`rank`].
    pub fn admit(
        &mut self,
        now: Time,
        work: WorkKey,
        saw_end: bool,
        rank: impl FnOnce() -> usize,
    ) -> Admission {
        let runs_here = self.runs.get(&work).is_some_and(|runs| *runs > 0);
        let Some(known) = self.works.get(&work) else {
            return self.begin(work, 0);
        };
        let verdict = known.verdict(now);
        let runs = runs_here || known.runs_elsewhere(now);
        let lives = known.lives(now);
        let is_only_end = known.counting(now).count() == 1;
        let goes_first = saw_end && is_only_end && known.last_end(now) >= OTHERS_HEARD;
        match verdict {
            Verdict::Cleared => self.begin(work, 0),
            Verdict::Held if !runs => Admission::Held {
                left: HELD_FOR.saturating_sub(known.last_end(now)),
                lives,
            },
            Verdict::Suspect if !runs && (goes_first || known.last_end(now) >= turn(rank())) => {
                self.begin(work, lives)
            }
            Verdict::Held | Verdict::Suspect => Admission::Wait,
        }
    }

    fn begin(&mut self, work: WorkKey, lives: usize) -> Admission {
        *self.runs.entry(work).or_default() += 1;
        Admission::Run { lives }
    }

    /// Whether a run that [`Self::admit`] let begin may still be sent, after what it has waited for: its
    /// work may be held by now, or run elsewhere.
    pub fn may_send(&self, now: Time, work: WorkKey) -> bool {
        let Some(known) = self.works.get(&work) else {
            return true;
        };
        let is_only_run = self.runs.get(&work) == Some(&1) && !known.runs_elsewhere(now);
        match known.verdict(now) {
            Verdict::Cleared => true,
            Verdict::Suspect => is_only_run,
            Verdict::Held => false,
        }
    }

    /// Ends a run that [`Self::admit`] let begin; true if others wait for that news.
    pub fn end_run(&mut self, now: Time, work: WorkKey) -> bool {
        if let Some(runs) = self.runs.get_mut(&work) {
            *runs -= 1;
            if *runs == 0 {
                self.runs.remove(&work);
            }
        }
        let known = self.works.get_mut(&work);
        // That it is over is told as long as that it ran would be believed.
        known.map(|known| known.changed = now).is_some()
    }

    /// Records that a server's life ended under a run of this box that began then.
    pub fn server_ended(
        &mut self,
        now: Time,
        work: WorkKey,
        life: ServerLife,
        began: Time,
    ) -> Option<Change> {
        let at = SignedTime::of(now);
        let end = End {
            life,
            at,
            began: SignedTime::of(began),
            to_store: true,
        };
        self.change(now, work, |known| {
            known.is_own = true;
            // It was held until lately: this run has decided.
            if known.held_at(now).is_some() {
                known.held = Some(Hold {
                    first: at,
                    last: at,
                });
            }
            known.add(end);
        })
    }

    /// Records that a run ended well.
    pub fn ran_well(&mut self, now: Time, work: WorkKey) -> Option<Change> {
        if !self.works.contains_key(&work) {
            return None;
        }
        self.change(now, work, |known| known.good = Some(SignedTime::of(now)))
    }

    /// Takes what the store holds.
    pub fn stored(&mut self, now: Time, work: WorkKey, fact: Fact) -> Option<Change> {
        let at = SignedTime::of(now);
        match fact {
            Fact::Ended(life) => self.change(now, work, |known| {
                known.add(End {
                    life,
                    at,
                    // Nothing is known of the run.
                    began: at,
                    to_store: false,
                });
                let mut ends = known.ends.iter_mut();
                if let Some(end) = ends.find(|end| end.life == life) {
                    end.to_store = false;
                }
            }),
            Fact::Held => self.change(now, work, |known| {
                known.is_held_in_store = true;
                if known.held_at(now).is_none() {
                    known.held = Some(Hold {
                        first: at,
                        last: at,
                    });
                }
            }),
            Fact::Released => self.change(now, work, |known| {
                known.released = known.released.max(Some(at));
                known.is_held_in_store = false;
                known.is_release_lost = false;
            }),
        }
    }

    /// Takes what another box, or a hall, tells.
    pub fn take_rows(
        &mut self,
        now: Time,
        of: RunsOf,
        from: &str,
        rows: &[WorkRow],
    ) -> Vec<Change> {
        let ago = |millis: u32| SignedTime::before_now(now, millis);
        let take = |row: &WorkRow| {
            self.change(now, row.work, |known| {
                // The other box missed the good run that this one knows of.
                let blames = !row.lives.is_empty() || row.held.is_some();
                let is_behind = blames && known.good > row.good.map(ago);
                if is_behind && known.verdict(now) == Verdict::Cleared {
                    known.changed = now;
                }
                for end in &row.lives {
                    known.add(End {
                        life: end.life,
                        at: ago(end.ago),
                        began: ago(end.ago.saturating_add(end.ran)),
                        to_store: false,
                    });
                }
                let held = row.held.map(|(first, last)| Hold {
                    first: ago(first),
                    last: ago(last),
                });
                known.held = known.held.max(held);
                known.released = known.released.max(row.released.map(ago));
                known.good = known.good.max(row.good.map(ago));
                // A row that is left out says nothing: a datagram holds few of many.
                let running = match of {
                    RunsOf::Box => &mut known.boxes,
                    RunsOf::Hall => &mut known.halls,
                };
                if row.runs {
                    running.insert(from.to_owned(), now);
                } else {
                    running.remove(from);
                }
            })
        };
        rows.iter().filter_map(take).collect()
    }

    fn change(&mut self, now: Time, work: WorkKey, f: impl FnOnce(&mut Work)) -> Option<Change> {
        if !self.works.contains_key(&work) {
            self.make_room(now, work.owner);
        }
        let known = self.works.entry(work).or_default();
        let before = (known.verdict(now), known.lives(now));
        f(known);
        known.judge(now);
        let after = (known.verdict(now), known.lives(now));
        if before == after {
            return None;
        }
        known.changed = now;
        let (verdict, lives) = after;
        Some(Change {
            work,
            verdict,
            lives,
        })
    }

    /// Lets go of works that are forgotten, and of one more where there is no room: the one with the
    /// fewest lives, the oldest of those, of the workspace that has most.
    fn make_room(&mut self, now: Time, owner: u32) {
        self.works.retain(|_, known| !known.is_forgotten(now));
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for work in self.works.keys() {
            *counts.entry(work.owner).or_default() += 1;
        }
        let of_owner = counts.get(&owner).copied().unwrap_or_default();
        let pays = match () {
            () if of_owner >= MOST_OF_OWNER => Some(owner),
            () if self.works.len() >= MOST_WORKS => {
                let most = counts.iter().max_by_key(|(_, count)| **count);
                most.map(|(owner, _)| *owner)
            }
            () => None,
        };
        let Some(pays) = pays else { return };
        let of = self.works.iter().filter(|(work, _)| work.owner == pays);
        let worth = |known: &Work| {
            let is_held = known.held_at(now).is_some();
            (is_held, known.lives(now), Reverse(known.last_end(now)))
        };
        let first = of.min_by_key(|(_, known)| worth(known));
        if let Some((&work, _)) = first {
            self.works.remove(&work);
            self.pushed_out += 1;
        }
    }

    /// What to tell other boxes now: works that run here or changed lately, those that changed last
    /// first, and of the others that are not cleared one in turn.
    pub fn rows(&mut self, now: Time, of: RunsOf) -> Vec<WorkRow> {
        if self.works.is_empty() {
            return Vec::new();
        }
        self.works.retain(|_, known| !known.is_forgotten(now));
        let runs = |work: &WorkKey, known: &Work| self.runs_of(now, of, *work, known);
        let is_fresh = |work: &WorkKey, known: &Work| {
            runs(work, known) || now.since(known.changed) < RUN_BELIEVED
        };
        let (mut fresh, mut rest): (Vec<_>, Vec<_>) =
            (self.works.iter()).partition::<Vec<_>, _>(|(work, known)| is_fresh(work, known));
        rest.retain(|(_, known)| known.verdict(now) != Verdict::Cleared);
        fresh.sort_by_key(|(work, known)| (!runs(work, known), now.since(known.changed)));
        fresh.truncate(MOST_ROWS);
        let in_turn = round_robin::next_in_rotation(&rest, self.told_to.as_ref(), ROWS_IN_TURN);
        let told = fresh.iter().chain(&in_turn);
        let rows = told.map(|(work, known)| self.row(now, of, **work, known));
        let rows = rows.collect();
        self.told_to = in_turn.last().map(|(work, _)| **work);
        rows
    }

    fn runs_of(&self, now: Time, of: RunsOf, work: WorkKey, known: &Work) -> bool {
        let runs_near = of == RunsOf::Hall && known.runs_at_boxes(now);
        runs_near || self.runs.contains_key(&work)
    }

    fn row(&self, now: Time, of: RunsOf, work: WorkKey, known: &Work) -> WorkRow {
        let counting = known.counting(now).collect::<Vec<_>>();
        let newest = counting.iter().rev().take(MOST_LIVES_TOLD);
        WorkRow {
            work,
            lives: newest.map(|end| end.told(now)).collect(),
            held: (known.held.filter(|_| known.held_at(now).is_some()))
                .map(|held| (held.first.age_ms(now), held.last.age_ms(now))),
            released: known.released.map(|at| at.age_ms(now)),
            good: known.good.map(|at| at.age_ms(now)),
            runs: self.runs_of(now, of, work, known),
        }
    }

    /// What this box saw and the store is to hold: that a work is held, and each life that ended where
    /// more than one did, or where this box hears no other one (`is_alone`). The others are told by
    /// datagrams, and most are cleared within a second.
    pub fn to_store(&self, now: Time, is_alone: bool) -> Vec<(WorkKey, Fact)> {
        let own = self.works.iter().filter(|(_, known)| known.is_own);
        let facts = own.flat_map(|(work, known)| {
            let verdict = known.verdict(now);
            let is_due = verdict != Verdict::Cleared && (is_alone || known.lives(now) > 1);
            let ends = known.ends.iter().filter(move |end| is_due && end.to_store);
            let ends = ends.map(|end| Fact::Ended(end.life));
            let is_held = verdict == Verdict::Held && !known.is_held_in_store;
            let held = is_held.then_some(Fact::Held);
            // A work that came to be held after its release is not released again.
            let is_released = known.is_release_lost && verdict != Verdict::Held;
            let released = is_released.then_some(Fact::Released);
            let facts = ends.chain(held).chain(released);
            facts.map(|fact| (*work, fact))
        });
        facts.collect()
    }

    /// The store came back from a copy: what it held of works that this box saw is to be written again.
    pub fn store_forgot(&mut self) {
        for known in self.works.values_mut().filter(|known| known.is_own) {
            known.ends.iter_mut().for_each(|end| end.to_store = true);
            known.is_held_in_store = false;
            known.is_release_lost = known.released.is_some();
        }
    }

    /// Works that are held now.
    pub fn held(&self, now: Time) -> usize {
        let mut verdicts = self.works.values().map(|known| known.verdict(now));
        verdicts.by_ref().filter(|it| *it == Verdict::Held).count()
    }

    /// Works that went for want of room so far.
    pub const fn pushed_out(&self) -> u64 {
        self.pushed_out
    }
}

/// From how many lives on a call goes apart from others. Each server that ends makes all its calls
/// suspect for a moment, and those are best placed as any.
pub const APART_FROM: usize = 2;

/// Where such a call goes: to one of the quieter half of the servers, drawn. The calls that were
/// lost with a server are all suspect for a moment; together on the quietest server they would meet
/// the one among them that ends it.
pub fn apart<T>(mut servers: Vec<T>, calls: impl Fn(&T) -> u32, rng: &mut impl Rng) -> Vec<T> {
    servers.sort_by_key(calls);
    servers.truncate(servers.len().div_ceil(2));
    let drawn = rng.random_range(0..servers.len().max(1));
    servers.into_iter().skip(drawn).take(1).collect()
}

/// How long a box waits after a verdict, so that all don't begin at once.
fn turn(rank: usize) -> Duration {
    TURN * (1 + rank % TURNS) as u32
}

/// A box's rank among all that are known, in an order that each work has for itself: up to as many
/// boxes as there are turns, no two take the same one.
pub fn rank<'a>(work: WorkKey, own: &str, boxes: impl Iterator<Item = &'a str>) -> usize {
    let order = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (work, name).hash(&mut hasher);
        hasher.finish()
    };
    let own = order(own);
    boxes.filter(|name| order(name) < own).count()
}
