//! Retry budget of a box that decides where its requests run.

use badgerferry_lib::retry_budget::RetryBudget;

const PERCENT: u64 = 20;

fn retries_in_a_life(first_attempts: usize) -> usize {
    let mut budget = RetryBudget::default();
    let wanted = (0..first_attempts).filter(|_| {
        budget.deposit(PERCENT);
        budget.try_spend()
    });
    wanted.count()
}

#[test]
fn retries_of_a_box_that_restarts_in_series_stay_a_fraction_of_first_attempts() {
    let retries: usize = (0..20).map(|_| retries_in_a_life(10)).sum();

    assert!(retries <= 40, "{retries} retries for 200 first attempts");
}
