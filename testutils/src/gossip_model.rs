//! Plays the gossip of one data hall in virtual time, with the library's decisions, in a mesh or
//! through hubs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::hall_hubs;
use badgerferry_lib::relay::hall_hubs::HallBox;
use badgerferry_lib::relay::hall_hubs::HallHubs;
use badgerferry_lib::relay::hall_hubs::HallRole;
use badgerferry_lib::relay::hub_wire::HubFrame;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::peer_liveness::PeerLiveness;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;

/// How long a datagram takes.
const LATENCY: Duration = Duration::from_micros(200);
/// Mean duration of a call.
const CALL: Duration = Duration::from_secs(1);
/// Fraction of the calls whose changes are urgent.
const URGENT_FRACTION: f64 = 0.08;
/// Boxes start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time from the start of a box until it is registered in the store, and knows those that were.
const REGISTRATION: Duration = Duration::from_millis(10);
/// Time from the wish for the list of boxes to the next one, and from a request to the response.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const LIST_LATENCY: Duration = Duration::from_millis(60);
/// Delay after which the two boxes that follow the store know of a new entry there.
const WATCH_LATENCY: Duration = Duration::from_millis(100);
/// Interval at which what boxes know of each other is compared with what holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Who tells whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each box tells all others.
    Mesh,
    /// As [`HallHubs`] decides.
    Hubs,
}

/// Which datagrams are lost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loss {
    /// This fraction of all, at random.
    Random(f64),
    /// Each so many-th load datagram that a box sends.
    LoadDatagrams(u64),
    /// Each so many-th frame that a hub sends to each receiver.
    HubFrames(u64),
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct GossipPlan {
    /// Boxes of the hall.
    pub boxes: usize,
    /// Who tells whom.
    pub way: Way,
    /// Calls a second in the hall.
    pub calls_per_s: f64,
    /// Which datagrams are lost.
    pub loss: Loss,
    /// Whether the boxes start together, and learn of each other only then.
    pub cold_start: bool,
    /// Number of the highest-ranked boxes that fail in the middle.
    pub failing: usize,
    /// How long it is played; boxes know each other from the second second on at the latest.
    pub lasts: Duration,
}

/// What came of it, from the third second on unless said otherwise.
#[derive(Debug, Clone, Default)]
pub struct GossipCounts {
    /// Datagrams received a second by a box: mean, and the most.
    pub received: (f64, f64),
    /// Datagrams sent a second by a box: mean, and the most.
    pub sent: (f64, f64),
    /// Bytes received a second by a box: mean, and the most.
    pub bytes: (f64, f64),
    /// Time until a change was known at another live box: median, 99th percentile and the longest.
    pub age_ms: [f64; 3],
    /// Fraction of the changes that a live box never learned.
    pub unknown: f64,
    /// Fraction of checks in which a hub held a live box of its hall for dead.
    pub false_silence: f64,
    /// Longest time for which a live box heard nobody.
    pub longest_blind: Duration,
    /// Time until all boxes heard of the hall through hubs, after a cold start.
    pub joined: Duration,
}

enum Event {
    Start(usize),
    Watched(usize),
    Round(usize),
    Batch(usize),
    Arrives(usize, usize, Rc<Vec<u8>>),
    List(usize, usize),
    CallBegins,
    CallEnds(usize),
    Check,
    Fail,
}

struct Node {
    hubs: HallHubs,
    liveness: PeerLiveness,
    known: BTreeSet<usize>,
    is_up: bool,
    calls: u32,
    sequence: u64,
    round_at: Time,
    last_round: Time,
    is_urgent: bool,
    role: HallRole,
    list_requested_at: Option<Time>,
    heard_at: Time,
    batch_at: Option<Time>,
    turns: u64,
    sent: u64,
    received: u64,
    bytes: u64,
}

struct Probe {
    sequence: u64,
    at: Time,
    seen: Vec<bool>,
}

struct Hall<'a> {
    plan: &'a GossipPlan,
    rng: ChaCha8Rng,
    agenda: Agenda<Event>,
    nodes: Vec<Node>,
    registered: BTreeSet<usize>,
    probes: HashMap<usize, Probe>,
    ages: Vec<Duration>,
    unknown: (u64, u64),
    checks: (u64, u64),
    counts: GossipCounts,
}

const MEASURED_FROM: Time = Time::from_millis(2_000);

fn name(number: usize) -> String {
    format!("edge-bursa-hall-{number:03}")
}

fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().expect("names end with a number")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number as u16 + 1))
}

/// Plays the gossip of a hall.
pub fn run(plan: &GossipPlan, seed: u64) -> GossipCounts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut agenda = Agenda::default();
    let nodes = (0..plan.boxes).map(|number| Node {
        hubs: HallHubs::new(&name(number)),
        liveness: PeerLiveness::default(),
        known: if plan.cold_start {
            BTreeSet::from([number])
        } else {
            (0..plan.boxes).collect()
        },
        is_up: false,
        calls: 0,
        sequence: 0,
        round_at: Time::MAX,
        last_round: Time::ZERO,
        is_urgent: false,
        role: HallRole::Mesh,
        list_requested_at: None,
        heard_at: Time::ZERO,
        batch_at: None,
        turns: 0,
        sent: 0,
        received: 0,
        bytes: 0,
    });
    for number in 0..plan.boxes {
        let at = rng.random_range(Duration::ZERO..START_SPREAD);
        agenda.put(Time::ZERO + at, Event::Start(number));
    }
    agenda.put(Time::ZERO + START_SPREAD, Event::CallBegins);
    agenda.put(MEASURED_FROM, Event::Check);
    agenda.put(Time::ZERO + plan.lasts / 2, Event::Fail);
    let mut hall = Hall {
        plan,
        nodes: nodes.collect(),
        rng,
        agenda,
        registered: BTreeSet::new(),
        probes: HashMap::new(),
        ages: Vec::new(),
        unknown: (0, 0),
        checks: (0, 0),
        counts: GossipCounts::default(),
    };
    let end = Time::ZERO + plan.lasts;
    while let Some((now, event)) = hall.agenda.take(end) {
        hall.on(now, event);
    }
    hall.finish()
}

impl Hall<'_> {
    fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::Start(at) => self.start(now, at),
            Event::Watched(new) => self.watched(now, new),
            Event::Round(at) if self.nodes[at].round_at == now => self.round(now, at),
            Event::Batch(at) if self.nodes[at].batch_at == Some(now) => self.batch(now, at),
            Event::Round(_) | Event::Batch(_) => {}
            Event::Arrives(at, from, bytes) => self.arrives(now, at, from, &bytes),
            Event::List(at, from) => {
                let listed = self.nodes[from].known.clone();
                self.nodes[at].known.extend(listed);
            }
            Event::CallBegins => self.call_begins(now),
            Event::CallEnds(at) => {
                self.nodes[at].calls -= 1;
                self.changed(now, at, false);
            }
            Event::Check => self.check(now),
            Event::Fail => {
                for node in &mut self.nodes[..self.plan.failing] {
                    node.is_up = false;
                }
            }
        }
    }

    fn start(&mut self, now: Time, at: usize) {
        self.nodes[at].is_up = true;
        self.nodes[at].heard_at = now;
        let registered = self.registered.clone();
        self.nodes[at].known.extend(registered);
        self.registered.insert(at);
        self.agenda.put(now + WATCH_LATENCY, Event::Watched(at));
        self.schedule_round(now + REGISTRATION, at);
    }

    /// The two first boxes of the hall watch the store.
    fn watched(&mut self, _now: Time, new: usize) {
        for node in &mut self.nodes[..2] {
            node.known.insert(new);
        }
    }

    fn schedule_round(&mut self, at: Time, number: usize) {
        let node = &mut self.nodes[number];
        node.round_at = at;
        self.agenda.put(at, Event::Round(number));
    }

    fn changed(&mut self, now: Time, at: usize, is_urgent: bool) {
        let node = &mut self.nodes[at];
        if !node.is_up {
            return;
        }
        let receivers = node.known.len() - 1;
        let earliest = node.last_round + self.role(at).min_interval(receivers);
        let node = &mut self.nodes[at];
        node.is_urgent |= is_urgent;
        let due = if is_urgent { now } else { earliest.max(now) };
        if due < node.round_at {
            self.schedule_round(due, at);
        }
    }

    fn role(&self, at: usize) -> HallRole {
        match self.plan.way {
            Way::Mesh => HallRole::Mesh,
            Way::Hubs => self.nodes[at].role.clone(),
        }
    }

    fn call_begins(&mut self, now: Time) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.plan.calls_per_s.max(1e-9);
        self.agenda.put(
            now + Duration::from_secs_f64(pause.min(1e6)),
            Event::CallBegins,
        );
        let at = self.rng.random_range(0..self.plan.boxes);
        if !self.nodes[at].is_up {
            return;
        }
        self.nodes[at].calls += 1;
        let lasts = CALL.mul_f64(-self.rng.random::<f64>().max(1e-9).ln());
        self.agenda.put(now + lasts, Event::CallEnds(at));
        let is_urgent = self.rng.random::<f64>() < URGENT_FRACTION;
        if now >= MEASURED_FROM && now + Duration::from_secs(1) < Time::ZERO + self.plan.lasts {
            let probe = Probe {
                sequence: self.nodes[at].sequence + 1,
                at: now,
                seen: vec![false; self.plan.boxes],
            };
            if let Some(ended) = self.probes.insert(at, probe) {
                self.end_probe(now, at, &ended);
            }
        }
        self.changed(now, at, is_urgent);
    }

    /// A change that is replaced soon need not reach all.
    fn end_probe(&mut self, now: Time, at: usize, probe: &Probe) {
        if now.since(probe.at) < Duration::from_secs(1) || !self.nodes[at].is_up {
            return;
        }
        let others = (0..self.plan.boxes).filter(|other| *other != at && self.nodes[*other].is_up);
        let unknown = others.filter(|other| !probe.seen[*other]).count() as u64;
        self.unknown.0 += unknown;
        self.unknown.1 += self.plan.boxes as u64;
    }

    fn round(&mut self, now: Time, at: usize) {
        if !self.nodes[at].is_up {
            return;
        }
        let datagram = self.datagram(at);
        let known: Vec<HallBox> = (self.nodes[at].known.iter())
            .map(|&number| HallBox {
                name: name(number),
                load: address(number),
            })
            .collect();
        let node = &mut self.nodes[at];
        node.is_urgent = false;
        node.last_round = now;
        if self.plan.way == Way::Hubs {
            let liveness = &node.liveness;
            node.hubs.set_boxes(known.clone());
            node.role = node.hubs.role(now, |name| liveness.is_live(now, name));
        }
        let role = self.role(at);
        let receivers = known.len() - 1;
        match &role {
            HallRole::Mesh => {
                let to = known.iter().map(|peer| peer.load);
                let to: Vec<_> = to.filter(|to| *to != address(at)).collect();
                self.send(now, at, &to, datagram.encode());
            }
            HallRole::Member(hubs) => {
                let to: Vec<_> = hubs.iter().map(|hub| hub.load).collect();
                let datagram = LoadDatagram {
                    is_for_hub: true,
                    ..datagram
                };
                self.send(now, at, &to, datagram.encode());
            }
            HallRole::Hub => {
                let bytes = datagram.encode();
                let node = &mut self.nodes[at];
                let liveness = &node.liveness;
                let is_live = |name: &str| liveness.is_live(now, name);
                let choice = self.rng.random_range(0..self.plan.boxes);
                let strangers = node.hubs.take_strangers(is_live, choice);
                let introduction = node.hubs.introduction(bytes.clone());
                node.hubs.distribute(&datagram, bytes);
                self.send(now, at, &strangers, introduction.encode());
                self.schedule_batch(now, at);
            }
        }
        let next = role.min_interval(receivers) + role.heartbeat(false);
        self.schedule_round(now + next, at);
    }

    fn datagram(&mut self, at: usize) -> LoadDatagram {
        let node = &mut self.nodes[at];
        node.sequence += 1;
        let load = EngineLoad {
            short_calls: 1,
            ..EngineLoad::default()
        };
        LoadDatagram {
            version: FRAME_VERSION,
            from: name(at),
            incarnation: 1 << 60,
            sequence: node.sequence,
            source: LoadSource::Box,
            is_urgent: node.is_urgent,
            is_for_hub: false,
            known_state: KnownState::default(),
            known_boxes: node.known.len() as u32,
            unconfirmed: None,
            follows_store: at < 2,
            queue_head: None,
            size_counts: Vec::new(),
            faults: Vec::new(),
            silent: Vec::new(),
            departures: Vec::new(),
            cut_off: Vec::new(),
            slow_engines: Vec::new(),
            suspects: Vec::new(),
            notices: NoticeRows::default(),
            rows: (0..node.calls)
                .map(|call| (EngineKey(u32::MAX - call), load))
                .collect(),
        }
    }

    fn schedule_batch(&mut self, now: Time, at: usize) {
        let node = &mut self.nodes[at];
        if let Some(wait) = node.hubs.next_batch_in(now) {
            let due = now + wait;
            if node
                .batch_at
                .is_none_or(|planned| planned <= now || due < planned)
            {
                node.batch_at = Some(due);
                self.agenda.put(due, Event::Batch(at));
            }
        }
    }

    fn batch(&mut self, now: Time, at: usize) {
        self.nodes[at].batch_at = None;
        if !self.nodes[at].is_up {
            return;
        }
        for batch in self.nodes[at].hubs.take_batches(now) {
            for frame in batch.frames {
                self.send(now, at, &batch.to, frame.encode());
            }
        }
    }

    fn send(&mut self, now: Time, at: usize, to: &[SocketAddr], bytes: Vec<u8>) {
        let bytes = Rc::new(bytes);
        if now >= MEASURED_FROM {
            self.nodes[at].sent += to.len() as u64;
        }
        self.nodes[at].turns += 1;
        let turn = self.nodes[at].turns;
        let is_frame = HubFrame::has_version_byte(&bytes);
        for to in to {
            let is_lost = match self.plan.loss {
                Loss::Random(fraction) => self.rng.random::<f64>() < fraction,
                Loss::LoadDatagrams(every) => !is_frame && turn.is_multiple_of(every),
                // A different one for each receiver.
                Loss::HubFrames(every) => {
                    is_frame && (turn + u64::from(to.port())).is_multiple_of(every)
                }
            };
            if !is_lost {
                let to = usize::from(to.port()) - 1;
                self.agenda
                    .put(now + LATENCY, Event::Arrives(to, at, Rc::clone(&bytes)));
            }
        }
    }

    fn arrives(&mut self, now: Time, at: usize, from: usize, bytes: &[u8]) {
        if !self.nodes[at].is_up {
            return;
        }
        let node = &mut self.nodes[at];
        self.counts.longest_blind = self.counts.longest_blind.max(now.since(node.heard_at));
        node.heard_at = now;
        if now >= MEASURED_FROM {
            node.received += 1;
            node.bytes += bytes.len() as u64;
        }
        let datagrams = if HubFrame::has_version_byte(bytes) {
            let frame = HubFrame::decode(bytes).expect("frames are well-formed");
            let received = node.hubs.receive_frame(now, address(from), frame);
            for name in &received.heard {
                node.liveness.record_heard(now, name);
            }
            received.datagrams
        } else {
            let datagram = LoadDatagram::decode(bytes).expect("datagrams are well-formed");
            let address = address(from);
            node.hubs.receive_direct(now, address, &datagram, bytes);
            vec![datagram]
        };
        for datagram in datagrams {
            self.apply(now, at, &datagram);
            if number(&datagram.from) == from {
                self.request_list(now, at, &datagram);
            }
        }
        self.schedule_batch(now, at);
    }

    fn apply(&mut self, now: Time, at: usize, datagram: &LoadDatagram) {
        let source = number(&datagram.from);
        let node = &mut self.nodes[at];
        node.liveness
            .record(now, &datagram.from, datagram.known_state);
        let Some(probe) = self.probes.get_mut(&source) else {
            return;
        };
        if datagram.sequence >= probe.sequence && !probe.seen[at] {
            probe.seen[at] = true;
            self.ages.push(now.since(probe.at));
        }
    }

    fn request_list(&mut self, now: Time, at: usize, datagram: &LoadDatagram) {
        let from = number(&datagram.from);
        let node = &mut self.nodes[at];
        let requested_at = node.list_requested_at;
        let is_recent = requested_at.is_some_and(|at| now.since(at) < LIST_INTERVAL);
        let lacks_boxes =
            datagram.known_boxes as usize > node.known.len() || !node.known.contains(&from);
        if lacks_boxes && !is_recent {
            node.list_requested_at = Some(now);
            self.agenda.put(now + LIST_LATENCY, Event::List(at, from));
        }
    }

    /// Compares what hubs know of who lives with who does.
    fn check(&mut self, now: Time) {
        self.agenda.put(now + CHECK_INTERVAL, Event::Check);
        let hubs = hall_hubs::hub_count(self.plan.boxes);
        let (mut wrong, mut all) = (0, 0);
        for hub in self.nodes[..hubs].iter().filter(|hub| hub.is_up) {
            for (other, node) in self.nodes.iter().enumerate() {
                let own = std::ptr::eq(node, hub);
                if node.is_up && !own {
                    all += 1;
                    wrong += u64::from(!hub.liveness.is_live(now, &name(other)));
                }
            }
        }
        self.checks.0 += wrong;
        self.checks.1 += all;
        if wrong > 0 {
            self.counts.joined = now.since(Time::ZERO);
        }
    }

    fn finish(mut self) -> GossipCounts {
        let end = Time::ZERO + self.plan.lasts;
        for node in self.nodes.iter().filter(|node| node.is_up) {
            let blind = end.since(node.heard_at);
            self.counts.longest_blind = self.counts.longest_blind.max(blind);
        }
        let measured = self.plan.lasts.as_secs_f64() - 2.0;
        let boxes = self.plan.boxes as f64;
        let rates = |of: fn(&Node) -> u64| {
            let all = self.nodes.iter().map(of);
            let (sum, most) = all.fold((0, 0), |(sum, most), n| (sum + n, most.max(n)));
            (sum as f64 / boxes / measured, most as f64 / measured)
        };
        let (sent, received) = (rates(|node| node.sent), rates(|node| node.received));
        let bytes = rates(|node| node.bytes);
        self.ages.sort_unstable();
        let age = |part: f64| {
            let index = (self.ages.len() as f64 * part) as usize;
            let age = self.ages.get(index.min(self.ages.len().saturating_sub(1)));
            age.map_or(0.0, |age| age.as_secs_f64() * 1e3)
        };
        GossipCounts {
            received,
            sent,
            bytes,
            age_ms: [age(0.5), age(0.99), age(1.0)],
            unknown: self.unknown.0 as f64 / self.unknown.1.max(1) as f64,
            false_silence: self.checks.0 as f64 / self.checks.1.max(1) as f64,
            ..self.counts
        }
    }
}
