//! The fleet-wide retry budget, summed over boxes that do not talk to each other.

use std::time::Duration;

use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RULE: RetryBudgetRule = RetryBudgetRule {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 100.0,
};

fn repeats_taken(window: &mut RetryWindow, now: Time, wanted: u32, boxes: usize) -> u32 {
    (0..wanted)
        .filter(|_| window.try_spend(now, &RULE, boxes))
        .count() as u32
}

#[test]
fn a_box_alone_keeps_half_of_the_slack_for_one_it_has_not_heard_of() {
    let mut window = RetryWindow::default();

    let taken = repeats_taken(&mut window, Time::from_millis(1), 1_000, 1);

    assert_eq!(taken, 50);
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let mut window = RetryWindow::default();
    assert_eq!(
        repeats_taken(&mut window, Time::from_millis(1), 1_000, 1),
        50
    );

    let at_once = repeats_taken(&mut window, Time::from_millis(9_000), 1_000, 1);
    let later = repeats_taken(&mut window, Time::from_millis(11_100), 1_000, 1);

    assert_eq!((at_once, later), (0, 50));
}

#[test]
fn first_sends_earn_repeats() {
    let mut window = RetryWindow::default();
    let now = Time::from_millis(500);
    for _ in 0..100 {
        window.record_first_send(now, &RULE);
    }

    let taken = repeats_taken(&mut window, now, 1_000, 50);

    // Four fifths of a fifth of 100, and an even part of the slack for 100 assumed boxes.
    assert_eq!(taken, 17);
}

/// All boxes repeat as often as they may, some start again and forget: the sum stays in budget.
#[test]
fn the_sum_over_boxes_stays_in_budget_in_every_sliding_window() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let known = rng.random_range(1..12);
        let mut windows: Vec<RetryWindow> = (0..known).map(|_| RetryWindow::default()).collect();
        let mut firsts: Vec<u64> = Vec::new();
        let mut repeats: Vec<u64> = Vec::new();
        for step in 0..600_u64 {
            let millis = step * 50;
            let now = Time::from_millis(millis);
            for window in &mut windows {
                for _ in 0..rng.random_range(0..3) {
                    window.record_first_send(now, &RULE);
                    firsts.push(millis);
                }
                for _ in 0..repeats_taken(window, now, rng.random_range(0..5), known) {
                    repeats.push(millis);
                }
            }
            if step == 300 {
                // Every box starts again within one window and forgets what it spent.
                windows.fill_with(RetryWindow::default);
            }
        }
        for end in (10_000..30_000).step_by(250) {
            let within = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|&&at| at > from && at <= to).count() as f64
            };
            let earned = within(&firsts, end - 10_000, end);
            let spent = within(&repeats, end - 10_000, end);
            assert!(
                spent <= RULE.ratio * earned + RULE.slack,
                "seed {seed}: {spent} repeats for {earned} calls until {end} ms"
            );
        }
    }
}
