//! The largest prompts are served, too: on each day, not only in the mean over days.

use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::served_shares::ServedShares;
use badgerferry_testutils::relay_model;
use badgerferry_testutils::relay_model::Scenario;
use badgerferry_testutils::seeds::run_seeds;

/// Index of the long prompts among the scenario's kinds.
const LONG: usize = 2;

/// Days on which the largest tenth drew bad lots, or came where only few engines read.
const STARVED_AT_150: [u64; 3] = [4, 18, 22];
const STARVED_AT_18: [u64; 4] = [9, 17, 49, 73];

fn starved_150() -> Scenario {
    let text = include_str!("../../testutils/scenarios/starved-150.json");
    Scenario::parse(text).expect("it is a good one")
}

fn turns_18() -> Scenario {
    let text = include_str!("../../testutils/scenarios/turns-18.json");
    Scenario::parse(text).expect("it is a good one")
}

/// What share of the long prompts is served on each day.
fn served(scenario: &Scenario, scope: GossipScope, seeds: &[u64]) -> Vec<ServedShares> {
    let day = |at: u64| {
        relay_model::run(scenario, Some(scope), seeds[at as usize])
            .0
            .served[LONG]
    };
    let (days, broken) = run_seeds(0..seeds.len() as u64, day);
    assert!(broken.is_empty(), "{broken:?}");
    days
}

fn assert_none_starved(days: &[ServedShares]) {
    let worst = days.iter().map(ServedShares::lower_relative_share);
    let worst = worst.fold(f64::INFINITY, f64::min);
    assert!(worst >= 0.5, "{worst:.3}: {days:?}");
}

/// Mean over eight days of the lesser share served of the largest tenth and of the fifth beneath it,
/// against that of all.
#[test]
fn the_largest_prompts_are_served_more_than_half_as_often_as_all() {
    let days = served(&starved_150(), GossipScope::Hall, &[0, 1, 2, 3, 4, 5, 6, 7]);

    let mean = days
        .iter()
        .map(ServedShares::lower_relative_share)
        .sum::<f64>()
        / days.len() as f64;

    assert!(mean > 0.55, "{mean:.3}: {days:?}");
}

#[test]
fn no_day_of_150_engines_starves_the_largest_prompts() {
    let days = served(&starved_150(), GossipScope::Hall, &STARVED_AT_150);

    assert_none_starved(&days);
}

#[test]
fn no_day_of_18_engines_starves_the_largest_prompts() {
    let days = served(&turns_18(), GossipScope::Fleet, &STARVED_AT_18);

    assert_none_starved(&days);
}
