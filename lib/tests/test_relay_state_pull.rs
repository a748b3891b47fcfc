//! From whom a box takes its first state.

use std::net::SocketAddr;

use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::bootstrap_sources;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 15], port))
}

fn of(name: &str, port: u16) -> (String, BoxAddresses) {
    let of = BoxAddresses {
        name: name.to_owned(),
        hall: "hall-a".to_owned(),
        pull: address(port).to_string(),
        load: "10.1.0.15:1".to_owned(),
        processor: 0,
    };
    (name.to_owned(), of)
}

/// Found by a play: a box that had just started drew its own address, and lost that pull.
#[test]
fn a_box_never_asks_itself_for_its_first_state() {
    let boxes = Boxes::from([of("own", 1), of("other", 2)]);

    let sources = bootstrap_sources(address(1), &[address(1), address(3)], &boxes);

    assert_eq!(sources, [address(2), address(3)]);
}

#[test]
fn a_seed_that_is_known_is_asked_no_more_often_than_others() {
    let boxes = Boxes::from([of("own", 1), of("seed", 3)]);

    let sources = bootstrap_sources(address(1), &[address(3)], &boxes);

    assert_eq!(sources, [address(3)]);
}
