//! How long requests of a model take, and how fast a box's queue drains.
//!
//! Learned from what was seen: tokens of whole answers, and tokens started while others
//! waited. Before anything was seen, the engines' reported rates stand in.

use std::time::Duration;

use crate::request::Request;
use crate::server_view::ServerView;
use crate::time::Time;

/// Weight of one answer's length against the running mean.
const OUTPUT_WEIGHT: f64 = 0.02;
/// Length assumed before the first answer, in tokens.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;
/// Time constant of the measured drain of short requests.
const SHORT_WINDOW_S: f64 = 5.0;
/// Time constant of the drain of long ones, of which a box starts one in several seconds; a
/// shorter window takes the pauses between them for a standstill and refuses in vain.
const LONG_WINDOW_S: f64 = 120.0;

/// How fast the servers of a model work, as reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Prompt tokens a second at one server.
    pub prefill_rate: f64,
    /// Prompt tokens a second at all of them.
    pub total_prefill_rate: f64,
    /// Time between tokens of one answer.
    pub token_interval: Duration,
}

impl Pace {
    /// The mean pace of servers.
    pub fn mean<'a>(servers: impl Iterator<Item = &'a ServerView>) -> Self {
        let mut rate = 0;
        let mut interval_us = 0;
        let mut count = 0_u32;
        for server in servers {
            rate += server.prefill_rate();
            interval_us += server.report().map_or(0, |report| report.token_interval_us);
            count += 1;
        }
        let servers = f64::from(count.max(1));
        Self {
            prefill_rate: (rate as f64 / servers).max(1.0),
            total_prefill_rate: (rate as f64).max(1.0),
            token_interval: Duration::from_micros(interval_us / u64::from(count.max(1))),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Drain {
    backlog_since: Option<Time>,
    started: f64,
    rate: Option<f64>,
    window_s: f64,
}

/// Expected times of one model's requests.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    output: f64,
    drains: [Drain; 2],
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            output: INITIAL_OUTPUT_TOKENS,
            drains: [Drain::default(); 2],
        }
    }
}

impl ServiceTime {
    /// Learns an answer's length.
    pub fn record_output(&mut self, tokens: u64) {
        self.output += (tokens as f64 - self.output) * OUTPUT_WEIGHT;
    }

    /// Time from a start to the whole answer of a request at this pace.
    pub fn expected_time(&self, request: &Request, pace: Pace) -> Duration {
        if request.prompt_tokens == 0 {
            return Duration::ZERO;
        }
        let prefill = Duration::from_secs_f64(request.prompt_tokens as f64 / pace.prefill_rate);
        let tokens = self.output.min(request.max_output as f64);
        prefill + pace.token_interval.mul_f64(tokens)
    }

    /// Counts tokens that started.
    pub fn record_started(&mut self, now: Time, long: bool, tokens: u64) {
        let drain = &mut self.drains[usize::from(long)];
        if drain.backlog_since.is_some() {
            drain.started += tokens as f64;
        }
        drain.update(now);
    }

    /// Says whether requests wait; only then does what starts tell the drain.
    ///
    /// `expected` is the drain in tokens a second before any was seen.
    pub fn set_backlog(&mut self, now: Time, long: bool, backlog: bool, expected: f64) {
        let drain = &mut self.drains[usize::from(long)];
        drain.window_s = if long { LONG_WINDOW_S } else { SHORT_WINDOW_S };
        drain.rate.get_or_insert(expected);
        match (backlog, drain.backlog_since) {
            (true, None) => {
                drain.backlog_since = Some(now);
                drain.started = 0.0;
            }
            (false, Some(_)) => drain.backlog_since = None,
            _ => drain.update(now),
        }
    }

    /// Tokens a second that start while others wait; `expected` before any was seen.
    pub fn drain_rate(&self, long: bool, expected: f64) -> f64 {
        self.drains[usize::from(long)].rate.unwrap_or(expected)
    }
}

impl Drain {
    /// Takes a measured second or more into the rate.
    fn update(&mut self, now: Time) {
        let Some(since) = self.backlog_since else {
            return;
        };
        let span = now.since(since).as_secs_f64();
        if span < 1.0 {
            return;
        }
        let measured = self.started / span;
        let weight = 1.0 - (-span / self.window_s).exp();
        let before = self.rate.unwrap_or(measured);
        self.rate = Some(before + (measured - before) * weight);
        self.backlog_since = Some(now);
        self.started = 0.0;
    }
}
