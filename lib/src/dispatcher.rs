//! Decides for each request of a box whether to start, queue or refuse it.
//!
//! A box queues requests rather than overloading servers. An engine gets a fraction of a second of
//! work in advance; the remaining requests stay in the box's queue, where their order can still
//! change and where they have certainly not run when they are refused. A request that can't meet
//! its time limit is refused on arrival; a queued request is refused as soon as it can no longer
//! meet its limit.
//!
//! The dispatcher does no I/O. The driver passes arrivals, reports, ends of placements and ticks to
//! it and carries out its [`Decision`]s.

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

/// Retry time after a refusal whose cause allows no estimate from the queue; minimum for a full
/// queue.
const RETRY_LATER: Duration = Duration::from_secs(2);

/// Identifies a queue: the requests in it compete for the same servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    model: ModelName,
    long: bool,
}

#[derive(Debug)]
struct ActiveRequest {
    request: Request,
    placement: Placement,
    avoid: Vec<ServerName>,
}

/// Scheduler of one box's requests.
#[derive(Debug)]
pub struct Dispatcher {
    hall: HallName,
    policy: Policy,
    settings: RoutingSettings,
    servers: Vec<ServerView>,
    by_name: HashMap<ServerName, usize>,
    queues: BTreeMap<QueueKey, WaitQueue>,
    active: BTreeMap<RequestId, ActiveRequest>,
    avoid: BTreeMap<RequestId, Vec<ServerName>>,
    demand: BTreeMap<ModelName, PromptDemand>,
    service_times: BTreeMap<ModelName, ServiceTime>,
    /// Rate limits of workspaces. The daemon sets the number of boxes and their demand.
    pub limits: WorkspaceLimits,
    retries: RetryBudget,
    boxes: usize,
    round_robin: usize,
    stopping: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without servers.
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
            round_robin: 0,
            stopping: false,
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: RoutingSettings) {
        self.settings = settings;
    }

    /// Sets the number of boxes that serve in this hall, including this one.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
        self.limits.set_boxes(self.boxes);
    }

    /// While set, new requests are refused; queued and active requests complete.
    pub const fn set_stopping(&mut self, stopping: bool) {
        self.stopping = stopping;
    }

    /// Whether a planned stop has begun.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Queue and request counts for `status` and metrics.
    pub fn load(&self) -> Load {
        Load {
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            waiting_tokens: self.queues.values().map(WaitQueue::tokens).sum(),
            active: self.active.len(),
        }
    }

    /// The servers with this box's view of their load.
    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Replaces the list of servers. A server that is no longer listed gets no new requests and is
    /// removed once its requests have ended.
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

    /// Records an engine's report; `reported_at` is its time of creation on this box's clock.
    pub fn on_report(&mut self, name: &ServerName, report: EngineReport, reported_at: Time) {
        if let Some(&index) = self.by_name.get(name) {
            self.servers[index].set_report(report, reported_at);
        }
    }

    /// Records that an engine has cached a prefix. This is a hint that may be outdated.
    pub fn on_cached(&mut self, name: &ServerName, prefix: PrefixHash, tokens: u64) {
        if let Some(&index) = self.by_name.get(name) {
            self.servers[index].record_prefix(prefix, tokens);
        }
    }

    /// Refuses or queues a new request, and starts the queued requests that can be placed.
    pub fn submit(
        &mut self,
        now: Time,
        request: Request,
        limit: HallLimit,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let key = self.key(&request);
        let model_servers = self.model_servers(now, &key.model);
        if let Err((reason, retry_after)) = self.admit(now, &key, &model_servers, &request, limit) {
            return vec![Decision::Refuse {
                request: request.id,
                reason,
                retry_after,
            }];
        }
        self.retries.deposit(self.settings.retry_percent);
        let demand = self.demand.entry(key.model.clone()).or_default();
        let now_s = now.as_micros() as f64 / 1e6;
        demand.record(now_s, request.prompt_tokens, key.long);
        self.queues.entry(key.clone()).or_default().push(request);
        self.drain(now, &key, &model_servers, rng)
    }

    /// Queues a request again whose placement ended; it keeps its arrival time. A retry spends from
    /// the retry budget, and is refused if the budget is used up.
    pub fn requeue(
        &mut self,
        now: Time,
        request: Request,
        avoid: Option<ServerName>,
        is_retry: bool,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        if is_retry && !self.retries.try_spend() {
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
        if !is_retry {
            // A group that found an engine without free memory is placed again at the next tick.
            // Placing it at once would find the same engine occupied.
            return Vec::new();
        }
        let model_servers = self.model_servers(now, &key.model);
        self.drain(now, &key, &model_servers, rng)
    }

    /// Records that the first token of a request was received.
    pub fn record_first_token(&mut self, now: Time, id: RequestId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        for name in active.placement.servers() {
            if let Some(&index) = self.by_name.get(name) {
                self.servers[index].record_first_token(now, id);
            }
        }
    }

    /// Records the end of a placement and returns its request.
    pub fn placement_ended(
        &mut self,
        now: Time,
        id: RequestId,
        end: &PlacementEnd,
    ) -> Option<Request> {
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
                    server.breaker.on_inconclusive(now);
                }
            }
        }
        if let PlacementEnd::Whole { tokens, .. } = end {
            let times = self
                .service_times
                .entry(active.request.model.clone())
                .or_default();
            times.record_output(*tokens);
            if let (Some(prefix), Placement::One(name)) = (active.request.prefix, &active.placement)
            {
                self.on_cached(&name.clone(), prefix, active.request.prompt_tokens);
            }
        }
        self.avoid.insert(id, active.avoid);
        Some(active.request)
    }

    /// Removes a request whose outcome is known.
    pub fn forget(&mut self, now: Time, id: RequestId) {
        self.placement_ended(now, id, &PlacementEnd::Neutral);
        self.avoid.remove(&id);
        for queue in self.queues.values_mut() {
            queue.remove(id);
        }
    }

    /// Refuses queued requests that can no longer meet their time limits, then starts those that
    /// can be placed.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let keys: Vec<_> = self.queues.keys().cloned().collect();
        for key in keys {
            if self.queues.get(&key).is_none_or(WaitQueue::is_empty) {
                continue;
            }
            let model_servers = self.model_servers(now, &key.model);
            decisions.extend(self.refuse_late(now, &key, &model_servers));
            decisions.extend(self.drain(now, &key, &model_servers, rng));
        }
        decisions
    }

    /// Whether the prompt exceeds the settings' limit for short prompts.
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
        model_servers: &ModelServers,
        request: &Request,
        limit: HallLimit,
    ) -> Result<(), (RefusalReason, Duration)> {
        if self.stopping {
            return Err((RefusalReason::Leaving, RETRY_LATER));
        }
        if model_servers.serving.is_empty() {
            return Err((RefusalReason::NoServer, RETRY_LATER));
        }
        let needed_tokens = request.prompt_tokens + request.max_output;
        if request.prompt_tokens > 0 && needed_tokens > model_servers.usable_memory {
            return Err((RefusalReason::PromptTooLong, RETRY_LATER));
        }
        let wait = self.expected_wait(key, model_servers, request);
        let waiting = self.workspace_len(&request.workspace);
        if waiting as u64 >= request.queue_limit {
            return Err((RefusalReason::QueueFull, wait.max(RETRY_LATER)));
        }
        if self.policy == Policy::Cost {
            let needed = self
                .times(&key.model)
                .expected_time(request, model_servers.pace);
            let remaining = now.until(request.deadline);
            if wait + needed > remaining {
                let excess = (wait + needed).saturating_sub(remaining);
                let retry_after = excess.max(Duration::from_secs(1));
                return Err((RefusalReason::WouldMissDeadline, retry_after));
            }
        }
        self.limits
            .admit(now, &request.workspace, limit, request.prompt_tokens)
            .map_err(|retry_after| (RefusalReason::WorkspaceLimit, retry_after))
    }

    fn workspace_len(&self, workspace: &WorkspaceName) -> usize {
        self.queues
            .values()
            .map(|queue| queue.workspace_len(workspace))
            .sum()
    }

    /// The current state of a model's servers, computed once per decision.
    fn model_servers(&self, now: Time, model: &ModelName) -> ModelServers {
        ModelServers::new(now, &self.servers, model, &self.hall, self.boxes)
    }

    fn times(&self, model: &ModelName) -> ServiceTime {
        self.service_times.get(model).copied().unwrap_or_default()
    }

    /// Expected queueing time of a new request, from the queue and its drain rate.
    fn expected_wait(
        &self,
        key: &QueueKey,
        model_servers: &ModelServers,
        request: &Request,
    ) -> Duration {
        let Some(queue) = self.queues.get(key).filter(|queue| !queue.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = queue.tokens_ahead(&request.workspace, request.weight);
        let rate = self
            .times(&key.model)
            .drain_rate(key.long, model_servers.box_prefill_rate);
        Duration::from_secs_f64(ahead as f64 / rate.max(1.0))
    }

    fn refuse_late(
        &mut self,
        now: Time,
        key: &QueueKey,
        model_servers: &ModelServers,
    ) -> Vec<Decision> {
        if self.policy != Policy::Cost {
            return Vec::new();
        }
        let times = self.times(&key.model);
        let Some(queue) = self.queues.get_mut(key) else {
            return Vec::new();
        };
        let late = queue.remove_where(|request| {
            now + times.expected_time(request, model_servers.pace) >= request.deadline
        });
        let rate = times.drain_rate(key.long, model_servers.box_prefill_rate);
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
        model_servers: &ModelServers,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(queue) = self.queues.get(key) {
            let Some(head) = queue.peek(now).cloned() else {
                break;
            };
            let Some(start) = self.place(now, &head, key.long, model_servers, rng) else {
                break;
            };
            let Some(request) = self.queues.get_mut(key).and_then(|queue| queue.pop(now)) else {
                break;
            };
            let times = self.service_times.entry(key.model.clone()).or_default();
            times.record_started(now, key.long, request.prompt_tokens);
            self.record_start(now, request, &start);
            decisions.push(Decision::Start(start));
        }
        let backlog = self.queues.get(key).is_some_and(|queue| !queue.is_empty());
        let times = self.service_times.entry(key.model.clone()).or_default();
        times.set_backlog(now, key.long, backlog, model_servers.box_prefill_rate);
        decisions
    }

    fn place(
        &mut self,
        now: Time,
        request: &Request,
        long: bool,
        model_servers: &ModelServers,
        rng: &mut impl Rng,
    ) -> Option<Start> {
        let mut usable = model_servers.serving.clone();
        if let Some(avoid) = self.avoid.get(&request.id) {
            let is_other = |index: &usize| !avoid.contains(&self.servers[*index].info().name);
            let not_avoided: Vec<_> = usable.iter().copied().filter(is_other).collect();
            if !not_avoided.is_empty() {
                usable = not_avoided;
            }
        }
        let needed_tokens = request.prompt_tokens + request.max_output;
        if request.prompt_tokens > 0 && needed_tokens > model_servers.max_usable_memory {
            return self.place_group(now, request, &usable);
        }
        match self.policy {
            Policy::Cost if long => self.place_long(now, request, &usable, rng),
            Policy::Cost => self.place_short(now, request, &mut usable, rng),
            baseline => {
                let chosen = routing::choose_baseline(
                    baseline,
                    &self.servers,
                    &usable,
                    &mut self.round_robin,
                    rng,
                )?;
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
        let needed_tokens = request.prompt_tokens + request.max_output;
        let mut free: Vec<_> = self
            .long_engines(request, usable)
            .into_iter()
            .filter(|&index| self.is_free_for_long(now, index))
            .filter(|&index| {
                long_prompt_engines::free_long_memory(&self.servers[index]) >= needed_tokens
            })
            .collect();
        let rank = request.priority.rank(true);
        let cx = self.context(now, free.len());
        let choice = routing::choose(cx, &self.servers, &mut free, request, rank, rng)?;
        Some(self.start_at(now, request, choice.index, choice.candidates))
    }

    /// The engines that run long prompts of the model, in rendezvous-hash order; at least as many
    /// as this request needs for its memory.
    fn long_engines(&self, request: &Request, usable: &[usize]) -> Vec<usize> {
        let model = &request.model;
        let mut engines = usable.to_vec();
        engines.sort_by_cached_key(|&index| {
            long_prompt_engines::rendezvous_hash(model, &self.servers[index].info().name)
        });
        let demand = self.demand.get(model).copied().unwrap_or_default();
        let size = demand.long_engine_count(engines.len(), self.settings.long_share_percent);
        let needed_tokens = request.prompt_tokens + request.max_output;
        let views = engines.iter().map(|&index| &self.servers[index]);
        engines.truncate(size.max(long_prompt_engines::engines_needed(views, needed_tokens)));
        engines
    }

    fn is_free_for_long(&self, now: Time, index: usize) -> bool {
        let server = &self.servers[index];
        server.prefill_time(server.queued_long_tokens(now)) <= self.settings.queue
    }

    fn place_group(&self, now: Time, request: &Request, usable: &[usize]) -> Option<Start> {
        let needed_tokens = request.prompt_tokens + request.max_output;
        let engines = self.long_engines(request, usable);
        let free: Vec<_> = engines
            .into_iter()
            .rev()
            .filter(|&index| self.is_free_for_long(now, index))
            .map(|index| &self.servers[index])
            .collect();
        let shares = long_prompt_engines::plan_group(&free, request.prompt_tokens, needed_tokens)?;
        let prefill = free.first()?.prefill_time(request.prompt_tokens);
        Some(Start {
            request: request.id,
            placement: Placement::Group(shares),
            prefill,
            waited: now.since(request.arrived),
            candidates: Vec::new(),
        })
    }

    fn start_at(
        &self,
        now: Time,
        request: &Request,
        index: usize,
        candidates: Vec<Candidate>,
    ) -> Start {
        let server = &self.servers[index];
        Start {
            request: request.id,
            placement: Placement::One(server.info().name.clone()),
            prefill: server.prefill_time(request.prompt_tokens),
            waited: now.since(request.arrived),
            candidates,
        }
    }

    fn record_start(&mut self, now: Time, request: Request, start: &Start) {
        let long = self.is_long(&request);
        let rank = request.priority.rank(long);
        let total_tokens = request.prompt_tokens + request.max_output;
        let shares: Vec<Share> = match &start.placement {
            Placement::One(name) => vec![Share {
                server: name.clone(),
                tokens: total_tokens,
                prompt: request.prompt_tokens,
            }],
            Placement::Group(shares) => shares.clone(),
        };
        for share in shares {
            let sent_request = SentRequest {
                rank,
                prefill: share.prompt,
                memory: share.tokens,
                long,
                sent_at: now,
                first_token_at: None,
            };
            if let Some(&index) = self.by_name.get(&share.server) {
                self.servers[index].record_sent(request.id, sent_request);
            }
        }
        let avoid = self.avoid.remove(&request.id).unwrap_or_default();
        let active = ActiveRequest {
            placement: start.placement.clone(),
            avoid,
            request,
        };
        self.active.insert(active.request.id, active);
    }
}
