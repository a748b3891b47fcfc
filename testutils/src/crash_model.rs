//! Boxes before servers that a call can end, in virtual time.
//!
//! The decisions are the library's own (`relay::quarantine`); around them lie modelled servers, callers
//! that come again at any box, datagrams that take time and get lost, and the store. Beside the calls
//! that end servers there are others, each of its own work, and equal ones of one caller, while servers
//! also end by themselves. Calls may also have parts of prompts in common, one of which ends servers
//! shortly after they begin to respond. Other ways of bounding are there to be compared. Not modelled:
//! load, the order of calls at a server, more than one workspace.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerferry_lib::relay::gossip_topology::MIN_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::hall_reachability::HEARTBEAT_INTERVAL;
use badgerferry_lib::relay::prompt_parts::PartId;
use badgerferry_lib::relay::prompt_parts::PromptParts;
use badgerferry_lib::relay::quarantine::Admission;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::quarantine::ISOLATION_MIN_CRASHES;
use badgerferry_lib::relay::quarantine::QuarantineRow;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::suspect_key::CallKeys;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;

mod fleet;

use fleet::CrashBox;
use fleet::Ranks;
use fleet::Server;

/// The work that ends servers.
const DEADLY: RequestFingerprint = RequestFingerprint {
    workspace_digest: 1,
    digest: 0,
};
/// The work of the equal calls.
const EQUAL: RequestFingerprint = RequestFingerprint {
    workspace_digest: 1,
    digest: 1,
};
/// The part that ends servers; all others are first parts, counted from 1.
const DEADLY_PART: PartId = PartId(0);
/// Pause between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Later than this after the third server ended, or the fifth under one part, all boxes must know.
pub const NEWS_IN_FORCE: Duration = Duration::from_secs(3);
/// Servers that one call may be sent to.
const MOST_SENT: u32 = 2;
/// A call waits at most so long for what another run of its work tells.
const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between two looks of a call that waits.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// From a change until it is in the store, and from there to a box that watches it.
const STORE_WAY: Duration = Duration::from_millis(60);

/// How repeats of work that ends servers are bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// By the servers of one call alone.
    None,
    /// By what each box sees itself.
    EachBox,
    /// One box by hash runs suspect work, the others refuse it.
    Owner,
    /// By what boxes tell each other, without taking turns: two servers must end before it is bounded.
    NewsAlone,
    /// By what boxes tell each other and the store; one run at a time.
    Shared,
    /// The same, by whole requests alone.
    WholeRequests,
}

/// When a call with a part that ends servers does so.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PartTiming {
    /// Some 60 ms after its response began.
    #[default]
    Soon,
    /// Before its response begins.
    Before,
    /// Between 0.3 and 0.9 s after its response began.
    Late,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct CrashPlan {
    /// Boxes, in three halls.
    pub boxes: usize,
    /// Boxes that hear no other one, but the store.
    pub cut_off: usize,
    /// Boxes that start anew in each second.
    pub restarts: f64,
    /// Servers.
    pub servers: usize,
    /// Callers whose call ends servers; each comes again as soon as it has failed.
    pub deadly: usize,
    /// Within how many milliseconds they first come.
    pub deadly_within_ms: u64,
    /// Other calls in each second.
    pub others: f64,
    /// Equal calls of one caller in each second.
    pub equal: f64,
    /// Share of the servers that end by themselves at once, every four seconds.
    pub waves: f64,
    /// Within how many milliseconds they end.
    pub spread_ms: u64,
    /// Calls in each second with a part that ends servers, no two of them alike.
    pub deadly_parts: f64,
    /// When these end their servers.
    pub part_timing: PartTiming,
    /// First parts that calls share; without any, calls have no parts.
    pub first_parts: u64,
    /// How long it goes on.
    pub lasts: Duration,
}

/// What came of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Servers that ended under the work that ends them.
    pub ended: usize,
    /// Sends of it to servers more than [`NEWS_IN_FORCE`] after the third one ended.
    pub late_sends: usize,
    /// Servers that ended under the part that ends them.
    pub part_ended: usize,
    /// Sends of calls with it to servers more than [`NEWS_IN_FORCE`] after the fifth one ended.
    pub part_late_sends: usize,
    /// Other calls.
    pub others: usize,
    /// Other calls that a server's end left without an answer.
    pub others_lost: usize,
    /// Other calls that were refused as if they ended servers.
    pub others_refused: usize,
    /// Equal calls.
    pub equal: usize,
    /// Equal calls that a server's end left without an answer.
    pub equal_lost: usize,
    /// Equal calls that were refused as if they ended servers.
    pub equal_refused: usize,
}

impl CrashCounts {
    /// Adds another run's counts.
    pub const fn add(&mut self, other: Self) {
        self.ended += other.ended;
        self.late_sends += other.late_sends;
        self.part_ended += other.part_ended;
        self.part_late_sends += other.part_late_sends;
        self.others += other.others;
        self.others_lost += other.others_lost;
        self.others_refused += other.others_refused;
        self.equal += other.equal;
        self.equal_lost += other.equal_lost;
        self.equal_refused += other.equal_refused;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Deadly,
    DeadlyPart,
    Other,
    Equal,
}

#[derive(Debug)]
struct Call {
    kind: Kind,
    keys: CallKeys,
    box_at: usize,
    sent: u32,
    saw_crash: bool,
    waits_since: Option<Time>,
    /// Where it runs, and in which life of the server.
    runs: Option<(usize, u64)>,
    began: Time,
    responded: Option<Time>,
}

#[derive(Debug)]
enum Event {
    Arrives(Kind),
    Tries(usize),
    Responds(usize, u64),
    GoesOn(usize, u64),
    RunEnds(usize, u64),
    Crashes(usize, u64),
    Wave,
    Ends(usize, u64),
    BreaksOff(usize, ServerIncarnation),
    Starts(usize),
    Tells(usize),
    TellsFar(usize),
    Heartbeat(usize),
    Hears(usize, RunScope, String, Rc<Vec<QuarantineRow>>),
    Stored(SuspectKey, StoredFact),
    Restarts,
}

struct World {
    plan: CrashPlan,
    bound: Bound,
    agenda: Agenda<Event>,
    boxes: Vec<CrashBox>,
    ranks: Ranks,
    servers: Vec<Server>,
    calls: Vec<Call>,
    stored: Vec<(SuspectKey, StoredFact)>,
    third_end: Option<Time>,
    fifth_part_end: Option<Time>,
    next_work: u64,
    rng: ChaCha8Rng,
    counts: CrashCounts,
}

/// Plays a plan with a seed.
pub fn run(plan: &CrashPlan, bound: Bound, seed: u64) -> CrashCounts {
    let mut world = World::new(*plan, bound, seed);
    let end = Time::ZERO + plan.lasts;
    while let Some((now, event)) = world.agenda.take(end) {
        world.on(now, event);
    }
    world.counts
}

impl World {
    fn new(plan: CrashPlan, bound: Bound, seed: u64) -> Self {
        let boxes = (0..plan.boxes).map(|at| CrashBox::new(at, at >= plan.boxes - plan.cut_off));
        let mut world = Self {
            plan,
            bound,
            agenda: Agenda::default(),
            boxes: boxes.collect(),
            ranks: Ranks::new(plan.boxes),
            servers: vec![Server::default(); plan.servers],
            calls: Vec::new(),
            stored: Vec::new(),
            third_end: None,
            fifth_part_end: None,
            next_work: 2,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: CrashCounts::default(),
        };
        for at in 0..plan.boxes {
            let first = world.between(0, 400);
            world.agenda.put(first, Event::Heartbeat(at));
        }
        for _ in 0..plan.deadly {
            let at = world.between(1_000, 1_001 + plan.deadly_within_ms);
            world.agenda.put(at, Event::Arrives(Kind::Deadly));
        }
        world.put_next(Time::ZERO, plan.others, || Event::Arrives(Kind::Other));
        world.put_next(Time::ZERO, plan.equal, || Event::Arrives(Kind::Equal));
        world.put_next(Time::ZERO, plan.deadly_parts, || {
            Event::Arrives(Kind::DeadlyPart)
        });
        world.put_next(Time::ZERO, plan.restarts, || Event::Restarts);
        if plan.waves > 0.0 {
            world.agenda.put(Time::from_millis(2_500), Event::Wave);
        }
        world
    }

    fn between(&mut self, from: u64, to: u64) -> Time {
        Time::from_millis(self.rng.random_range(from..to))
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Puts in what comes next of something that comes so often in a second.
    fn put_next(&mut self, now: Time, per_second: f64, event: impl FnOnce() -> Event) {
        if per_second > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
            self.agenda.put(now + Duration::from_secs_f64(gap), event());
        }
    }

    fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrives(kind) => self.arrives(now, kind),
            Event::Tries(call) => self.tries(now, call),
            Event::Responds(call, life) => {
                if self.runs_on(call, life) {
                    self.calls[call].responded = Some(now);
                    self.agenda.put(now + EVENT_GAP, Event::GoesOn(call, life));
                }
            }
            Event::GoesOn(call, life) => self.goes_on(now, call, life),
            Event::RunEnds(call, life) => self.run_ends(now, call, life),
            Event::Crashes(server, life) => {
                if self.servers[server].life == life && self.servers[server].lives {
                    self.server_ends(now, server);
                }
            }
            Event::Wave => self.wave(now),
            Event::Ends(server, life) => self.ends(now, server, life),
            Event::BreaksOff(call, life) => self.broke_off(now, call, life),
            Event::Starts(server) => self.servers[server].start(),
            Event::Heartbeat(at) => {
                self.tells(now, at);
                self.agenda
                    .put(now + HEARTBEAT_INTERVAL, Event::Heartbeat(at));
            }
            Event::Tells(at) => self.tells(now, at),
            Event::TellsFar(at) => {
                // One that was due meanwhile has told it already.
                if now.since(self.boxes[at].last_far) >= MIN_HALL_GOSSIP_INTERVAL {
                    self.tells(now, at);
                }
            }
            Event::Hears(at, of, from, rows) => {
                let changes = self.boxes[at].known.merge_rows(now, of, &from, &rows);
                if !changes.is_empty() {
                    self.keep_in_store(now, at);
                }
                if !changes.is_empty() && self.speaks(at) {
                    let due = now.max(self.boxes[at].last_far + MIN_HALL_GOSSIP_INTERVAL);
                    self.agenda.put(due, Event::TellsFar(at));
                }
            }
            Event::Stored(work, fact) => self.stored(now, work, fact),
            Event::Restarts => {
                let at = self.rng.random_range(0..self.boxes.len());
                self.boxes[at].restart();
                for (work, fact) in self.stored.clone() {
                    self.boxes[at].known.apply_fact(now, work, fact);
                }
                self.put_next(now, self.plan.restarts, || Event::Restarts);
            }
        }
    }

    fn arrives(&mut self, now: Time, kind: Kind) {
        let work = match kind {
            Kind::Deadly => DEADLY,
            Kind::Equal => EQUAL,
            Kind::Other | Kind::DeadlyPart => {
                self.next_work += 1;
                RequestFingerprint {
                    workspace_digest: 1,
                    digest: self.next_work,
                }
            }
        };
        let box_at = self.rng.random_range(0..self.boxes.len());
        let keys = self.keys(kind, work);
        self.calls.push(Call {
            kind,
            keys,
            box_at,
            sent: 0,
            saw_crash: false,
            waits_since: None,
            runs: None,
            began: now,
            responded: None,
        });
        match kind {
            Kind::Deadly => {}
            Kind::DeadlyPart => {
                self.put_next(now, self.plan.deadly_parts, || Event::Arrives(kind));
            }
            Kind::Other => {
                self.counts.others += 1;
                self.put_next(now, self.plan.others, || Event::Arrives(kind));
            }
            Kind::Equal => {
                self.counts.equal += 1;
                self.put_next(now, self.plan.equal, || Event::Arrives(kind));
            }
        }
        self.tries(now, self.calls.len() - 1);
    }

    fn keys(&mut self, kind: Kind, work: RequestFingerprint) -> CallKeys {
        let first = match self.plan.first_parts {
            0 => None,
            parts => Some(PartId(self.rng.random_range(1..=parts))),
        };
        let deadly = (kind == Kind::DeadlyPart).then_some(DEADLY_PART);
        let mut parts = PromptParts::default();
        if self.bound != Bound::WholeRequests {
            parts = PromptParts::collect(first.into_iter().chain(deadly).map(Some));
        }
        CallKeys::of(Some(work), &parts, &ServiceName::new("service"), None)
    }

    fn tries(&mut self, now: Time, id: usize) {
        let call = &self.calls[id];
        let (box_at, keys, saw_crash) = (call.box_at, call.keys.clone(), call.saw_crash);
        let admission = self.admit(now, box_at, &keys, saw_crash);
        match admission {
            Admission::Run { crashes } => self.runs(now, id, crashes),
            Admission::Quarantined { .. } => self.refused(now, id),
            Admission::Wait => {
                let since = *self.calls[id].waits_since.get_or_insert(now);
                if now.since(since) >= PATIENCE {
                    return self.refused(now, id);
                }
                self.agenda.put(now + LOOK_AGAIN, Event::Tries(id));
            }
        }
    }

    fn admit(&mut self, now: Time, at: usize, keys: &CallKeys, saw_crash: bool) -> Admission {
        let count = self.boxes.len();
        let ranks = &self.ranks;
        let rank = |key| ranks.rank(key, at);
        let of = &mut self.boxes[at];
        of.known.quarantine_settled_parts(now, keys);
        let plain = Admission::Run { crashes: 0 };
        match self.bound {
            Bound::None => plain,
            Bound::Shared | Bound::WholeRequests | Bound::EachBox => {
                of.known.admit(now, keys, saw_crash, rank)
            }
            Bound::NewsAlone => match of.known.admit(now, keys, true, rank) {
                Admission::Wait => plain,
                other => other,
            },
            Bound::Owner => {
                let work = keys.request().map_or(0, |request| request.digest);
                let is_owner = work as usize % count == at;
                match of.known.admit(now, keys, saw_crash, rank) {
                    Admission::Run { crashes: 1.. } if !is_owner => {
                        of.known.end_run(now, keys);
                        Admission::Quarantined {
                            key: SuspectKey::Request(DEADLY),
                            left: Duration::ZERO,
                            crashes: 0,
                        }
                    }
                    other => other,
                }
            }
        }
    }

    fn runs(&mut self, now: Time, id: usize, crashes: usize) {
        let living: Vec<usize> = (0..self.servers.len())
            .filter(|&at| self.servers[at].lives)
            .collect();
        if living.is_empty() {
            return self.lost(now, id);
        }
        // Calls are packed on a third of the servers, as short ones are; suspect ones go apart.
        let packed = living.len().div_ceil(3);
        let server = if crashes >= ISOLATION_MIN_CRASHES {
            living[self
                .rng
                .random_range(packed.min(living.len() - 1)..living.len())]
        } else {
            living[self.rng.random_range(0..packed)]
        };
        let life = self.servers[server].life;
        self.servers[server].runs.push(id);
        let call = &mut self.calls[id];
        call.sent += 1;
        call.waits_since = None;
        call.runs = Some((server, life));
        call.began = now;
        call.responded = None;
        if self.plan.first_parts > 0 {
            let responds = now + self.millis(120, 400);
            self.agenda.put(responds, Event::Responds(id, life));
            let kind = self.calls[id].kind;
            if kind == Kind::DeadlyPart {
                let is_late = |fifth: Time| now.since(fifth) > NEWS_IN_FORCE;
                self.counts.part_late_sends +=
                    usize::from(self.fifth_part_end.is_some_and(is_late));
                let ends = match self.plan.part_timing {
                    PartTiming::Soon => responds + self.millis(40, 80),
                    PartTiming::Before => Time::from_micros(responds.as_micros() - 1),
                    PartTiming::Late => responds + self.millis(300, 900),
                };
                self.agenda.put(ends, Event::Crashes(server, life));
            } else {
                let ends = responds + self.millis(400, 1_800);
                self.agenda.put(ends, Event::RunEnds(id, life));
            }
        } else if call.kind == Kind::Deadly {
            let is_late = |third: Time| now.since(third) > NEWS_IN_FORCE;
            self.counts.late_sends += usize::from(self.third_end.is_some_and(is_late));
            let ends = now + self.millis(80, 400);
            self.agenda.put(ends, Event::Crashes(server, life));
        } else {
            let ends = now + self.millis(150, 900);
            self.agenda.put(ends, Event::RunEnds(id, life));
        }
        if crashes > 0 {
            self.agenda.put(now, Event::Tells(self.calls[id].box_at));
        }
    }

    fn runs_on(&self, id: usize, life: u64) -> bool {
        self.calls[id].runs.is_some_and(|(_, of)| of == life)
    }

    fn goes_on(&mut self, now: Time, id: usize, life: u64) {
        let call = &self.calls[id];
        let (box_at, keys, responded) = (call.box_at, call.keys.clone(), call.responded);
        let Some(responded) = responded.filter(|_| self.runs_on(id, life)) else {
            return;
        };
        let known = &mut self.boxes[box_at].known;
        if !known
            .record_progress(now, &keys, now.since(responded))
            .is_empty()
        {
            self.agenda.put(now, Event::Tells(box_at));
        }
        self.agenda.put(now + EVENT_GAP, Event::GoesOn(id, life));
    }

    fn run_ends(&mut self, now: Time, id: usize, life: u64) {
        let call = &mut self.calls[id];
        let Some((server, _)) = call.runs.filter(|(_, of)| *of == life) else {
            return;
        };
        call.runs = None;
        let (box_at, keys) = (call.box_at, call.keys.clone());
        self.servers[server].runs.retain(|run| *run != id);
        let known = &mut self.boxes[box_at].known;
        let changes = known.record_success(now, &keys);
        let is_told = known.end_run(now, &keys);
        if !changes.is_empty() || is_told {
            self.agenda.put(now, Event::Tells(box_at));
        }
    }

    /// Some servers end by themselves, all within a short time.
    fn wave(&mut self, now: Time) {
        for server in 0..self.servers.len() {
            if self.rng.random::<f64>() < self.plan.waves && self.servers[server].lives {
                let at = now + self.millis(0, self.plan.spread_ms + 1);
                let life = self.servers[server].life;
                self.agenda.put(at, Event::Ends(server, life));
            }
        }
        self.agenda.put(now + Duration::from_secs(4), Event::Wave);
    }

    /// A server ends by itself, with others that end in the same millisecond.
    fn ends(&mut self, now: Time, server: usize, of: u64) {
        if self.servers[server].life == of && self.servers[server].lives {
            let (life, runs) = self.end_life(now, server);
            for id in runs {
                self.agenda.put(now, Event::BreaksOff(id, life));
            }
        }
    }

    /// A server ends under a call.
    fn server_ends(&mut self, now: Time, server: usize) {
        if self.plan.first_parts > 0 {
            self.counts.part_ended += 1;
            if self.counts.part_ended == 5 {
                self.fifth_part_end = Some(now);
            }
        } else {
            self.counts.ended += 1;
            if self.counts.ended == 3 {
                self.third_end = Some(now);
            }
        }
        let (life, runs) = self.end_life(now, server);
        for id in runs {
            self.broke_off(now, id, life);
        }
    }

    /// Ends a life; gives back which it was and the calls that ran.
    fn end_life(&mut self, now: Time, server: usize) -> (ServerIncarnation, Vec<usize>) {
        let life = ServerIncarnation((server as u64) << 32 | self.servers[server].life);
        let runs = self.servers[server].end();
        let back = now + self.millis(2_000, 4_000);
        self.agenda.put(back, Event::Starts(server));
        (life, runs)
    }

    fn broke_off(&mut self, now: Time, id: usize, life: ServerIncarnation) {
        let call = &mut self.calls[id];
        call.runs = None;
        call.saw_crash = true;
        let (at, keys) = (call.box_at, call.keys.clone());
        let run = CrashedRun {
            started: call.began,
            response_started: call.responded,
            ended: now,
        };
        let of = &mut self.boxes[at];
        of.known.record_crash(now, &keys, life, run);
        of.known.end_run(now, &keys);
        if !matches!(self.bound, Bound::None | Bound::EachBox) {
            self.agenda.put(now, Event::Tells(at));
            self.keep_in_store(now, at);
        }
        if self.calls[id].sent < MOST_SENT {
            self.tries(now, id);
        } else {
            self.lost(now, id);
        }
    }

    fn keep_in_store(&mut self, now: Time, at: usize) {
        let is_alone = self.boxes[at].is_cut_off;
        for (work, fact) in self.boxes[at].known.unstored_facts(now, is_alone) {
            // Marked as kept at once: what is on its way is not written again.
            self.boxes[at].known.apply_fact(now, work, fact);
            self.agenda.put(now + STORE_WAY, Event::Stored(work, fact));
        }
    }

    fn lost(&mut self, now: Time, id: usize) {
        match self.calls[id].kind {
            Kind::Deadly => self.comes_again(now),
            Kind::DeadlyPart => {}
            Kind::Other => self.counts.others_lost += 1,
            Kind::Equal => self.counts.equal_lost += 1,
        }
    }

    fn refused(&mut self, now: Time, id: usize) {
        match self.calls[id].kind {
            Kind::Deadly => self.comes_again(now),
            Kind::DeadlyPart => {}
            Kind::Other => self.counts.others_refused += 1,
            Kind::Equal => self.counts.equal_refused += 1,
        }
    }

    fn comes_again(&mut self, now: Time) {
        let at = now + self.millis(50, 500);
        self.agenda.put(at, Event::Arrives(Kind::Deadly));
    }

    /// Whether this box tells the other halls what its own knows.
    fn speaks(&self, at: usize) -> bool {
        let hall = self.boxes[at].hall;
        let mut of_hall = self.boxes.iter().filter(|of| of.hall == hall);
        let first = of_hall.find(|of| !of.is_cut_off);
        first.is_some_and(|of| of.name == self.boxes[at].name)
    }

    fn tells(&mut self, now: Time, at: usize) {
        if self.boxes[at].is_cut_off || matches!(self.bound, Bound::None | Bound::EachBox) {
            return;
        }
        let Some(rows) = self.boxes[at].rows(now, RunScope::Box) else {
            return;
        };
        let (name, hall) = (self.boxes[at].name.clone(), self.boxes[at].hall);
        for to in 0..self.boxes.len() {
            if self.boxes[to].hall == hall {
                let way = self.millis(1, 3);
                self.tell(now + way, at, to, (RunScope::Box, name.clone()), &rows);
            }
        }
        let speaks =
            self.speaks(at) && now.since(self.boxes[at].last_far) >= MIN_HALL_GOSSIP_INTERVAL;
        let of_hall = speaks.then(|| self.boxes[at].rows(now, RunScope::Hall));
        let Some(rows) = of_hall.flatten() else {
            return;
        };
        self.boxes[at].last_far = now;
        for to in 0..self.boxes.len() {
            if self.boxes[to].hall != hall {
                let way = self.millis(2, 25);
                let teller = (RunScope::Hall, format!("hall-{hall}"));
                self.tell(now + way, at, to, teller, &rows);
            }
        }
    }

    /// One datagram in a hundred gets lost.
    fn tell(
        &mut self,
        when: Time,
        from: usize,
        to: usize,
        (of, teller): (RunScope, String),
        rows: &Rc<Vec<QuarantineRow>>,
    ) {
        let is_lost = self.rng.random::<f64>() < 0.01;
        if to != from && !self.boxes[to].is_cut_off && !is_lost {
            let event = Event::Hears(to, of, teller, Rc::clone(rows));
            self.agenda.put(when, event);
        }
    }

    fn stored(&mut self, now: Time, work: SuspectKey, fact: StoredFact) {
        if self.stored.contains(&(work, fact)) {
            return;
        }
        self.stored.push((work, fact));
        // Boxes that hear no other one watch the store, and the first two of each hall do.
        let mut followers: BTreeMap<usize, usize> = BTreeMap::new();
        for of in &mut self.boxes {
            let before = followers.entry(of.hall).or_default();
            if of.is_cut_off || *before < 2 {
                *before += usize::from(!of.is_cut_off);
                of.known.apply_fact(now, work, fact);
            }
        }
    }
}
