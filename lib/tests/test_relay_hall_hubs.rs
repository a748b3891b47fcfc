//! Gossip through hubs, in halls of fleets of 985 and 2,000 boxes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use badgerferry_lib::relay::hall_hubs::HallBox;
use badgerferry_lib::relay::hall_hubs::HallHubs;
use badgerferry_lib::relay::hall_hubs::HallRole;
use badgerferry_lib::time::Time;
use badgerferry_testutils::gossip_model;
use badgerferry_testutils::gossip_model::GossipCounts;
use badgerferry_testutils::gossip_model::GossipPlan;
use badgerferry_testutils::gossip_model::Loss;
use badgerferry_testutils::gossip_model::Way;

fn hall_box(number: u16) -> HallBox {
    HallBox {
        name: format!("edge-bursa-hall-{number:03}"),
        load: SocketAddr::from((Ipv4Addr::LOCALHOST, number + 1)),
    }
}

/// Boxes of the largest hall of a fleet of 985 and of one of 2,000.
const HALLS: [usize; 2] = [217, 440];

fn plan(boxes: usize) -> GossipPlan {
    GossipPlan {
        boxes,
        way: Way::Hubs,
        calls_per_s: 0.155 * boxes as f64,
        loss: Loss::Random(0.0),
        cold_start: false,
        failing: 0,
        lasts: Duration::from_secs(6),
    }
}

fn play(plan: &GossipPlan) -> GossipCounts {
    gossip_model::run(plan, 1)
}

#[test]
fn messages_of_an_idle_box_do_not_grow_with_the_hall() {
    let idle = |boxes| {
        play(&GossipPlan {
            calls_per_s: 0.0,
            ..plan(boxes)
        })
    };

    let received = HALLS.map(|boxes| idle(boxes).received.0);

    assert!(received.iter().all(|rate| *rate < 20.0), "{received:?}");
}

#[test]
fn load_reaches_the_hall_within_a_tenth_of_a_second() {
    for boxes in HALLS {
        let counts = play(&plan(boxes));

        let [p50, p99, _] = counts.age_ms;
        assert!(p50 <= 50.0 && p99 <= 100.0, "{boxes} boxes: {counts:?}");
    }
}

#[test]
fn no_live_box_is_held_for_dead_because_of_one_lost_datagram() {
    for boxes in HALLS {
        for loss in [Loss::LoadDatagrams(5), Loss::HubFrames(9)] {
            let counts = play(&GossipPlan {
                loss,
                ..plan(boxes)
            });

            assert!(
                counts.false_silence <= 0.0,
                "{boxes} boxes, {loss:?}: {counts:?}"
            );
        }
    }
}

#[test]
fn boxes_find_other_hubs_when_most_of_them_fail() {
    for boxes in HALLS {
        let counts = play(&GossipPlan {
            failing: 12,
            lasts: Duration::from_secs(10),
            ..plan(boxes)
        });

        // The time after which a box that hears no peer follows the store itself.
        let limit = Duration::from_millis(1_500);
        assert!(counts.longest_blind < limit, "{boxes} boxes: {counts:?}");
    }
}

#[test]
fn boxes_that_start_together_find_their_hubs() {
    for boxes in HALLS {
        let counts = play(&GossipPlan {
            cold_start: true,
            lasts: Duration::from_secs(9),
            ..plan(boxes)
        });

        let limit = Duration::from_secs(8);
        assert!(counts.joined < limit, "{boxes} boxes: {counts:?}");
        // The time for which a box that has just started waits for a peer that follows the store.
        let limit = Duration::from_secs(3);
        assert!(counts.longest_blind < limit, "{boxes} boxes: {counts:?}");
    }
}

#[test]
fn small_halls_gossip_in_a_mesh() {
    let mut hubs = HallHubs::new("edge-bursa-hall-050");

    let roles = [2, 101, 102].map(|boxes| {
        hubs.set_boxes((0..boxes).map(hall_box).collect());
        hubs.role(Time::ZERO, |_| true)
    });

    assert_eq!(roles[..2], [HallRole::Mesh, HallRole::Mesh]);
    assert!(matches!(roles[2], HallRole::Member(_)), "{:?}", roles[2]);
}
