//! Decides what happens to each request of a box: start, wait, or refuse.
//!
//! A box holds requests back rather than pile them on servers: an engine is given a
//! fraction of a second of work, and the rest waits here, where order can still change
//! and a refusal is still true. Each request is told at once if it can't make its time
//! limit; one that has waited too long is given up the moment that becomes certain.
//!
//! The dispatcher does no I/O. The driver feeds it arrivals, reports, the ends of
//! placements and ticks, and carries out the [`Decision`]s.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;

pub use crate::decision::Decision;
pub use crate::decision::Load;
pub use crate::decision::Start;
use crate::exchange::PlacementEnd;
use crate::ids::HallName;
use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::ServerName;
use crate::ids::WorkspaceName;
use crate::long_prompt_engines;
use crate::long_prompt_engines::PromptDemand;
use crate::model_servers::ModelServers;
use crate::outcome::RefusalReason;
use crate::request::Placement;
use crate::request::PrefixHash;
use crate::request::Request;
use crate::request::Share;
use crate::retry_budget::RetryBudget;
use crate::routing;
use crate::routing::Candidate;
use crate::routing::Policy;
use crate::routing::RoutingContext;
use crate::server_view::EngineReport;
use crate::server_view::SentRequest;
use crate::server_view::ServerInfo;
use crate::server_view::ServerView;
use crate::service_time::ServiceTime;
use crate::settings_view::RoutingSettings;
use crate::time::Time;
use crate::wait_queue::WaitQueue;
use crate::workspace_limit::HallLimit;
use crate::workspace_limit::WorkspaceLimits;

/// When to come back after a refusal whose cause has no queue to compute from.
const RETRY_LATER: Duration = Duration::from_secs(2);

/// Requests that wait for the same servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    model: ModelName,
    long: bool,
}

#[derive(Debug)]
struct Active {
    request: Request,
    placement: Placement,
    avoid: Vec<ServerName>,
}

/// The decisions of one box.
#[derive(Debug)]
pub struct Dispatcher {
    hall: HallName,
    policy: Policy,
    settings: RoutingSettings,
    servers: Vec<ServerView>,
    by_name: HashMap<ServerName, usize>,
    queues: BTreeMap<QueueKey, WaitQueue>,
    active: BTreeMap<RequestId, Active>,
    avoid: BTreeMap<RequestId, Vec<ServerName>>,
    demand: BTreeMap<ModelName, PromptDemand>,
    service_times: BTreeMap<ModelName, ServiceTime>,
    /// Limits of workspaces; the control side sets the boxes and their demand.
    pub limits: WorkspaceLimits,
    retries: RetryBudget,
    boxes: usize,
    turn: usize,
    stopping: bool,
}

impl Dispatcher {
    /// A dispatcher that knows no server yet.
    pub fn new(hall: HallName, policy: Policy, settings: RoutingSettings) -> Self {
        Self {
            hall,
            policy,
            settings,
            servers: Vec::new(),
            by_name: HashMap::new(),
            queues: BTreeMap::new(),
            active: BTreeMap::new(),
            avoid: BTreeMap::new(),
            demand: BTreeMap::new(),
            service_times: BTreeMap::new(),
            limits: WorkspaceLimits::default(),
            retries: RetryBudget::default(),
            boxes: 1,
            turn: 0,
            stopping: false,
        }
    }

    /// Takes new settings.
    pub fn set_settings(&mut self, settings: RoutingSettings) {
        self.settings = settings;
    }

    /// Sets how many boxes of the hall serve beside this one, itself included.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
        self.limits.set_boxes(self.boxes);
    }

    /// While set, every arrival is refused; what is here finishes.
    pub const fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
    }

    /// Whether a planned stop has begun.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Counts for `status` and metrics.
    pub fn load(&self) -> Load {
        Load {
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            waiting_tokens: self.queues.values().map(WaitQueue::tokens).sum(),
            active: self.active.len(),
        }
    }

    /// The servers as this box sees them.
    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Takes the list of servers. One that is no longer listed takes no new work.
    pub fn set_servers(&mut self, listed: &[ServerInfo]) {
        for info in listed {
            if let Some(&index) = self.by_name.get(&info.name) {
                self.servers[index].set_info(info.clone());
            } else {
                self.by_name.insert(info.name.clone(), self.servers.len());
                self.servers.push(ServerView::new(info.clone()));
            }
        }
        let names: HashSet<&ServerName> = listed.iter().map(|info| &info.name).collect();
        for server in &mut self.servers {
            if !names.contains(&server.info().name) {
                server.set_leaving();
            }
        }
        self.servers
            .retain(|server| server.in_flight() > 0 || names.contains(&server.info().name));
        self.by_name = (self.servers.iter().enumerate())
            .map(|(index, server)| (server.info().name.clone(), index))
            .collect();
    }

    /// Takes an engine's report, made at `taken_at` on this box's clock.
    pub fn on_report(&mut self, name: &ServerName, report: EngineReport, taken_at: Time) {
        if let Some(&index) = self.by_name.get(name) {
            self.servers[index].set_report(report, taken_at);
        }
    }

    /// Takes an engine's word that it cached a prefix; a hint that may be late.
    pub fn on_cached(&mut self, name: &ServerName, prefix: PrefixHash, tokens: u64) {
        if let Some(&index) = self.by_name.get(name) {
            self.servers[index].record_prefix(prefix, tokens);
        }
    }

    /// Takes a request from its caller.
    pub fn arrive(
        &mut self,
        now: Time,
        request: Request,
        limit: HallLimit,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let key = self.key(&request);
        let fleet = self.fleet(now, &key.model);
        if let Err((reason, retry_after)) = self.admit(now, &key, &fleet, &request, limit) {
            return vec![Decision::Refuse {
                request: request.id,
                reason,
                retry_after,
            }];
        }
        self.retries.earn(self.settings.retry_percent);
        let demand = self.demand.entry(key.model.clone()).or_default();
        let now_s = now.as_micros() as f64 / 1e6;
        demand.record(now_s, request.prompt_tokens, key.long);
        self.queues.entry(key.clone()).or_default().push(request);
        self.drain(now, &key, &fleet, rng)
    }

    /// Puts a request back whose placement ended; it keeps its place by its arrival.
    pub fn again(
        &mut self,
        now: Time,
        request: Request,
        avoid: Option<ServerName>,
        repeat: bool,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        if repeat && !self.retries.spend() {
            return vec![Decision::Refuse {
                request: request.id,
                reason: RefusalReason::NoServer,
                retry_after: RETRY_LATER,
            }];
        }
        let id = request.id;
        self.avoid.entry(id).or_default().extend(avoid);
        let key = self.key(&request);
        self.queues.entry(key.clone()).or_default().push(request);
        if !repeat {
            // A group that found an engine taken waits for the next tick, not for itself.
            return Vec::new();
        }
        let fleet = self.fleet(now, &key.model);
        self.drain(now, &key, &fleet, rng)
    }

    /// Records the first token of a request.
    pub fn first_token(&mut self, now: Time, id: RequestId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        for name in active.placement.servers() {
            if let Some(&index) = self.by_name.get(name) {
                self.servers[index].record_first_token(now, id);
            }
        }
    }

    /// Records the end of a placement and gives back the request it was for.
    pub fn ended(&mut self, now: Time, id: RequestId, end: &PlacementEnd) -> Option<Request> {
        let active = self.active.remove(&id)?;
        for name in active.placement.servers() {
            let Some(&index) = self.by_name.get(name) else {
                continue;
            };
            let server = &mut self.servers[index];
            server.record_end(id);
            match end {
                PlacementEnd::Whole { .. } => server.breaker.on_success(),
                PlacementEnd::Failed(failed) if failed == name => server.breaker.on_failure(
                    now,
                    self.settings.breaker_failures,
                    self.settings.breaker_open,
                ),
                PlacementEnd::NoRoom(full) if full == name => server.record_memory_full(now),
                PlacementEnd::Failed(_) | PlacementEnd::NoRoom(_) | PlacementEnd::Neutral => {
                    server.breaker.on_nothing_learned(now);
                }
            }
        }
        if let PlacementEnd::Whole { tokens, .. } = end {
            let times = self
                .service_times
                .entry(active.request.model.clone())
                .or_default();
            times.learn_output(*tokens);
            if let (Some(prefix), Placement::One(name)) = (active.request.prefix, &active.placement)
            {
                self.on_cached(&name.clone(), prefix, active.request.prompt_tokens);
            }
        }
        self.avoid.insert(id, active.avoid);
        Some(active.request)
    }

    /// Forgets a request whose outcome is known.
    pub fn forget(&mut self, now: Time, id: RequestId) {
        self.ended(now, id, &PlacementEnd::Neutral);
        self.avoid.remove(&id);
        for queue in self.queues.values_mut() {
            queue.remove(id);
        }
    }

    /// Gives up what can't make its limit any more, then starts what can start.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let keys: Vec<_> = self.queues.keys().cloned().collect();
        for key in keys {
            if self.queues.get(&key).is_none_or(WaitQueue::is_empty) {
                continue;
            }
            let fleet = self.fleet(now, &key.model);
            decisions.extend(self.give_up_late(now, &key, &fleet));
            decisions.extend(self.drain(now, &key, &fleet, rng));
        }
        decisions
    }

    /// Whether a request's prompt is long.
    pub const fn is_long(&self, request: &Request) -> bool {
        request.prompt_tokens > self.settings.long_prompt
    }

    fn key(&self, request: &Request) -> QueueKey {
        QueueKey {
            model: request.model.clone(),
            long: self.is_long(request),
        }
    }

    fn admit(
        &mut self,
        now: Time,
        key: &QueueKey,
        fleet: &ModelServers,
        request: &Request,
        limit: HallLimit,
    ) -> Result<(), (RefusalReason, Duration)> {
        if self.stopping {
            return Err((RefusalReason::Leaving, RETRY_LATER));
        }
        if fleet.serving.is_empty() {
            return Err((RefusalReason::NoServer, RETRY_LATER));
        }
        let wanted = request.prompt_tokens + request.max_output;
        if request.prompt_tokens > 0 && wanted > fleet.usable_memory {
            return Err((RefusalReason::PromptTooLong, RETRY_LATER));
        }
        let wait = self.expected_wait(key, fleet, request);
        let waiting = self.waiting_of(&request.workspace);
        if waiting as u64 >= request.queue_limit {
            return Err((RefusalReason::QueueFull, wait.max(RETRY_LATER)));
        }
        if self.policy == Policy::Cost {
            let needed = self.times(&key.model).expect(request, fleet.pace);
            let left = now.until(request.deadline);
            if wait + needed > left {
                let over = (wait + needed).saturating_sub(left);
                let retry_after = over.max(Duration::from_secs(1));
                return Err((RefusalReason::WouldMissDeadline, retry_after));
            }
        }
        self.limits
            .admit(now, &request.workspace, limit, request.prompt_tokens)
            .map_err(|retry_after| (RefusalReason::WorkspaceLimit, retry_after))
    }

    fn waiting_of(&self, workspace: &WorkspaceName) -> usize {
        self.queues
            .values()
            .map(|queue| queue.waiting_of(workspace))
            .sum()
    }

    /// The servers of a model as they stand, worked out once for a decision.
    fn fleet(&self, now: Time, model: &ModelName) -> ModelServers {
        ModelServers::new(now, &self.servers, model, &self.hall, self.boxes)
    }

    fn times(&self, model: &ModelName) -> ServiceTime {
        self.service_times.get(model).copied().unwrap_or_default()
    }

    /// Time that a new request waits here, as expected from the queue and its drain.
    fn expected_wait(&self, key: &QueueKey, fleet: &ModelServers, request: &Request) -> Duration {
        let Some(queue) = self.queues.get(key).filter(|queue| !queue.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = queue.tokens_ahead(&request.workspace, request.weight);
        let rate = self
            .times(&key.model)
            .drain_rate(key.long, fleet.box_prefill_rate);
        Duration::from_secs_f64(ahead as f64 / rate.max(1.0))
    }

    fn give_up_late(&mut self, now: Time, key: &QueueKey, fleet: &ModelServers) -> Vec<Decision> {
        if self.policy != Policy::Cost {
            return Vec::new();
        }
        let times = self.times(&key.model);
        let Some(queue) = self.queues.get_mut(key) else {
            return Vec::new();
        };
        let late =
            queue.take_where(|request| now + times.expect(request, fleet.pace) >= request.deadline);
        let rate = times.drain_rate(key.long, fleet.box_prefill_rate);
        let retry_after = Duration::from_secs_f64(queue.tokens() as f64 / rate.max(1.0));
        late.into_iter()
            .map(|request| Decision::Refuse {
                request: request.id,
                reason: RefusalReason::DeadlineWhileWaiting,
                retry_after: retry_after.max(Duration::from_secs(1)),
            })
            .collect()
    }

    fn drain(
        &mut self,
        now: Time,
        key: &QueueKey,
        fleet: &ModelServers,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(queue) = self.queues.get(key) {
            let Some(head) = queue.peek(now).cloned() else {
                break;
            };
            let Some(start) = self.place(now, &head, key.long, fleet, rng) else {
                break;
            };
            let Some(request) = self.queues.get_mut(key).and_then(|queue| queue.pop(now)) else {
                break;
            };
            let times = self.service_times.entry(key.model.clone()).or_default();
            times.count_started(now, key.long, request.prompt_tokens);
            self.record(now, request, &start);
            decisions.push(Decision::Start(start));
        }
        let backlog = self.queues.get(key).is_some_and(|queue| !queue.is_empty());
        let times = self.service_times.entry(key.model.clone()).or_default();
        times.set_backlog(now, key.long, backlog, fleet.box_prefill_rate);
        decisions
    }

    fn place(
        &mut self,
        now: Time,
        request: &Request,
        long: bool,
        fleet: &ModelServers,
        rng: &mut impl Rng,
    ) -> Option<Start> {
        let mut usable = fleet.serving.clone();
        if let Some(avoid) = self.avoid.get(&request.id) {
            let others = |index: &usize| !avoid.contains(&self.servers[*index].info().name);
            let kept: Vec<_> = usable.iter().copied().filter(others).collect();
            if !kept.is_empty() {
                usable = kept;
            }
        }
        let wanted = request.prompt_tokens + request.max_output;
        if request.prompt_tokens > 0 && wanted > fleet.max_memory {
            return self.place_group(now, request, &usable);
        }
        match self.policy {
            Policy::Cost if long => self.place_long(now, request, &usable, rng),
            Policy::Cost => self.place_short(now, request, &mut usable, rng),
            plain => {
                let chosen =
                    routing::choose_baseline(plain, &self.servers, &usable, &mut self.turn, rng)?;
                Some(self.start_at(now, request, chosen, Vec::new()))
            }
        }
    }

    fn context(&self, now: Time, samples: usize) -> RoutingContext<'_> {
        RoutingContext {
            now,
            hall: &self.hall,
            samples,
            hall_trip: self.settings.hall_trip,
        }
    }

    fn place_short(
        &self,
        now: Time,
        request: &Request,
        usable: &mut [usize],
        rng: &mut impl Rng,
    ) -> Option<Start> {
        let rank = request.priority.rank(false);
        let cx = self.context(now, self.settings.samples);
        let choice = routing::choose(cx, &self.servers, usable, request, rank, rng)?;
        if choice.cost.wait > self.settings.queue {
            return None;
        }
        Some(self.start_at(now, request, choice.index, choice.candidates))
    }

    fn place_long(
        &self,
        now: Time,
        request: &Request,
        usable: &[usize],
        rng: &mut impl Rng,
    ) -> Option<Start> {
        let wanted = request.prompt_tokens + request.max_output;
        let mut free: Vec<_> = self
            .lane(request, usable)
            .into_iter()
            .filter(|&index| self.is_free_for_long(now, index))
            .filter(|&index| long_prompt_engines::free_long_memory(&self.servers[index]) >= wanted)
            .collect();
        let rank = request.priority.rank(true);
        let cx = self.context(now, free.len());
        let choice = routing::choose(cx, &self.servers, &mut free, request, rank, rng)?;
        Some(self.start_at(now, request, choice.index, choice.candidates))
    }

    /// The engines that long prompts of this model use, in lane order.
    fn lane(&self, request: &Request, usable: &[usize]) -> Vec<usize> {
        let model = &request.model;
        let mut lane = usable.to_vec();
        lane.sort_by_cached_key(|&index| {
            long_prompt_engines::rendezvous_hash(model, &self.servers[index].info().name)
        });
        let demand = self.demand.get(model).copied().unwrap_or_default();
        let size = demand.long_engine_count(lane.len(), self.settings.long_share_percent);
        let wanted = request.prompt_tokens + request.max_output;
        let views = lane.iter().map(|&index| &self.servers[index]);
        lane.truncate(size.max(long_prompt_engines::engines_needed(views, wanted)));
        lane
    }

    fn is_free_for_long(&self, now: Time, index: usize) -> bool {
        let server = &self.servers[index];
        server.prefill_time(server.queued_long_tokens(now)) <= self.settings.queue
    }

    fn place_group(&self, now: Time, request: &Request, usable: &[usize]) -> Option<Start> {
        let wanted = request.prompt_tokens + request.max_output;
        let lane = self.lane(request, usable);
        let free: Vec<_> = lane
            .into_iter()
            .rev()
            .filter(|&index| self.is_free_for_long(now, index))
            .map(|index| &self.servers[index])
            .collect();
        let shares = long_prompt_engines::plan_group(&free, request.prompt_tokens, wanted)?;
        let prefill = free.first()?.prefill_time(request.prompt_tokens);
        Some(Start {
            request: request.id,
            placement: Placement::Group(shares),
            prefill,
            waited: now.since(request.arrived),
            weighed: Vec::new(),
        })
    }

    fn start_at(
        &self,
        now: Time,
        request: &Request,
        index: usize,
        weighed: Vec<Candidate>,
    ) -> Start {
        let server = &self.servers[index];
        Start {
            request: request.id,
            placement: Placement::One(server.info().name.clone()),
            prefill: server.prefill_time(request.prompt_tokens),
            waited: now.since(request.arrived),
            weighed,
        }
    }

    fn record(&mut self, now: Time, request: Request, start: &Start) {
        let long = self.is_long(&request);
        let rank = request.priority.rank(long);
        let whole = request.prompt_tokens + request.max_output;
        let parts: Vec<Share> = match &start.placement {
            Placement::One(name) => vec![Share {
                server: name.clone(),
                tokens: whole,
                prompt: request.prompt_tokens,
            }],
            Placement::Group(shares) => shares.clone(),
        };
        for share in parts {
            let work = SentRequest {
                rank,
                prefill: share.prompt,
                memory: share.tokens,
                long,
                sent_at: now,
                first_token_at: None,
            };
            if let Some(&index) = self.by_name.get(&share.server) {
                self.servers[index].record_sent(request.id, work);
            }
        }
        let avoid = self.avoid.remove(&request.id).unwrap_or_default();
        let active = Active {
            placement: start.placement.clone(),
            avoid,
            request,
        };
        self.active.insert(active.request.id, active);
    }
}
