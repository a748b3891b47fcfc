//! Boxes before servers of which some shed load, in virtual time.
//!
//! How a server stands is the library's own decision (`relay::server_notices`); around it lie callers, a
//! shared order of servers by which calls are packed, and datagrams that take time and get lost. Other
//! ways of taking a pause are there to be compared: what counts is how many calls are served, how many
//! are turned away, and what is left for a server that sheds a little. Not modelled: prompts of unlike
//! lengths, and boxes that know each other's calls late.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::server_notices::ServerNotices;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;

/// From a box to a server, or to another box.
const WAY: Duration = Duration::from_micros(1_500);
/// Until a change is told: datagrams wait for each other.
const TELLS_AFTER: Duration = Duration::from_millis(10);
/// How long a call runs.
const RUNS: Duration = Duration::from_millis(500);
/// Calls that a server runs at once.
const SLOTS: u32 = 16;
/// Calls that wait there for a slot; boxes that choose at once find it full together.
const QUEUE: u32 = 4;
/// Part of them up to which calls are packed there.
const PACKED: u32 = 12;
/// Servers that calls are drawn over beside those that they fill.
const SPARE: usize = 1;
/// Servers that may run a call, and that may turn it away in need.
const MAX_SENDS: u32 = 2;
const MAX_SHED: u32 = 4;
/// Calls that were on their way when a pause began.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// Repeats that are allowed: a part of the calls of the last ten seconds, and some more.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 100.0;
const BUDGET_SLACK_PER_BOX: f64 = 2.0;

/// What a box does with a pause that a server asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Nothing.
    Ignored,
    /// It keeps it and tells nobody.
    Alone,
    /// It keeps it and tells the others, which prefer other servers.
    ToldAsCost,
    /// It tells the others, and all keep it.
    Shared,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct ShedPlan {
    /// Boxes.
    pub boxes: usize,
    /// Servers.
    pub servers: usize,
    /// How many of them shed, the first ones of the order.
    pub shedding: usize,
    /// Part of their calls that these turn away.
    pub part: f64,
    /// The pause that they ask for.
    pub pause: Duration,
    /// Calls, as a part of what all servers together could run.
    pub load: f64,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// How long it goes on.
    pub lasts: Duration,
}

/// What came of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShedCounts {
    /// Calls of callers.
    pub calls: u64,
    /// Calls that were served.
    pub served: u64,
    /// Times that a call was turned away by a server that sheds.
    pub shed: u64,
    /// Calls that reached a server in a pause that it had asked their box for.
    pub in_pauses: u64,
    /// Calls that the servers that shed ran.
    pub run_by_shedding: u64,
}

impl ShedCounts {
    /// Part of the calls that was served.
    pub fn served_part(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }
}

#[derive(Debug, Clone)]
struct Sent {
    from: usize,
    tried: Vec<usize>,
    sends: u32,
    shed: u32,
}

#[derive(Debug)]
enum Event {
    Arrives,
    Reaches(Sent, usize),
    Runs(usize),
    /// An answer comes back; whether the server shed the call, or was full, or ran it.
    Answers(Sent, usize, Answer),
    Tells(usize),
    Hears(usize, NoticeRows),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Ran,
    Full,
    Shed,
}

struct World {
    plan: ShedPlan,
    way: Way,
    agenda: Agenda<Event>,
    boxes: Vec<ServerNotices>,
    running: Vec<u32>,
    /// When each server last turned a box away.
    turned_away: HashMap<(usize, usize), Time>,
    calls: VecDeque<Time>,
    repeats: VecDeque<Time>,
    counts: ShedCounts,
    rng: ChaCha8Rng,
}

/// Plays a plan with a seed.
pub fn run(plan: &ShedPlan, way: Way, seed: u64) -> ShedCounts {
    let mut world = World {
        plan: *plan,
        way,
        agenda: Agenda::default(),
        boxes: (0..plan.boxes).map(|_| ServerNotices::default()).collect(),
        running: vec![0; plan.servers],
        turned_away: HashMap::new(),
        calls: VecDeque::new(),
        repeats: VecDeque::new(),
        counts: ShedCounts::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let end = Time::ZERO + plan.lasts;
    world.agenda.put(Time::ZERO, Event::Arrives);
    while let Some((now, event)) = world.agenda.take(end) {
        world.on(now, event);
    }
    world.counts
}

const fn life(server: usize) -> ServerIncarnation {
    ServerIncarnation(server as u64)
}

impl World {
    fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrives => self.arrives(now),
            Event::Reaches(sent, server) => self.reaches(now, sent, server),
            Event::Runs(server) => self.running[server] -= 1,
            Event::Answers(sent, server, answer) => self.answers(now, sent, server, answer),
            Event::Tells(from) => self.tells(now, from),
            Event::Hears(at, rows) => self.hears(now, at, &rows),
        }
    }

    fn arrives(&mut self, now: Time) {
        let most = f64::from(SLOTS) * self.plan.servers as f64 / RUNS.as_secs_f64();
        let mean = 1.0 / (most * self.plan.load);
        let pause = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.agenda
            .put(now + Duration::from_secs_f64(pause), Event::Arrives);
        self.counts.calls += 1;
        self.calls.push_back(now);
        let sent = Sent {
            from: self.rng.random_range(0..self.plan.boxes),
            tried: Vec::new(),
            sends: 0,
            shed: 0,
        };
        self.send(now, sent);
    }

    /// One of the first servers of the order that have room, one that sheds only where no other has.
    fn choose(&mut self, now: Time, sent: &Sent) -> Option<usize> {
        let notices = &self.boxes[sent.from];
        let availability = |server: usize| {
            if sent.tried.is_empty() {
                notices.availability(now, life(server))
            } else {
                notices.availability_for_retry(now, life(server))
            }
        };
        let of = |most: u32, wanted: Availability| {
            let has_room = |&server: &usize| {
                self.running[server] < most
                    && !sent.tried.contains(&server)
                    && availability(server) == wanted
            };
            let wide = self.running.iter().sum::<u32>().div_ceil(PACKED) as usize + SPARE;
            let good = (0..self.plan.servers).filter(has_room);
            good.take(wide).collect::<Vec<_>>()
        };
        let mut lane = of(PACKED, Availability::Open);
        for wanted in [Availability::Open, Availability::Shedding] {
            if lane.is_empty() {
                lane = of(SLOTS, wanted);
            }
        }
        lane.choose(&mut self.rng).copied()
    }

    fn send(&mut self, now: Time, mut sent: Sent) {
        let Some(server) = self.choose(now, &sent) else {
            return;
        };
        sent.sends += 1;
        sent.tried.push(server);
        self.boxes[sent.from]
            .shedding
            .record_sent(now, life(server));
        self.agenda.put(now + WAY, Event::Reaches(sent, server));
    }

    fn reaches(&mut self, now: Time, sent: Sent, server: usize) {
        let last = self.turned_away.get(&(server, sent.from));
        let in_pause =
            last.is_some_and(|at| (ON_THEIR_WAY..self.plan.pause).contains(&now.since(*at)));
        self.counts.in_pauses += u64::from(in_pause);
        let sheds = server < self.plan.shedding && self.rng.random_bool(self.plan.part);
        let answer = if sheds {
            self.counts.shed += 1;
            self.turned_away.insert((server, sent.from), now);
            Answer::Shed
        } else if self.running[server] >= SLOTS + QUEUE {
            Answer::Full
        } else {
            self.running[server] += 1;
            self.agenda.put(now + RUNS, Event::Runs(server));
            self.counts.run_by_shedding += u64::from(server < self.plan.shedding);
            Answer::Ran
        };
        self.agenda
            .put(now + WAY, Event::Answers(sent, server, answer));
    }

    fn answers(&mut self, now: Time, mut sent: Sent, server: usize, answer: Answer) {
        let notice = Notice {
            retry_after: match answer {
                Answer::Shed => ParsedHeader::Value(self.plan.pause),
                Answer::Ran | Answer::Full => ParsedHeader::Absent,
            },
            ..Notice::default()
        };
        if self.way != Way::Ignored {
            let known = &mut self.boxes[sent.from];
            let changes = known.record_response(now, life(server), &notice, true);
            let is_told = matches!(self.way, Way::ToldAsCost | Way::Shared);
            if is_told && !changes.shedding.is_empty() {
                self.agenda.put(now + TELLS_AFTER, Event::Tells(sent.from));
            }
        }
        match answer {
            Answer::Ran => {
                self.counts.served += 1;
                return;
            }
            Answer::Shed => sent.shed += 1,
            Answer::Full => {}
        }
        if sent.sends - sent.shed < MAX_SENDS && sent.shed < MAX_SHED && self.may_repeat(now) {
            self.send(now, sent);
        }
    }

    fn may_repeat(&mut self, now: Time) -> bool {
        let is_old = |at: &Time| now.since(*at) > BUDGET_WINDOW;
        while self.calls.front().is_some_and(is_old) {
            self.calls.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
        let slack = BUDGET_SLACK + BUDGET_SLACK_PER_BOX * self.plan.boxes as f64;
        let may = (self.repeats.len() as f64) < self.calls.len() as f64 * BUDGET_RATIO + slack;
        if may {
            self.repeats.push_back(now);
        }
        may
    }

    fn tells(&mut self, now: Time, from: usize) {
        let rows = self.boxes[from].rows(now);
        for at in (0..self.plan.boxes).filter(|at| *at != from) {
            if !self.rng.random_bool(self.plan.loss) {
                self.agenda.put(now + WAY, Event::Hears(at, rows.clone()));
            }
        }
    }

    fn hears(&mut self, now: Time, at: usize, rows: &NoticeRows) {
        if self.way == Way::Shared {
            for row in &rows.shedding {
                let left = Duration::from_millis(row.remaining_ms.into());
                self.boxes[at]
                    .shedding
                    .record_shed(now, row.incarnation, left);
            }
        } else {
            self.boxes[at].merge_rows(now, rows);
        }
    }
}
