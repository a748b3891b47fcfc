//! Guards against size groups of long prompts that fall behind as the load grows, whatever the
//! number of engines and the spread of sizes.

use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::served_shares::ServedShares;
use badgerferry_testutils::relay_model;
use badgerferry_testutils::relay_model::Scenario;
use badgerferry_testutils::seeds::run_seeds;

/// First seed of the days.
const FIRST_SEED: u64 = 61_000;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).expect("the scenario is valid")
}

fn scenario_18_engines() -> Scenario {
    scenario(include_str!("../../testutils/scenarios/turns-18.json"))
}

fn scenario_60_engines() -> Scenario {
    scenario(include_str!("../../testutils/scenarios/turns-60.json"))
}

fn scenario_150_engines() -> Scenario {
    scenario(include_str!("../../testutils/scenarios/starved-150.json"))
}

/// Days on which a size group of a kind is served less than half as often as the kind.
fn starved_days(scenario: &Scenario, scope: GossipScope, days: u64) -> Vec<(u64, ServedShares)> {
    let seeds = FIRST_SEED..FIRST_SEED + days;
    let day = |seed| (seed, relay_model::run(scenario, Some(scope), seed).0.served);
    let (days, failed) = run_seeds(seeds, day);
    assert!(failed.is_empty(), "{failed:?}");
    let kinds = days
        .into_iter()
        .flat_map(|(seed, kinds)| kinds.into_iter().map(move |shares| (seed, shares)));
    kinds
        .filter(|(_, shares)| shares.lower_relative_share() < 0.5)
        .collect()
}

#[test]
fn size_groups_keep_half_of_their_share_at_any_load_on_18_engines() {
    for load in [1.0, 1.4, 1.8, 2.2] {
        let scenario = scenario_18_engines().with_long_prompts(load, 1.0);

        let starved = starved_days(&scenario, GossipScope::Fleet, 8);

        assert!(starved.is_empty(), "load {load}: {starved:?}");
    }
}

#[test]
fn size_groups_keep_half_of_their_share_with_a_narrow_spread_of_sizes() {
    let scenario = scenario_18_engines().with_long_prompts(1.8, 0.6);

    let starved = starved_days(&scenario, GossipScope::Fleet, 8);

    assert!(starved.is_empty(), "{starved:?}");
}

#[test]
fn size_groups_keep_half_of_their_share_with_a_wide_spread_of_sizes() {
    let scenario = scenario_18_engines().with_long_prompts(1.8, 1.4);

    let starved = starved_days(&scenario, GossipScope::Fleet, 8);

    assert!(starved.is_empty(), "{starved:?}");
}

#[test]
fn size_groups_of_few_prompts_keep_half_of_their_share_at_the_highest_load() {
    let scenario = scenario_18_engines().with_long_prompts(2.5, 1.0);

    let starved = starved_days(&scenario, GossipScope::Fleet, 8);

    assert!(starved.is_empty(), "{starved:?}");
}

/// Days on which most of the largest prompts arrive in one burst.
#[test]
fn size_groups_of_few_prompts_keep_half_of_their_share() {
    let days = [(1.0, 61_061), (1.8, 61_040), (2.5, 61_004), (2.5, 61_021)];
    for (load, seed) in days {
        let scenario = scenario_18_engines().with_long_prompts(load, 1.0);

        let long_prompts = &relay_model::run(&scenario, Some(GossipScope::Fleet), seed)
            .0
            .served[scenario.long_kind()];

        let share = long_prompts.lower_relative_share();
        assert!(share >= 0.5, "load {load}, seed {seed}: {long_prompts:?}");
    }
}

#[test]
fn size_groups_keep_half_of_their_share_at_any_load_on_60_engines() {
    for load in [1.8, 2.5] {
        let scenario = scenario_60_engines().with_long_prompts(load, 1.0);

        let starved = starved_days(&scenario, GossipScope::Hall, 2);

        assert!(starved.is_empty(), "load {load}: {starved:?}");
    }
}

#[test]
fn size_groups_keep_half_of_their_share_under_overload_on_150_engines() {
    let scenario = scenario_150_engines().with_long_prompts(1.8, 1.0);

    let starved = starved_days(&scenario, GossipScope::Hall, 3);

    assert!(starved.is_empty(), "{starved:?}");
}
