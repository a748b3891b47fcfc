//! Which boxes gossip with each other, and which act for their hall.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::DelegateRole;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::state_pull::BoxAddresses;

fn box_in_hall(hall: &str, number: usize, processor: u16) -> BoxAddresses {
    BoxAddresses {
        name: format!("edge-{hall}-{number:02}"),
        hall: hall.to_owned(),
        pull: "127.0.0.1:1".to_owned(),
        load: "127.0.0.1:2".to_owned(),
        processor,
    }
}

/// A fleet with `per_hall` boxes in each hall; the last box of a hall has the most processor time.
fn fleet(halls: &[&str], per_hall: usize) -> Boxes {
    let mut boxes = Boxes::new();
    for hall in halls {
        for number in 0..per_hall {
            let processor = if number + 1 == per_hall { 500 } else { 120 };
            let info = box_in_hall(hall, number, processor);
            boxes.insert(info.name.clone(), info);
        }
    }
    boxes
}

fn hall(name: &str) -> HallName {
    HallName::new(name)
}

#[test]
fn small_fleets_gossip_fleet_wide_and_large_ones_per_hall() {
    let scopes =
        [1, 2, 7, 8, 70].map(|per_hall| GossipScope::of(&fleet(&["a", "b", "c"], per_hall)));

    assert_eq!(
        scopes,
        [
            GossipScope::Fleet,
            GossipScope::Fleet,
            GossipScope::Fleet,
            GossipScope::Hall,
            GossipScope::Hall
        ]
    );
}

#[test]
fn large_fleet_of_one_hall_gossips_fleet_wide() {
    assert_eq!(GossipScope::of(&fleet(&["a"], 350)), GossipScope::Fleet);
}

#[test]
fn hall_scope_excludes_other_halls() {
    let own = hall("a");

    assert!(GossipScope::Hall.includes(&own, "a"));
    assert!(!GossipScope::Hall.includes(&own, "b"));
    assert!(GossipScope::Fleet.includes(&own, "b"));
}

#[test]
fn boxes_rank_by_processor_time_then_by_name() {
    let boxes = fleet(&["a", "b"], 3);

    let names: Vec<&str> = gossip_topology::ranked_boxes(&boxes, "a")
        .iter()
        .map(|info| info.name.as_str())
        .collect();

    assert_eq!(names, ["edge-a-02", "edge-a-00", "edge-a-01"]);
}

#[test]
fn rank_does_not_require_own_entry() {
    let mut boxes = fleet(&["a"], 3);
    boxes.remove("edge-a-00");

    assert_eq!(
        gossip_topology::rank_in_hall(&boxes, &hall("a"), 120, "edge-a-00"),
        1
    );
    assert_eq!(
        gossip_topology::rank_in_hall(&boxes, &hall("a"), 500, "edge-a-02"),
        0
    );
}

#[test]
fn two_highest_ranked_live_boxes_are_delegates() {
    let boxes = fleet(&["a", "b"], 5);
    let delegates = |dead: &[&str]| -> Vec<(String, DelegateRole)> {
        let is_live = |name: &str| !dead.contains(&name);
        let names = boxes.keys().filter(|name| is_live(name));
        let role_of = |name: &String| {
            let role = gossip_topology::delegate_role(&boxes, name, &hall("a"), is_live)?;
            Some((name.clone(), role))
        };
        names.filter_map(role_of).collect()
    };
    let primary = |name: &str| (name.to_owned(), DelegateRole::Primary);
    let backup = |name: &str| (name.to_owned(), DelegateRole::Backup);

    assert_eq!(delegates(&[]), [backup("edge-a-00"), primary("edge-a-04")]);
    assert_eq!(
        delegates(&["edge-a-04"]),
        [primary("edge-a-00"), backup("edge-a-01")]
    );
    assert_eq!(
        delegates(&["edge-a-04", "edge-a-00", "edge-a-01", "edge-a-02"]),
        [primary("edge-a-03")]
    );
}

#[test]
fn isolated_box_is_primary_delegate() {
    let boxes = fleet(&["a", "b"], 5);

    let role = gossip_topology::delegate_role(&boxes, "edge-a-03", &hall("a"), |_| false);

    assert_eq!(role, Some(DelegateRole::Primary));
}

#[test]
fn gossip_targets_rotate_with_one_per_hall_each_turn() {
    let boxes = fleet(&["a", "b", "c"], 5);

    let turns: Vec<Vec<&str>> = (0..4)
        .map(|turn| {
            let targets = gossip_topology::gossip_targets(&boxes, &hall("a"), turn);
            targets.iter().map(|info| info.name.as_str()).collect()
        })
        .collect();

    assert_eq!(turns[0], ["edge-b-04", "edge-c-04"]);
    let of_b: BTreeSet<&str> = turns.iter().map(|turn| turn[0]).collect();
    assert_eq!(
        of_b.len(),
        4,
        "each turn reaches another box, in case one is dead"
    );
}

#[test]
fn highest_ranked_live_box_removes_expired_boxes_of_its_hall() {
    let boxes = fleet(&["a", "b"], 4);
    let silent_for = |name: &str| match name {
        "edge-a-03" | "edge-b-01" => Duration::from_hours(1),
        "edge-a-01" => Duration::from_mins(1),
        _ => Duration::ZERO,
    };
    let expired_for = |own: &str| gossip_topology::expired_boxes(&boxes, &boxes[own], silent_for);

    assert_eq!(
        expired_for("edge-a-00"),
        ["edge-a-03"],
        "the highest-ranked box has expired itself"
    );
    assert!(
        expired_for("edge-a-02").is_empty(),
        "a higher-ranked live box removes it"
    );
}

#[test]
fn isolated_box_removes_no_boxes() {
    let boxes = fleet(&["a"], 4);

    let expired =
        gossip_topology::expired_boxes(&boxes, &boxes["edge-a-03"], |_| Duration::from_hours(1));

    assert!(expired.is_empty());
}

/// Number of boxes that call the store once its followers are turned away, if a box hears of one
/// that reaches it after `ANNOUNCEMENT`.
fn boxes_that_take_over(boxes: usize, reaches_store: impl Fn(usize) -> bool) -> usize {
    const ANNOUNCEMENT: Duration = Duration::from_millis(250);
    let starts_at = |rank| gossip_topology::takeover_timeout(rank, Duration::from_millis(1_500));
    let reaching = (0..boxes).filter(|rank| reaches_store(*rank));
    let heard_at = reaching.map(|rank| starts_at(rank) + ANNOUNCEMENT).min();
    let others = gossip_topology::FOLLOWERS_PER_HALL..boxes;
    others
        .filter(|rank| heard_at.is_none_or(|heard_at| starts_at(*rank) < heard_at))
        .count()
}

/// Guards against all boxes of a hall that call the store because its followers are turned away.
#[test]
fn few_boxes_take_over_from_followers_that_are_turned_away() {
    for boxes in [217, 440] {
        let turned_away = |from: usize| move |rank: usize| rank >= from;

        let taking_over = [2, 3, 6].map(|from| boxes_that_take_over(boxes, turned_away(from)));

        assert_eq!(taking_over, [1, 2, 5], "{boxes} boxes");
    }
}

#[test]
fn boxes_of_all_ranks_take_over_within_seven_seconds() {
    let silence = Duration::from_millis(1_500);

    let last = gossip_topology::takeover_timeout(10_000, silence);

    assert!(last < Duration::from_secs(7), "{last:?}");
}
