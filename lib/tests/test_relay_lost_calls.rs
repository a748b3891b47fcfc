//! Causes of lost calls, from the log record that each call ends with.

use badgerferry_lib::relay::lost_calls::CallRecord;
use badgerferry_lib::relay::lost_calls::LossCause;
use badgerferry_lib::relay::lost_calls::LostCalls;
use badgerferry_lib::relay::lost_calls::SizeClass;

/// Record of a long prompt that was served on time.
fn on_time() -> CallRecord {
    CallRecord {
        call: "c1".to_owned(),
        route: Some("r1".to_owned()),
        outcome: "answered".to_owned(),
        sent: 1,
        took_ms: 2_000,
        tokens: Some(180_000),
        objective_ms: 3_000,
        first_event_ms: Some(900),
        waited_ms: Some(100),
        expected_ms: Some(700),
        longest_pause_ms: Some(300),
        pause_limit_ms: Some(1_000),
    }
}

#[test]
fn call_on_time_is_not_lost() {
    assert_eq!(on_time().cause(), None);
}

#[test]
fn cause_of_a_late_call_is_the_first_that_applies() {
    let late = CallRecord {
        first_event_ms: Some(3_500),
        ..on_time()
    };
    let retried = CallRecord {
        sent: 2,
        ..late.clone()
    };
    let waited = CallRecord {
        waited_ms: Some(1_300),
        ..late.clone()
    };
    let expected = CallRecord {
        expected_ms: Some(2_500),
        ..late.clone()
    };
    let other = CallRecord {
        waited_ms: Some(1_100),
        expected_ms: Some(2_300),
        ..late.clone()
    };

    assert_eq!(late.cause(), Some(LossCause::SlowPrefill));
    assert_eq!(retried.cause(), Some(LossCause::Retried));
    assert_eq!(waited.cause(), Some(LossCause::WaitedForEngines));
    assert_eq!(expected.cause(), Some(LossCause::ExpectedLate));
    assert_eq!(other.cause(), Some(LossCause::Late));
}

#[test]
fn long_pauses_and_failed_outcomes_are_causes_without_lateness() {
    let paused = CallRecord {
        longest_pause_ms: Some(1_001),
        ..on_time()
    };
    let unlimited = CallRecord {
        pause_limit_ms: None,
        ..paused.clone()
    };
    let refused = CallRecord {
        outcome: "would_miss_deadline".to_owned(),
        first_event_ms: None,
        ..on_time()
    };

    assert_eq!(paused.cause(), Some(LossCause::Paused));
    assert_eq!(unlimited.cause(), None);
    assert_eq!(
        refused.cause().map(|cause| cause.to_string()).as_deref(),
        Some("not served: would_miss_deadline")
    );
}

#[test]
fn response_without_events_is_late_by_its_total_time() {
    let plain = CallRecord {
        tokens: None,
        objective_ms: 150,
        took_ms: 151,
        first_event_ms: None,
        waited_ms: None,
        expected_ms: None,
        ..on_time()
    };

    assert_eq!(plain.cause(), Some(LossCause::Late));
    assert_eq!(SizeClass::of(plain.tokens), SizeClass::Plain);
}

#[test]
fn records_are_summed_by_size_cause_and_second() {
    let mut totals = LostCalls::default();
    let paused = CallRecord {
        longest_pause_ms: Some(1_001),
        ..on_time()
    };

    for _ in 0..5 {
        totals.add("10:00:01", &paused);
    }
    totals.add("10:00:02", &on_time());

    assert_eq!(totals.calls[&SizeClass::Long], 6);
    let row = &totals.lost[&(SizeClass::Long, LossCause::Paused)];
    assert_eq!((row.calls, row.examples.len()), (5, 3));
    assert_eq!(totals.seconds["10:00:01"], 5);
    assert!(!totals.seconds.contains_key("10:00:02"));
    let ratios = totals.prefill_ratios()[&SizeClass::Long];
    assert_eq!(ratios.prompts, 6);
    assert!((ratios.median - 800.0 / 700.0).abs() < 1e-9);
}

/// Ten prompts of one route, 10,000 to 100,000 tokens. The largest one and one of the next two are
/// not served.
#[test]
fn served_shares_report_the_largest_prompts_separately() {
    let mut totals = LostCalls::default();
    for step in 1..=10 {
        let is_served = step != 10 && step != 8;
        let outcome = if is_served { "answered" } else { "no_server" };
        let record = CallRecord {
            tokens: Some(step * 10_000),
            outcome: outcome.to_owned(),
            ..on_time()
        };
        totals.add("2026-03-07T04:57:50", &record);
    }

    let shares = totals.served_shares()["r1"];

    assert_eq!(shares.prompts, 10);
    assert!((shares.all - 0.8).abs() < 1e-9, "{shares:?}");
    assert!(shares.largest_tenth.abs() < 1e-9, "{shares:?}");
    assert!((shares.fifth_beneath - 0.5).abs() < 1e-9, "{shares:?}");
}
