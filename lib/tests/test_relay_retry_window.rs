//! Fleet-wide retry budget, kept by boxes that do not coordinate.

use std::time::Duration;

use badgerferry_lib::relay::call_sends::CallSends;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BUDGET: RetryBudgetRule = RetryBudgetRule {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 100.0,
};

fn spend_retries(window: &mut RetryWindow, now: Time, wanted: u32, boxes: usize) -> u32 {
    (0..wanted)
        .filter(|_| {
            let is_allowed = window.try_reserve(now, &BUDGET, boxes);
            if is_allowed {
                window.record_arrival(now);
            }
            is_allowed
        })
        .count() as u32
}

/// A box that started a window ago.
const STEADY: Time = Time::from_millis(10_000);

fn window() -> RetryWindow {
    RetryWindow::new(Time::ZERO)
}

#[test]
fn box_sends_part_of_its_share_at_once_and_the_rest_gradually() {
    let mut window = window();

    let at_once = spend_retries(&mut window, STEADY, 1_000, 1);
    let gradually: u32 = (1..=9)
        .map(|second| {
            spend_retries(
                &mut window,
                Time::from_millis(10_000 + second * 1_000),
                1_000,
                1,
            )
        })
        .sum();

    // Of 0.8 of the slack, 0.6 at once, and the rest over the window.
    assert_eq!((at_once, gradually), (48, 28));
}

#[test]
fn box_that_has_just_started_sends_only_what_has_accrued() {
    let mut window = window();

    let spent = [1, 1_000, 5_000, 9_000]
        .map(|millis| spend_retries(&mut window, Time::from_millis(millis), 1_000, 1));

    // 0.4 of 0.8 of the slack accrues over the window.
    assert_eq!(spent, [0, 3, 13, 12]);
}

#[test]
fn box_that_has_not_read_the_list_of_boxes_sends_only_what_it_earns() {
    let mut window = window();
    assert_eq!(spend_retries(&mut window, STEADY, 1_000, 0), 0);
    let now = Time::from_millis(10_500);
    for _ in 0..100 {
        window.record_first_send(now, &BUDGET);
    }

    assert_eq!(spend_retries(&mut window, now, 1_000, 0), 9);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut window = window();
    assert_eq!(spend_retries(&mut window, STEADY, 1_000, 1), 48);

    let at_once = spend_retries(&mut window, STEADY, 1_000, 1);
    let later = spend_retries(&mut window, Time::from_millis(20_001), 1_000, 1);

    assert_eq!((at_once, later), (0, 48));
}

/// Guards against retries that wait at the box and arrive together within a later window.
#[test]
fn retry_that_waits_counts_until_it_has_arrived_a_window_ago() {
    let mut window = window();
    assert!((0..48).all(|_| window.try_reserve(STEADY, &BUDGET, 1)));
    let sent_at = Time::from_millis(19_999);

    let while_waiting = window.try_reserve(sent_at, &BUDGET, 1);
    (0..48).for_each(|_| window.record_arrival(sent_at));
    let after = spend_retries(&mut window, Time::from_millis(20_001), 1_000, 1);

    assert!(!while_waiting);
    assert_eq!(after, 0);
}

#[test]
fn retry_that_did_not_reach_its_server_is_available_again() {
    let mut window = window();
    assert!((0..48).all(|_| window.try_reserve(STEADY, &BUDGET, 1)));
    assert!(!window.try_reserve(STEADY, &BUDGET, 1));

    window.release();

    assert_eq!(spend_retries(&mut window, STEADY, 1_000, 1), 1);
}

/// A send that has not arrived yet.
struct Underway {
    read_at: u64,
    call: usize,
}

/// Servers stand still in turn: they read all that was sent to them at the end of each halt.
fn read_at(now: u64, halt: u64, is_still: bool) -> u64 {
    if is_still {
        (now / halt + 1) * halt
    } else {
        now
    }
}

#[test]
fn retries_that_servers_read_late_stay_within_the_budget() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let halt = rng.random_range(1_000..9_000);
        let still = rng.random_range(0.2..0.9);
        let mut window = window();
        let (mut calls, mut underway): (Vec<(CallSends, usize)>, Vec<Underway>) =
            Default::default();
        let (mut first_sends, mut retries): (Vec<u64>, Vec<u64>) = Default::default();
        for step in 0..1_200_u64 {
            let millis = step * 50;
            let now = Time::from_millis(millis);
            let (read, left) = underway
                .into_iter()
                .partition(|send| send.read_at <= millis);
            underway = left;
            for Underway { call, .. } in read {
                let (sends, arrivals) = &mut calls[call];
                *arrivals += 1;
                if *arrivals > 1 {
                    retries.push(millis);
                }
                if sends.end_send() {
                    window.record_arrival(now);
                }
            }
            for _ in 0..rng.random_range(0..6) {
                window.record_first_send(now, &BUDGET);
                first_sends.push(millis);
                let mut sends = CallSends::default();
                let mut count = 1;
                while count < 3 && window.try_reserve(now, &BUDGET, 1) {
                    sends.send_retry();
                    count += 1;
                }
                let call = calls.len();
                calls.push((sends, 0));
                underway.extend((0..count).map(|_| Underway {
                    read_at: read_at(millis, halt, rng.random_bool(still)),
                    call,
                }));
            }
        }
        for end in (10_000..60_000).step_by(250) {
            let within = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|&&at| at > from && at <= to).count() as f64
            };
            let earned = [0, 5_000, 10_000].map(|ago: u64| {
                let end = end - ago;
                within(&first_sends, end.saturating_sub(10_000), end)
            });
            let earned = earned.into_iter().fold(0.0, f64::max);
            let spent = within(&retries, end - 10_000, end);
            assert!(
                spent <= BUDGET.ratio * earned + BUDGET.slack,
                "seed {seed}: {spent} retries for {earned} first sends in the window ending at {end} ms"
            );
        }
    }
}

#[test]
fn retry_that_was_not_sent_does_not_arrive() {
    let mut sends = CallSends::default();
    sends.send_retry();

    sends.undo_send();

    assert!(!sends.end_send(), "the first send has arrived");
    assert!(!sends.end_send(), "no retry is pending");
}

#[test]
fn retry_counts_until_all_but_one_of_the_sends_are_over() {
    let mut sends = CallSends::default();
    sends.send_retry();

    assert!(!sends.end_send(), "one of two sends has arrived");
    assert!(sends.end_send(), "both have");
    assert!(!sends.end_send(), "there was one retry");
}

#[test]
fn first_sends_earn_retries() {
    let now = Time::from_millis(10_500);
    let spent = [10, 25, 50].map(|boxes| {
        let mut window = window();
        for _ in 0..100 {
            window.record_first_send(now, &BUDGET);
        }
        spend_retries(&mut window, now, 1_000, boxes)
    });

    // 0.6 of 0.8 * 0.2 * 100 earned retries, and of an equal share of 0.8 of the slack, unless that is
    // too small and belongs to the pools.
    assert_eq!(spent, [14, 11, 9]);
}

#[test]
fn callers_that_pause_leave_retries_for_failures() {
    let mut window = window();

    let on_pause = (0..1_000).filter(|_| window.try_reserve_on_pause(STEADY, &BUDGET, 1));
    assert_eq!(on_pause.count(), 24);
    assert_eq!(spend_retries(&mut window, STEADY, 1_000, 1), 24);
    assert!(!window.try_reserve_on_pause(STEADY, &BUDGET, 1));
}

#[test]
fn share_that_comes_back_from_the_pools_accrues_anew() {
    let mut window = window();
    assert_eq!(spend_retries(&mut window, STEADY, 1_000, 26), 0);

    let at_once = spend_retries(&mut window, STEADY, 1_000, 5);
    let later = spend_retries(&mut window, Time::from_millis(15_000), 1_000, 5);

    // 0.4 of half of 0.8 * 100 / 5.
    assert_eq!((at_once, later), (0, 3));
}

/// All boxes retry as often as their shares allow, and restart in series and lose their counts.
#[test]
fn sum_over_boxes_stays_within_the_budget_in_every_sliding_window() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let known = rng.random_range(1..12);
        let mut windows: Vec<RetryWindow> = (0..known).map(|_| window()).collect();
        let restart_steps = rng.random_range(10..300);
        let mut first_sends: Vec<u64> = Vec::new();
        let mut retries: Vec<u64> = Vec::new();
        for step in 0..600_u64 {
            let millis = step * 50;
            let now = Time::from_millis(millis);
            for window in &mut windows {
                for _ in 0..rng.random_range(0..3) {
                    window.record_first_send(now, &BUDGET);
                    first_sends.push(millis);
                }
                for _ in 0..spend_retries(window, now, rng.random_range(0..5), known) {
                    retries.push(millis);
                }
            }
            if step >= 250 && step % restart_steps == 0 {
                windows.fill_with(|| RetryWindow::new(now));
            }
        }
        for end in (10_000..30_000).step_by(250) {
            let within = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|&&at| at > from && at <= to).count() as f64
            };
            let earned = within(&first_sends, end - 10_000, end);
            let spent = within(&retries, end - 10_000, end);
            assert!(
                spent <= BUDGET.ratio * earned + BUDGET.slack,
                "seed {seed}: {spent} retries for {earned} first sends in the window ending at {end} ms"
            );
        }
    }
}
