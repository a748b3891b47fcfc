//! Boxes before a server that names a limit, in virtual time.
//!
//! The decisions are the library's own (`relay::server_limits`, `quota_owner`, `call_quota`); around them
//! lie callers whose calls need that server, and datagrams that take time and get lost. Other ways of
//! sharing the limit are there to be compared. What counts is what the server gets in its worst four
//! seconds, and how much of its limit is used. Not modelled: other servers, which would take most
//! of these calls, and the routing that keeps them away.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use badgerferry_lib::relay::call_quota::CallQuota;
use badgerferry_lib::relay::call_quota::ColdTolerance;
use badgerferry_lib::relay::call_quota::QuotaTerms;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_limits::LimitRow;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;

mod fleet;

use fleet::Disturbance;
use fleet::LimitFleet;

/// The server.
const SERVER: ServerIncarnation = ServerIncarnation(1);
/// What the server bears while it is cold.
const COLD_TOLERANCE: ColdTolerance = ColdTolerance {
    overload: 1.5,
    slack: 5.0,
};
/// What a limit counts over.
pub const WINDOW: Duration = Duration::from_secs(4);
/// From here on it is judged.
const JUDGED_FROM: Time = Time::from_millis(5_000);
/// When boxes are cut off or start anew.
const DISTURBED_AT: Time = Time::from_millis(15_000);
/// How long boxes stay cut off.
const CUT_FOR: Duration = Duration::from_secs(10);
/// How long a box waits for an answer before it asks again, and then gives up, as the daemon does.
const ANSWER_LIMITS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(110)];
/// How long the server takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// How long the news that a server is cold takes to another hall, at most: its delegates send every
/// 20 ms.
const HALL_NEWS_MS: std::ops::Range<u64> = 20..40;
/// When news that was lost is told again.
const NEWS_INTERVAL: Duration = Duration::from_millis(400);
/// How long a server is closed whose keeper does not answer.
const NO_KEEPER: Duration = Duration::from_millis(250);

/// How the limit is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Not at all.
    None,
    /// Each box takes it for itself alone.
    EachBox,
    /// Each box takes an even part.
    Even,
    /// Boxes send in turns, one for each call that the server takes.
    Turns,
    /// Boxes tell each other what they sent, and stop at the sum.
    Told,
    /// One box gives the calls out.
    Keeper,
    /// The same for a cold server.
    ColdKeeper,
}

/// What disturbs the boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// Half of them hear only each other for ten seconds; all reach the server.
    HalfCutOff,
    /// The halls hear only themselves for ten seconds; all reach the server.
    HallsCutOff,
    /// Half of them start anew.
    HalfNew,
    /// The first of each hall end and stay away.
    KeepersGone,
    /// The keeper ends and stays away.
    KeeperGone,
    /// The keeper is cut off from all others for ten seconds; it reaches the server.
    KeeperCutOff,
    /// The server becomes cold, which its answers tell; before, no limit is known.
    TurnsCold,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct LimitPlan {
    /// Boxes, in three halls.
    pub boxes: usize,
    /// Calls a second that the server takes.
    pub limit: f64,
    /// Calls that need it, as a multiple of that.
    pub demand: f64,
    /// Part of the seconds in which there is any; the calls of the others come then, too.
    pub busy: f64,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// What disturbs the boxes.
    pub trouble: Trouble,
    /// How long it goes on.
    pub lasts: Duration,
}

/// What came of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitCounts {
    /// Most calls in four seconds beyond what the limit allows.
    pub over: f64,
    /// Most calls in one second.
    pub most_in_second: usize,
    /// Part of the limit that was used.
    pub used: f64,
    /// Questions and answers sent, in a second.
    pub datagrams: f64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives,
    Asked(Question),
    Answered(Question, PermitDecision),
    Unanswered(Question),
    Sent {
        from: usize,
    },
    /// A box learns that the server is cold, from an answer or from another box.
    Learns {
        at: usize,
        from_answer: bool,
    },
    Told {
        at: usize,
        calls: u32,
    },
    TellsSum(usize),
    Strikes,
    Heals,
}

/// A question under way.
#[derive(Debug, Clone, Copy)]
struct Question {
    id: u64,
    from: usize,
    keeper: usize,
    /// How often it was asked before.
    turn: usize,
}

struct World {
    plan: LimitPlan,
    share: Share,
    rate: CallRate,
    agenda: Agenda<Event>,
    fleet: LimitFleet,
    quotas: HashMap<usize, CallQuota>,
    /// By box: calls sent anywhere that it knows of, in the last window.
    known: Vec<VecDeque<(Time, u32)>>,
    /// By box: own calls that are not told yet.
    untold: Vec<u32>,
    /// By box: the turn in which it last sent.
    last_turn: Vec<Option<u64>>,
    open: HashMap<u64, Question>,
    arrivals: Vec<Time>,
    /// From here on it is judged.
    judged_from: Time,
    datagrams: u64,
    rng: ChaCha8Rng,
}

/// Plays a plan with a seed.
///
/// # Panics
///
/// The plan's limit is no rate.
pub fn run(plan: &LimitPlan, share: Share, seed: u64) -> LimitCounts {
    let mut world = World::new(*plan, share, seed);
    let end = Time::ZERO + plan.lasts;
    while let Some((now, event)) = world.agenda.take(end) {
        world.on(now, event);
    }
    world.counts(end)
}

impl World {
    fn new(plan: LimitPlan, share: Share, seed: u64) -> Self {
        let rate = CallRate::per_second(plan.limit).expect("a plan's limit is a rate");
        let mut world = Self {
            plan,
            share,
            rate,
            agenda: Agenda::default(),
            fleet: LimitFleet::new(plan.boxes),
            quotas: HashMap::new(),
            known: vec![VecDeque::new(); plan.boxes],
            untold: vec![0; plan.boxes],
            last_turn: vec![None; plan.boxes],
            open: HashMap::new(),
            arrivals: Vec::new(),
            judged_from: JUDGED_FROM,
            datagrams: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        if plan.trouble != Trouble::TurnsCold {
            for one in &mut world.fleet.boxes {
                one.limits
                    .record_response(Time::ZERO, SERVER, ParsedHeader::Value(rate));
            }
        }
        world.agenda.put(Time::ZERO, Event::Arrives);
        if plan.trouble != Trouble::Calm {
            world.agenda.put(DISTURBED_AT, Event::Strikes);
        }
        world
    }

    fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrives => {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.limit;
                let gap = Duration::from_secs_f64(gap / self.plan.demand * self.plan.busy);
                let next = self.busy_at(now + gap);
                self.agenda.put(next, Event::Arrives);
                let at = self.rng.random_range(0..self.plan.boxes);
                if self.fleet.boxes[at].is_up {
                    self.arrives(now, at);
                }
            }
            Event::Asked(question) => self.asked(now, question),
            Event::Answered(question, decision) => self.answered(now, question, decision),
            Event::Unanswered(question) => self.unanswered(now, question),
            Event::Sent { from } => {
                self.arrivals.push(now);
                if self.is_cold(now) {
                    let way = self.way();
                    let news = Event::Learns {
                        at: from,
                        from_answer: true,
                    };
                    self.agenda.put(now + SERVICE_TIME + way, news);
                }
            }
            Event::Learns { at, from_answer } => {
                if self.learns(now, at) && from_answer {
                    self.tells_news(now, at);
                }
            }
            Event::Told { at, calls } => self.known[at].push_back((now, calls)),
            Event::TellsSum(from) => self.tells_sum(now, from),
            Event::Strikes => self.strikes(now),
            Event::Heals => self.fleet.heal(now),
        }
    }

    /// Each second begins with its calls; the rest of it has none.
    fn busy_at(&self, at: Time) -> Time {
        let in_second = at.as_micros() % 1_000_000;
        if in_second as f64 <= self.plan.busy * 1e6 {
            return at;
        }
        Time::from_micros(at.as_micros() - in_second + 1_000_000)
    }

    fn arrives(&mut self, now: Time, at: usize) {
        let may = match self.share {
            Share::None => true,
            Share::EachBox => self.takes(now, at, self.rate),
            Share::Even => self.takes(now, at, self.rate.divided_by(self.plan.boxes)),
            Share::Turns => self.has_turn(now, at),
            Share::Told => self.is_below_sum(now, at),
            Share::Keeper | Share::ColdKeeper if !self.knows(at) => true,
            Share::Keeper | Share::ColdKeeper => {
                self.asks(now, at);
                false
            }
        };
        if may {
            self.sends(now, at);
        }
    }

    fn sends(&mut self, now: Time, from: usize) {
        let way = self.way();
        self.agenda.put(now + way, Event::Sent { from });
    }

    fn is_cold(&self, now: Time) -> bool {
        self.plan.trouble == Trouble::TurnsCold && now >= DISTURBED_AT
    }

    fn knows(&self, at: usize) -> bool {
        self.fleet.boxes[at].limits.limit(SERVER).is_some()
    }

    /// Whether it is news to a box that the server is cold.
    fn learns(&mut self, now: Time, at: usize) -> bool {
        if self.knows(at) {
            return false;
        }
        if !(0..self.plan.boxes).any(|other| self.knows(other)) {
            self.judged_from = now;
        }
        let header = ParsedHeader::Value(self.rate);
        self.fleet.boxes[at]
            .limits
            .record_response(now, SERVER, header);
        true
    }

    fn tells_news(&mut self, now: Time, at: usize) {
        for to in 0..self.plan.boxes {
            let mut arrives = now + self.way();
            while self.rng.random::<f64>() < self.plan.loss {
                arrives = arrives + NEWS_INTERVAL;
            }
            if self.fleet.boxes[to].hall != self.fleet.boxes[at].hall {
                arrives = arrives + Duration::from_millis(self.rng.random_range(HALL_NEWS_MS));
            }
            let news = Event::Learns {
                at: to,
                from_answer: false,
            };
            self.agenda.put(arrives, news);
        }
    }

    fn way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..2_500))
    }

    fn takes(&mut self, now: Time, at: usize, rate: CallRate) -> bool {
        let quota = self.quotas.entry(at);
        let quota = quota.or_insert_with(|| CallQuota::new(now, QuotaTerms::stated(rate, 1)));
        quota.take(now, Duration::ZERO).is_ok()
    }

    /// Clocks of two boxes agree to 100 ms.
    fn has_turn(&mut self, now: Time, at: usize) -> bool {
        let clock = now + Duration::from_millis((at * 37 % 100) as u64);
        let turn = clock.as_micros() / self.rate.interval().as_micros().max(1) as u64;
        let is_own = turn % self.plan.boxes as u64 == at as u64;
        is_own && self.last_turn[at].replace(turn) != Some(turn)
    }

    fn is_below_sum(&mut self, now: Time, at: usize) -> bool {
        let known = &mut self.known[at];
        while known
            .front()
            .is_some_and(|(then, _)| now.since(*then) >= WINDOW)
        {
            known.pop_front();
        }
        let sum: u32 = known.iter().map(|(_, calls)| calls).sum();
        let may = f64::from(sum) + 1.0 <= self.plan.limit * WINDOW.as_secs_f64();
        if may {
            known.push_back((now, 1));
            if self.untold[at] == 0 {
                let pause = Duration::from_millis(self.plan.boxes.min(100) as u64);
                self.agenda.put(now + pause, Event::TellsSum(at));
            }
            self.untold[at] += 1;
        }
        may
    }

    /// Boxes of a hall hear it at once, the others when their halls are told.
    fn tells_sum(&mut self, now: Time, from: usize) {
        let calls = std::mem::take(&mut self.untold[from]);
        for at in 0..self.plan.boxes {
            let is_lost = self.rng.random::<f64>() < self.plan.loss;
            if at == from || is_lost || !self.fleet.hears(now, at, from) {
                continue;
            }
            let far = if self.fleet.boxes[at].hall == self.fleet.boxes[from].hall {
                Duration::ZERO
            } else {
                Duration::from_millis(self.rng.random_range(20..40))
            };
            let way = self.way();
            self.agenda.put(now + way + far, Event::Told { at, calls });
            self.datagrams += 1;
        }
    }

    fn asks(&mut self, now: Time, at: usize) {
        let availability = &self.fleet.boxes[at].limits;
        if !availability.closed_for(now, SERVER).is_zero() {
            return;
        }
        match self.keeper(now, at) {
            QuotaOwner::Local { shares } => {
                let decision = self.decides(now, at, shares);
                self.told(now, at, decision);
            }
            QuotaOwner::Remote(address) => {
                let question = Question {
                    id: self.rng.random(),
                    from: at,
                    keeper: usize::from(address.port()) - 1,
                    turn: 0,
                };
                self.put_question(now, question);
            }
            QuotaOwner::Unknown => self.told(now, at, PermitDecision::NotOwner),
        }
    }

    fn keeper(&self, now: Time, at: usize) -> QuotaOwner {
        self.fleet.keeper(now, at, self.share == Share::ColdKeeper)
    }

    fn put_question(&mut self, now: Time, question: Question) {
        self.open.insert(question.id, question);
        self.agenda.put(
            now + ANSWER_LIMITS[question.turn],
            Event::Unanswered(question),
        );
        if self.arrives_there(now, question.keeper, question.from) {
            let way = self.way();
            self.agenda.put(now + way, Event::Asked(question));
        }
    }

    fn arrives_there(&mut self, now: Time, to: usize, from: usize) -> bool {
        self.datagrams += 1;
        let is_lost = self.rng.random::<f64>() < self.plan.loss;
        !is_lost && self.fleet.is_connected(to, from) && self.fleet.has_way(now, to, from)
    }

    fn asked(&mut self, now: Time, question: Question) {
        let keeper = question.keeper;
        // A question carries the reason for the limit.
        self.learns(now, keeper);
        let before = self.fleet.boxes[keeper].quotas.cached_response(question.id);
        let decision = match (before, self.keeper(now, keeper)) {
            (Some(decision), _) => decision,
            (None, QuotaOwner::Local { shares }) => self.decides(now, keeper, shares),
            (None, QuotaOwner::Remote(_) | QuotaOwner::Unknown) => PermitDecision::NotOwner,
        };
        self.fleet.boxes[keeper]
            .quotas
            .cache_response(question.id, decision);
        if self.arrives_there(now, question.from, keeper) {
            let way = self.way();
            self.agenda
                .put(now + way, Event::Answered(question, decision));
        }
    }

    fn decides(&mut self, now: Time, at: usize, shares: usize) -> PermitDecision {
        let terms = match self.share {
            Share::ColdKeeper => QuotaTerms::cold(self.rate, shares, COLD_TOLERANCE),
            _ => QuotaTerms::stated(self.rate, shares),
        };
        let quotas = &mut self.fleet.boxes[at].quotas;
        match quotas.take(now, SERVER, terms, Duration::ZERO) {
            Ok(_at_once) => PermitDecision::Granted { after: 0 },
            Err(full) => PermitDecision::Full {
                retry_in: full.retry_in.as_micros() as u32,
            },
        }
    }

    fn answered(&mut self, now: Time, question: Question, decision: PermitDecision) {
        if self.open.remove(&question.id).is_some() {
            self.told(now, question.from, decision);
        }
    }

    fn unanswered(&mut self, now: Time, question: Question) {
        let is_open = self.open.get(&question.id);
        if is_open.is_none_or(|open| open.turn != question.turn) {
            return;
        }
        self.open.remove(&question.id);
        let turn = question.turn + 1;
        if turn < ANSWER_LIMITS.len() {
            self.put_question(now, Question { turn, ..question });
        } else {
            self.told(now, question.from, PermitDecision::NotOwner);
        }
    }

    fn told(&mut self, now: Time, at: usize, decision: PermitDecision) {
        let retry_in = match decision {
            PermitDecision::Granted { .. } => return self.sends(now, at),
            PermitDecision::Full { retry_in } => Duration::from_micros(retry_in.into()),
            PermitDecision::NotOwner => NO_KEEPER,
        };
        self.fleet.boxes[at].limits.close(now, SERVER, retry_in);
    }

    fn strikes(&mut self, now: Time) {
        let disturbance = match self.plan.trouble {
            Trouble::Calm | Trouble::TurnsCold => return,
            Trouble::HalfCutOff => {
                self.agenda.put(now + CUT_FOR, Event::Heals);
                Disturbance::Cut
            }
            Trouble::HallsCutOff => {
                self.agenda.put(now + CUT_FOR, Event::Heals);
                Disturbance::HallsApart
            }
            Trouble::HalfNew => Disturbance::Restart,
            Trouble::KeepersGone => Disturbance::FirstsEnd,
            Trouble::KeeperGone => Disturbance::FirstEnds,
            Trouble::KeeperCutOff => {
                self.agenda.put(now + CUT_FOR, Event::Heals);
                Disturbance::FirstAlone
            }
        };
        let row = LimitRow {
            incarnation: SERVER,
            rate: Some(self.rate),
            age_ms: 0,
        };
        for at in self.fleet.strike(now, disturbance) {
            // What it pulls at its start tells of the limit.
            self.fleet.boxes[at].limits.merge_rows(now, &[row]);
            self.quotas.remove(&at);
            self.known[at].clear();
            self.untold[at] = 0;
        }
    }

    fn counts(&self, end: Time) -> LimitCounts {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let from = arrivals.partition_point(|at| *at < self.judged_from);
        let judged = &arrivals[from..];
        let most_within = |window| {
            let within = |at: usize| {
                let until = judged[at] + window;
                judged[at..].partition_point(|other| *other < until)
            };
            (0..judged.len()).map(within).max().unwrap_or_default()
        };
        let most = most_within(WINDOW);
        let seconds = self.judged_from.until(end).as_secs_f64();
        LimitCounts {
            over: most as f64 - self.plan.limit * WINDOW.as_secs_f64(),
            most_in_second: most_within(Duration::from_secs(1)),
            used: judged.len() as f64 / (self.plan.limit * seconds),
            datagrams: self.datagrams as f64 / end.since(Time::ZERO).as_secs_f64(),
        }
    }
}
