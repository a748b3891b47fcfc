//! Engine utilization computed from call log lines.

use badgerferry_lib::relay::engine_utilization::EngineLine;
use badgerferry_lib::relay::engine_utilization::EngineLog;
use badgerferry_lib::relay::engine_utilization::RoutedLine;

fn routed(call: &str, engines: &[&str], part_ms: u64, waited_ms: u64) -> EngineLine {
    EngineLine::Routed(RoutedLine {
        call: call.to_owned(),
        address: engines[0].to_owned(),
        read_at: Some(engines[1..].join(" ")),
        part_ms: Some(part_ms),
        long: true,
        waited_ms,
        expected_ms: 400,
    })
}

fn first_event(call: &str) -> EngineLine {
    EngineLine::FirstEvent {
        call: call.to_owned(),
    }
}

fn ended(call: &str) -> EngineLine {
    EngineLine::Ended {
        call: call.to_owned(),
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() < 0.05
}

#[test]
fn engines_of_long_prompt_prefill_then_are_blocked_while_the_lead_decodes() {
    let mut log = EngineLog::default();
    log.record(1_000, routed("a", &["x", "y"], 400, 0));
    log.record(1_600, first_event("a"));
    log.record(2_000, ended("a"));

    let report = log.report();

    assert_eq!(report.engines, 2);
    let time = report.seconds[0].time;
    assert!(is_near(time.reads, 0.4), "{time:?}");
    assert!(is_near(time.held, 0.2), "{time:?}");
    assert!(is_near(time.writes, 0.2), "{time:?}");
    assert!(is_near(time.unused, 0.2), "{time:?}");
    assert_eq!(report.while_waiting, None);
}

#[test]
fn helpers_of_short_call_are_not_blocked() {
    let mut log = EngineLog::default();
    let EngineLine::Routed(line) = routed("a", &["x", "y"], 400, 0) else {
        unreachable!("routed() returns this variant");
    };
    log.record(
        0,
        EngineLine::Routed(RoutedLine {
            long: false,
            ..line
        }),
    );
    log.record(800, first_event("a"));
    log.record(1_000, ended("a"));

    let time = log.report().seconds[0].time;

    assert!(is_near(time.reads, 0.4), "{time:?}");
    assert!(is_near(time.held, 0.0), "{time:?}");
    assert!(is_near(time.writes, 0.3), "{time:?}");
}

/// Guards the measure of engines that are idle although prompts are queued.
#[test]
fn utilization_while_prompts_are_queued_is_reported_separately() {
    let mut log = EngineLog::default();
    log.record(1_000, routed("a", &["x", "y"], 500, 0));
    log.record(1_500, first_event("a"));
    log.record(1_500, ended("a"));
    log.record(2_000, routed("b", &["x"], 500, 500));
    log.record(2_500, first_event("b"));
    log.record(2_500, ended("b"));

    let report = log.report();

    let while_waiting = report.while_waiting.expect("b was queued from 1,500 on");
    assert!(is_near(while_waiting.unused, 1.0), "{while_waiting:?}");
    assert!(is_near(report.seconds[0].waiting, 0.5));
}

#[test]
fn estimates_are_sorted_worst_first() {
    let mut log = EngineLog::default();
    for (at, call) in ["a", "b", "c"].into_iter().enumerate() {
        let at = 10_000 * at as u64;
        log.record(at, routed(call, &["slow", "normal"], 400, 0));
        log.record(at + 2_000, first_event(call));
        for again in [5_000, 7_000] {
            let other = format!("{call}-{again}");
            log.record(at + again, routed(&other, &["normal"], 400, 0));
            log.record(at + again + 400, first_event(&other));
        }
    }

    let estimates = log.report().estimates;

    assert_eq!(estimates[0].engine, "slow");
    assert!((estimates[0].over_expected - 5.0).abs() < 1e-9);
    assert_eq!(estimates[1].calls, 9);
}

#[test]
fn plain_calls_and_unknown_calls_are_ignored() {
    let mut log = EngineLog::default();
    let EngineLine::Routed(line) = routed("plain", &["server"], 0, 0) else {
        unreachable!("routed() returns this variant");
    };
    log.record(
        0,
        EngineLine::Routed(RoutedLine {
            part_ms: None,
            ..line
        }),
    );
    log.record(5, first_event("unknown"));

    let report = log.report();

    assert_eq!((report.engines, report.seconds.len()), (0, 0));
}
