//! What follows when a try of a relayed call ends.

use std::time::Duration;

use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::NextStep;
use quickcheck::TestResult;

use crate::seeded::seeded;

const LATER: Duration = Duration::from_millis(250);

fn sent_once(repeatable: bool, max: u32) -> Attempts {
    let mut attempts = Attempts::new(repeatable, max);
    attempts.send();
    attempts
}

fn is_refusal(next: &NextStep) -> bool {
    matches!(next, NextStep::Refuse(_))
}

#[test]
fn a_lost_call_that_may_not_be_repeated_fails_without_a_promise() {
    let mut attempts = sent_once(false, 3);

    let next = attempts.on_attempt_end(AttemptEnd::Lost, LATER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::ServerLost));
}

#[test]
fn a_declined_call_that_may_not_be_repeated_goes_to_another_server() {
    let mut attempts = sent_once(false, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Declined, LATER, || true);

    assert_eq!(next, NextStep::TryElsewhere);
}

#[test]
fn a_declined_call_with_no_attempt_left_is_refused_with_a_time_to_come_back() {
    let mut attempts = sent_once(false, 1);

    let next = attempts.on_attempt_end(AttemptEnd::Declined, LATER, || true);

    match next {
        NextStep::Refuse(refused) => {
            assert_eq!(refused.reason(), RefusalReason::NoServer);
            assert_eq!(refused.retry_after(), Some(LATER));
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn servers_that_shed_do_not_end_a_call_that_others_could_take() {
    let mut attempts = sent_once(false, 2);

    for _ in 0..2 {
        let next = attempts.on_attempt_end(AttemptEnd::Shed, LATER, || true);
        assert_eq!(next, NextStep::TryElsewhere);
        attempts.send();
    }
    let next = attempts.on_attempt_end(AttemptEnd::Lost, LATER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::ServerLost));
    assert_eq!(attempts.sent(), 3);
}

#[test]
fn a_call_is_not_turned_away_for_ever_and_each_repeat_asks_the_budget() {
    let mut attempts = Attempts::new(true, 1);
    let mut asked = 0;

    let refused = (0..10).position(|_| {
        attempts.send();
        let next = attempts.on_attempt_end(AttemptEnd::Shed, LATER, || {
            asked += 1;
            true
        });
        is_refusal(&next)
    });

    assert_eq!(refused, Some(3));
    assert_eq!(asked, 3);
}

#[test]
fn a_call_that_was_turned_away_without_budget_is_refused() {
    let mut attempts = sent_once(true, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Shed, LATER, || false);

    assert!(is_refusal(&next), "{next:?}");
}

#[test]
fn a_connection_that_was_not_made_uses_no_attempt_and_no_budget() {
    let mut attempts = sent_once(false, 1);

    let next = attempts.on_attempt_end(AttemptEnd::NoConnection, LATER, || {
        panic!("asked for budget")
    });

    assert_eq!(next, NextStep::TryElsewhere);
    assert_eq!(attempts.sent(), 0);
}

#[test]
fn connections_are_not_tried_for_ever() {
    let mut attempts = Attempts::new(true, 1);

    let refused = (0..10).position(|_| {
        attempts.send();
        is_refusal(&attempts.on_attempt_end(AttemptEnd::NoConnection, LATER, || true))
    });

    assert!(refused.is_some_and(|tries| tries < 9));
}

#[test]
fn a_lost_call_without_budget_fails() {
    let mut attempts = sent_once(true, 2);

    let next = attempts.on_attempt_end(AttemptEnd::Lost, LATER, || false);

    assert_eq!(next, NextStep::Fail(FailureReason::AttemptsUsed));
}

#[test]
fn a_servers_own_failure_is_passed_on_where_it_may_not_be_repeated() {
    let mut attempts = sent_once(false, 2);

    let next = attempts.on_attempt_end(AttemptEnd::ServerError, LATER, || true);

    assert_eq!(next, NextStep::PassOn);
}

#[test]
fn a_call_declined_after_it_was_lost_elsewhere_is_never_called_not_run() {
    let mut attempts = sent_once(true, 2);
    assert_eq!(
        attempts.on_attempt_end(AttemptEnd::Lost, LATER, || true),
        NextStep::TryElsewhere
    );
    attempts.send();

    let next = attempts.on_attempt_end(AttemptEnd::Declined, LATER, || true);

    assert_eq!(next, NextStep::Fail(FailureReason::AttemptsUsed));
}

#[test]
#[should_panic(expected = "may not be repeated")]
fn sending_a_lost_call_again_that_may_not_be_repeated_stops_the_process() {
    let mut attempts = sent_once(false, 2);
    let _ = attempts.on_attempt_end(AttemptEnd::Lost, LATER, || true);

    attempts.send();
}

/// Whatever happens: never more sends than allowed, and "not run" only while nothing may have.
#[test]
fn promises_hold_for_any_ends() {
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
            let end = match end % 5 {
                0 => AttemptEnd::NoConnection,
                1 => AttemptEnd::Declined,
                2 => AttemptEnd::Lost,
                3 => AttemptEnd::Shed,
                _ => AttemptEnd::ServerError,
            };
            shed += u32::from(end == AttemptEnd::Shed);
            maybe_ran |= matches!(end, AttemptEnd::Lost | AttemptEnd::ServerError);
            match attempts.on_attempt_end(end, LATER, || true) {
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
