//! Which boxes tell each other of their work.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::gossip_topology::DelegateRole;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::state_pull::BoxAddresses;

fn of_hall(hall: &str, at: usize, processor: u16) -> BoxAddresses {
    BoxAddresses {
        name: format!("edge-{hall}-{at:02}"),
        hall: hall.to_owned(),
        pull: "127.0.0.1:1".to_owned(),
        load: "127.0.0.1:2".to_owned(),
        processor,
    }
}

/// So many boxes in each hall; the last one of a hall has most processor time.
fn fleet(halls: &[&str], per_hall: usize) -> Boxes {
    let mut boxes = Boxes::new();
    for hall in halls {
        for at in 0..per_hall {
            let processor = if at + 1 == per_hall { 500 } else { 120 };
            let of = of_hall(hall, at, processor);
            boxes.insert(of.name.clone(), of);
        }
    }
    boxes
}

fn hall(name: &str) -> HallName {
    HallName::new(name)
}

#[test]
fn few_boxes_tell_all_and_many_tell_their_hall() {
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
fn many_boxes_of_one_hall_tell_all_since_there_is_no_smaller_cell() {
    assert_eq!(GossipScope::of(&fleet(&["a"], 350)), GossipScope::Fleet);
}

#[test]
fn a_box_that_keeps_to_its_hall_tells_no_other() {
    let own = hall("a");

    assert!(GossipScope::Hall.includes(&own, "a"));
    assert!(!GossipScope::Hall.includes(&own, "b"));
    assert!(GossipScope::Fleet.includes(&own, "b"));
}

#[test]
fn boxes_with_most_processor_time_rank_first_then_by_name() {
    let boxes = fleet(&["a", "b"], 3);

    let names: Vec<&str> = gossip_topology::ranked_boxes(&boxes, "a")
        .iter()
        .map(|of| of.name.as_str())
        .collect();

    assert_eq!(names, ["edge-a-02", "edge-a-00", "edge-a-01"]);
}

#[test]
fn a_box_knows_its_rank_before_its_own_entry_is_known() {
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
fn two_that_live_speak_for_a_hall_whoever_dies() {
    let boxes = fleet(&["a", "b"], 5);
    let speakers = |dead: &[&str]| -> Vec<(String, DelegateRole)> {
        let lives = |name: &str| !dead.contains(&name);
        let names = boxes.keys().filter(|name| lives(name));
        let speaks = |name: &String| {
            let speaker = gossip_topology::delegate_role(&boxes, name, &hall("a"), lives)?;
            Some((name.clone(), speaker))
        };
        names.filter_map(speaks).collect()
    };
    let first = |name: &str| (name.to_owned(), DelegateRole::Primary);
    let second = |name: &str| (name.to_owned(), DelegateRole::Backup);

    assert_eq!(speakers(&[]), [second("edge-a-00"), first("edge-a-04")]);
    assert_eq!(
        speakers(&["edge-a-04"]),
        [first("edge-a-00"), second("edge-a-01")]
    );
    assert_eq!(
        speakers(&["edge-a-04", "edge-a-00", "edge-a-01", "edge-a-02"]),
        [first("edge-a-03")]
    );
}

#[test]
fn a_box_that_hears_nobody_speaks_for_its_hall() {
    let boxes = fleet(&["a", "b"], 5);

    let speaker = gossip_topology::delegate_role(&boxes, "edge-a-03", &hall("a"), |_| false);

    assert_eq!(speaker, Some(DelegateRole::Primary));
}

#[test]
fn each_other_hall_has_one_receiver_a_turn_and_another_one_next_time() {
    let boxes = fleet(&["a", "b", "c"], 5);

    let turns: Vec<Vec<&str>> = (0..4)
        .map(|turn| {
            let receivers = gossip_topology::gossip_targets(&boxes, &hall("a"), turn);
            receivers.iter().map(|of| of.name.as_str()).collect()
        })
        .collect();

    assert_eq!(turns[0], ["edge-b-04", "edge-c-04"]);
    let of_b: BTreeSet<&str> = turns.iter().map(|turn| turn[0]).collect();
    assert_eq!(of_b.len(), 4, "dead boxes are passed over in time");
}

#[test]
fn the_first_box_that_lives_removes_those_of_its_hall_that_are_silent_long() {
    let boxes = fleet(&["a", "b"], 4);
    let silent_for = |name: &str| match name {
        "edge-a-03" | "edge-b-01" => Duration::from_hours(1),
        "edge-a-01" => Duration::from_mins(1),
        _ => Duration::ZERO,
    };
    let removes = |own: &str| gossip_topology::expired_boxes(&boxes, &boxes[own], silent_for);

    assert_eq!(removes("edge-a-00"), ["edge-a-03"], "the first one is dead");
    assert!(removes("edge-a-02").is_empty(), "the first one does it");
}

#[test]
fn a_box_that_hears_nobody_removes_nobody() {
    let boxes = fleet(&["a"], 4);

    let removed =
        gossip_topology::expired_boxes(&boxes, &boxes["edge-a-03"], |_| Duration::from_hours(1));

    assert!(removed.is_empty());
}
