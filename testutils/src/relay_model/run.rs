//! One run: arrivals, engines, and what boxes tell each other, in order of time.

use std::rc::Rc;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::engine_plan;
use badgerferry_lib::relay::gossip_topology::GOSSIP_INTERVAL_PER_BOX;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::gossip_topology::MAX_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::gossip_topology::MIN_HALL_GOSSIP_INTERVAL;
use badgerferry_lib::relay::gossip_topology::QUEUED_PROMPT_HEARTBEAT;
use badgerferry_lib::relay::hall_reachability::HEARTBEAT_INTERVAL;
use badgerferry_lib::relay::long_prompt_queue;
use badgerferry_lib::relay::long_prompt_queue::QUEUE_POLL_INTERVAL;
use badgerferry_lib::relay::long_prompt_queue::QueuedPrompt;
use badgerferry_lib::relay::long_prompt_queue::RESERVATION_RETRY_DELAY;
use badgerferry_lib::relay::long_prompt_queue::Ticket;
use badgerferry_lib::relay::slow_engine_tracker;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;
use crate::relay_model::boxes::Asked;
use crate::relay_model::boxes::EngineList;
use crate::relay_model::boxes::ModelBox;
use crate::relay_model::boxes::Placed;
use crate::relay_model::boxes::Planned;
use crate::relay_model::boxes::Rules;
use crate::relay_model::boxes::Told;
use crate::relay_model::engine::CallId;
use crate::relay_model::engine::Engine;
use crate::relay_model::engine::StreamSize;
use crate::relay_model::outcome::CallOutcome;
use crate::relay_model::outcome::DayResult;
use crate::relay_model::scenario::Kind;
use crate::relay_model::scenario::Scenario;

mod slow_engines;

/// How long a run goes on after its last arrival: no deadline is longer.
const TAIL: Duration = Duration::from_secs(20);

#[derive(Debug)]
enum Event {
    Arrives(usize),
    Looks(CallId),
    Reads(CallId, usize, Duration),
    PassEnds(usize),
    Begins(CallId),
    Ends(CallId),
    Tells(usize),
    Heartbeat(usize),
    Hears(usize, Rc<Told>),
    TellsFar(usize),
    RefreshesFar(usize),
    HearsFar(usize, Rc<Told>),
    Slows(usize, f64),
    IsLate(CallId),
    Reports(usize, usize),
    AsksAgain(usize, usize),
}

#[derive(Debug)]
struct Call {
    at: Time,
    box_at: usize,
    kind: usize,
    prompt: PromptSize,
    events: u32,
    ticket: Option<Ticket>,
    /// What it last queued as.
    queued: Option<QueuedPrompt>,
    started: Time,
    parts_left: usize,
    placed: Option<Placed>,
    first_event: Option<Time>,
    last_event: Time,
    longest_pause: Duration,
}

struct World<'a> {
    scenario: &'a Scenario,
    rules: Rules,
    agenda: Agenda<Event>,
    boxes: Vec<ModelBox>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    /// When each hall last told the others, and when it does so next.
    far_told: Vec<[Time; 2]>,
    rng: ChaCha8Rng,
    /// Reports that engines were asked for.
    reports: u64,
}

/// Plays a scenario with a seed; equal seeds give equal arrivals whatever boxes decide.
pub fn run(
    scenario: &Scenario,
    scope: Option<GossipScope>,
    seed: u64,
) -> (DayResult, Vec<CallOutcome>) {
    let mut world = World::new(scenario, scope, seed);
    let end = Time::ZERO + Duration::from_secs_f64(scenario.seconds) + TAIL;
    while let Some((now, event)) = world.agenda.take(end) {
        world.on(now, event);
    }
    let outcomes: Vec<CallOutcome> = world.calls.iter().map(|call| world.outcome(call)).collect();
    let worked = world.engines.iter().map(|engine| engine.worked).sum();
    let result = DayResult {
        reports: world.reports,
        ..DayResult::of(seed, scenario, &outcomes, worked)
    };
    (result, outcomes)
}

/// A draw with this mean whose logarithm is normal with this deviation.
fn log_normal(rng: &mut impl Rng, mean: f64, spread: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, scope: Option<GossipScope>, seed: u64) -> Self {
        let fleet = &scenario.fleet;
        let halls = fleet.halls.len();
        let boxes: Vec<ModelBox> = (0..halls * fleet.boxes_per_hall)
            .map(|at| ModelBox::new(at, at / fleet.boxes_per_hall))
            .collect();
        let scope = scope.unwrap_or(GossipScope::Fleet);
        let beside = match scope {
            GossipScope::Fleet => boxes.len(),
            GossipScope::Hall => fleet.boxes_per_hall,
        };
        let engines = (0..halls * fleet.engines_per_hall)
            .map(|_| Engine::new(fleet.engine, fleet.context_ms_per_k));
        let mut world = Self {
            scenario,
            rules: Rules {
                model: fleet.engine,
                scope,
                boxes: beside,
                gaps: scenario.gaps(),
                engines: EngineList::new(halls, fleet.engines_per_hall),
            },
            agenda: Agenda::default(),
            engines: engines.collect(),
            boxes,
            calls: Vec::new(),
            far_told: vec![[Time::ZERO; 2]; halls],
            rng: ChaCha8Rng::seed_from_u64(!seed),
            reports: 0,
        };
        world.put_arrivals(seed);
        world.put_slow_engines();
        for at in 0..world.boxes.len() {
            world.agenda.put(Time::ZERO, Event::Heartbeat(at));
        }
        if scope == GossipScope::Hall {
            (0..halls).for_each(|hall| world.agenda.put(Time::ZERO, Event::RefreshesFar(hall)));
        }
        world
    }

    /// Draws all arrivals ahead, so that they don't depend on what boxes decide.
    fn put_arrivals(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let span = Duration::from_secs_f64(self.scenario.seconds);
        for kind in 0..self.scenario.kinds.len() {
            let of = &self.scenario.kinds[kind];
            let most = (self.scenario.phases.iter())
                .map(|phase| phase.factors[kind])
                .fold(1.0, f64::max);
            let mut at = Duration::ZERO;
            loop {
                let gap = -(1.0 - rng.random::<f64>()).ln() / (of.per_second * most);
                at += Duration::from_secs_f64(gap);
                if at >= span {
                    break;
                }
                let is_kept = rng.random::<f64>() * most < self.scenario.factor(kind, at);
                let call = self.draw_call(kind, Time::ZERO + at, &mut rng);
                if is_kept {
                    let id = self.calls.len();
                    self.agenda.put(call.at, Event::Arrives(id));
                    self.calls.push(call);
                }
            }
        }
    }

    fn draw_call(&self, kind: usize, at: Time, rng: &mut ChaCha8Rng) -> Call {
        let of = &self.scenario.kinds[kind];
        let tokens = log_normal(rng, of.mean_tokens, of.spread).clamp(1.0, of.most_tokens) as u64;
        let events = log_normal(rng, of.mean_events, 0.6).clamp(1.0, of.mean_events * 2.5) as u32;
        let fleet = &self.scenario.fleet;
        let all: f64 = fleet.halls.iter().sum();
        let mut drawn = rng.random::<f64>() * all;
        let hall = fleet.halls.iter().position(|share| {
            drawn -= share;
            drawn < 0.0
        });
        let hall = hall.unwrap_or_default();
        let box_at = hall * fleet.boxes_per_hall + rng.random_range(0..fleet.boxes_per_hall);
        Call {
            at,
            box_at,
            kind,
            prompt: PromptSize {
                tokens,
                max_output: u64::from(events) * u64::from(fleet.engine.steps_per_pass),
            },
            events,
            ticket: None,
            queued: None,
            started: at,
            parts_left: 0,
            placed: None,
            first_event: None,
            last_event: at,
            longest_pause: Duration::ZERO,
        }
    }

    fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrives(id) => self.arrives(now, id),
            Event::Looks(id) => self.looks(now, id),
            Event::Reads(id, engine, left) => {
                self.engines[engine].read(id, left);
                self.begin_pass(now, engine);
            }
            Event::PassEnds(engine) => self.pass_ends(now, engine),
            Event::Begins(id) => self.first_event(now, id),
            Event::Ends(id) => self.ends(now, id),
            Event::Tells(at) if self.boxes[at].tells_at == Some(now) => self.tell(now, at, false),
            Event::Tells(_) => {}
            Event::Heartbeat(at) => {
                let pause = if self.boxes[at].queue.is_empty() {
                    HEARTBEAT_INTERVAL
                } else {
                    QUEUED_PROMPT_HEARTBEAT
                };
                if now.since(self.boxes[at].last_told) >= pause {
                    self.tell(now, at, false);
                }
                self.agenda
                    .put(now + QUEUED_PROMPT_HEARTBEAT, Event::Heartbeat(at));
            }
            Event::Hears(from, told) => self.hear(now, from, &told),
            Event::TellsFar(hall) => self.tells_far(now, hall),
            Event::RefreshesFar(hall) => {
                self.hall_changed(now, hall);
                self.agenda
                    .put(now + MAX_HALL_GOSSIP_INTERVAL, Event::RefreshesFar(hall));
            }
            Event::IsLate(id) => self.is_late(now, id),
            Event::Reports(box_at, engine) => self.reports(now, box_at, engine),
            Event::AsksAgain(box_at, engine) => self.asks_again(now, box_at, engine),
            Event::Slows(engine, factor) => self.engines[engine].slowness = factor,
            Event::HearsFar(hall, told) => {
                let name = HallName::new(format!("hall-{hall}"));
                let others = self.boxes.iter_mut().filter(|of| of.hall != hall);
                for of in others {
                    of.hear_hall(now, &name, &told);
                }
            }
        }
    }

    fn kind_of(&self, id: CallId) -> &'a Kind {
        &self.scenario.kinds[self.calls[id].kind]
    }

    fn asked(&self, id: CallId) -> Asked {
        let (call, kind) = (&self.calls[id], self.kind_of(id));
        Asked {
            prompt: call.prompt,
            due: call.at + Duration::from_millis(kind.aim_ms),
            pause: Duration::from_millis(kind.pause_ms),
            late_chunk: None,
        }
    }

    fn arrives(&mut self, now: Time, id: CallId) {
        let asked = self.asked(id);
        let box_at = self.calls[id].box_at;
        let gaps = self.rules.stream_gaps(asked.pause);
        if engine_plan::is_long(&self.rules.model, &asked.prompt, &gaps) {
            self.queue(now, id);
            return;
        }
        let of = &mut self.boxes[box_at];
        if let Some(planned) = of.plan(now, &self.rules, &asked, &mut self.rng) {
            let placed = of.enter(now, planned);
            self.starts(now, id, placed);
            self.changed(now, box_at);
        }
    }

    fn queue(&mut self, now: Time, id: CallId) {
        let asked = self.asked(id);
        let deadline = self.calls[id].at + Duration::from_millis(self.kind_of(id).deadline_ms);
        let waiting = QueuedPrompt {
            prefill: self.rules.model.prefill_time(asked.prompt.tokens),
            decode: long_prompt_queue::decode_time(&self.rules.model, asked.prompt.max_output),
            due: asked.due,
            engines: self.engines.len(),
            arrived: self.calls[id].at,
            deadline,
            is_requeued: self.calls[id].queued.is_some(),
        };
        let box_at = self.calls[id].box_at;
        self.calls[id].queued = Some(waiting);
        self.calls[id].ticket = Some(self.boxes[box_at].queue.push(now, waiting));
        self.tells(now, box_at);
        self.agenda.put(now + QUEUE_POLL_INTERVAL, Event::Looks(id));
    }

    fn looks(&mut self, now: Time, id: CallId) {
        let box_at = self.calls[id].box_at;
        let Some(ticket) = self.calls[id].ticket else {
            return self.queue(now, id);
        };
        let asked = Asked {
            late_chunk: self.boxes[box_at].queue.late_chunk(now, ticket),
            ..self.asked(id)
        };
        let rules = &self.rules;
        let of = &mut self.boxes[box_at];
        let mut queue = std::mem::take(&mut of.queue);
        let rng = &mut self.rng;
        let waiting = self.calls[id].queued.as_ref();
        let can_complete = |planned: &Planned| {
            waiting.is_none_or(|queued| queued.can_complete(now, planned.first_event()))
        };
        let plan = || of.plan(now, rules, &asked, rng).filter(can_complete);
        let planned = queue.try_start(now, ticket, &of.name, plan);
        of.queue = queue;
        let Some(planned) = planned else {
            if waiting.is_none_or(|queued| now >= queued.expires_at()) {
                of.queue.remove(ticket);
                self.tells(now, box_at);
            } else {
                self.agenda.put(now + QUEUE_POLL_INTERVAL, Event::Looks(id));
            }
            return;
        };
        let placed = of.enter(now, planned);
        of.queue.remove(ticket);
        self.calls[id].ticket = None;
        if placed.plan.reserve_memory && !self.reserve(&placed) {
            placed
                .works
                .iter()
                .for_each(|&work| self.boxes[box_at].loads.end(work));
            let prefill = self.rules.model.prefill_time(asked.prompt.tokens);
            let groups = &mut self.boxes[box_at].queue.size_groups;
            groups.record_lost_start(now, prefill);
            self.agenda
                .put(now + RESERVATION_RETRY_DELAY, Event::Looks(id));
        } else {
            self.starts(now, id, placed);
        }
        self.tells(now, box_at);
    }

    /// Sets a plan's memory aside at all its engines, or at none.
    fn reserve(&mut self, placed: &Placed) -> bool {
        let wanted = placed.engines.iter().zip(&placed.plan.assignments);
        for (got, (&engine, part)) in wanted.clone().enumerate() {
            if !self.engines[engine].reserve(part.memory_tokens) {
                for (&engine, part) in wanted.take(got) {
                    self.engines[engine].release(part.memory_tokens);
                }
                return false;
            }
        }
        true
    }

    fn delay(&self, id: CallId, engine: usize) -> Duration {
        self.way(self.boxes[self.calls[id].box_at].hall, engine)
    }

    /// One way between a box of a hall and an engine.
    fn way(&self, hall: usize, engine: usize) -> Duration {
        let fleet = &self.scenario.fleet;
        let way = if engine / fleet.engines_per_hall == hall {
            fleet.near_ms
        } else {
            fleet.far_ms
        };
        Duration::from_secs_f64((way + fleet.box_ms) / 1e3)
    }

    fn starts(&mut self, now: Time, id: CallId, placed: Placed) {
        self.calls[id].started = now;
        self.calls[id].parts_left = placed.engines.len();
        for (&engine, part) in placed.engines.iter().zip(&placed.plan.assignments) {
            let at = now + self.delay(id, engine);
            self.agenda.put(at, Event::Reads(id, engine, part.prefill));
        }
        let late_at = now + slow_engine_tracker::late_after(placed.plan.expected_first_event);
        self.agenda.put(late_at, Event::IsLate(id));
        if !placed.plan.reserve_memory {
            self.engines[placed.engines[0]].hold(self.calls[id].prompt.memory_tokens());
        }
        self.calls[id].placed = Some(placed);
    }

    fn begin_pass(&mut self, now: Time, engine: usize) {
        if let Some(end) = self.engines[engine].begin(now) {
            self.agenda.put(end, Event::PassEnds(engine));
        }
    }

    fn pass_ends(&mut self, now: Time, engine: usize) {
        let mut end = self.engines[engine].end();
        for id in end.read {
            self.calls[id].parts_left -= 1;
            if self.calls[id].parts_left == 0 {
                self.writes(now, id, engine);
            }
        }
        if end.wrote {
            end.events.extend(self.engines[engine].write_first());
        }
        for (id, is_last) in end.events {
            let at = now + self.delay(id, engine);
            self.note_event(at, id);
            if is_last {
                self.agenda.put(at, Event::Ends(id));
            }
        }
        self.begin_pass(now, engine);
    }

    /// All parts are read, the last one at `last`: the engine that leads writes.
    fn writes(&mut self, now: Time, id: CallId, last: usize) {
        let call = &self.calls[id];
        let Some(placed) = &call.placed else {
            return;
        };
        let lead = placed.engines[0];
        let memory = call.prompt.memory_tokens();
        let size = if placed.plan.reserve_memory {
            // What was set aside is given back by orders of its own.
            StreamSize {
                context: memory / placed.engines.len() as u64,
                frees: 0,
            }
        } else {
            StreamSize {
                context: memory,
                frees: memory,
            }
        };
        self.engines[lead].write(id, call.events, size);
        if lead != last {
            self.begin_pass(now, lead);
        }
    }

    fn note_event(&mut self, at: Time, id: CallId) {
        let call = &mut self.calls[id];
        if call.first_event.is_none() {
            call.first_event = Some(at);
            self.agenda.put(at, Event::Begins(id));
        } else {
            call.longest_pause = call.longest_pause.max(at.since(call.last_event));
        }
        call.last_event = at;
    }

    fn first_event(&mut self, now: Time, id: CallId) {
        let box_at = self.calls[id].box_at;
        let Some(placed) = &self.calls[id].placed else {
            return;
        };
        let is_long = placed.plan.is_long;
        for &work in &placed.works {
            self.boxes[box_at].loads.prefill_done(work);
        }
        if is_long {
            self.tells(now, box_at);
        } else {
            self.changed(now, box_at);
        }
    }

    fn ends(&mut self, now: Time, id: CallId) {
        let box_at = self.calls[id].box_at;
        let Some(placed) = self.calls[id].placed.as_ref() else {
            return;
        };
        if placed.plan.reserve_memory {
            for (&engine, part) in placed.engines.iter().zip(&placed.plan.assignments) {
                self.engines[engine].release(part.memory_tokens);
            }
        }
        for &work in &placed.works {
            self.boxes[box_at].loads.end(work);
        }
        self.changed(now, box_at);
    }

    /// Tells of a change after the pause that telling all takes.
    fn changed(&mut self, now: Time, at: usize) {
        let pause = GOSSIP_INTERVAL_PER_BOX * self.rules.boxes as u32;
        let of = &mut self.boxes[at];
        if of.tells_at.is_none() {
            let due = (of.last_told + pause).max(now);
            of.tells_at = Some(due);
            self.agenda.put(due, Event::Tells(at));
        }
    }

    /// Tells at once what a long prompt does.
    fn tells(&mut self, now: Time, at: usize) {
        self.tell(now, at, true);
    }

    fn tell(&mut self, now: Time, at: usize, is_urgent: bool) {
        let told = Rc::new(self.boxes[at].tell(now, is_urgent));
        let fleet = &self.scenario.fleet;
        let way = match self.rules.scope {
            GossipScope::Fleet => fleet.far_ms,
            GossipScope::Hall => fleet.near_ms,
        };
        let heard = now + Duration::from_secs_f64((way + fleet.box_ms) / 1e3);
        self.agenda.put(heard, Event::Hears(at, told));
    }

    fn hear(&mut self, now: Time, from: usize, told: &Told) {
        let (name, hall) = (self.boxes[from].name.clone(), self.boxes[from].hall);
        if told.is_urgent && self.rules.scope == GossipScope::Hall {
            self.hall_changed(now, hall);
        }
        for at in 0..self.boxes.len() {
            let of = &mut self.boxes[at];
            if at != from && (self.rules.scope == GossipScope::Fleet || of.hall == hall) {
                of.hear(now, &name, told);
            }
        }
    }

    /// Tells the other halls soon, unless that is under way.
    fn hall_changed(&mut self, now: Time, hall: usize) {
        let [last, next] = &mut self.far_told[hall];
        if *next <= *last {
            *next = (*last + MIN_HALL_GOSSIP_INTERVAL).max(now);
            self.agenda.put(*next, Event::TellsFar(hall));
        }
    }

    fn tells_far(&mut self, now: Time, hall: usize) {
        self.far_told[hall] = [now, now];
        let speaker = self.boxes.iter().find(|of| of.hall == hall);
        if let Some(speaker) = speaker {
            let told = speaker.tell_hall(now);
            let fleet = &self.scenario.fleet;
            let way = fleet.far_ms + fleet.near_ms + 2.0 * fleet.box_ms;
            let heard = now + Duration::from_secs_f64(way / 1e3);
            self.agenda.put(heard, Event::HearsFar(hall, Rc::new(told)));
        }
    }

    fn outcome(&self, call: &Call) -> CallOutcome {
        let kind = &self.scenario.kinds[call.kind];
        let millis = |span: Duration| span.as_millis() as u64;
        let first = call.first_event.map(|at| millis(at.since(call.at)));
        let is_whole = call.last_event <= call.at + Duration::from_millis(kind.deadline_ms);
        let is_good = first.is_some_and(|first| first <= kind.aim_ms)
            && millis(call.longest_pause) <= kind.pause_ms;
        let size = kind.size(call.prompt.tokens);
        let earned = match (first, is_good) {
            (Some(_), true) if is_whole => kind.worth * size,
            (Some(_), false) if is_whole => kind.late_worth * size,
            _ => 0.0,
        };
        let expected = call
            .placed
            .as_ref()
            .map(|placed| placed.plan.expected_first_event);
        CallOutcome {
            kind: call.kind,
            at_ms: call.at.as_micros() / 1_000,
            tokens: call.prompt.tokens,
            waited_ms: millis(call.started.since(call.at)),
            expected_ms: millis(expected.unwrap_or_default()),
            first_event_ms: first,
            longest_pause_ms: millis(call.longest_pause),
            worth: [earned, kind.worth * size],
        }
    }
}
