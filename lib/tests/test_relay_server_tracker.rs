//! What a box knows of each server, and which one takes a call.

use std::collections::BTreeMap;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_list::ServerEntry;
use badgerferry_lib::relay::server_tracker::ServerOutcome;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::server_entry::server;

/// Servers that say nothing of the calls they take.
const fn open(_life: ServerIncarnation) -> Availability {
    Availability::Open
}

fn tracker(names: &[&str]) -> ServerTracker {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(names.iter().map(|name| server(name)).collect());
    tracker
}

fn picks(tracker: &ServerTracker, now: Time, tried: &[ServerName]) -> BTreeMap<String, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let hall = HallName::new("hall-a");
        let usable = tracker.usable(now, &ServiceName::new("boards"), tried, open);
        let picked = ServerTracker::pick(now, usable, &hall, &mut rng);
        let name = picked.expect("there are servers").info.name.to_string();
        *counts.entry(name).or_default() += 1;
    }
    counts
}

#[test]
fn an_unreachable_server_rests_and_is_tried_again() {
    let mut tracker = tracker(&["a", "b"]);
    let a = ServerName::new("a");
    tracker.call_sent(Time::ZERO, &a);
    tracker.call_ended(Time::ZERO, &a, ServerOutcome::Unreachable);

    let at_once = picks(&tracker, Time::from_millis(10), &[]);

    assert_eq!(at_once.keys().collect::<Vec<_>>(), ["b"]);
    assert!(
        !tracker
            .get(&a)
            .expect("known")
            .is_excluded(Time::from_millis(5_000))
    );
}

fn server_in(name: &str, hall: &str) -> ServerEntry {
    ServerEntry {
        hall: HallName::new(hall),
        address: format!("{name}:1"),
        ..server(name)
    }
}

fn silent(tracker: &mut ServerTracker, name: &str, at: u64) {
    let name = ServerName::new(name);
    tracker.call_sent(Time::from_millis(at), &name);
    tracker.call_ended(Time::from_millis(at), &name, ServerOutcome::ConnectTimeout);
}

#[test]
fn a_hall_whose_servers_stay_silent_rests_as_a_whole_and_is_tried_by_one_call() {
    let names = ["b1", "b2", "b3", "b4"];
    let mut rows: Vec<ServerEntry> = names.iter().map(|name| server_in(name, "hall-b")).collect();
    rows.push(server_in("a1", "hall-a"));
    let mut tracker = ServerTracker::default();
    tracker.set_servers(rows);
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        silent(&mut tracker, name, at);
    }

    let cut = picks(&tracker, Time::from_millis(10), &[]);
    let later = Time::from_millis(1_100);
    let usable = tracker
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();
    tracker.call_sent(later, &ServerName::new("b4"));
    let while_tried = tracker
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();
    tracker.call_answered(later, &ServerName::new("b4"));
    let after = tracker
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();

    assert_eq!(cut.keys().collect::<Vec<_>>(), ["a1"]);
    assert_eq!((usable, while_tried, after), (2, 1, 2));
}

#[test]
fn silent_servers_among_answering_ones_do_not_make_their_hall_rest() {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(
        ["b1", "b2", "b3", "b4"]
            .map(|name| server_in(name, "hall-b"))
            .to_vec(),
    );
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        silent(&mut tracker, name, at);
        tracker.call_answered(Time::from_millis(at), &ServerName::new("b4"));
    }

    let usable = tracker.usable(
        Time::from_millis(10),
        &ServiceName::new("boards"),
        &[],
        open,
    );

    assert_eq!(usable.len(), 1);
}

fn book_of_two_halls() -> ServerTracker {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(vec![
        server_in("a1", "hall-a"),
        server_in("b1", "hall-b"),
        server_in("b2", "hall-b"),
    ]);
    tracker
}

fn usable_names(tracker: &ServerTracker, at: u64) -> Vec<String> {
    let usable = tracker.usable(
        Time::from_millis(at),
        &ServiceName::new("boards"),
        &[],
        open,
    );
    let mut names: Vec<String> = usable
        .iter()
        .map(|(row, _)| row.info.name.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn a_server_at_fault_rests_at_the_boxes_that_are_told_of_it() {
    let (here, there) = (HallName::new("hall-a"), HallName::new("hall-b"));
    let mut teller = book_of_two_halls();
    let mut told = book_of_two_halls();
    let address = teller
        .get(&ServerName::new("b1"))
        .expect("known")
        .info
        .address
        .clone();

    teller.record_fault(Time::ZERO, &address);
    let faults = teller.recent_faults(Time::from_millis(100));
    told.apply_faults(Time::from_millis(100), &here, &there, &faults);

    assert_eq!(usable_names(&told, 200), ["a1", "b2"]);
    assert_eq!(usable_names(&told, 3_200), ["a1", "b1", "b2"]);
    assert_eq!(teller.recent_faults(Time::from_millis(1_100)), []);
}

#[test]
fn another_halls_box_is_not_believed_about_servers_that_it_reaches_from_afar() {
    let (here, there) = (HallName::new("hall-a"), HallName::new("hall-b"));
    let mut tracker = book_of_two_halls();
    let far = tracker.get(&ServerName::new("a1")).expect("known").key;

    tracker.apply_faults(Time::ZERO, &here, &there, &[far]);
    let from_afar = usable_names(&tracker, 10);
    tracker.apply_faults(Time::ZERO, &here, &here, &[far]);

    assert_eq!(from_afar, ["a1", "b1", "b2"]);
    assert_eq!(usable_names(&tracker, 10), ["b1", "b2"]);
}

#[test]
fn a_server_that_is_named_again_after_its_rest_rests_longer() {
    let here = HallName::new("hall-a");
    let mut tracker = book_of_two_halls();
    let key = tracker.get(&ServerName::new("b1")).expect("known").key;

    tracker.apply_faults(Time::ZERO, &here, &here, &[key]);
    tracker.apply_faults(Time::from_millis(3_500), &here, &here, &[key]);

    assert_eq!(usable_names(&tracker, 9_000), ["a1", "b2"]);
    assert_eq!(usable_names(&tracker, 9_600), ["a1", "b1", "b2"]);
}

#[test]
fn where_all_servers_rest_all_are_used() {
    let mut tracker = tracker(&["a", "b"]);
    for name in ["a", "b"].map(ServerName::new) {
        tracker.call_sent(Time::ZERO, &name);
        tracker.call_ended(Time::ZERO, &name, ServerOutcome::Unreachable);
    }

    let picked = picks(&tracker, Time::from_millis(10), &[]);

    assert_eq!(picked.len(), 2);
}

#[test]
fn a_tried_server_is_used_again_only_where_there_is_no_other() {
    let tracker = tracker(&["a", "b"]);

    let one_tried = picks(&tracker, Time::ZERO, &[ServerName::new("a")]);
    let both_tried = picks(&tracker, Time::ZERO, &["a", "b"].map(ServerName::new));

    assert_eq!(one_tried.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(both_tried.len(), 2);
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut tracker = tracker(&["a", "b"]);
    let leaving = ServerEntry {
        leaving: true,
        ..server("a")
    };
    tracker.set_servers(vec![leaving, server("b")]);

    assert_eq!(
        picks(&tracker, Time::ZERO, &[]).keys().collect::<Vec<_>>(),
        ["b"]
    );
}

/// Found by a play: boxes chose servers that others had known to leave for 0.3 s.
#[test]
fn what_one_box_reads_of_servers_that_leave_spares_the_others_a_try() {
    let (mut follower, mut other) = (tracker(&["a", "b", "c"]), tracker(&["a", "b", "c"]));
    let leaving = ServerEntry {
        leaving: true,
        ..server("a")
    };

    let departs = follower.record_departures(Time::ZERO, &[leaving, server("b")]);
    let told = follower.recent_departures(Time::from_millis(900));
    other.apply_departures(Time::from_millis(900), &told);

    assert!(departs);
    let left = picks(&other, Time::from_millis(1_000), &[]);
    assert_eq!(left.keys().collect::<Vec<_>>(), ["b"], "c is gone");
    assert_eq!(follower.recent_departures(Time::from_millis(1_000)), []);
    assert_eq!(
        picks(&other, Time::from_millis(2_900), &[]).len(),
        3,
        "the list decides"
    );
}

#[test]
fn a_list_without_departures_tells_of_none() {
    let mut follower = tracker(&["a", "b"]);

    let departs = follower.record_departures(Time::ZERO, &[server("a"), server("b"), server("c")]);

    assert!(!departs);
    assert_eq!(follower.recent_departures(Time::ZERO), []);
}

/// A server may start again under the name that it had; what was seen of it before says nothing.
#[test]
fn a_server_that_started_again_is_taken_as_new() {
    let born = |at| ServerEntry {
        born: Some(at),
        ..server("a")
    };
    let mut tracker = ServerTracker::default();
    tracker.set_servers(vec![born(1), server("b")]);
    let told = tracker
        .get(&ServerName::new("a"))
        .expect("it is listed")
        .key;
    tracker.apply_departures(Time::ZERO, &[told]);
    let before = picks(&tracker, Time::ZERO, &[]);

    tracker.set_servers(vec![born(1), server("b")]);
    let same_life = picks(&tracker, Time::ZERO, &[]);
    tracker.set_servers(vec![born(2), server("b")]);
    let next_life = picks(&tracker, Time::ZERO, &[]);

    assert_eq!(before.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(same_life.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(next_life.len(), 2);
}

#[test]
fn no_fallback_uses_a_server_that_leaves() {
    let mut tracker = tracker(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let leaves = tracker.get(&a).expect("known").life;
    let availability = |life| {
        if life == leaves {
            Availability::Leaving
        } else {
            Availability::Open
        }
    };
    tracker.call_sent(Time::ZERO, &b);
    tracker.call_ended(Time::ZERO, &b, ServerOutcome::Unreachable);
    let names = |tried: &[ServerName]| {
        let at = Time::from_millis(10);
        let usable = tracker.usable(at, &ServiceName::new("boards"), tried, availability);
        let names = usable.iter().map(|(row, _)| row.info.name.clone());
        names.collect::<Vec<_>>()
    };

    // The other one rests after a failure, then was tried besides.
    assert_eq!(names(&[]), std::slice::from_ref(&b));
    assert_eq!(names(std::slice::from_ref(&b)), std::slice::from_ref(&b));
}

#[test]
fn a_server_that_is_only_suspected_is_used_where_the_others_are_closed() {
    let mut tracker = tracker(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let closed = tracker.get(&a).expect("known").life;
    let availability = |life| {
        if life == closed {
            Availability::Closed
        } else {
            Availability::Open
        }
    };
    tracker.call_sent(Time::ZERO, &b);
    tracker.call_ended(Time::ZERO, &b, ServerOutcome::Unreachable);

    let usable = tracker.usable(
        Time::from_millis(10),
        &ServiceName::new("boards"),
        &[],
        availability,
    );

    let takes = usable
        .iter()
        .find(|(_, availability)| availability.accepts_calls());
    assert_eq!(takes.map(|(row, _)| &row.info.name), Some(&b));
}
