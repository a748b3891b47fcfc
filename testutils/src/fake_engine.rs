//! A model engine without I/O: continuous batching, limited memory, priorities.
//!
//! Time passes in iterations. Each prefills up to one chunk of prompt tokens, in order
//! of rank and arrival, and gives every generating request one token. An iteration's
//! length grows with both. The stand-in process and the virtual-time runs drive the
//! same code. Answers are a function of the prompt alone, so that a test can tell a
//! joined answer from the whole one.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::engine_wire::OrderAction;
use badgerferry_lib::engine_wire::Owner;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::priority::RANK_COUNT;
use badgerferry_lib::priority::Rank;
use badgerferry_lib::server_view::EngineReport;
use badgerferry_lib::stream_join::Frame;
use badgerferry_lib::stream_join::FrameBody;
use badgerferry_lib::time::Time;

/// How long an owner is believed to live after its first work, before it renews.
const FIRST_TTL: Duration = Duration::from_secs(15);

/// How fast and how large an engine is.
#[derive(Debug, Clone)]
pub struct EngineSize {
    /// Memory for KV, in tokens.
    pub memory: u64,
    /// Prompt tokens in one iteration.
    pub chunk: u64,
    /// Prompt tokens prefilled a second, without the iteration's own length.
    pub prefill_rate: u64,
    /// Length of an iteration that does nothing.
    pub iteration: Duration,
    /// What each generating request adds to it.
    pub per_running: Duration,
}

impl Default for EngineSize {
    fn default() -> Self {
        Self {
            memory: 400_000,
            chunk: 512,
            prefill_rate: 20_000,
            iteration: Duration::from_millis(10),
            per_running: Duration::from_micros(200),
        }
    }
}

impl EngineSize {
    /// Prompt tokens a second with a full chunk in every iteration.
    pub fn effective_rate(&self) -> u64 {
        let prefill_s = self.chunk as f64 / self.prefill_rate as f64;
        (self.chunk as f64 / (prefill_s + self.iteration.as_secs_f64())) as u64
    }
}

/// Work handed to the engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Names it.
    pub attempt: AttemptId,
    /// Whose it is.
    pub owner: Owner,
    /// Order at the engine.
    pub rank: Rank,
    /// Prompt tokens to prefill.
    pub prompt_tokens: u64,
    /// Seed of the answer: equal prompts have equal answers.
    pub seed: u64,
    /// Tokens of the whole answer.
    pub answer_tokens: u64,
    /// Offset of the first token wanted.
    pub offset: u64,
    /// The reservation that holds the prompt, if a group does.
    pub group: Option<AttemptId>,
}

/// What came out of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A frame of an answer.
    Frame(Frame),
    /// A share is prefilled.
    ShareReady(AttemptId),
}

/// The engine has no room, or does not know the reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal;

#[derive(Debug)]
enum JobKind {
    Answer { seed: u64, next: u64, total: u64 },
    Share { group: AttemptId },
}

#[derive(Debug)]
struct Job {
    owner: Owner,
    rank: Rank,
    order: u64,
    prompt_tokens: u64,
    prefill_left: u64,
    memory: u64,
    admitted: bool,
    since: Time,
    kind: JobKind,
}

#[derive(Debug)]
struct Reservation {
    owner: Owner,
    tokens: u64,
    since: Time,
}

#[derive(Debug)]
struct Iteration {
    ends: Time,
    prefilled: Vec<(AttemptId, u64)>,
    generating: Vec<AttemptId>,
}

/// The text of an answer's token.
pub fn token_text(seed: u64, offset: u64) -> String {
    format!("t{}.{offset} ", seed % 1_000)
}

/// The whole text of an answer.
pub fn answer_text(seed: u64, tokens: u64) -> String {
    (0..tokens).map(|offset| token_text(seed, offset)).collect()
}

/// The engine.
#[derive(Debug)]
pub struct FakeEngine {
    size: EngineSize,
    models: Vec<ModelName>,
    jobs: BTreeMap<AttemptId, Job>,
    reservations: BTreeMap<AttemptId, Reservation>,
    owners: BTreeMap<Owner, Time>,
    iteration: Option<Iteration>,
    order: u64,
    interval: Duration,
    fence: u64,
    /// Prompt tokens prefilled since the start.
    pub prefilled_total: u64,
}

impl FakeEngine {
    /// An idle engine.
    pub fn new(size: EngineSize, models: Vec<ModelName>) -> Self {
        Self {
            interval: size.iteration,
            size,
            models,
            jobs: BTreeMap::new(),
            reservations: BTreeMap::new(),
            owners: BTreeMap::new(),
            iteration: None,
            order: 0,
            fence: 0,
            prefilled_total: 0,
        }
    }

    /// Memory held, in tokens.
    pub fn memory_used(&self) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.admitted);
        let reserved = self.reservations.values().map(|found| found.tokens);
        jobs.map(|job| job.memory).sum::<u64>() + reserved.sum::<u64>()
    }

    /// Jobs and reservations that it knows.
    pub fn held(&self) -> usize {
        self.jobs.len() + self.reservations.len()
    }

    /// Whether it knows a job or a reservation.
    pub fn knows(&self, id: AttemptId) -> bool {
        self.jobs.contains_key(&id) || self.reservations.contains_key(&id)
    }

    /// Models that are loaded.
    pub fn models(&self) -> &[ModelName] {
        &self.models
    }

    /// Takes an order under a fencing number; an older number is refused.
    ///
    /// # Errors
    ///
    /// A newer number was seen.
    pub fn order(&mut self, fence: u64, action: &OrderAction) -> Result<(), Refusal> {
        if fence < self.fence {
            return Err(Refusal);
        }
        self.fence = fence;
        match action {
            OrderAction::Fence => {}
            OrderAction::Load { model } if self.models.contains(model) => {}
            OrderAction::Load { model } => self.models.push(model.clone()),
            OrderAction::Unload { model } => self.models.retain(|known| known != model),
        }
        Ok(())
    }

    /// Takes work.
    ///
    /// # Errors
    ///
    /// The prompt could never fit, or its reservation is gone.
    pub fn submit(&mut self, now: Time, work: Work) -> Result<(), Refusal> {
        let (memory, prefill_left) = match work.group {
            Some(group) if !self.reservations.contains_key(&group) => return Err(Refusal),
            Some(_) => (0, work.offset),
            None => {
                let whole = work.prompt_tokens + work.answer_tokens;
                (whole, work.prompt_tokens + work.offset)
            }
        };
        if memory > self.size.memory {
            return Err(Refusal);
        }
        let kind = JobKind::Answer {
            seed: work.seed,
            next: work.offset,
            total: work.answer_tokens,
        };
        let job = Job {
            owner: work.owner,
            rank: work.rank,
            order: self.order,
            prompt_tokens: work.prompt_tokens,
            prefill_left,
            memory,
            admitted: false,
            since: now,
            kind,
        };
        self.add(now, work.attempt, job);
        Ok(())
    }

    /// Prefills a share into its reservation.
    ///
    /// # Errors
    ///
    /// The reservation is gone.
    pub fn prefill(
        &mut self,
        now: Time,
        group: AttemptId,
        rank: Rank,
        tokens: u64,
    ) -> Result<(), Refusal> {
        let owner = match self.reservations.get(&group) {
            Some(found) => found.owner.clone(),
            None => return Err(Refusal),
        };
        let job = Job {
            owner,
            rank,
            order: self.order,
            prompt_tokens: tokens,
            prefill_left: tokens,
            memory: 0,
            admitted: false,
            since: now,
            kind: JobKind::Share { group },
        };
        self.add(now, group, job);
        Ok(())
    }

    fn add(&mut self, now: Time, attempt: AttemptId, job: Job) {
        self.order += 1;
        self.heard_of(now, &job.owner);
        self.jobs.insert(attempt, job);
        if self.iteration.is_none() {
            self.begin(now);
        }
    }

    /// Reserves memory; the same reservation again is the same one.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub fn reserve(
        &mut self,
        now: Time,
        group: AttemptId,
        owner: Owner,
        tokens: u64,
    ) -> Result<(), Refusal> {
        if self.reservations.contains_key(&group) {
            return Ok(());
        }
        if self.memory_used() + tokens > self.size.memory {
            return Err(Refusal);
        }
        self.heard_of(now, &owner);
        let since = now;
        let held = Reservation {
            owner,
            tokens,
            since,
        };
        self.reservations.insert(group, held);
        Ok(())
    }

    /// Gives up a reservation with what uses it.
    pub fn release(&mut self, group: AttemptId) {
        self.reservations.remove(&group);
        self.jobs.remove(&group);
    }

    /// Stops work and frees its memory.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.jobs.remove(&attempt);
    }

    /// Believes that an owner lives, and frees what it no longer wants.
    pub fn renew(&mut self, now: Time, asked: &RenewRequest) {
        let spare = Duration::from_millis(asked.spare_younger_ms);
        let kept = |owner: &Owner, id: &AttemptId, since: Time| {
            *owner != asked.owner || asked.keep.contains(id) || now.since(since) < spare
        };
        self.jobs.retain(|id, job| kept(&job.owner, id, job.since));
        self.reservations
            .retain(|id, found| kept(&found.owner, id, found.since));
        let until = now + Duration::from_millis(asked.ttl_ms);
        self.owners.insert(asked.owner.clone(), until);
    }

    /// Believes that an owner lives while its work is new.
    fn heard_of(&mut self, now: Time, owner: &Owner) {
        let until = now + FIRST_TTL;
        let known = self.owners.entry(owner.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Frees what silent owners made it hold.
    pub fn free_orphans(&mut self, now: Time) {
        let gone: Vec<_> = self
            .owners
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(owner, _)| owner.clone())
            .collect();
        for owner in gone {
            self.owners.remove(&owner);
            self.jobs.retain(|_, job| job.owner != owner);
            self.reservations.retain(|_, found| found.owner != owner);
        }
    }

    /// When the next output is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.iteration.as_ref().map(|iteration| iteration.ends)
    }

    /// Passes time up to `now`.
    pub fn advance(&mut self, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        while let Some(iteration) = self.iteration.take_if(|found| found.ends <= now) {
            let ends = iteration.ends;
            self.finish(&iteration, &mut out);
            self.begin(ends);
        }
        out
    }

    fn begin(&mut self, now: Time) {
        self.admit();
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.admitted)
            .map(|(attempt, job)| (job.rank, job.order, *attempt))
            .collect();
        if order.is_empty() {
            self.iteration = None;
            return;
        }
        order.sort_unstable();
        let mut room = self.size.chunk;
        let mut prefilled = Vec::new();
        let mut generating = Vec::new();
        for (_, _, attempt) in order {
            let left = self.jobs[&attempt].prefill_left;
            let part = left.min(room);
            room -= part;
            match (left, part) {
                (0, _) => generating.push(attempt),
                (_, 0) => {}
                _ => prefilled.push((attempt, part)),
            }
        }
        let chunk = self.size.chunk - room;
        let prefill = Duration::from_micros(chunk * 1_000_000 / self.size.prefill_rate);
        let running = self.size.per_running * generating.len() as u32;
        let length = self.size.iteration + prefill + running;
        self.interval = length;
        self.iteration = Some(Iteration {
            ends: now + length,
            prefilled,
            generating,
        });
    }

    fn admit(&mut self) {
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.admitted)
            .map(|(attempt, job)| (job.rank, job.order, *attempt))
            .collect();
        waiting.sort_unstable();
        let mut used = self.memory_used();
        for (_, _, attempt) in waiting {
            let Some(job) = self.jobs.get_mut(&attempt) else {
                continue;
            };
            if used + job.memory <= self.size.memory {
                used += job.memory;
                job.admitted = true;
            }
        }
        assert!(used <= self.size.memory, "an engine holds more than it has");
    }

    fn finish(&mut self, iteration: &Iteration, out: &mut Vec<Output>) {
        for (attempt, part) in &iteration.prefilled {
            let Some(job) = self.jobs.get_mut(attempt) else {
                continue;
            };
            job.prefill_left -= part;
            self.prefilled_total += part;
            match job.kind {
                JobKind::Share { group } if job.prefill_left == 0 => {
                    out.push(Output::ShareReady(group));
                    self.jobs.remove(attempt);
                }
                // The last chunk's iteration yields the first token.
                JobKind::Answer { .. } if job.prefill_left == 0 => self.emit(*attempt, out),
                _ => {}
            }
        }
        for attempt in &iteration.generating {
            self.emit(*attempt, out);
        }
    }

    fn emit(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        let JobKind::Answer { seed, next, total } = &mut job.kind else {
            return;
        };
        if *next < *total {
            let body = FrameBody::Token {
                offset: *next,
                text: token_text(*seed, *next),
            };
            out.push(Output::Frame(Frame { attempt, body }));
            *next += 1;
        }
        if *next >= *total {
            let body = FrameBody::End {
                tokens: *total,
                prompt_tokens: job.prompt_tokens,
            };
            out.push(Output::Frame(Frame { attempt, body }));
            self.jobs.remove(&attempt);
        }
    }

    /// How it stands.
    pub fn report(&self) -> EngineReport {
        let mut queued = [0; RANK_COUNT];
        for job in self.jobs.values() {
            queued[job.rank.index()] += job.prefill_left;
        }
        let running = self.jobs.values().filter(|job| job.prefill_left == 0);
        EngineReport {
            models: self.models.clone(),
            queued,
            running: running.count() as u32,
            memory_total: self.size.memory,
            memory_used: self.memory_used(),
            prefill_rate: self.size.effective_rate(),
            token_interval_us: self.interval.as_micros() as u64,
            leaving: false,
        }
    }

    /// Drops everything, as a death does.
    pub fn reset(&mut self) {
        self.jobs.clear();
        self.reservations.clear();
        self.owners.clear();
        self.iteration = None;
    }
}
