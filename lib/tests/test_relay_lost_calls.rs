//! Why calls are lost, by their last lines.

use badgerferry_lib::relay::lost_calls::CallRecord;
use badgerferry_lib::relay::lost_calls::LossCause;
use badgerferry_lib::relay::lost_calls::LostCalls;
use badgerferry_lib::relay::lost_calls::SizeClass;

/// A long prompt that was answered on time.
fn good() -> CallRecord {
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
fn a_call_that_is_on_time_is_not_lost() {
    assert_eq!(good().cause(), None);
}

#[test]
fn the_cause_is_the_first_thing_that_made_it_late() {
    let late = CallRecord {
        first_event_ms: Some(3_500),
        ..good()
    };
    let again = CallRecord {
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

    assert_eq!(late.cause(), Some(LossCause::ReadSlower));
    assert_eq!(again.cause(), Some(LossCause::TriedAgain));
    assert_eq!(waited.cause(), Some(LossCause::WaitedForEngines));
    assert_eq!(expected.cause(), Some(LossCause::ExpectedLate));
    assert_eq!(other.cause(), Some(LossCause::Late));
}

#[test]
fn pauses_and_outcomes_lose_a_call_that_began_on_time() {
    let paused = CallRecord {
        longest_pause_ms: Some(1_001),
        ..good()
    };
    let unlimited = CallRecord {
        pause_limit_ms: None,
        ..paused.clone()
    };
    let refused = CallRecord {
        outcome: "would_miss_deadline".to_owned(),
        first_event_ms: None,
        ..good()
    };

    assert_eq!(paused.cause(), Some(LossCause::Paused));
    assert_eq!(unlimited.cause(), None);
    assert_eq!(
        refused.cause().map(|cause| cause.to_string()).as_deref(),
        Some("not served: would_miss_deadline")
    );
}

#[test]
fn an_answer_that_is_no_stream_is_late_by_its_whole_time() {
    let plain = CallRecord {
        tokens: None,
        objective_ms: 150,
        took_ms: 151,
        first_event_ms: None,
        waited_ms: None,
        expected_ms: None,
        ..good()
    };

    assert_eq!(plain.cause(), Some(LossCause::Late));
    assert_eq!(SizeClass::of(plain.tokens), SizeClass::Plain);
}

#[test]
fn lines_add_up_by_size_cause_and_second() {
    let mut all = LostCalls::default();
    let paused = CallRecord {
        longest_pause_ms: Some(1_001),
        ..good()
    };

    for _ in 0..5 {
        all.add("10:00:01", &paused);
    }
    all.add("10:00:02", &good());

    assert_eq!(all.calls[&SizeClass::Long], 6);
    let row = &all.lost[&(SizeClass::Long, LossCause::Paused)];
    assert_eq!((row.calls, row.examples.len()), (5, 3));
    assert_eq!(all.seconds["10:00:01"], 5);
    assert!(!all.seconds.contains_key("10:00:02"));
    let estimate = all.prefill_ratios()[&SizeClass::Long];
    assert_eq!(estimate.prompts, 6);
    assert!((estimate.median - 800.0 / 700.0).abs() < 1e-9);
}

/// Ten prompts of a route, 10,000 to 100,000 tokens; the largest and one of the two beneath it are
/// not served.
#[test]
fn served_shares_tell_the_largest_of_a_route_by_themselves() {
    let mut all = LostCalls::default();
    for tens in 1..=10 {
        let is_served = tens != 10 && tens != 8;
        let outcome = if is_served { "answered" } else { "no_server" };
        let line = CallRecord {
            tokens: Some(tens * 10_000),
            outcome: outcome.to_owned(),
            ..good()
        };
        all.add("2026-03-07T04:57:50", &line);
    }

    let shares = all.served_shares()["r1"];

    assert_eq!(shares.prompts, 10);
    assert!((shares.all - 0.8).abs() < 1e-9, "{shares:?}");
    assert!(shares.largest_tenth.abs() < 1e-9, "{shares:?}");
    assert!((shares.fifth_beneath - 0.5).abs() < 1e-9, "{shares:?}");
}
