//! Tests of the judgement whether a box's own path to servers is cut, and of the choice of carriers.

use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::carriers::CarrierQuery;
use badgerferry_lib::relay::carriers::PeerPaths;
use badgerferry_lib::relay::carriers::carriers;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_paths::ConnectResult;
use badgerferry_lib::relay::server_paths::ConnectResult::Connected;
use badgerferry_lib::relay::server_paths::ConnectResult::Failed;
use badgerferry_lib::relay::server_paths::PathChange;
use badgerferry_lib::relay::server_paths::PathTarget;
use badgerferry_lib::relay::server_paths::PeerConnectResult;
use badgerferry_lib::relay::server_paths::ServerPath;
use badgerferry_lib::relay::server_paths::ServerPaths;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Paths of a box in `hall-a`, with the halls of the servers of each service.
struct World {
    paths: ServerPaths,
    halls: Vec<HallName>,
    now: Time,
}

impl World {
    fn new(halls: &[&str]) -> Self {
        Self {
            paths: ServerPaths::new(HallName::new("hall-a")),
            halls: halls.iter().copied().map(HallName::new).collect(),
            now: Time::from_millis(10_000),
        }
    }

    fn after(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(millis);
        self
    }

    /// Records an attempt to connect to the server with this index.
    fn direct(&mut self, service: &str, index: usize, result: ConnectResult) -> Option<PathChange> {
        let (service, hall) = (ServiceName::new(service), self.halls[index].clone());
        let target = target(&service, index, &hall);
        let halls = self.halls.clone();
        (self.paths).record_direct(self.now, target, halls.iter(), result)
    }

    /// Records an attempt of a peer.
    fn at_peer(&mut self, index: usize, result: PeerConnectResult) -> Option<PathChange> {
        let (service, hall) = (ServiceName::new("boards"), self.halls[index].clone());
        let target = target(&service, index, &hall);
        let halls = self.halls.clone();
        (self.paths).record_at_peer(self.now, target, halls.iter(), result)
    }

    /// Makes the path to `boards` known to be cut: two servers fail, and a peer connects to one.
    fn cut(&mut self) {
        self.direct("boards", 0, Failed);
        self.direct("boards", 1, Failed);
        self.at_peer(1, PeerConnectResult::Connected);
        assert_eq!(self.path("boards"), ServerPath::ThroughPeers);
    }

    fn path(&self, service: &str) -> ServerPath {
        self.paths.path(&ServiceName::new(service))
    }
}

fn target<'a>(service: &'a ServiceName, index: usize, hall: &'a HallName) -> PathTarget<'a> {
    PathTarget {
        service,
        server: EngineKey::of(&ServerName::new(format!("i-{index}"))),
        hall,
    }
}

const OWN_HALL: [&str; 4] = ["hall-a"; 4];

#[test]
fn own_path_is_cut_if_a_peer_connects_where_this_box_fails() {
    let mut world = World::new(&OWN_HALL);
    assert_eq!(world.direct("boards", 0, Failed), None);
    let suspected = world.after(200).direct("boards", 1, Failed);
    let suspected = suspected.expect("path changed");
    assert_eq!(suspected.path, ServerPath::Suspected);
    assert_eq!(suspected.failed, 2);
    assert_eq!(suspected.oldest_failure, Duration::from_millis(200));
    assert_eq!(world.paths.cut_off().count(), 0);

    let cut = world.after(5).at_peer(1, PeerConnectResult::Connected);

    let cut = cut.expect("path changed");
    assert_eq!(cut.path, ServerPath::ThroughPeers);
    assert_eq!(cut.lost_for, Duration::from_millis(5));
    assert_eq!(world.paths.cut_off().count(), 1);
}

#[test]
fn servers_that_refuse_peers_as_well_are_down() {
    let mut world = World::new(&OWN_HALL);
    for index in 0..4 {
        world.direct("boards", index, Failed);
        world.at_peer(index, PeerConnectResult::Refused);
    }

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn one_connection_ends_a_suspicion() {
    let mut world = World::new(&OWN_HALL);
    world.direct("boards", 0, Failed);
    world.direct("boards", 1, Failed);

    world.direct("boards", 2, Connected);

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn failures_of_one_server_do_not_show_a_cut() {
    let mut world = World::new(&OWN_HALL);
    for _ in 0..10 {
        world.after(100).direct("boards", 0, Failed);
    }

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn a_connection_in_between_refutes_earlier_failures() {
    let mut world = World::new(&OWN_HALL);
    world.direct("boards", 0, Failed);
    world.direct("boards", 1, Connected);

    world.direct("boards", 2, Failed);

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn old_failures_do_not_count() {
    let mut world = World::new(&OWN_HALL);
    world.direct("boards", 0, Failed);

    world.after(3_000).direct("boards", 1, Failed);

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn failures_at_servers_of_another_hall_count_once() {
    let mut world = World::new(&["hall-a", "hall-b", "hall-b", "hall-b"]);
    for index in 1..4 {
        world.direct("boards", index, Failed);
    }
    assert_eq!(world.path("boards"), ServerPath::Direct);

    world.direct("boards", 0, Failed);

    assert_eq!(world.path("boards"), ServerPath::Suspected);
}

#[test]
fn peers_are_asked_at_once_about_the_only_server() {
    let mut world = World::new(&["hall-b"]);

    world.direct("boards", 0, Failed);

    assert_eq!(world.path("boards"), ServerPath::Suspected);
}

#[test]
fn a_cut_to_one_service_leaves_the_others_alone() {
    let mut world = World::new(&OWN_HALL);
    world.direct("engines", 1, Failed);
    world.cut();

    assert_eq!(world.path("engines"), ServerPath::Direct);
    assert_eq!(world.paths.cut_off().count(), 1);
}

#[test]
fn connections_to_two_servers_restore_the_path() {
    let mut world = World::new(&OWN_HALL);
    world.cut();
    world.after(500).direct("boards", 2, Connected);
    world.direct("boards", 3, Failed);
    world.direct("boards", 2, Connected);
    assert_eq!(world.path("boards"), ServerPath::ThroughPeers);

    let change = world.direct("boards", 0, Connected);

    let change = change.expect("path changed");
    assert_eq!(change.path, ServerPath::Direct);
    assert_eq!(change.lost_for, Duration::from_millis(500));
    assert!(!world.paths.is_doubtful(&ServiceName::new("boards")));
}

#[test]
fn peers_are_probed_only_while_they_may_be_unable_to_connect() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");
    world.cut();
    assert!(!world.paths.should_probe_peers(&service));

    world.at_peer(2, PeerConnectResult::Unknown);

    assert!(world.paths.should_probe_peers(&service));
}

/// Guards against a path given up because a few servers that are down were the ones probed.
#[test]
fn probe_that_may_give_a_path_up_takes_a_large_sample() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");
    world.direct("boards", 0, Failed);
    world.direct("boards", 1, Failed);
    // Samples among which one shows no server that is up, if half of them are down.
    let samples = |servers: usize| 1_u64 << servers.min(63);

    let size = world.paths.probe_size(&service);

    assert!(samples(size.direct) > 10_000, "{size:?}");
    assert!(samples(size.through_peers) > 10_000, "{size:?}");
}

#[test]
fn no_path_is_left_after_a_failed_probe_until_a_peer_connects() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");
    world.cut();
    world.paths.record_failed_probe(world.now, &service);
    assert_eq!(world.path("boards"), ServerPath::Unavailable);

    world.at_peer(3, PeerConnectResult::Connected);

    assert_eq!(world.path("boards"), ServerPath::ThroughPeers);
}

#[test]
fn failed_probe_of_a_path_that_is_restored_meanwhile_does_not_count() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");

    world.paths.record_failed_probe(world.now, &service);

    assert_eq!(world.path("boards"), ServerPath::Direct);
}

#[test]
fn silent_calls_have_the_path_checked_once_a_second() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");
    let mut check = |millis| {
        let now = world.now + Duration::from_millis(millis);
        world.paths.should_check(now, &service)
    };

    assert_eq!([0, 999, 1_000].map(&mut check), [true, false, true]);
}

#[test]
fn retry_delay_follows_how_long_no_path_is_left_within_bounds() {
    let mut world = World::new(&OWN_HALL);
    let service = ServiceName::new("boards");
    world.direct("boards", 0, Failed);
    world.direct("boards", 1, Failed);
    world.paths.record_failed_probe(world.now, &service);
    let begun_at = world.now;
    let delay_after = |millis| {
        let now = begun_at + Duration::from_millis(millis);
        world.paths.retry_delay(now, &service).as_millis()
    };

    assert_eq!(world.path("boards"), ServerPath::Unavailable);
    assert_eq!(
        [0, 700, 60_000].map(delay_after),
        [250, 700, 2_000],
        "milliseconds after 0, 0.7 and 60 s"
    );
}

fn boxes(halls: &[(&str, &str)]) -> Boxes {
    let entry = |(name, hall): &(&str, &str)| BoxAddresses {
        name: (*name).to_owned(),
        hall: (*hall).to_owned(),
        pull: String::new(),
        load: String::new(),
        processor: 0,
    };
    halls
        .iter()
        .map(|of| (of.0.to_owned(), entry(of)))
        .collect()
}

fn chosen(boxes: &Boxes, server_hall: &str, dead: &[&str], cut_off: &[&str]) -> Vec<String> {
    let query = CarrierQuery {
        own: "a-0",
        own_hall: &HallName::new("hall-a"),
        server_hall: &HallName::new(server_hall),
    };
    let is_live = |name: &str| !dead.contains(&name);
    let reaches = |name: &str| !cut_off.contains(&name);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let chosen = carriers(boxes, query, is_live, reaches, &mut rng);
    chosen.into_iter().map(|peer| peer.name.clone()).collect()
}

#[test]
fn carriers_are_two_of_the_own_hall_and_one_of_the_hall_of_the_server() {
    let known = [
        ("a-0", "hall-a"),
        ("a-1", "hall-a"),
        ("a-2", "hall-a"),
        ("a-3", "hall-a"),
        ("b-0", "hall-b"),
        ("c-0", "hall-c"),
    ];

    let chosen = chosen(&boxes(&known), "hall-c", &[], &["a-2"]);

    assert_eq!(chosen.len(), 3);
    assert!(
        chosen[..2]
            .iter()
            .all(|name| ["a-1", "a-3"].contains(&name.as_str()))
    );
    assert_eq!(chosen[2], "c-0");
}

#[test]
fn hall_whose_boxes_are_all_cut_off_is_carried_by_others() {
    let known = [
        ("a-0", "hall-a"),
        ("a-1", "hall-a"),
        ("b-0", "hall-b"),
        ("c-0", "hall-c"),
    ];

    // Boxes of other halls are not heard in a large fleet, and are asked after those that are.
    let chosen = chosen(&boxes(&known), "hall-a", &["b-0"], &["a-1"]);

    assert_eq!(chosen, ["c-0", "b-0"]);
}

#[test]
fn silent_boxes_of_the_own_hall_are_not_asked() {
    let known = [("a-0", "hall-a"), ("a-1", "hall-a"), ("b-0", "hall-b")];

    let chosen = chosen(&boxes(&known), "hall-a", &["a-1", "b-0"], &[]);

    assert_eq!(chosen, ["b-0"]);
}

#[test]
fn announced_cuts_end_with_a_datagram_without_them() {
    let (boards, engines) = (
        ServiceKey::of(&ServiceName::new("boards")),
        ServiceKey::of(&ServiceName::new("engines")),
    );
    let mut peers = PeerPaths::default();
    peers.record("box-1", &[boards]);
    assert!(!peers.reaches("box-1", boards));
    assert!(peers.reaches("box-1", engines));

    peers.record("box-1", &[]);

    assert!(peers.reaches("box-1", boards));
}
