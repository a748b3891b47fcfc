//! Liveness of other boxes, and which of them have newer state.

use std::time::Duration;

use badgerferry_lib::relay::peer_liveness::PeerLiveness;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;

const fn state(version: u64, revision: u64) -> KnownState {
    state_in_era(0, version, revision)
}

const fn state_in_era(era: u64, version: u64, revision: u64) -> KnownState {
    KnownState {
        routes: Some(version),
        servers: StorePosition { era, revision },
    }
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn live_boxes_with_newer_state_are_ahead() {
    let mut peers = PeerLiveness::default();
    peers.record(at(0), "routes", state(5, 1));
    peers.record(at(100), "servers", state(4, 9));
    peers.record(at(100), "equal", state(4, 1));

    let mut ahead = peers.ahead_of(at(200), state(4, 1));
    ahead.sort_unstable();

    assert_eq!(ahead, ["routes", "servers"]);
    assert_eq!(peers.ahead_of(at(1_250), state(4, 1)), ["servers"]);
    assert!(peers.ahead_of(at(200), state(5, 9)).is_empty());
}

#[test]
fn silent_box_is_not_live() {
    let mut peers = PeerLiveness::default();
    peers.record(at(1_000), "a", state(1, 1));

    assert!(peers.is_live(at(2_100), "a"));
    assert!(!peers.is_live(at(2_200), "a"));
    assert_eq!(peers.silent_for(at(3_000), "a"), Duration::from_secs(2));
    assert_eq!(peers.silent_for(at(3_000), "b"), Duration::from_secs(3));
}

#[test]
fn older_era_is_never_ahead() {
    let mut peers = PeerLiveness::default();
    peers.record(at(0), "older", state_in_era(1, 5, 90));
    peers.record(at(0), "newer", state_in_era(2, 5, 4));

    assert!(peers.ahead_of(at(100), state_in_era(2, 5, 4)).is_empty());
    assert_eq!(peers.ahead_of(at(100), state_in_era(1, 5, 90)), ["newer"]);
}

#[test]
fn box_without_a_route_table_is_behind_any_box_with_one() {
    let mut peers = PeerLiveness::default();
    peers.record(at(0), "first", state(0, 1));
    let without_routes = KnownState {
        routes: None,
        ..state(0, 1)
    };

    assert_eq!(peers.ahead_of(at(100), without_routes), ["first"]);
}
