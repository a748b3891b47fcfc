//! Boxes and engines in virtual time: the library's decisions against fakes.
//!
//! A heap of events, fixed delays, and faults by table; no topology and no network model.
//! The world asserts the request path's invariants as it goes, so that every run checks
//! them, whatever it was started for:
//!
//! - an outcome comes once, and in time unless the box was frozen;
//! - a completed answer is the whole of the request's own answer;
//! - a request refused as "not run" was started by no engine;
//! - a not-repeatable request was started at most once;
//! - an engine frees nothing that a live box still wants, unless the two were cut apart;
//! - when all is over, every engine is back at its baseline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::dispatcher::Dispatcher;
use badgerferry_lib::engine_wire::Owner;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::exchange::Event;
use badgerferry_lib::exchange::Exchange;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::BoxName;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::Incarnation;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::request::Request;
use badgerferry_lib::routing::Policy;
use badgerferry_lib::server_view::ServerInfo;
use badgerferry_lib::server_view::ServerKind;
use badgerferry_lib::settings_follower::ActiveSettings;
use badgerferry_lib::settings_tree::SettingsTree;
use badgerferry_lib::settings_view::RoutingSettings;
use badgerferry_lib::settings_view::SettingsView;
use badgerferry_lib::stream_join::Frame;
use badgerferry_lib::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;
use crate::fake_engine::EngineSize;
use crate::fake_engine::FakeEngine;

mod boxes;
mod engines;
mod faults;

/// One way between a box and an engine.
const TRIP: Duration = Duration::from_micros(500);
/// Time after which a connection that can't be made is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// How often a box looks at its queue.
const TICK: Duration = Duration::from_millis(20);
/// Renewals within the life of what is held.
const RENEWALS_PER_TTL: u32 = 3;
/// Younger work is spared by a renewal.
const SPARE_YOUNGER: Duration = Duration::from_secs(5);
/// Time by which an outcome may come late: ticks and trips.
const OUTCOME_SLACK: Duration = Duration::from_millis(50);
/// The one model of the world.
pub const MODEL: &str = "model";

/// What a world consists of.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// Boxes.
    pub boxes: usize,
    /// Engines.
    pub engines: usize,
    /// Data halls; boxes and engines are dealt out to them in turn.
    pub halls: usize,
    /// Size of every engine.
    pub size: EngineSize,
    /// How servers are chosen.
    pub policy: Policy,
    /// Time between two reports of an engine.
    pub report_every: Duration,
    /// Age of a report when it arrives.
    pub report_lag: Duration,
    /// Routing settings.
    pub routing: RoutingSettings,
    /// Whether engines serve in order of arrival whatever the rank.
    pub in_order: bool,
}

/// Routing settings as they are by default.
pub fn default_routing() -> RoutingSettings {
    let defaults = ActiveSettings {
        revision: Revision::default(),
        tree: SettingsTree::default(),
    };
    SettingsView::new(&defaults, "hall").routing
}

impl Default for WorldPlan {
    fn default() -> Self {
        Self {
            boxes: 2,
            engines: 4,
            halls: 1,
            size: EngineSize::default(),
            policy: Policy::Cost,
            report_every: Duration::from_millis(250),
            report_lag: Duration::from_millis(100),
            routing: default_routing(),
            in_order: false,
        }
    }
}

/// A request as its caller sends it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// What the dispatcher gets; arrival and deadline are set when it arrives.
    pub request: Request,
    /// Time limit.
    pub limit: Duration,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Tokens of the whole answer.
    pub answer_tokens: u64,
    /// The caller goes away after this time.
    pub leaves_after: Option<Duration>,
}

/// What became of a request.
#[derive(Debug)]
pub struct Ended {
    /// The request.
    pub request: Request,
    /// Its outcome; none if its box died with it.
    pub outcome: Option<Outcome>,
    /// When it ended.
    pub at: Time,
    /// When its first token was forwarded.
    pub first_token: Option<Time>,
}

/// A fault, as a table row of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The engine's process ends; it is back, empty, after this time.
    EngineDies(usize, Duration),
    /// The daemon is killed; another life begins after this time.
    BoxDies(usize, Duration),
    /// The daemon stands still for this time.
    BoxFreezes(usize, Duration),
    /// Box and engine are cut apart for this time.
    Cut(usize, usize, Duration),
    /// One data hall is cut off from the others for this time.
    HallCut(usize, Duration),
    /// For this time every message that gives something up is lost.
    LoseReleases(Duration),
    /// For this time frames are doubled, crossed with others or left out.
    GarbleFrames(Duration),
}

#[derive(Debug, Clone)]
enum ToEngine {
    Reserve {
        group: AttemptId,
        tokens: u64,
    },
    Release {
        group: AttemptId,
    },
    Prefill {
        group: AttemptId,
        tokens: u64,
    },
    Generate {
        attempt: AttemptId,
        group: Option<AttemptId>,
        offset: u64,
    },
    Cancel {
        attempt: AttemptId,
    },
    Renew(RenewRequest),
}

impl ToEngine {
    const fn gives_up(&self) -> bool {
        matches!(self, Self::Release { .. } | Self::Cancel { .. })
    }

    /// Whether the box waits for an answer.
    const fn is_awaited(&self) -> bool {
        matches!(
            self,
            Self::Reserve { .. } | Self::Prefill { .. } | Self::Generate { .. }
        )
    }
}

#[derive(Debug, Clone)]
enum ToBox {
    Reserved(bool),
    ShareReady,
    NoConnection,
    NotStarted,
    Broken,
    Frame(Frame),
}

/// Where answers of a piece of work go.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Route {
    boxx: usize,
    life: u32,
    request: RequestId,
    step: u64,
    /// Which dispatch of the request it belongs to; a group's shares are one.
    dispatch: u32,
}

#[derive(Debug)]
enum Happening {
    Arrive(usize, Box<Asked>),
    CallerLeaves(usize, RequestId),
    AtEngine(usize, u32, Route, ToEngine),
    AtBox(Route, ToBox),
    EngineWakes(usize, u32),
    Tick(usize, u32),
    ExchangeTick(Route),
    Report(usize),
    ReportArrives(
        usize,
        usize,
        Box<badgerferry_lib::server_view::EngineReport>,
        Time,
    ),
    Renew(usize, u32),
    Fault(Fault),
    EngineBack(usize),
    BoxBack(usize),
}

#[derive(Debug)]
struct Running {
    exchange: Exchange,
    asked: Asked,
    step: u64,
    text: String,
    first_token: Option<Time>,
    held: Vec<(usize, AttemptId)>,
    frozen: bool,
}

#[derive(Debug)]
struct BoxState {
    dispatcher: Dispatcher,
    running: BTreeMap<RequestId, Running>,
    owner: Owner,
    life: u32,
    alive: bool,
    frozen_until: Time,
    held: BTreeMap<usize, BTreeSet<AttemptId>>,
}

#[derive(Debug)]
struct EngineState {
    fake: FakeEngine,
    life: u32,
    alive: bool,
    wake: Option<Time>,
    routes: BTreeMap<AttemptId, Route>,
}

/// The world.
#[derive(Debug)]
pub struct World {
    plan: WorldPlan,
    now: Time,
    agenda: Agenda<Happening>,
    rng: ChaCha8Rng,
    boxes: Vec<BoxState>,
    engines: Vec<EngineState>,
    cuts: Vec<(usize, usize, Time)>,
    lose_until: Time,
    garble_until: Time,
    asked: BTreeMap<RequestId, (u64, u64)>,
    started: BTreeMap<RequestId, BTreeSet<u32>>,
    last_frame: Option<Frame>,
    /// What became of the requests.
    pub ended: Vec<Ended>,
}

fn engine_name(index: usize) -> ServerName {
    ServerName::new(format!("engine-{index:03}"))
}

fn engine_index(name: &ServerName) -> usize {
    let digits = name.as_str().strip_prefix("engine-").unwrap_or_default();
    digits.parse().expect("the world names its engines")
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(plan: WorldPlan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let boxes = (0..plan.boxes)
            .map(|index| new_box(&plan, index, 0, &mut rng))
            .collect();
        let engines = (0..plan.engines).map(|_| EngineState {
            fake: FakeEngine::new(plan.size.clone(), vec![ModelName::new(MODEL)]),
            life: 0,
            alive: true,
            wake: None,
            routes: BTreeMap::new(),
        });
        let mut world = Self {
            engines: engines.collect(),
            boxes,
            plan,
            now: Time::ZERO,
            agenda: Agenda::default(),
            rng,
            cuts: Vec::new(),
            lose_until: Time::ZERO,
            garble_until: Time::ZERO,
            asked: BTreeMap::new(),
            started: BTreeMap::new(),
            last_frame: None,
            ended: Vec::new(),
        };
        world.start_timers();
        world
    }

    fn start_timers(&mut self) {
        for engine in 0..self.plan.engines {
            self.first_report(engine);
            let offset = self.plan.report_every * engine as u32 / self.plan.engines as u32;
            self.at(self.now + offset, Happening::Report(engine));
        }
        for index in 0..self.plan.boxes {
            self.start_box_timers(index);
        }
    }

    fn start_box_timers(&mut self, index: usize) {
        let life = self.boxes[index].life;
        let offset = TICK * index as u32 / self.plan.boxes as u32;
        self.at(self.now + offset, Happening::Tick(index, life));
        let renew = self.plan.routing.holding_ttl / RENEWALS_PER_TTL;
        self.at(self.now + renew, Happening::Renew(index, life));
    }

    /// The boxes know every engine from the start.
    fn first_report(&mut self, engine: usize) {
        let report = self.engines[engine].fake.report();
        for boxx in &mut self.boxes {
            boxx.dispatcher
                .on_report(&engine_name(engine), report.clone(), self.now);
        }
    }

    fn at(&mut self, at: Time, what: Happening) {
        self.agenda.put(at, what);
    }

    /// Lets a request arrive at a box.
    pub fn ask(&mut self, at: Time, boxx: usize, asked: Asked) {
        self.at(at, Happening::Arrive(boxx, Box::new(asked)));
    }

    /// Lets a fault happen.
    pub fn fault(&mut self, at: Time, fault: Fault) {
        self.at(at, Happening::Fault(fault));
    }

    /// The present.
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some((at, what)) = self.agenda.take(end) {
            self.now = at;
            self.happen(what);
        }
        self.now = end;
    }

    /// Runs until what is held has an end, and asserts that nothing is left.
    ///
    /// # Panics
    ///
    /// An invariant is broken.
    pub fn settle(&mut self) {
        let ttl = self.plan.routing.holding_ttl;
        self.run_until(self.now + ttl * 2 + SPARE_YOUNGER);
        for (index, boxx) in self.boxes.iter().enumerate() {
            let left: Vec<_> = boxx.running.keys().collect();
            assert!(
                left.is_empty(),
                "box {index} has requests without an outcome: {left:?}"
            );
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let used = engine.fake.memory_used();
            let held = engine.fake.held();
            assert!(
                used == 0 && held == 0,
                "engine {index} still holds {used} tokens in {held}"
            );
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive(boxx, asked) => self.arrive(boxx, *asked),
            Happening::CallerLeaves(boxx, request) => {
                self.feed_now(boxx, request, &Event::CallerDisconnected);
            }
            Happening::AtEngine(engine, life, route, message) => {
                self.at_engine(engine, life, route, message);
            }
            Happening::AtBox(route, message) => self.at_box(route, &message),
            Happening::EngineWakes(engine, life) => self.engine_wakes(engine, life),
            Happening::Tick(index, life) => self.tick(index, life),
            Happening::ExchangeTick(route) => self.exchange_tick(route),
            Happening::Report(engine) => self.report(engine),
            Happening::ReportArrives(index, engine, report, taken_at) => {
                if self.boxes[index].alive && !self.is_cut(index, engine) {
                    let dispatcher = &mut self.boxes[index].dispatcher;
                    dispatcher.on_report(&engine_name(engine), *report, taken_at);
                }
            }
            Happening::Renew(index, life) => self.renew(index, life),
            Happening::Fault(fault) => self.strike(&fault),
            Happening::EngineBack(engine) => self.engines[engine].alive = true,
            Happening::BoxBack(index) => self.box_back(index),
        }
    }

    /// If the box is frozen, puts the happening off until it thaws.
    fn is_put_off(&mut self, index: usize, what: impl FnOnce() -> Happening) -> bool {
        let until = self.boxes[index].frozen_until;
        let frozen = until > self.now;
        if frozen {
            self.at(until, what());
        }
        frozen
    }

    fn is_cut(&self, boxx: usize, engine: usize) -> bool {
        let cut = |row: &(usize, usize, Time)| row.0 == boxx && row.1 == engine && row.2 > self.now;
        self.cuts.iter().any(cut)
    }
}

fn new_box(plan: &WorldPlan, index: usize, life: u32, rng: &mut ChaCha8Rng) -> BoxState {
    let hall = |number: usize| HallName::new(format!("hall-{}", number % plan.halls));
    let mut dispatcher = Dispatcher::new(hall(index), plan.policy, plan.routing.clone());
    dispatcher.set_boxes(plan.boxes.div_ceil(plan.halls));
    let engine = |engine| ServerInfo {
        name: engine_name(engine),
        hall: hall(engine),
        kind: ServerKind::Engine,
        address: String::new(),
        pool: None,
        leaving: false,
    };
    let list: Vec<_> = (0..plan.engines).map(engine).collect();
    dispatcher.set_servers(&list);
    BoxState {
        dispatcher,
        running: BTreeMap::new(),
        owner: Owner {
            name: BoxName::new(format!("box-{index}")),
            incarnation: Incarnation::draw(rng),
        },
        life,
        alive: true,
        frozen_until: Time::ZERO,
        held: BTreeMap::new(),
    }
}

/// The seed of a request's answer: equal requests only have equal answers.
fn answer_seed(id: RequestId) -> u64 {
    let digits = id.to_string();
    u64::from_str_radix(&digits[..15], 16).expect("hexadecimal digits")
}
