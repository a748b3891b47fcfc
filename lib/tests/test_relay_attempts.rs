//! Next step after an attempt of a relayed call has ended.

use std::time::Duration;

use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use quickcheck::TestResult;

use crate::seeded::seeded;

const RETRY_AFTER: Duration = Duration::from_millis(250);

fn sent_once(repeatable: bool, max: u32) -> Attempts {
    let mut attempts = Attempts::new(repeatable, max);
    attempts.send();
    attempts
}

fn is_refusal(next: &NextStep) -> bool {
    matches!(next, NextStep::Refuse(_))
}

#[test]
fn lost_call_that_is_not_repeatable_fails() {
    let mut attempts = sent_once(false, 3);

    let next = attempts.on_attempt_end(AttemptEnd::Lost, RETRY_AFTER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::ServerLost));
}

#[test]
fn stream_left_unread_is_resumed_once() {
    let mut attempts = sent_once(true, 4);

    assert!(attempts.may_resume_pause());
    let first = attempts.on_attempt_end(AttemptEnd::LeftUnread, RETRY_AFTER, || true);
    attempts.send();
    assert!(!attempts.may_resume_pause());
    let second = attempts.on_attempt_end(AttemptEnd::LeftUnread, RETRY_AFTER, || true);

    assert_eq!(first, NextStep::TryElsewhere);
    assert_eq!(second, NextStep::Fail(FailureReason::AttemptsUsed));
}

#[test]
fn stream_left_unread_that_is_not_resumable_fails() {
    let mut attempts = sent_once(false, 4);

    assert!(!attempts.may_resume_pause());
    let next = attempts.on_attempt_end(AttemptEnd::LeftUnread, RETRY_AFTER, || true);

    assert!(matches!(next, NextStep::Fail(_)));
}

#[test]
fn declined_call_that_is_not_repeatable_goes_to_another_server() {
    let mut attempts = sent_once(false, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Declined, RETRY_AFTER, || true);

    assert_eq!(next, NextStep::TryElsewhere);
}

#[test]
fn declined_call_without_attempts_left_is_refused_with_retry_after() {
    let mut attempts = sent_once(false, 1);

    let next = attempts.on_attempt_end(AttemptEnd::Declined, RETRY_AFTER, || true);

    match next {
        NextStep::Refuse(refused) => {
            assert_eq!(refused.reason(), RefusalReason::NoServer);
            assert_eq!(refused.retry_after(), Some(RETRY_AFTER));
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn attempts_on_shedding_servers_do_not_count_against_max_sent() {
    let mut attempts = sent_once(false, 2);

    for _ in 0..2 {
        let next = attempts.on_attempt_end(AttemptEnd::Shed, RETRY_AFTER, || true);
        assert_eq!(next, NextStep::TryElsewhere);
        attempts.send();
    }
    let next = attempts.on_attempt_end(AttemptEnd::Lost, RETRY_AFTER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::ServerLost));
    assert_eq!(attempts.sent(), 3);
}

#[test]
fn shed_attempts_are_limited_and_each_retry_spends_from_the_budget() {
    let mut attempts = Attempts::new(true, 1);
    let mut spent = 0;

    let refused = (0..10).position(|_| {
        attempts.send();
        let next = attempts.on_attempt_end(AttemptEnd::Shed, RETRY_AFTER, || {
            spent += 1;
            true
        });
        is_refusal(&next)
    });

    assert_eq!(refused, Some(3));
    assert_eq!(spent, 3);
}

#[test]
fn call_goes_on_from_full_servers_until_none_is_untried() {
    let mut attempts = sent_once(false, 1);
    let mut full = |has_untried, may_retry| {
        let next =
            attempts.on_attempt_end(AttemptEnd::Full { has_untried }, RETRY_AFTER, || may_retry);
        if next == NextStep::TryElsewhere {
            attempts.send();
        }
        next
    };

    let steps = [full(true, true), full(true, true), full(false, true)];
    let mut unpaid = sent_once(false, 1);
    let without_budget =
        unpaid.on_attempt_end(AttemptEnd::Full { has_untried: true }, RETRY_AFTER, || {
            false
        });

    assert_eq!(steps[..2], [NextStep::TryElsewhere, NextStep::TryElsewhere]);
    assert!(is_refusal(&steps[2]), "{steps:?}");
    assert!(is_refusal(&without_budget), "{without_budget:?}");
}

#[test]
fn shed_call_without_budget_is_refused() {
    let mut attempts = sent_once(true, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Shed, RETRY_AFTER, || false);

    assert!(is_refusal(&next), "{next:?}");
}

#[test]
fn failed_connection_uses_no_attempt_and_no_budget() {
    let mut attempts = sent_once(false, 1);

    let next = attempts.on_attempt_end(AttemptEnd::NoConnection, RETRY_AFTER, || {
        panic!("a retry was spent")
    });

    assert_eq!(next, NextStep::TryElsewhere);
    assert_eq!(attempts.sent(), 0);
}

#[test]
fn failed_connections_are_limited() {
    let mut attempts = Attempts::new(true, 1);

    let refused = (0..10).position(|_| {
        attempts.send();
        is_refusal(&attempts.on_attempt_end(AttemptEnd::NoConnection, RETRY_AFTER, || true))
    });

    assert!(refused.is_some_and(|failures| failures < 9));
}

/// Guards against a call given up after a few servers that refuse connections while others are up.
#[test]
fn call_goes_on_from_servers_that_refuse_connections() {
    let mut attempts = Attempts::new(false, 1);
    let refused = AttemptEnd::ConnectionRefused { has_untried: true };

    let given_up = (0..12).position(|_| {
        attempts.send();
        is_refusal(&attempts.on_attempt_end(refused, RETRY_AFTER, || panic!("a retry was spent")))
    });

    assert_eq!(given_up, None);
}

#[test]
fn refused_connections_are_limited() {
    for has_untried in [true, false] {
        let mut attempts = Attempts::new(true, 1);
        let refused = AttemptEnd::ConnectionRefused { has_untried };
        let max = if has_untried { 32 } else { 9 };

        let given_up = (0..max).position(|_| {
            attempts.send();
            is_refusal(&attempts.on_attempt_end(refused, RETRY_AFTER, || true))
        });

        assert!(given_up.is_some(), "has_untried={has_untried}");
    }
}

#[test]
fn lost_call_without_budget_fails() {
    let mut attempts = sent_once(true, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Lost, RETRY_AFTER, || false);

    assert_eq!(next, NextStep::Fail(FailureReason::AttemptsUsed));
}

#[test]
fn server_error_is_forwarded_if_the_call_is_not_repeatable() {
    let mut attempts = sent_once(false, 2);

    let next = attempts.on_attempt_end(AttemptEnd::ServerError, RETRY_AFTER, || true);

    assert_eq!(next, NextStep::PassOn);
}

#[test]
fn call_declined_after_a_lost_attempt_is_not_reported_as_not_run() {
    let mut attempts = sent_once(true, 2);
    assert_eq!(
        attempts.on_attempt_end(AttemptEnd::Lost, RETRY_AFTER, || true),
        NextStep::TryElsewhere
    );
    attempts.send();

    let next = attempts.on_attempt_end(AttemptEnd::Declined, RETRY_AFTER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::AttemptsUsed));
}

#[test]
#[should_panic(expected = "may not be repeated")]
fn resending_a_lost_call_that_is_not_repeatable_panics() {
    let mut attempts = sent_once(false, 2);
    let _ = attempts.on_attempt_end(AttemptEnd::Lost, RETRY_AFTER, || true);

    attempts.send();
}

/// For any sequence of attempt ends: the call is sent no more often than allowed, and is refused as
/// not run only if no attempt may have run.
#[test]
fn send_limits_and_not_run_hold_for_any_ends() {
    fn property(repeatable: bool, max: u8, ends: Vec<u8>) -> TestResult {
        if max == 0 {
            return TestResult::discard();
        }
        let max = u32::from(max % 5) + 1;
        let mut attempts = Attempts::new(repeatable, max);
        let mut maybe_ran = false;
        let mut shed = 0;
        for end in ends {
            attempts.send();
            if attempts.sent() > max + shed || shed > 3 {
                return TestResult::failed();
            }
            let end = match end % 9 {
                0 => AttemptEnd::NoConnection,
                1 => AttemptEnd::Declined,
                2 => AttemptEnd::Lost,
                3 => AttemptEnd::Shed,
                4 => AttemptEnd::Full { has_untried: true },
                5 => AttemptEnd::Full { has_untried: false },
                6 => AttemptEnd::ConnectionRefused { has_untried: true },
                7 => AttemptEnd::ConnectionRefused { has_untried: false },
                _ => AttemptEnd::ServerError,
            };
            let exceeds_max = attempts.sent() == max + shed;
            shed += match end {
                AttemptEnd::Shed => 1,
                AttemptEnd::Full { has_untried: true } => u32::from(exceeds_max),
                _ => 0,
            };
            maybe_ran |= matches!(end, AttemptEnd::Lost | AttemptEnd::ServerError);
            match attempts.on_attempt_end(end, RETRY_AFTER, || true) {
                NextStep::TryElsewhere if maybe_ran && !repeatable => return TestResult::failed(),
                NextStep::TryElsewhere => {}
                NextStep::Refuse(_) => return TestResult::from_bool(!maybe_ran),
                NextStep::Fail(_) => return TestResult::from_bool(maybe_ran),
                NextStep::PassOn => return TestResult::from_bool(end == AttemptEnd::ServerError),
            }
        }
        TestResult::passed()
    }
    seeded().quickcheck(property as fn(bool, u8, Vec<u8>) -> TestResult);
}
