//! Logs and metrics.
//!
//! Log events have a constant message and named fields. Metrics are served at `/metrics` in the
//! Prometheus text format; their names begin with `badgerferry_`.

use std::sync::OnceLock;
use std::time::Duration;

use badgerferry_lib::outcome::Outcome;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::box_config::LogFormat;

/// Upper bounds of histogram buckets for durations, in seconds. They include the limits of 0.73 s
/// and 54 ms.
const TIME_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.054, 0.1, 0.25, 0.5, 0.73, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0,
];

/// Starts logs on standard error. `BADGERFERRY_LOG` sets the filter, `info` by default.
pub fn start_logs(format: LogFormat) {
    let filter = EnvFilter::try_from_env("BADGERFERRY_LOG");
    let filter = filter.unwrap_or_else(|_unset| EnvFilter::new("info,viz=warn"));
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => logs.with_ansi(false).init(),
        LogFormat::Json => logs.json().flatten_event(true).init(),
    }
}

/// Maximum number of log lines that are buffered; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Counter of dropped log lines.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts JSON logs on standard output. Logging never blocks; lines that exceed the buffer are
/// dropped.
///
/// Dropping the guard writes the buffered lines.
pub fn start_stdout_logs() -> WorkerGuard {
    let filter = EnvFilter::try_from_env("BADGERFERRY_LOG");
    let filter = filter.unwrap_or_else(|_unset| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let _ = DROPPED_LINES.set(writer.error_counter());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .init();
    guard
}

/// Number of log lines dropped since the start.
pub fn dropped_lines() -> f64 {
    DROPPED_LINES
        .get()
        .map_or(0.0, |counter| counter.dropped_lines() as f64)
}

/// Installs the metrics recorder.
///
/// # Errors
///
/// A recorder is installed already.
pub fn start_metrics() -> anyhow::Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS)?
        .install_recorder()?;
    Ok(handle)
}

/// Returns the value of the label `band`: the order of magnitude of the prompt length in tokens, or
/// `service` if there is no prompt.
pub const fn band(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0 => "service",
        1..3_000 => "1k",
        3_000..30_000 => "10k",
        30_000..300_000 => "100k",
        _ => "1M",
    }
}

/// Counts a request by its outcome and records its duration.
pub fn count_outcome(outcome: &Outcome, prompt_tokens: u64, elapsed: Duration) {
    let reason = match outcome {
        Outcome::Refused(refusal) => refusal.reason().code(),
        Outcome::Failed(reason) => reason.code(),
        Outcome::Completed { .. } | Outcome::Cancelled => "",
    };
    let band = band(prompt_tokens);
    counter!("badgerferry_requests_total", "outcome" => outcome.label(), "reason" => reason, "band" => band)
        .increment(1);
    histogram!("badgerferry_request_seconds", "band" => band).record(elapsed.as_secs_f64());
}

/// Records the time to the first token.
pub fn record_first_token(prompt_tokens: u64, elapsed: Duration) {
    let band = band(prompt_tokens);
    histogram!("badgerferry_first_token_seconds", "band" => band).record(elapsed.as_secs_f64());
}

/// Records the time between two consecutive tokens.
pub fn record_inter_token_latency(prompt_tokens: u64, elapsed: Duration) {
    let band = band(prompt_tokens);
    histogram!("badgerferry_between_tokens_seconds", "band" => band).record(elapsed.as_secs_f64());
}

/// Counts a frame from an engine that was not forwarded to the caller.
pub fn count_dropped_frame(reason: &'static str) {
    counter!("badgerferry_dropped_frames_total", "why" => reason).increment(1);
}

/// Sets the gauge with the given metric name.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Counts the bytes that exchanges with peers sent or received.
pub fn count_peer_bytes(direction: &'static str, bytes: usize) {
    counter!("badgerferry_peer_bytes_total", "way" => direction).increment(bytes as u64);
}

/// Counts a frame from a peer that was dropped as invalid.
pub fn count_bad_frame(reason: &'static str) {
    counter!("badgerferry_bad_peer_frames_total", "why" => reason).increment(1);
}
