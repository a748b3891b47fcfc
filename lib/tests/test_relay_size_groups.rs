//! Shares of size groups among the long prompts of all boxes.

use std::time::Duration;

use badgerferry_lib::relay::size_groups::SizeGroup;
use badgerferry_lib::relay::size_groups::SizeGroupChange;
use badgerferry_lib::relay::size_groups::SizeGroups;
use badgerferry_lib::time::Time;

const LARGE: Duration = Duration::from_secs(25);
const MIDDLE: Duration = Duration::from_secs(8);
const SMALL: Duration = Duration::from_secs(2);

/// Counts of 100 prompts, of which 10 are large and 20 in the middle.
fn groups_with(taken: [usize; 3]) -> SizeGroups {
    let mut groups = SizeGroups::default();
    let sizes = [(LARGE, 10), (MIDDLE, 20), (SMALL, 70)];
    for ((prefill, arrived), taken) in sizes.into_iter().zip(taken) {
        for _ in 0..arrived {
            groups.record_arrival(Time::ZERO, prefill);
        }
        for _ in 0..taken {
            groups.record_start(Time::ZERO, prefill);
        }
    }
    groups.refresh(Time::ZERO);
    groups
}

#[test]
fn prompts_belong_to_the_largest_tenth_the_fifth_beneath_or_the_rest() {
    let groups = groups_with([10, 20, 70]);

    assert_eq!(groups.priority(LARGE).group, SizeGroup::LargestTenth);
    assert_eq!(groups.priority(MIDDLE).group, SizeGroup::FifthBeneath);
    assert_eq!(groups.priority(SMALL).group, SizeGroup::Smaller);
    let larger = groups.priority(2 * LARGE).group;
    assert_eq!(larger, SizeGroup::LargestTenth, "a size not seen before");
}

#[test]
fn group_that_is_behind_is_ordered_by_a_shorter_prefill() {
    let groups = groups_with([3, 12, 70]);

    assert!(groups.priority(LARGE).prefill_factor() < 0.01);
    assert!(groups.priority(LARGE).keeps_place());
    let middle = groups.priority(MIDDLE).prefill_factor();
    assert!((0.01..0.9).contains(&middle), "{middle}");
    assert!(!groups.priority(MIDDLE).keeps_place());
    assert!((groups.priority(SMALL).prefill_factor() - 1.0).abs() < 1e-9);
}

#[test]
fn without_counts_no_group_is_behind() {
    let mut groups = SizeGroups::default();
    groups.refresh(Time::ZERO);

    let priority = groups.priority(LARGE);

    assert!((priority.prefill_factor() - 1.0).abs() < 1e-9);
    assert!(!priority.keeps_place());
}

#[test]
fn prefill_that_is_lost_counts_as_not_taken() {
    let mut groups = groups_with([10, 20, 70]);
    let before = groups.relative_share(SizeGroup::LargestTenth);

    for _ in 0..5 {
        groups.record_lost_start(Time::ZERO, LARGE);
    }
    groups.refresh(Time::ZERO);

    let after = groups.relative_share(SizeGroup::LargestTenth);
    assert!(after < before * 0.65, "{before} to {after}");
}

#[test]
fn counts_of_a_box_that_is_gone_decay() {
    let mut groups = SizeGroups::default();
    let lost = groups_with([0, 20, 70]).own_counts(Time::ZERO);
    groups.record_box(Time::ZERO, "gone", &lost);
    groups.refresh(Time::ZERO);
    assert!(groups.priority(LARGE).keeps_place());

    let later = Time::from_millis(600_000);
    groups.refresh(later);

    assert!(!groups.priority(LARGE).keeps_place());
}

#[test]
fn counts_of_a_hall_are_the_sum_of_its_boxes() {
    let mut hall = groups_with([3, 20, 70]);
    let other = groups_with([2, 20, 70]).own_counts(Time::ZERO);
    hall.record_box(Time::ZERO, "b", &other);
    let mut far = SizeGroups::default();

    far.record_hall(Time::ZERO, "hall", &hall.hall_counts(Time::ZERO));
    far.refresh(Time::ZERO);
    hall.refresh(Time::from_millis(30));

    for group in SizeGroup::ALL {
        let difference = far.relative_share(group) - hall.relative_share(group);
        assert!(difference.abs() < 0.01, "{group:?}: {difference}");
    }
}

#[test]
fn group_that_falls_behind_is_reported_once_until_it_catches_up() {
    let mut groups = groups_with([3, 20, 70]);
    let later = Time::from_millis(100);

    let first = groups.take_changes(Time::ZERO);
    let again = groups.take_changes(Time::ZERO);
    for _ in 0..7 {
        groups.record_start(later, LARGE);
    }
    let caught_up = groups.take_changes(later);

    let reported = |changes: Vec<SizeGroupChange>| -> Vec<(SizeGroup, bool)> {
        let report = |change: SizeGroupChange| (change.group, change.is_behind);
        changes.into_iter().map(report).collect()
    };
    assert_eq!(reported(first), [(SizeGroup::LargestTenth, true)]);
    assert_eq!(reported(again), []);
    assert_eq!(reported(caught_up), [(SizeGroup::LargestTenth, false)]);
}

/// A group served as often as all is not put before others; one under half of that goes first.
#[test]
fn order_follows_the_share_of_a_group_whatever_was_taken() {
    for large in 0..=10_u8 {
        for (middle, small) in (0..=20_u8).flat_map(|m| (0..=70_u8).map(move |s| (m, s))) {
            let taken = [large, middle, small];
            let all = taken.iter().copied().map(f64::from).sum::<f64>() / 100.0;

            let groups = groups_with(taken.map(usize::from));

            let factor = groups.priority(LARGE).prefill_factor();
            match f64::from(large) / 10.0 / all {
                ratio if ratio >= 1.0 => assert!(factor > 0.9, "{taken:?}: {factor}"),
                ratio if ratio < 0.5 => assert!(factor < 0.01, "{taken:?}: {factor}"),
                _ => {}
            }
        }
    }
}
