//! Chooses where a try goes: a plain service's server, or engines by the library's plan.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call::PromptSize;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineWork;
use badgerferry_lib::relay::engine_load::EngineWorkId;
use badgerferry_lib::relay::engine_plan;
use badgerferry_lib::relay::engine_plan::Assignment;
use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::relay::engine_plan::EnginePlan;
use badgerferry_lib::relay::engine_plan::EnginePool;
use badgerferry_lib::relay::engine_plan::EngineState;
use badgerferry_lib::relay::engine_plan::LatencyTargets;
use badgerferry_lib::relay::hall_planner::HallPlanner;
use badgerferry_lib::relay::long_prompt_queue::QUEUE_POLL_INTERVAL;
use badgerferry_lib::relay::long_prompt_queue::QueuedPrompt;
use badgerferry_lib::relay::long_prompt_queue::RESERVATION_RETRY_DELAY;
use badgerferry_lib::relay::long_prompt_queue::Ticket;
use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_platform::headers::Reader;

use crate::relay::call::Call;
use crate::relay::candidates;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::candidates::NotNow;
use crate::relay::candidates::Wanted;
use crate::relay::late_calls::LateWatch;
use crate::relay::log_lines;
use crate::relay::reservations::NotReserved;
use crate::relay::reservations::Reservations;
use crate::relay::server_gate::Target;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Estimate of a plain call's time where nothing is known, for patience with a silent server.
const PLAIN_EXPECTED: Duration = Duration::from_millis(300);
/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// Where a try goes.
#[derive(Debug)]
pub struct Chosen {
    /// The server that runs it.
    pub server: ServerName,
    /// The life of the server that is meant, and its hall.
    pub target: Target,
    /// Where it listens.
    pub address: String,
    /// Engines that read parts of the prompt.
    pub readers: Vec<Reader>,
    /// What each engine reads of the prompt, by the operators' figures.
    pub part: Option<Duration>,
    /// Rank at the engine.
    pub rank: Option<u8>,
    /// Expected time to the first event.
    pub expected: Duration,
    /// How long the call waited for engines, in the order over all boxes.
    pub waited: Duration,
    /// Own work entered in the load table, until dropped.
    works: Works,
    /// Asks its engines for their pace if the first event is late.
    late: Option<LateWatch>,
    /// Memory set aside, until dropped.
    _reservations: Option<Reservations>,
}

impl Chosen {
    /// Addresses of the engines that read parts, for logs; none where there is one reader.
    pub fn read_at(&self) -> Option<String> {
        let addresses: Vec<&str> = self
            .readers
            .iter()
            .map(|row| row.address.as_str())
            .collect();
        (!addresses.is_empty()).then(|| addresses.join(" "))
    }

    /// Whether it is a long prompt, whose engines read for no other one meanwhile.
    pub const fn is_long(&self) -> bool {
        self.works.long
    }

    /// Notes that all reading is over.
    pub fn prefill_done(&self, call: &Call) {
        if let Some(late) = &self.late {
            late.end();
        }
        let mut loads = lock(&call.relay.loads);
        for &id in &self.works.ids {
            loads.prefill_done(id);
        }
        drop(loads);
        self.works.changed();
    }
}

/// Entries in the load table that end when dropped.
#[derive(Debug)]
struct Works {
    relay: Arc<Relay>,
    ids: Vec<EngineWorkId>,
    long: bool,
}

impl Works {
    /// Lets the other boxes know.
    fn changed(&self) {
        if self.long {
            self.relay.urgent_changed.notify_one();
        } else {
            self.relay.load_changed.notify_one();
        }
    }
}

impl Drop for Works {
    fn drop(&mut self) {
        let mut loads = lock(&self.relay.loads);
        for &id in &self.ids {
            loads.end(id);
        }
        drop(loads);
        self.changed();
    }
}

/// An engine of a plan.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its name.
    pub server: ServerName,
    /// The life of it that is meant, and its hall.
    pub target: Target,
    /// Where it listens.
    pub address: String,
    /// Its key.
    pub key: EngineKey,
}

impl Engine {
    fn of(record: &ServerRecord) -> Self {
        Self {
            server: record.info.name.clone(),
            target: target(record),
            address: record.info.address.clone(),
            key: record.key,
        }
    }
}

fn target(record: &ServerRecord) -> Target {
    Target {
        name: record.info.name.clone(),
        life: record.life,
        hall: record.info.hall.clone(),
    }
}

/// Chooses; `tried` servers are used again only where there is no other. One that
/// `is_apart` and needs no group of engines goes where few others are.
///
/// # Errors
///
/// Why no server can take the call now, and when to come back.
pub async fn choose(
    call: &Arc<Call>,
    tried: &[ServerName],
    is_apart: bool,
) -> Result<Chosen, (RefusalReason, Duration)> {
    let service = call.routes.service(&call.service);
    let model = service.and_then(|service| service.engine);
    match (model, call.head.prompt) {
        (Some(model), Some(prompt)) => choose_engines(call, tried, &model, &prompt, is_apart).await,
        _ => choose_plain(call, tried),
    }
}

fn wanted<'a>(call: &'a Call, tried: &'a [ServerName]) -> Wanted<'a> {
    Wanted {
        service: &call.service,
        tried,
        patience: call.patience(tried.is_empty()),
    }
}

fn choose_plain(
    call: &Arc<Call>,
    tried: &[ServerName],
) -> Result<Chosen, (RefusalReason, Duration)> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let tracker = lock(&relay.tracker);
    let hall = &relay.settings.hall;
    let candidates = candidates::of_service(relay, now, &tracker, &wanted(call, tried));
    let candidates = candidates.map_err(NotNow::refusal)?;
    let record = ServerTracker::pick(now, candidates, hall, &mut rand::rng());
    let record = record.ok_or(NotNow::NoEngines.refusal())?;
    Ok(Chosen {
        server: record.info.name.clone(),
        target: target(record),
        address: record.info.address.clone(),
        readers: Vec::new(),
        part: None,
        rank: None,
        expected: PLAIN_EXPECTED,
        waited: Duration::ZERO,
        works: Works {
            relay: Arc::clone(relay),
            ids: Vec::new(),
            long: false,
        },
        late: None,
        _reservations: None,
    })
}

async fn choose_engines(
    call: &Arc<Call>,
    tried: &[ServerName],
    model: &EngineModel,
    prompt: &PromptSize,
    is_apart: bool,
) -> Result<Chosen, (RefusalReason, Duration)> {
    if !engine_plan::is_long(model, prompt, call.route.max_gap) {
        let apart = is_apart.then(|| plan(call, tried, model, prompt, Among::Apart));
        let planned = if let Some(Ok(planned)) = apart {
            planned
        } else {
            let all = Among::All { late_chunk: None };
            plan(call, tried, model, prompt, all).map_err(NotNow::refusal)?
        };
        let started = enter(&call.relay, planned);
        started.works.changed();
        return Ok(chosen(call, started, None, Duration::ZERO));
    }
    let since = call.relay.clock.now();
    loop {
        let started = wait_for_engines(call, tried, model, prompt).await?;
        let waited = call.relay.clock.now().since(since);
        started.works.changed();
        if !started.plan.reserve_memory {
            return Ok(chosen(call, started, None, waited));
        }
        // Where an engine sets no memory aside, nothing was sent: the prompt waits again.
        match reserve(call, &started).await {
            Ok(reserved) => return Ok(chosen(call, started, Some(reserved), waited)),
            Err(refused) => note_refused(&call.relay, &refused),
        }
        tokio::time::sleep(RESERVATION_RETRY_DELAY).await;
    }
}

fn chosen(
    call: &Arc<Call>,
    started: Started,
    reservations: Option<Reservations>,
    waited: Duration,
) -> Chosen {
    let Started {
        addresses,
        plan,
        works,
    } = started;
    let readers = readers(&addresses, reservations.as_ref());
    let lead = &addresses[0];
    let reading = addresses.clone();
    Chosen {
        server: lead.server.clone(),
        target: lead.target.clone(),
        address: lead.address.clone(),
        readers,
        part: plan.assignments.first().map(|part| part.prefill),
        rank: Some(call.priority.min(LAST_RANK)),
        expected: plan.expected_first_event,
        waited,
        works,
        late: Some(LateWatch::begin(call, reading, plan.expected_first_event)),
        _reservations: reservations,
    }
}

/// Engines that take no reservations rest; those that have no room now may have some soon.
fn note_refused(relay: &Relay, refused: &[(String, NotReserved)]) {
    let now = relay.clock.now();
    let mut tracker = lock(&relay.tracker);
    for (address, why) in refused {
        match why {
            NotReserved::NoRoom => {}
            NotReserved::Refused | NotReserved::Silent => tracker.record_fault(now, address),
        }
    }
}

/// A plan whose work is entered in the load table.
struct Started {
    addresses: Vec<Engine>,
    plan: EnginePlan,
    works: Works,
}

/// A plan with the engines that it names; nothing is entered yet.
struct Planned {
    addresses: Vec<Engine>,
    /// Work at each of them.
    works: Vec<EngineWork>,
    plan: EnginePlan,
}

/// The hall of each engine as a number; 0 is this box's own.
fn hall_numbers(engines: &[&ServerRecord], own: &HallName) -> Vec<usize> {
    let mut halls = vec![own];
    let mut number = |hall| {
        let known = halls.iter().position(|known| *known == hall);
        known.unwrap_or_else(|| {
            halls.push(hall);
            halls.len() - 1
        })
    };
    engines
        .iter()
        .map(|record| number(&record.info.hall))
        .collect()
}

/// Among which engines a call is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Among {
    /// All; a large prompt that will be late may be read in parts up to a length.
    All { late_chunk: Option<Duration> },
    /// A quiet one, apart from other calls.
    Apart,
}

/// Plans the call, if it may be sent now.
fn plan(
    call: &Call,
    tried: &[ServerName],
    model: &EngineModel,
    prompt: &PromptSize,
    among: Among,
) -> Result<Planned, NotNow> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let scope = lock(&relay.cluster_view).scope();
    let boxes = relay.boxes_in_scope(scope);
    let tracker = lock(&relay.tracker);
    let table = lock(&relay.loads).table(now);
    let candidates = candidates::of_service(relay, now, &tracker, &wanted(call, tried))?;
    let mut candidates = candidates::without_slow(relay, now, candidates);
    if among == Among::Apart {
        let busy = |(record, _): &(&ServerRecord, Availability)| {
            let load = table.get(&record.key);
            load.map_or(0, |load| {
                u32::from(load.short_calls) + u32::from(load.long_calls)
            })
        };
        candidates.retain(|(_, availability)| availability.accepts_calls());
        candidates = quarantine::pick_isolated(candidates, busy, &mut rand::rng());
    }
    // Engines kept for short calls are the first ones, which must take them.
    candidates.sort_by_key(|(_, availability)| *availability != Availability::Open);
    let state = |(record, availability): &(&ServerRecord, Availability)| EngineState {
        load: table.get(&record.key).copied().unwrap_or_default(),
        is_local: record.info.hall == relay.settings.hall,
        preference: relay.preference(record.key),
        availability: *availability,
    };
    let states: Vec<EngineState> = candidates.iter().map(state).collect();
    let usable: Vec<&ServerRecord> = candidates.iter().map(|(record, _)| *record).collect();
    let rng = &mut rand::rng();
    let targets = LatencyTargets {
        due_in: now.until(call.due()),
        max_gap: call.route.max_gap,
        tightest_gap: call.routes.tightest_gap(&call.service),
        late_chunk: match among {
            Among::All { late_chunk } => late_chunk,
            Among::Apart => None,
        },
    };
    let planner = HallPlanner {
        pool: EnginePool {
            model,
            engines: &states,
            boxes,
        },
        halls: &hall_numbers(&usable, &relay.settings.hall),
        scope,
    };
    let plan = planner
        .plan(prompt, targets, rng)
        .ok_or(NotNow::NoEngines)?;
    let address = |part: &Assignment| Engine::of(usable[part.engine]);
    Ok(Planned {
        addresses: plan.assignments.iter().map(address).collect(),
        works: plan.engine_work(&states),
        plan,
    })
}

/// Enters the work of a plan.
fn enter(relay: &Arc<Relay>, planned: Planned) -> Started {
    let Planned {
        addresses,
        works,
        plan,
    } = planned;
    let now = relay.clock.now();
    let mut loads = lock(&relay.loads);
    let entered = addresses.iter().zip(works);
    let ids = entered.map(|(engine, work)| loads.begin(now, engine.key, work));
    let ids = ids.collect();
    drop(loads);
    let works = Works {
        relay: Arc::clone(relay),
        ids,
        long: plan.is_long,
    };
    Started {
        addresses,
        plan,
        works,
    }
}

/// A place in the queue of long prompts, given up when dropped.
struct Place<'a> {
    relay: &'a Relay,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        lock(&self.relay.long_prompt_queue).remove(self.ticket);
        self.relay.urgent_changed.notify_one();
    }
}

async fn wait_for_engines(
    call: &Arc<Call>,
    tried: &[ServerName],
    model: &EngineModel,
    prompt: &PromptSize,
) -> Result<Started, (RefusalReason, Duration)> {
    let relay = &call.relay;
    let waiting = QueuedPrompt {
        prefill: model.prefill_time(prompt.tokens),
        due: call.due(),
        objective: call.route.objective,
        random_rank: rand::random(),
        engines: lock(&relay.tracker).of_service(&call.service).count(),
        arrived: call.arrived,
        deadline: call.deadline,
    };
    let expires_at = waiting.expires_at();
    let place = Place {
        relay,
        ticket: lock(&relay.long_prompt_queue).push(relay.clock.now(), waiting),
    };
    relay.urgent_changed.notify_one();
    loop {
        let now = relay.clock.now();
        let mut not_now = NotNow::NoEngines;
        let own = &relay.settings.name;
        let turn = {
            let mut queue = lock(&relay.long_prompt_queue);
            let late_chunk = queue.late_chunk(now, place.ticket);
            let planned = || {
                let planned = plan(call, tried, model, prompt, Among::All { late_chunk });
                planned.inspect_err(|why| not_now = *why).ok()
            };
            queue.try_start(now, place.ticket, own, planned)
        };
        if let Some(planned) = turn {
            return Ok(enter(relay, planned));
        }
        // What comes too late is not waited for.
        if not_now.lasts_until(now, expires_at) {
            return Err(not_now.refusal());
        }
        if relay.refuses_calls() {
            return Err((RefusalReason::Leaving, NO_SERVER_RETRY));
        }
        if now >= expires_at {
            let looks = lock(&relay.long_prompt_queue).blocked_polls(place.ticket);
            log_lines::gave_up_waiting(call, looks);
            return Err((RefusalReason::WouldMissDeadline, NO_SERVER_RETRY));
        }
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
    }
}

async fn reserve(
    call: &Arc<Call>,
    started: &Started,
) -> Result<Reservations, Vec<(String, NotReserved)>> {
    let wanted = started.addresses.iter().zip(&started.plan.assignments);
    let wanted = wanted.map(|(engine, part)| (engine.clone(), part.memory_tokens));
    Reservations::make(call, wanted.collect()).await
}

/// Who reads beside the engine that leads; with reservations, it lists its own first.
fn readers(addresses: &[Engine], reservations: Option<&Reservations>) -> Vec<Reader> {
    let skip = usize::from(reservations.is_none());
    let reader = |engine: &Engine| Reader {
        address: engine.address.clone(),
        reservation: reservations.map(|held| held.id().to_owned()),
    };
    addresses.iter().skip(skip).map(reader).collect()
}
