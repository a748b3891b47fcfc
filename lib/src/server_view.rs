//! One box's view of a backend server: its delayed report and the requests of this box.
//!
//! A report describes the server at an earlier time. The box corrects it by requests that it
//! has sent since, by first tokens that it has received, and by the prefill that the server can
//! have done since the report.

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
use crate::priority::RANK_COUNT;
use crate::priority::Rank;
use crate::request::PrefixHash;
use crate::time::Time;

/// Maximum number of prefixes recorded per engine; an engine's cache holds a few hundred long
/// ones.
const MAX_CACHED_PREFIXES: usize = 256;
/// Prefill rate assumed without a report, in tokens per second.
const DEFAULT_PREFILL_RATE: u64 = 10_000;

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// Model engine.
    Engine,
    /// Plain service without a model.
    Service,
}

/// Entry of a backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Name of the server.
    pub name: ServerName,
    /// Data hall of the server.
    pub hall: HallName,
    /// Engine or plain service.
    pub kind: ServerKind,
    /// Listen address, as `ip:port`.
    pub address: String,
    /// Pool of a plain service; `None` for engines.
    #[serde(default)]
    pub pool: Option<ModelName>,
    /// Whether the server accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// State of an engine as reported by itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// Prompt tokens waiting for prefill, by rank.
    pub queued: [u64; RANK_COUNT],
    /// Number of requests that are generating.
    pub running: u32,
    /// Capacity of KV memory, in tokens.
    pub memory_total: u64,
    /// KV memory in use, in tokens.
    pub memory_used: u64,
    /// Prefill rate of the otherwise idle engine, in tokens per second.
    pub prefill_rate: u64,
    /// Time between two tokens of one output, in microseconds.
    pub token_interval_us: u64,
    /// Whether the server accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Report with the time at which the server created it, on this box's clock.
#[derive(Debug, Clone)]
struct ReceivedReport {
    report: EngineReport,
    reported_at: Time,
}

/// Request that this box sent to the server.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    /// Scheduling rank at the server.
    pub rank: Rank,
    /// Number of prompt tokens to prefill.
    pub prefill: u64,
    /// Memory that the request occupies, in tokens.
    pub memory: u64,
    /// Whether the prompt is long.
    pub long: bool,
    /// Time at which the request was sent.
    pub sent_at: Time,
    /// Time at which the first token was received.
    pub first_token_at: Option<Time>,
}

/// View of one server.
#[derive(Debug)]
pub struct ServerView {
    info: ServerInfo,
    latest_report: Option<ReceivedReport>,
    requests: BTreeMap<RequestId, SentRequest>,
    prefixes: VecDeque<(PrefixHash, u64)>,
    memory_full_at: Option<Time>,
    /// Circuit breaker that excludes the server after failures.
    pub breaker: Breaker,
}

impl ServerView {
    /// Creates a view without a report.
    pub const fn new(info: ServerInfo) -> Self {
        Self {
            info,
            latest_report: None,
            requests: BTreeMap::new(),
            prefixes: VecDeque::new(),
            memory_full_at: None,
            breaker: Breaker::Closed,
        }
    }

    /// Entry in the platform's list.
    pub const fn info(&self) -> &ServerInfo {
        &self.info
    }

    /// Replaces the entry of the platform's list.
    pub fn set_info(&mut self, info: ServerInfo) {
        self.info = info;
    }

    /// Marks a server that is no longer listed as leaving, so that it gets no new requests.
    pub const fn set_leaving(&mut self) {
        self.info.leaving = true;
    }

    /// Stores a report unless it is older than the current one.
    pub fn set_report(&mut self, report: EngineReport, reported_at: Time) {
        let is_newer = self
            .latest_report
            .as_ref()
            .is_none_or(|latest| reported_at >= latest.reported_at);
        if is_newer {
            self.latest_report = Some(ReceivedReport {
                report,
                reported_at,
            });
        }
    }

    /// Latest report.
    pub fn report(&self) -> Option<&EngineReport> {
        self.latest_report.as_ref().map(|latest| &latest.report)
    }

    /// Age of the latest report, or `None` without one.
    pub fn report_age(&self, now: Time) -> Option<Duration> {
        self.latest_report
            .as_ref()
            .map(|latest| now.since(latest.reported_at))
    }

    /// Whether new requests may be sent: the server is not leaving and its breaker admits them.
    pub fn accepts_work(&self, now: Time) -> bool {
        let reports_leaving = self.report().is_some_and(|report| report.leaving);
        !self.info.leaving && !reports_leaving && self.breaker.admits(now)
    }

    /// Whether the engine has this model loaded, or the service belongs to this pool.
    pub fn serves(&self, model: &ModelName) -> bool {
        match self.info.kind {
            ServerKind::Service => self.info.pool.as_ref() == Some(model),
            ServerKind::Engine => self
                .report()
                .is_some_and(|report| report.models.contains(model)),
        }
    }

    /// Records a request that was sent, which is the probe if the breaker was open.
    pub fn record_sent(&mut self, request: RequestId, sent: SentRequest) {
        self.requests.insert(request, sent);
        self.breaker.on_dispatch();
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, now: Time, request: RequestId) {
        if let Some(sent) = self.requests.get_mut(&request) {
            sent.first_token_at.get_or_insert(now);
        }
    }

    /// Removes a request that ended.
    pub fn record_end(&mut self, request: RequestId) -> Option<SentRequest> {
        self.requests.remove(&request)
    }

    /// Number of requests of this box in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Reported prefill rate in tokens per second, or a default without a report.
    pub fn prefill_rate(&self) -> u64 {
        match self.report() {
            Some(report) if report.prefill_rate > 0 => report.prefill_rate,
            _ => DEFAULT_PREFILL_RATE,
        }
    }

    fn sent_since_report(&self) -> impl Iterator<Item = &SentRequest> {
        let reported_at = self
            .latest_report
            .as_ref()
            .map_or(Time::ZERO, |latest| latest.reported_at);
        self.requests
            .values()
            .filter(move |request| request.sent_at >= reported_at)
    }

    /// Estimated prompt tokens ahead of a new request of this rank.
    pub fn queued_ahead(&self, now: Time, rank: Rank) -> u64 {
        let reported: u64 = self
            .report()
            .map_or(0, |report| report.queued[..=rank.index()].iter().sum());
        let age = self.report_age(now).unwrap_or_default();
        let prefilled = (age.as_secs_f64() * self.prefill_rate() as f64) as u64;
        let sent: u64 = self
            .sent_since_report()
            .filter(|request| request.first_token_at.is_none() && request.rank <= rank)
            .map(|request| request.prefill)
            .sum();
        reported.saturating_sub(prefilled) + sent
    }

    /// Estimated prompt tokens of long prompts waiting for prefill.
    pub fn queued_long_tokens(&self, now: Time) -> u64 {
        // The ranks of long prompts; see `Priority::rank`.
        let reported: u64 = self.report().map_or(0, |report| {
            [2, 3, 5].iter().map(|&rank| report.queued[rank]).sum()
        });
        let age = self.report_age(now).unwrap_or_default();
        let prefilled = (age.as_secs_f64() * self.prefill_rate() as f64) as u64;
        let sent: u64 = self
            .sent_since_report()
            .filter(|request| request.first_token_at.is_none() && request.long)
            .map(|request| request.prefill)
            .sum();
        reported.saturating_sub(prefilled) + sent
    }

    /// Estimated prefill time of the tokens ahead of a new request of this rank.
    pub fn queue_wait(&self, now: Time, rank: Rank) -> Duration {
        self.prefill_time(self.queued_ahead(now, rank))
    }

    /// Time to prefill `tokens` at the current prefill rate.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros(tokens * 1_000_000 / self.prefill_rate())
    }

    /// Estimated free memory, in tokens; zero without a report.
    pub fn memory_free(&self) -> u64 {
        let sent: u64 = self.sent_since_report().map(|request| request.memory).sum();
        self.report().map_or(0, |report| {
            report
                .memory_total
                .saturating_sub(report.memory_used)
                .saturating_sub(sent)
        })
    }

    /// Records a reservation that failed for lack of memory; supersedes the server's report until
    /// the next one.
    pub const fn record_memory_full(&mut self, now: Time) {
        self.memory_full_at = Some(now);
    }

    /// Whether the server failed a reservation for lack of memory since its latest report.
    pub fn is_memory_full(&self) -> bool {
        let reported_at = self
            .latest_report
            .as_ref()
            .map_or(Time::ZERO, |latest| latest.reported_at);
        self.memory_full_at.is_some_and(|at| at >= reported_at)
    }

    /// Reported memory capacity, in tokens; zero without a report.
    pub fn memory_total(&self) -> u64 {
        self.report().map_or(0, |report| report.memory_total)
    }

    /// Number of generating requests: those reported, and those that this box sent since.
    pub fn running(&self) -> u64 {
        let reported = self.report().map_or(0, |report| u64::from(report.running));
        reported + self.sent_since_report().count() as u64
    }

    /// Records that the engine has cached this prefix; evicts the oldest record above the limit.
    pub fn record_prefix(&mut self, prefix: PrefixHash, tokens: u64) {
        self.prefixes.retain(|(known, _)| *known != prefix);
        self.prefixes.push_back((prefix, tokens));
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Number of prompt tokens with this prefix that the engine is known to have cached.
    pub fn cached_tokens(&self, prefix: PrefixHash) -> u64 {
        self.prefixes
            .iter()
            .find(|(known, _)| *known == prefix)
            .map_or(0, |(_, tokens)| *tokens)
    }
}
