//! Expected service time of a model's requests, and the drain rate of a box's queue.
//!
//! Both are estimated from measurements: the service time from the length of complete responses
//! and the rates that the engines report, the drain rate from the prompt tokens that are started
//! while other requests are queued. Until there are measurements, an initial length and the rates
//! that the engines report are used.

use std::time::Duration;

use crate::request::Request;
use crate::server_view::ServerView;
use crate::time::Time;

/// Weight of one response in the moving average of response lengths.
const OUTPUT_WEIGHT: f64 = 0.02;
/// Response length assumed before the first response, in tokens.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;
/// Time constant of the moving average of the drain rate of short requests.
const SHORT_WINDOW_S: f64 = 5.0;
/// Time constant of the moving average of the drain rate of long requests. A box starts one of
/// them every several seconds; a shorter window would take the time between them for a stalled
/// queue and refuse requests needlessly.
const LONG_WINDOW_S: f64 = 120.0;

/// Processing rates of a model's servers, as reported by them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Prompt tokens per second of one server, on average.
    pub prefill_rate: f64,
    /// Prompt tokens per second of all servers.
    pub total_prefill_rate: f64,
    /// Mean time between the tokens of one response.
    pub token_interval: Duration,
}

impl Pace {
    /// The mean rates of `servers`.
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

/// Measured drain rate of short or of long requests; measuring pauses while none are queued.
#[derive(Debug, Clone, Copy, Default)]
struct Drain {
    measuring_since: Option<Time>,
    started_tokens: f64,
    rate: Option<f64>,
    window_s: f64,
}

/// Estimator of the service time and the drain rates of one model's requests.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    mean_output_tokens: f64,
    drains: [Drain; 2],
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_output_tokens: INITIAL_OUTPUT_TOKENS,
            drains: [Drain::default(); 2],
        }
    }
}

impl ServiceTime {
    /// Records the length of a complete response.
    pub fn record_output(&mut self, tokens: u64) {
        self.mean_output_tokens += (tokens as f64 - self.mean_output_tokens) * OUTPUT_WEIGHT;
    }

    /// Expected time from the start of a request to its complete response; zero for an empty
    /// prompt.
    pub fn expected_time(&self, request: &Request, pace: Pace) -> Duration {
        if request.prompt_tokens == 0 {
            return Duration::ZERO;
        }
        let prefill = Duration::from_secs_f64(request.prompt_tokens as f64 / pace.prefill_rate);
        let tokens = self.mean_output_tokens.min(request.max_output as f64);
        prefill + pace.token_interval.mul_f64(tokens)
    }

    /// Records the prompt tokens of a request that was started.
    pub fn record_started(&mut self, now: Time, long: bool, tokens: u64) {
        let drain = &mut self.drains[usize::from(long)];
        if drain.measuring_since.is_some() {
            drain.started_tokens += tokens as f64;
        }
        drain.update(now);
    }

    /// Sets whether requests are queued. The drain rate is measured only while they are.
    ///
    /// `expected` is the drain rate in tokens per second until there are measurements.
    pub fn set_backlog(&mut self, now: Time, long: bool, backlog: bool, expected: f64) {
        let drain = &mut self.drains[usize::from(long)];
        drain.window_s = if long { LONG_WINDOW_S } else { SHORT_WINDOW_S };
        drain.rate.get_or_insert(expected);
        match (backlog, drain.measuring_since) {
            (true, None) => {
                drain.measuring_since = Some(now);
                drain.started_tokens = 0.0;
            }
            (false, Some(_)) => drain.measuring_since = None,
            _ => drain.update(now),
        }
    }

    /// Drain rate in prompt tokens per second; `expected` if none was set or measured yet.
    pub fn drain_rate(&self, long: bool, expected: f64) -> f64 {
        self.drains[usize::from(long)].rate.unwrap_or(expected)
    }
}

impl Drain {
    /// Adds the current measurement to the rate and starts the next one, once it spans a second or
    /// more.
    fn update(&mut self, now: Time) {
        let Some(since) = self.measuring_since else {
            return;
        };
        let span = now.since(since).as_secs_f64();
        if span < 1.0 {
            return;
        }
        let measured = self.started_tokens / span;
        let weight = 1.0 - (-span / self.window_s).exp();
        let previous = self.rate.unwrap_or(measured);
        self.rate = Some(previous + (measured - previous) * weight);
        self.measuring_since = Some(now);
        self.started_tokens = 0.0;
    }
}
