//! What one box knows of a backend server: its lagged report and the box's own work.
//!
//! A report says how the server stood some time ago. The box corrects it by what it
//! knows better: work that it sent since, work whose first token it has seen, and the
//! time that the server has had to work its queue off.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::breaker::Breaker;
use crate::ids::HallName;
use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::ServerName;
use crate::priority::RANKS;
use crate::priority::Rank;
use crate::request::PrefixHash;
use crate::time::Time;

/// Prefixes remembered per engine; an engine's cache holds a few hundred long ones.
const MOST_PREFIXES: usize = 256;
/// Prefill rate assumed before a report, in tokens a second.
const UNREPORTED_PREFILL_RATE: u64 = 10_000;

/// What a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A backend server as the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Its name.
    pub name: ServerName,
    /// Its data hall.
    pub hall: HallName,
    /// What it is.
    pub kind: ServerKind,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// For a plain service, the pool it belongs to.
    #[serde(default)]
    pub pool: Option<ModelName>,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// How an engine says that it stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Models that are loaded.
    pub models: Vec<ModelName>,
    /// Prompt tokens not yet prefilled, by rank.
    pub queued: [u64; RANKS],
    /// Requests that generate.
    pub running: u32,
    /// Memory for KV, in tokens.
    pub memory_total: u64,
    /// Memory held, in tokens.
    pub memory_used: u64,
    /// Prompt tokens prefilled a second when nothing else is done.
    pub prefill_rate: u64,
    /// Time between tokens of one answer, in microseconds.
    pub token_interval_us: u64,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A report and when the server made it, on the reader's clock.
#[derive(Debug, Clone)]
struct Seen {
    report: EngineReport,
    taken_at: Time,
}

/// Work that this box sent to the server.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    /// Its rank at the server.
    pub rank: Rank,
    /// Prompt tokens to prefill.
    pub prefill: u64,
    /// Memory it takes, in tokens.
    pub memory: u64,
    /// Whether its prompt is long.
    pub long: bool,
    /// When it was sent.
    pub sent_at: Time,
    /// When its first token came.
    pub started_at: Option<Time>,
}

/// One server as this box sees it.
#[derive(Debug)]
pub struct ServerView {
    info: ServerInfo,
    seen: Option<Seen>,
    own: BTreeMap<RequestId, SentRequest>,
    prefixes: VecDeque<(PrefixHash, u64)>,
    no_room_at: Option<Time>,
    /// Whether the server rests after failures.
    pub breaker: Breaker,
}

impl ServerView {
    /// A server that has not reported yet.
    pub const fn new(info: ServerInfo) -> Self {
        Self {
            info,
            seen: None,
            own: BTreeMap::new(),
            prefixes: VecDeque::new(),
            no_room_at: None,
            breaker: Breaker::Closed,
        }
    }

    /// The platform's entry.
    pub const fn info(&self) -> &ServerInfo {
        &self.info
    }

    /// Takes a newer entry of the platform's list.
    pub fn set_info(&mut self, info: ServerInfo) {
        self.info = info;
    }

    /// Gives it no new work from now on: the list no longer has it.
    pub const fn set_leaving(&mut self) {
        self.info.leaving = true;
    }

    /// Takes a report; an older one than the last is ignored.
    pub fn set_report(&mut self, report: EngineReport, taken_at: Time) {
        let newer = self
            .seen
            .as_ref()
            .is_none_or(|seen| taken_at >= seen.taken_at);
        if newer {
            self.seen = Some(Seen { report, taken_at });
        }
    }

    /// The last report.
    pub fn report(&self) -> Option<&EngineReport> {
        self.seen.as_ref().map(|seen| &seen.report)
    }

    /// Age of the last report.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.seen.as_ref().map(|seen| now.since(seen.taken_at))
    }

    /// Whether new work may go there at all.
    pub fn accepts_work(&self, now: Time) -> bool {
        let says_leaving = self.report().is_some_and(|report| report.leaving);
        !self.info.leaving && !says_leaving && self.breaker.admits(now)
    }

    /// Whether it serves this model, or belongs to this service pool.
    pub fn serves(&self, model: &ModelName) -> bool {
        match self.info.kind {
            ServerKind::Service => self.info.pool.as_ref() == Some(model),
            ServerKind::Engine => self
                .report()
                .is_some_and(|report| report.models.contains(model)),
        }
    }

    /// Records work sent.
    pub fn record_sent(&mut self, request: RequestId, work: SentRequest) {
        self.own.insert(request, work);
        self.breaker.on_dispatch();
    }

    /// Records the first token of own work.
    pub fn record_first_token(&mut self, now: Time, request: RequestId) {
        if let Some(work) = self.own.get_mut(&request) {
            work.started_at.get_or_insert(now);
        }
    }

    /// Forgets own work that ended.
    pub fn record_end(&mut self, request: RequestId) -> Option<SentRequest> {
        self.own.remove(&request)
    }

    /// Own requests in flight.
    pub fn in_flight(&self) -> usize {
        self.own.len()
    }

    /// Prompt tokens prefilled a second.
    pub fn prefill_rate(&self) -> u64 {
        match self.report() {
            Some(report) if report.prefill_rate > 0 => report.prefill_rate,
            _ => UNREPORTED_PREFILL_RATE,
        }
    }

    fn unseen(&self) -> impl Iterator<Item = &SentRequest> {
        let taken_at = self.seen.as_ref().map_or(Time::ZERO, |seen| seen.taken_at);
        self.own
            .values()
            .filter(move |work| work.sent_at >= taken_at)
    }

    /// Prompt tokens ahead of new work of this rank.
    pub fn queued_ahead(&self, now: Time, rank: Rank) -> u64 {
        let reported: u64 = self
            .report()
            .map_or(0, |report| report.queued[..=rank.index()].iter().sum());
        let age = self.report_age(now).unwrap_or_default();
        let worked_off = (age.as_secs_f64() * self.prefill_rate() as f64) as u64;
        let own: u64 = self
            .unseen()
            .filter(|work| work.started_at.is_none() && work.rank <= rank)
            .map(|work| work.prefill)
            .sum();
        reported.saturating_sub(worked_off) + own
    }

    /// Prompt tokens of long prompts that the engine has still to prefill.
    pub fn queued_long_tokens(&self, now: Time) -> u64 {
        let reported: u64 = self.report().map_or(0, |report| {
            [2, 3, 5].iter().map(|&rank| report.queued[rank]).sum()
        });
        let age = self.report_age(now).unwrap_or_default();
        let worked_off = (age.as_secs_f64() * self.prefill_rate() as f64) as u64;
        let own: u64 = self
            .unseen()
            .filter(|work| work.started_at.is_none() && work.long)
            .map(|work| work.prefill)
            .sum();
        reported.saturating_sub(worked_off) + own
    }

    /// Time that the tokens ahead of this rank take.
    pub fn queue_wait(&self, now: Time, rank: Rank) -> Duration {
        self.prefill_time(self.queued_ahead(now, rank))
    }

    /// Time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros(tokens * 1_000_000 / self.prefill_rate())
    }

    /// Memory left, in tokens.
    pub fn memory_free(&self) -> u64 {
        let own: u64 = self.unseen().map(|work| work.memory).sum();
        self.report().map_or(0, |report| {
            report
                .memory_total
                .saturating_sub(report.memory_used)
                .saturating_sub(own)
        })
    }

    /// Records that the server had no room for a reservation; newer news than its report.
    pub const fn record_memory_full(&mut self, now: Time) {
        self.no_room_at = Some(now);
    }

    /// Whether the server said that it has no room since it made its last report.
    pub fn is_memory_full(&self) -> bool {
        let taken_at = self.seen.as_ref().map_or(Time::ZERO, |seen| seen.taken_at);
        self.no_room_at.is_some_and(|at| at >= taken_at)
    }

    /// All memory, in tokens.
    pub fn memory_total(&self) -> u64 {
        self.report().map_or(0, |report| report.memory_total)
    }

    /// Requests that generate, as reported, and own ones since.
    pub fn running(&self) -> u64 {
        let reported = self.report().map_or(0, |report| u64::from(report.running));
        reported + self.unseen().count() as u64
    }

    /// Remembers that the engine has this prefix in its cache.
    pub fn record_prefix(&mut self, prefix: PrefixHash, tokens: u64) {
        self.prefixes.retain(|(known, _)| *known != prefix);
        self.prefixes.push_back((prefix, tokens));
        if self.prefixes.len() > MOST_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Prompt tokens that the engine need not prefill again, as far as is known.
    pub fn cached_tokens(&self, prefix: PrefixHash) -> u64 {
        self.prefixes
            .iter()
            .find(|(known, _)| *known == prefix)
            .map_or(0, |(_, tokens)| *tokens)
    }
}
