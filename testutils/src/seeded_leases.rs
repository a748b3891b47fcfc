//! Seeded runs of leases and placement: holders freeze, answers are lost, the platform is
//! down, orders come late, engines restart empty, and a version is changed meanwhile.
//!
//! Invariants, asserted as the run goes:
//!
//! - at no instant do two boxes believe that they may give orders;
//! - at an engine that checks, no order takes effect after one with a greater number;
//! - loads are given no faster than the weight store allows, whoever holds the lease;
//! - a model whose version changes has a copy loaded at every instant;
//! - after the last fault the engines have exactly what is wanted.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::engine_wire::OrderAction;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::lease::Lease;
use badgerferry_lib::placement::DesiredPlacement;
use badgerferry_lib::placement::LeaseTerm;
use badgerferry_lib::placement::ObservedEngine;
use badgerferry_lib::placement::PlacementController;
use badgerferry_lib::placement::PlacementOrder;
use badgerferry_lib::platform_wire::LeaseRequest;
use badgerferry_lib::platform_wire::LeaseResponse;
use badgerferry_lib::settings_commit::NoAnswer;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;
use crate::fake_engine::EngineSize;
use crate::fake_engine::FakeEngine;
use crate::fake_platform::FakePlatform;

const ROUND: Duration = Duration::from_secs(1);
const TTL: Duration = Duration::from_secs(10);
const CALL: Duration = Duration::from_secs(2);
const FAULTS_END: Duration = Duration::from_secs(200);
const VERSION_TURN: Duration = Duration::from_secs(40);
const END: Duration = Duration::from_mins(7);
const LOADS_PER_MIN: u64 = 12;
/// Longest that an order waits between the holder's look at the clock and the engine.
const LATEST_ORDER: Duration = Duration::from_secs(30);
const OLD: &str = "judge@v1";
const NEW: &str = "judge@v2";

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Times that the lease got another holder.
    pub holders: u64,
    /// Orders given.
    pub orders: u64,
    /// Orders that engines refused for an old number.
    pub fenced_off: u64,
    /// Orders that came late.
    pub late: u64,
}

impl LeaseCounts {
    /// Adds another run.
    pub const fn add(&mut self, other: Self) {
        self.holders += other.holders;
        self.orders += other.orders;
        self.fenced_off += other.fenced_off;
        self.late += other.late;
    }
}

#[derive(Debug)]
enum What {
    /// A box's round.
    Round(usize),
    /// A lease request reaches the platform.
    Ask(usize, Time, bool),
    /// The answer reaches the box.
    Answer(usize, Time, Result<LeaseResponse, NoAnswer>),
    /// An order reaches an engine.
    Order(usize, usize, u64, OrderAction),
    /// An engine restarts empty.
    EngineRestarts(usize),
}

#[derive(Debug)]
struct BoxState {
    lease: Lease,
    placement: PlacementController,
    asking: bool,
    frozen: Vec<(Time, Time)>,
}

struct Run {
    now: Time,
    agenda: Agenda<What>,
    rng: ChaCha8Rng,
    platform: FakePlatform,
    boxes: Vec<BoxState>,
    engines: Vec<FakeEngine>,
    taken: Vec<u64>,
    outages: Vec<(Time, Time)>,
    restarts: bool,
    loads: Vec<Time>,
    last_fence: u64,
    counts: LeaseCounts,
}

/// Runs one seed.
///
/// # Panics
///
/// An invariant is broken.
pub fn run(seed: u64) -> LeaseCounts {
    let mut run = Run::new(seed);
    run.play();
    run.check_end();
    run.counts
}

fn engine_name(index: usize) -> ServerName {
    ServerName::new(format!("engine-{index}"))
}

fn spans(rng: &mut ChaCha8Rng, most: usize, longest_ms: u64) -> Vec<(Time, Time)> {
    let count = rng.random_range(0..=most);
    let span = |rng: &mut ChaCha8Rng| {
        let from = Time::ZERO + FAULTS_END.mul_f64(rng.random());
        (
            from,
            from + Duration::from_millis(rng.random_range(100..longest_ms)),
        )
    };
    (0..count).map(|_| span(rng)).collect()
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let boxes = (0..rng.random_range(2..=4)).map(|_| BoxState {
            lease: Lease::new(TTL),
            placement: PlacementController::default(),
            asking: false,
            frozen: spans(&mut rng, 3, 40_000),
        });
        let boxes: Vec<_> = boxes.collect();
        let engines = rng.random_range(3..=6);
        let first = |index| match index {
            0 | 1 => vec![ModelName::new(OLD)],
            _ => Vec::new(),
        };
        let mut run = Self {
            now: Time::ZERO,
            agenda: Agenda::default(),
            platform: FakePlatform::new(),
            engines: (0..engines)
                .map(|index| FakeEngine::new(EngineSize::default(), first(index)))
                .collect(),
            taken: vec![0; engines],
            outages: spans(&mut rng, 3, 30_000),
            restarts: rng.random_bool(0.5),
            loads: Vec::new(),
            last_fence: 0,
            counts: LeaseCounts::default(),
            boxes,
            rng,
        };
        for index in 0..run.boxes.len() {
            run.after(Duration::from_millis(index as u64 * 37), What::Round(index));
        }
        if run.restarts {
            let at = FAULTS_END.mul_f64(run.rng.random());
            let engine = run.rng.random_range(0..engines);
            run.after(at, What::EngineRestarts(engine));
        }
        run
    }

    fn after(&mut self, span: Duration, what: What) {
        self.agenda.put(self.now + span, what);
    }

    fn play(&mut self) {
        while let Some((at, what)) = self.agenda.take(Time::ZERO + END) {
            self.now = at;
            match what {
                What::Round(index) => self.round(index),
                What::Ask(index, asked_at, lost) => self.ask(index, asked_at, lost),
                What::Answer(index, asked_at, answer) => self.answer(index, asked_at, answer),
                What::Order(holder, engine, fence, action) => {
                    self.take_order(holder, engine, fence, &action);
                }
                What::EngineRestarts(engine) => {
                    self.engines[engine] = FakeEngine::new(EngineSize::default(), Vec::new());
                    self.taken[engine] = 0;
                }
            }
            self.check();
        }
    }

    /// When a frozen box thaws; none if it is not frozen.
    fn thaws(&self, index: usize) -> Option<Time> {
        let spans = self.boxes[index].frozen.iter();
        let now = spans.filter(|(from, to)| (*from..*to).contains(&self.now));
        now.map(|(_, to)| *to).max()
    }

    fn wanted(&self) -> DesiredPlacement {
        // The version goes to and fro while faults last, and ends as the new one.
        let turns = self.now.since(Time::ZERO).as_secs() / VERSION_TURN.as_secs();
        let changed = turns % 2 == 1 || self.now >= Time::ZERO + FAULTS_END;
        let copies = if changed {
            [(OLD, 0), (NEW, 2)]
        } else {
            [(OLD, 2), (NEW, 0)]
        };
        let copies = copies.map(|(model, count)| (ModelName::new(model), count));
        DesiredPlacement {
            copies: copies.into(),
            hysteresis: Duration::from_secs(3),
            loads_per_min: LOADS_PER_MIN,
        }
    }

    fn round(&mut self, index: usize) {
        if let Some(thaws) = self.thaws(index) {
            let span = self.now.until(thaws);
            return self.after(span, What::Round(index));
        }
        self.after(ROUND, What::Round(index));
        let now = self.now;
        if self.boxes[index].lease.is_request_due(now) && !self.boxes[index].asking {
            self.boxes[index].asking = true;
            self.send_ask(index);
        }
        let lease = &self.boxes[index].lease;
        let (Some(since), Some(fence)) = (lease.held_since(now), lease.fence(now)) else {
            return;
        };
        let wanted = self.wanted();
        let seen = self.seen();
        let orders =
            self.boxes[index]
                .placement
                .reconcile(now, LeaseTerm { fence, since }, &wanted, &seen);
        for order in orders {
            if let Some(fence) = self.boxes[index].lease.fence(now) {
                self.give(index, fence, order);
            }
        }
    }

    fn seen(&self) -> Vec<ObservedEngine> {
        let engine = |(index, engine): (usize, &FakeEngine)| ObservedEngine {
            name: engine_name(index),
            models: engine.models().iter().cloned().collect(),
            running: 0,
        };
        self.engines.iter().enumerate().map(engine).collect()
    }

    fn send_ask(&mut self, index: usize) {
        let over = self.now >= Time::ZERO + FAULTS_END;
        let lost = !over && self.rng.random_bool(0.15);
        let trip = Duration::from_millis(self.rng.random_range(1..50));
        let now = self.now;
        self.after(trip, What::Ask(index, now, lost));
        if lost {
            self.after(CALL, What::Answer(index, now, Err(NoAnswer)));
        }
    }

    fn ask(&mut self, index: usize, asked_at: Time, lost: bool) {
        let down = self
            .outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&self.now));
        let asked = LeaseRequest {
            name: "placement/hall".to_owned(),
            holder: format!("box-{index}"),
            ttl_ms: TTL.as_millis() as u64,
        };
        let answer = if down {
            Err(NoAnswer)
        } else {
            Ok(self.platform.lease(self.now, &asked))
        };
        if !lost {
            let trip = Duration::from_millis(self.rng.random_range(1..50));
            self.after(trip, What::Answer(index, asked_at, answer));
        }
    }

    fn answer(&mut self, index: usize, asked_at: Time, answer: Result<LeaseResponse, NoAnswer>) {
        if let Some(thaws) = self.thaws(index) {
            let span = self.now.until(thaws);
            return self.after(span, What::Answer(index, asked_at, answer));
        }
        let boxx = &mut self.boxes[index];
        boxx.asking = false;
        boxx.lease.on_response(asked_at, self.now, answer);
        if let Some(fence) = boxx
            .lease
            .fence(self.now)
            .filter(|fence| *fence > self.last_fence)
        {
            self.last_fence = fence;
            self.counts.holders += 1;
        }
    }

    fn give(&mut self, holder: usize, fence: u64, order: PlacementOrder) {
        self.counts.orders += 1;
        if matches!(order.action, OrderAction::Load { .. }) {
            self.check_rate();
        }
        let over = self.now >= Time::ZERO + FAULTS_END;
        let fault = if over {
            100
        } else {
            self.rng.random_range(0..100)
        };
        let digits = order
            .server
            .as_str()
            .strip_prefix("engine-")
            .unwrap_or_default();
        let engine = digits.parse().expect("the run names its engines");
        let span = match fault {
            // Lost on the way.
            0..10 => return,
            // The holder froze between its look at the clock and the send.
            10..20 => {
                self.counts.late += 1;
                LATEST_ORDER.mul_f64(self.rng.random())
            }
            _ => Duration::from_millis(self.rng.random_range(1..50)),
        };
        self.after(span, What::Order(holder, engine, fence, order.action));
    }

    fn check_rate(&mut self) {
        let space = Duration::from_mins(1) / LOADS_PER_MIN as u32;
        if let Some(last) = self.loads.last() {
            let gap = self.now.since(*last);
            assert!(
                gap >= space,
                "two loads {gap:?} apart; {space:?} is the least"
            );
        }
        self.loads.push(self.now);
    }

    fn take_order(&mut self, holder: usize, engine: usize, fence: u64, action: &OrderAction) {
        if self.engines[engine].order(fence, action).is_err() {
            self.counts.fenced_off += 1;
            return;
        }
        let placement = &mut self.boxes[holder].placement;
        placement.on_order_accepted(fence, &engine_name(engine));
        assert!(
            fence >= self.taken[engine],
            "an old order took effect at engine {engine}"
        );
        self.taken[engine] = fence;
    }

    fn check(&self) {
        let holders = self
            .boxes
            .iter()
            .filter(|boxx| boxx.lease.fence(self.now).is_some());
        assert!(
            holders.count() <= 1,
            "two boxes may give orders at {}",
            self.now
        );
        if !self.restarts {
            let copies = self.copies();
            let all: u64 = copies.values().sum();
            assert!(all >= 1, "no copy of the model is loaded at {}", self.now);
        }
    }

    fn copies(&self) -> BTreeMap<&str, u64> {
        let has = |model: &str| {
            let model = ModelName::new(model);
            let engines = self.engines.iter();
            engines
                .filter(|engine| engine.models().contains(&model))
                .count() as u64
        };
        BTreeMap::from([(OLD, has(OLD)), (NEW, has(NEW))])
    }

    fn check_end(&self) {
        let copies = self.copies();
        assert_eq!(
            copies,
            BTreeMap::from([(OLD, 0), (NEW, 2)]),
            "not what is wanted"
        );
    }
}
