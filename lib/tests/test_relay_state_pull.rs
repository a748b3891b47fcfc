//! Sources from which a box pulls its first state.

use std::net::SocketAddr;

use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::bootstrap_sources;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 15], port))
}

fn entry(name: &str, port: u16) -> (String, BoxAddresses) {
    let info = BoxAddresses {
        name: name.to_owned(),
        hall: "hall-a".to_owned(),
        pull: address(port).to_string(),
        load: "10.1.0.15:1".to_owned(),
        processor: 0,
    };
    (name.to_owned(), info)
}

/// Guards against a wasted pull: a newly started box could draw its own address as the source.
#[test]
fn own_address_is_not_a_bootstrap_source() {
    let boxes = Boxes::from([entry("own", 1), entry("other", 2)]);

    let sources = bootstrap_sources(address(1), &[address(1), address(3)], &boxes);

    assert_eq!(sources, [address(2), address(3)]);
}

#[test]
fn seed_that_is_also_a_known_box_is_listed_once() {
    let boxes = Boxes::from([entry("own", 1), entry("seed", 3)]);

    let sources = bootstrap_sources(address(1), &[address(3)], &boxes);

    assert_eq!(sources, [address(3)]);
}
