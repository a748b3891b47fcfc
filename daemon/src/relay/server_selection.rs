//! Selects where an attempt is sent. A plain call goes to one server. A call to a service with an
//! engine model that states the size of its prompt is planned on one or more engines.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call::PromptSize;
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
use badgerferry_lib::relay::long_prompt_queue;
use badgerferry_lib::relay::long_prompt_queue::QUEUE_POLL_INTERVAL;
use badgerferry_lib::relay::long_prompt_queue::QueuedPrompt;
use badgerferry_lib::relay::long_prompt_queue::RESERVATION_RETRY_DELAY;
use badgerferry_lib::relay::long_prompt_queue::Ticket;
use badgerferry_lib::relay::plain_selection::PlainCall;
use badgerferry_lib::relay::plain_selection::PlainDecision;
use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::relay::stream_gaps::StreamGaps;
use badgerferry_platform::headers::Helper;

use crate::relay::attempt_candidates;
use crate::relay::attempt_candidates::Requirements;
use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::candidates;
use crate::relay::candidates::CandidateQuery;
use crate::relay::candidates::NO_SERVER_RETRY;
use crate::relay::candidates::NoCandidate;
use crate::relay::first_event_watchdog::FirstEventWatchdog;
use crate::relay::listed_server::ListedServer;
use crate::relay::reservations::Reservations;
use crate::relay::reservations::ReserveError;
use crate::relay::server_gate::Target;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Assumed response time of a plain call, from which the silence timeout is derived.
const PLAIN_EXPECTED_RESPONSE: Duration = Duration::from_millis(300);
/// Largest priority that engines accept.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// The server or engines selected for an attempt.
#[derive(Debug)]
pub struct Selection {
    /// Server that runs the call; the lead engine if the call is planned on engines.
    pub server: ServerName,
    /// Incarnation and hall of that server.
    pub target: Target,
    /// Address of that server.
    pub address: String,
    /// Engines that prefill chunks of the prompt besides the lead. With reservations, the lead
    /// itself comes first.
    pub helpers: Vec<Helper>,
    /// Incarnations and halls of those engines, without the lead.
    pub helper_targets: Vec<Target>,
    /// Estimated prefill time of one chunk, by the configured engine model.
    pub chunk_prefill: Option<Duration>,
    /// Priority at the engine, from 0 to 9; `None` for a plain call.
    pub priority: Option<u8>,
    /// Estimated time to the first event.
    pub expected_first_event: Duration,
    /// Time spent in the queue of long prompts, which is ordered over all boxes.
    pub waited: Duration,
    /// Work registered in the load table until dropped.
    load_entries: LoadEntries,
    /// Queries the servers if the first event is late.
    watchdog: Option<FirstEventWatchdog>,
    /// Memory reserved at the engines until dropped.
    _reservations: Option<Reservations>,
}

impl Selection {
    /// The server that runs the call.
    pub fn listed_server(&self) -> ListedServer {
        ListedServer::new(&self.target, &self.address)
    }

    /// Addresses of the helpers, for logs; `None` if there are none.
    pub fn helper_addresses(&self) -> Option<String> {
        let addresses: Vec<&str> = self
            .helpers
            .iter()
            .map(|helper| helper.address.as_str())
            .collect();
        (!addresses.is_empty()).then(|| addresses.join(" "))
    }

    /// Whether the prompt is long: its engines prefill no other long prompt at the same time.
    pub const fn is_long(&self) -> bool {
        self.load_entries.is_long
    }

    /// Records that the prefill is complete.
    pub fn prefill_done(&self, call: &Call) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.stop();
        }
        let mut loads = lock(&call.relay.loads);
        for &id in &self.load_entries.ids {
            loads.prefill_done(id);
        }
        drop(loads);
        let is_prefilled = &self.load_entries.is_prefilled;
        is_prefilled.store(true, Ordering::Relaxed);
        self.load_entries.notify_peers();
    }
}

/// Entries in the load table, removed when dropped.
#[derive(Debug)]
struct LoadEntries {
    relay: Arc<Relay>,
    ids: Vec<EngineWorkId>,
    is_long: bool,
    /// Prefill time of the whole prompt on a single engine.
    prefill: Duration,
    /// Whether the prefill is complete.
    is_prefilled: AtomicBool,
}

impl LoadEntries {
    /// Triggers gossip of the change to the other boxes.
    fn notify_peers(&self) {
        if self.is_long {
            self.relay.urgent_changed.notify_one();
        } else {
            self.relay.load_changed.notify_one();
        }
    }
}

impl Drop for LoadEntries {
    fn drop(&mut self) {
        let mut loads = lock(&self.relay.loads);
        for &id in &self.ids {
            loads.end(id);
        }
        drop(loads);
        if self.is_long && !self.is_prefilled.load(Ordering::Relaxed) {
            let now = self.relay.clock.now();
            let mut queue = lock(&self.relay.long_prompt_queue);
            queue.size_groups.record_lost_start(now, self.prefill);
        }
        self.notify_peers();
    }
}

/// Selects a server or engines.
///
/// # Errors
///
/// The reason why no server can take the call now, and the delay before a retry.
pub async fn select(
    call: &Arc<Call>,
    requirements: Requirements<'_>,
) -> Result<Selection, (RefusalReason, Duration)> {
    let service = call.routes.service(&call.service);
    let model = service.and_then(|service| service.engine);
    match (model, call.head.prompt) {
        (Some(model), Some(prompt)) => select_engines(call, requirements, &model, &prompt).await,
        _ => select_plain(call, requirements).await,
    }
}

async fn select_plain(
    call: &Arc<Call>,
    requirements: Requirements<'_>,
) -> Result<Selection, (RefusalReason, Duration)> {
    let query = attempt_candidates::running_candidates(call, &requirements).await;
    let relay = &call.relay;
    let now = relay.clock.now();
    let plain_call = PlainCall {
        time_left: call.time_left(),
        boxes: relay.box_count(),
    };
    let tracker = lock(&relay.tracker);
    let hall = &relay.settings.hall;
    let candidates = candidates::of_service(relay, now, &tracker, &query);
    let candidates = candidates.map_err(NoCandidate::refusal)?;
    let record =
        match ServerTracker::select_plain(now, plain_call, &candidates, hall, &mut rand::rng()) {
            PlainDecision::Send(record) => record,
            PlainDecision::Reject {
                reason,
                retry_after,
            } => {
                call_log::servers_overloaded(call, reason, retry_after, candidates.len());
                return Err(NoCandidate::RetryIn(retry_after, reason).refusal());
            }
            PlainDecision::NoServer => return Err(NoCandidate::NoServers.refusal()),
        };
    Ok(Selection {
        server: record.info.name.clone(),
        target: Target::of(record),
        address: record.info.address.clone(),
        helpers: Vec::new(),
        helper_targets: Vec::new(),
        chunk_prefill: None,
        priority: None,
        expected_first_event: PLAIN_EXPECTED_RESPONSE,
        waited: Duration::ZERO,
        load_entries: LoadEntries {
            relay: Arc::clone(relay),
            ids: Vec::new(),
            is_long: false,
            prefill: Duration::ZERO,
            is_prefilled: AtomicBool::new(false),
        },
        watchdog: Some(FirstEventWatchdog::start_plain(
            call,
            ListedServer::of(record),
            PLAIN_EXPECTED_RESPONSE,
        )),
        _reservations: None,
    })
}

async fn select_engines(
    call: &Arc<Call>,
    requirements: Requirements<'_>,
    model: &EngineModel,
    prompt: &PromptSize,
) -> Result<Selection, (RefusalReason, Duration)> {
    let gaps = stream_gaps(call, model);
    if !engine_plan::is_long(model, prompt, &gaps) {
        let query = attempt_candidates::running_candidates(call, &requirements).await;
        let isolated = requirements
            .is_isolated
            .then(|| plan(call, &query, model, prompt, EngineSet::Isolated));
        let planned = if let Some(Ok(planned)) = isolated {
            planned
        } else {
            let all = EngineSet::All { late_chunk: None };
            plan(call, &query, model, prompt, all).map_err(NoCandidate::refusal)?
        };
        let registered = register(&call.relay, planned);
        registered.load_entries.notify_peers();
        return Ok(selection(call, registered, None, Duration::ZERO));
    }
    let listed = lock(&call.relay.tracker).of_service(&call.service).count();
    if !engine_plan::fits_engines(model, prompt, listed) {
        call_log::prompt_too_large(call, prompt, model, listed);
        return Err((RefusalReason::PromptTooLong, NO_SERVER_RETRY));
    }
    let queued_at = call.relay.clock.now();
    let tried = requirements.tried;
    let mut is_requeued = !tried.is_empty();
    loop {
        let registered = wait_for_engines(call, tried, model, prompt, is_requeued).await?;
        is_requeued = true;
        let waited = call.relay.clock.now().since(queued_at);
        registered.load_entries.notify_peers();
        if !registered.plan.reserve_memory {
            return Ok(selection(call, registered, None, waited));
        }
        // The call is sent only when every engine has reserved the memory; otherwise the prompt is
        // queued again.
        match reserve(call, &registered).await {
            Ok(reserved) => return Ok(selection(call, registered, Some(reserved), waited)),
            Err(refused) => record_refusals(&call.relay, &call.service, &refused),
        }
        tokio::time::sleep(RESERVATION_RETRY_DELAY).await;
    }
}

fn selection(
    call: &Arc<Call>,
    registered: RegisteredPlan,
    reservations: Option<Reservations>,
    waited: Duration,
) -> Selection {
    let RegisteredPlan {
        engines,
        plan,
        load_entries,
    } = registered;
    let helpers = helpers(&engines, reservations.as_ref());
    let helper_targets = engines.iter().skip(1);
    let helper_targets = helper_targets.map(|engine| engine.target.clone()).collect();
    let lead = &engines[0];
    let prefill_engines = engines.clone();
    Selection {
        server: lead.server.clone(),
        target: lead.target.clone(),
        address: lead.address.clone(),
        helpers,
        helper_targets,
        chunk_prefill: plan
            .assignments
            .first()
            .map(|assignment| assignment.prefill),
        priority: Some(call.priority.min(MAX_ENGINE_PRIORITY)),
        expected_first_event: plan.expected_first_event,
        waited,
        load_entries,
        watchdog: Some(FirstEventWatchdog::start(
            call,
            prefill_engines,
            plan.expected_first_event,
        )),
        _reservations: reservations,
    }
}

/// Records a fault of engines that refuse reservations or do not respond, which may exclude them.
/// Engines without free memory and those of evacuated halls are not at fault, and neither are those
/// that do not respond while the path of this box may be cut.
fn record_refusals(relay: &Relay, service: &ServiceName, refused: &[(String, ReserveError)]) {
    let now = relay.clock.now();
    let is_path_doubtful = lock(&relay.server_paths).is_doubtful(service);
    let mut tracker = lock(&relay.tracker);
    for (address, why) in refused {
        match why {
            ReserveError::NoRoom | ReserveError::Evacuated => {}
            ReserveError::Silent if is_path_doubtful => {}
            ReserveError::Refused | ReserveError::Silent => tracker.record_fault(now, address),
        }
    }
}

/// A plan whose work is registered in the load table.
struct RegisteredPlan {
    engines: Vec<ListedServer>,
    plan: EnginePlan,
    load_entries: LoadEntries,
}

/// A plan whose work is not registered in the load table yet.
struct UnregisteredPlan {
    engines: Vec<ListedServer>,
    /// Work of each engine.
    engine_work: Vec<EngineWork>,
    plan: EnginePlan,
    /// Prefill time of the whole prompt on a single engine.
    prefill: Duration,
}

/// The hall of each engine as an index; 0 is the hall of this box.
fn hall_indices(engines: &[&ServerRecord], own_hall: &HallName) -> Vec<usize> {
    let mut halls = vec![own_hall];
    let mut index = |hall| {
        let known = halls.iter().position(|known| *known == hall);
        known.unwrap_or_else(|| {
            halls.push(hall);
            halls.len() - 1
        })
    };
    engines
        .iter()
        .map(|record| index(&record.info.hall))
        .collect()
}

/// Engines considered for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineSet {
    /// All engines. `late_chunk` limits the prefill chunks of a late large prompt.
    All { late_chunk: Option<Duration> },
    /// One lightly loaded engine, to keep a suspect request apart from other calls.
    Isolated,
}

/// Plans the call on the engines that accept it now.
fn plan(
    call: &Call,
    query: &CandidateQuery<'_>,
    model: &EngineModel,
    prompt: &PromptSize,
    engine_set: EngineSet,
) -> Result<UnregisteredPlan, NoCandidate> {
    let relay = &call.relay;
    let now = relay.clock.now();
    let scope = lock(&relay.cluster_view).scope();
    let boxes = relay.boxes_in_scope(scope);
    let tracker = lock(&relay.tracker);
    let table = lock(&relay.loads).table(now);
    let candidates = candidates::of_service(relay, now, &tracker, query)?;
    let mut candidates = candidates::without_slow(relay, now, candidates);
    if engine_set == EngineSet::Isolated {
        let call_count = |(record, _): &(&ServerRecord, Availability)| {
            let load = table.get(&record.key);
            load.map_or(0, |load| {
                u32::from(load.short_calls) + u32::from(load.long_calls)
            })
        };
        candidates.retain(|(_, availability)| availability.accepts_calls());
        candidates = quarantine::pick_isolated(candidates, call_count, &mut rand::rng());
    }
    // The first engines are reserved for short calls, so they must be open.
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
        gaps: stream_gaps(call, model),
        late_chunk: match engine_set {
            EngineSet::All { late_chunk } => late_chunk,
            EngineSet::Isolated => None,
        },
    };
    let planner = HallPlanner {
        pool: EnginePool {
            model,
            engines: &states,
            boxes,
        },
        halls: &hall_indices(&usable, &relay.settings.hall),
        scope,
    };
    let plan = planner
        .plan(prompt, targets, rng)
        .ok_or(NoCandidate::NoServers)?;
    let engine = |assignment: &Assignment| ListedServer::of(usable[assignment.engine]);
    Ok(UnregisteredPlan {
        engines: plan.assignments.iter().map(engine).collect(),
        engine_work: plan.engine_work(&states),
        plan,
        prefill: model.prefill_time(prompt.tokens),
    })
}

fn stream_gaps(call: &Call, model: &EngineModel) -> StreamGaps {
    StreamGaps::new(model, call.route.max_gap, call.routes.gaps(&call.service))
}

/// Registers the work of a plan in the load table. The caller notifies the other boxes.
fn register(relay: &Arc<Relay>, planned: UnregisteredPlan) -> RegisteredPlan {
    let UnregisteredPlan {
        engines,
        engine_work,
        plan,
        prefill,
    } = planned;
    let now = relay.clock.now();
    let mut loads = lock(&relay.loads);
    let work_by_engine = engines.iter().zip(engine_work);
    let ids = work_by_engine.map(|(engine, work)| loads.begin(now, engine.key, work));
    let ids = ids.collect();
    drop(loads);
    let load_entries = LoadEntries {
        relay: Arc::clone(relay),
        ids,
        is_long: plan.is_long,
        prefill,
        is_prefilled: AtomicBool::new(false),
    };
    RegisteredPlan {
        engines,
        plan,
        load_entries,
    }
}

/// An entry in the queue of long prompts, removed when dropped.
struct QueueEntry<'a> {
    relay: &'a Relay,
    ticket: Ticket,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        lock(&self.relay.long_prompt_queue).remove(self.ticket);
        self.relay.urgent_changed.notify_one();
    }
}

/// Queues a long prompt until it is first in the queue and enough engines are free, and registers
/// its plan. Fails when the prompt expires or the box refuses calls.
async fn wait_for_engines(
    call: &Arc<Call>,
    tried: &[ServerName],
    model: &EngineModel,
    prompt: &PromptSize,
    is_requeued: bool,
) -> Result<RegisteredPlan, (RefusalReason, Duration)> {
    let relay = &call.relay;
    let queued = QueuedPrompt {
        prefill: model.prefill_time(prompt.tokens),
        decode: long_prompt_queue::decode_time(model, prompt.max_output),
        due: call.due(),
        engines: lock(&relay.tracker).of_service(&call.service).count(),
        arrived: call.arrived,
        deadline: call.deadline,
        is_requeued,
    };
    let expires_at = queued.expires_at();
    let ticket = lock(&relay.long_prompt_queue).push(relay.clock.now(), queued);
    let _queue_entry = QueueEntry { relay, ticket };
    relay.urgent_changed.notify_one();
    loop {
        let now = relay.clock.now();
        let mut no_candidate = NoCandidate::NoServers;
        let own_box = &relay.settings.name;
        let ready = {
            let mut queue = lock(&relay.long_prompt_queue);
            let late_chunk = queue.late_chunk(now, ticket);
            let planned = || {
                let all = EngineSet::All { late_chunk };
                let planned = plan(
                    call,
                    &attempt_candidates::candidate_query(call, tried),
                    model,
                    prompt,
                    all,
                );
                let planned = planned.inspect_err(|why| no_candidate = *why).ok();
                planned
                    .filter(|planned| queued.can_complete(now, planned.plan.expected_first_event))
            };
            queue.try_start(now, ticket, own_box, planned)
        };
        if let Some(planned) = ready {
            return Ok(register(relay, planned));
        }
        if needs_evacuated_engines(call, model, prompt) {
            return Err(NoCandidate::AllEvacuated.refusal());
        }
        // No server becomes available before the prompt expires, so it is refused at once.
        if no_candidate.lasts_until(now, expires_at) {
            return Err(no_candidate.refusal());
        }
        if relay.stop.refuses_call(&call.route, call.time_left()) {
            return Err((RefusalReason::Leaving, NO_SERVER_RETRY));
        }
        if now >= expires_at {
            let (blocked_polls, priority) = {
                let queue = lock(&relay.long_prompt_queue);
                (queue.blocked_polls(ticket), queue.size_priority(ticket))
            };
            call_log::prompt_expired(call, blocked_polls, priority);
            let retry_after = candidates::with_jitter(queued.retry_after(now));
            return Err((RefusalReason::WouldMissDeadline, retry_after));
        }
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
    }
}

/// Whether the engines outside the evacuated halls are too few for the prompt, however long it waits.
fn needs_evacuated_engines(call: &Call, model: &EngineModel, prompt: &PromptSize) -> bool {
    let relay = &call.relay;
    let tracker = lock(&relay.tracker);
    let engines = tracker.of_service(&call.service);
    let (evacuated, usable): (Vec<_>, Vec<_>) =
        engines.partition(|record| relay.gate.is_evacuated(&record.info.hall));
    !evacuated.is_empty() && !engine_plan::fits_engines(model, prompt, usable.len())
}

async fn reserve(
    call: &Arc<Call>,
    registered: &RegisteredPlan,
) -> Result<Reservations, Vec<(String, ReserveError)>> {
    let requested = registered.engines.iter().zip(&registered.plan.assignments);
    let requested =
        requested.map(|(engine, assignment)| (engine.clone(), assignment.memory_tokens));
    Reservations::reserve(call, requested.collect()).await
}

/// Engines that prefill besides the lead. With reservations, the lead itself comes first, with the
/// id of the reservation.
fn helpers(engines: &[ListedServer], reservations: Option<&Reservations>) -> Vec<Helper> {
    let skip = usize::from(reservations.is_none());
    let helper = |engine: &ListedServer| Helper {
        address: engine.address.clone(),
        reservation: reservations.map(|held| held.id().to_owned()),
    };
    engines.iter().skip(skip).map(helper).collect()
}
