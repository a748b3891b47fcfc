//! Fleet-wide retry budget, kept by boxes that do not coordinate.

use std::time::Duration;

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
        .filter(|_| window.try_spend(now, &BUDGET, boxes))
        .count() as u32
}

#[test]
fn single_box_spends_at_most_half_of_the_slack() {
    let mut window = RetryWindow::default();

    let spent = spend_retries(&mut window, Time::from_millis(1), 1_000, 1);

    assert_eq!(spent, 50);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut window = RetryWindow::default();
    assert_eq!(
        spend_retries(&mut window, Time::from_millis(1), 1_000, 1),
        50
    );

    let at_once = spend_retries(&mut window, Time::from_millis(9_000), 1_000, 1);
    let later = spend_retries(&mut window, Time::from_millis(11_100), 1_000, 1);

    assert_eq!((at_once, later), (0, 50));
}

#[test]
fn first_sends_earn_retries() {
    let now = Time::from_millis(500);
    let spent = [10, 25, 50].map(|boxes| {
        let mut window = RetryWindow::default();
        for _ in 0..100 {
            window.record_first_send(now, &BUDGET);
        }
        spend_retries(&mut window, now, 1_000, boxes)
    });

    // 0.8 * 0.2 * 100 earned retries, and an equal share of the slack for twice as many boxes, unless
    // that is too small and belongs to the pools.
    assert_eq!(spent, [16 + 5, 16 + 2, 16]);
}

#[test]
fn callers_that_pause_leave_retries_for_failures() {
    let mut window = RetryWindow::default();
    let now = Time::from_millis(1);

    let on_pause = (0..1_000).filter(|_| window.try_spend_on_pause(now, &BUDGET, 1));
    assert_eq!(on_pause.count(), 25);
    assert_eq!(spend_retries(&mut window, now, 1_000, 1), 25);
    assert!(!window.try_spend_on_pause(now, &BUDGET, 1));
}

/// All boxes retry as often as their shares allow, and all restart halfway and lose their counts.
#[test]
fn sum_over_boxes_stays_within_the_budget_in_every_sliding_window() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let known = rng.random_range(1..12);
        let mut windows: Vec<RetryWindow> = (0..known).map(|_| RetryWindow::default()).collect();
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
            if step == 300 {
                // All boxes restart within one window and lose their counts.
                windows.fill_with(RetryWindow::default);
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
