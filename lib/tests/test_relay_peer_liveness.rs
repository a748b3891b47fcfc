//! Which boxes are heard, and who is ahead.

use std::time::Duration;

use badgerferry_lib::relay::peer_liveness::PeerLiveness;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;

const fn have(version: u64, revision: u64) -> KnownState {
    in_era(0, version, revision)
}

const fn in_era(era: u64, version: u64, revision: u64) -> KnownState {
    KnownState {
        routes: Some(version),
        servers: StorePosition { era, revision },
    }
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn boxes_that_said_they_have_newer_state_are_ahead_while_they_live() {
    let mut heard = PeerLiveness::default();
    heard.record(at(0), "routes", have(5, 1));
    heard.record(at(100), "servers", have(4, 9));
    heard.record(at(100), "level", have(4, 1));

    let mut ahead = heard.ahead_of(at(200), have(4, 1));
    ahead.sort_unstable();

    assert_eq!(ahead, ["routes", "servers"]);
    assert_eq!(heard.ahead_of(at(1_250), have(4, 1)), ["servers"]);
    assert!(heard.ahead_of(at(200), have(5, 9)).is_empty());
}

#[test]
fn a_box_that_is_silent_lives_no_more() {
    let mut heard = PeerLiveness::default();
    heard.record(at(1_000), "a", have(1, 1));

    assert!(heard.is_live(at(2_100), "a"));
    assert!(!heard.is_live(at(2_200), "a"));
    assert_eq!(heard.silent_for(at(3_000), "a"), Duration::from_secs(2));
    assert_eq!(heard.silent_for(at(3_000), "b"), Duration::from_secs(3));
}

#[test]
fn a_box_of_an_older_era_is_ahead_of_none_whatever_its_revision() {
    let mut heard = PeerLiveness::default();
    heard.record(at(0), "older", in_era(1, 5, 90));
    heard.record(at(0), "newer", in_era(2, 5, 4));

    assert!(heard.ahead_of(at(100), in_era(2, 5, 4)).is_empty());
    assert_eq!(heard.ahead_of(at(100), in_era(1, 5, 90)), ["newer"]);
}

#[test]
fn a_box_without_routes_lacks_any() {
    let mut heard = PeerLiveness::default();
    heard.record(at(0), "first", have(0, 1));
    let none = KnownState {
        routes: None,
        ..have(0, 1)
    };

    assert_eq!(heard.ahead_of(at(100), none), ["first"]);
}
