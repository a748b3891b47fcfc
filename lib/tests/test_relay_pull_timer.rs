//! When a box pulls what its peers announce.

use std::time::Duration;

use badgerferry_lib::relay::pull_timer::Missing;
use badgerferry_lib::relay::pull_timer::Path;
use badgerferry_lib::relay::pull_timer::PullTimer;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;

const STATE: Missing = Missing {
    state: true,
    unconfirmed: false,
    boxes: false,
};
const DELAY: Option<Duration> = Some(Duration::from_millis(250));

const OWN: KnownState = KnownState {
    routes: Some(3),
    servers: StorePosition {
        era: 0,
        revision: 7,
    },
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against a box cut off from the store that never pulled: datagrams of peers that were not
/// ahead, and those of other halls that were forwarded, restarted the delay.
#[test]
fn datagrams_of_peers_that_are_not_ahead_do_not_restart_the_delay() {
    let mut timer = PullTimer::default();
    let mut due_at = None;

    for millis in (0..1_000).step_by(50) {
        timer.is_due(at(millis), OWN, "behind", None);
        if timer.is_due(at(millis + 10), OWN, "ahead", DELAY) {
            due_at.get_or_insert(millis);
        }
    }

    assert_eq!(due_at, Some(250));
}

#[test]
fn peer_that_is_no_longer_ahead_restarts_its_delay() {
    let mut timer = PullTimer::default();
    timer.is_due(at(0), OWN, "a", DELAY);
    timer.is_due(at(100), OWN, "a", None);

    assert!(!timer.is_due(at(300), OWN, "a", DELAY));
    assert!(timer.is_due(at(550), OWN, "a", DELAY));
}

/// In a series of changes, peers learn some of them a moment earlier.
#[test]
fn box_whose_own_state_changes_does_not_pull() {
    let mut timer = PullTimer::default();
    let changed = KnownState {
        routes: Some(4),
        ..OWN
    };
    timer.is_due(at(0), OWN, "a", DELAY);

    assert!(!timer.is_due(at(300), changed, "a", DELAY));
    assert!(timer.is_due(at(550), changed, "a", DELAY));
}

#[test]
fn pull_restarts_all_delays() {
    let mut timer = PullTimer::default();
    timer.is_due(at(0), OWN, "a", DELAY);
    timer.pull_started();

    assert!(!timer.is_due(at(300), OWN, "a", DELAY));
}

/// Guards against a peer that hangs and holds unconfirmed evacuations: each of its datagrams would
/// start a pull, and the other peers would never be asked.
#[test]
fn peer_whose_pull_failed_is_skipped_for_a_while() {
    let mut timer = PullTimer::default();
    timer.pull_failed(at(700), "hanging");

    let due = [750, 1_650, 1_750].map(|millis| {
        ["hanging", "other"].map(|peer| timer.is_due(at(millis), OWN, peer, Some(Duration::ZERO)))
    });

    assert_eq!(due, [[false, true], [false, true], [true, true]]);
}

#[test]
fn box_that_follows_the_store_waits_for_its_own_watch() {
    assert_eq!(
        STATE.pull_delay(Path::Direct, false, 1.0),
        Some(Duration::ZERO)
    );
    assert_eq!(STATE.pull_delay(Path::Direct, true, 1.0), DELAY);
    assert_eq!(
        Missing::default().pull_delay(Path::Direct, false, 1.0),
        None
    );
}

/// The box that forwards a datagram may be unable to pull from the other hall.
#[test]
fn forwarded_datagram_causes_a_pull_after_the_forwarding_box_had_time() {
    let direct = STATE.pull_delay(Path::Direct, true, 1.0);
    let forwarded = [0.0, 0.5, 0.99].map(|spread| STATE.pull_delay(Path::OtherHall, false, spread));

    assert!(forwarded[0] > direct);
    assert!(forwarded.is_sorted_by(|a, b| a < b), "{forwarded:?}");
    assert!(forwarded[2] < Some(Duration::from_secs(2)));
}

#[test]
fn unconfirmed_evacuations_are_pulled_at_once() {
    let missing = Missing {
        unconfirmed: true,
        ..Missing::default()
    };

    assert_eq!(
        missing.pull_delay(Path::Direct, true, 1.0),
        Some(Duration::ZERO)
    );
    assert_eq!(
        missing.pull_delay(Path::OtherHall, true, 1.0),
        STATE.pull_delay(Path::OtherHall, true, 1.0)
    );
}
