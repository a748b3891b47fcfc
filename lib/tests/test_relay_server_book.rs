//! What a box knows of each server, and which one takes a call.

use std::collections::BTreeMap;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_book::Evidence;
use badgerferry_lib::relay::server_book::ServerBook;
use badgerferry_lib::relay::server_list::ListedServer;
use badgerferry_lib::relay::standing::Standing;
use badgerferry_lib::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::listed_server::server;

/// Servers that say nothing of the calls they take.
const fn open(_life: ServerIncarnation) -> Standing {
    Standing::Open
}

fn book(names: &[&str]) -> ServerBook {
    let mut book = ServerBook::default();
    book.set_servers(names.iter().map(|name| server(name)).collect());
    book
}

fn picks(book: &ServerBook, now: Time, tried: &[ServerName]) -> BTreeMap<String, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let hall = HallName::new("hall-a");
        let usable = book.usable(now, &ServiceName::new("boards"), tried, open);
        let picked = ServerBook::pick(now, usable, &hall, &mut rng);
        let name = picked.expect("there are servers").info.name.to_string();
        *counts.entry(name).or_default() += 1;
    }
    counts
}

#[test]
fn an_unreachable_server_rests_and_is_tried_again() {
    let mut book = book(&["a", "b"]);
    let a = ServerName::new("a");
    book.sent(Time::ZERO, &a);
    book.ended(Time::ZERO, &a, Evidence::Unreachable);

    let at_once = picks(&book, Time::from_millis(10), &[]);

    assert_eq!(at_once.keys().collect::<Vec<_>>(), ["b"]);
    assert!(!book.get(&a).expect("known").rests(Time::from_millis(5_000)));
}

fn server_in(name: &str, hall: &str) -> ListedServer {
    ListedServer {
        hall: HallName::new(hall),
        address: format!("{name}:1"),
        ..server(name)
    }
}

fn silent(book: &mut ServerBook, name: &str, at: u64) {
    let name = ServerName::new(name);
    book.sent(Time::from_millis(at), &name);
    book.ended(Time::from_millis(at), &name, Evidence::Silent);
}

#[test]
fn a_hall_whose_servers_stay_silent_rests_as_a_whole_and_is_tried_by_one_call() {
    let names = ["b1", "b2", "b3", "b4"];
    let mut rows: Vec<ListedServer> = names.iter().map(|name| server_in(name, "hall-b")).collect();
    rows.push(server_in("a1", "hall-a"));
    let mut book = ServerBook::default();
    book.set_servers(rows);
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        silent(&mut book, name, at);
    }

    let cut = picks(&book, Time::from_millis(10), &[]);
    let later = Time::from_millis(1_100);
    let usable = book
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();
    book.sent(later, &ServerName::new("b4"));
    let while_tried = book
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();
    book.answers(later, &ServerName::new("b4"));
    let after = book
        .usable(later, &ServiceName::new("boards"), &[], open)
        .len();

    assert_eq!(cut.keys().collect::<Vec<_>>(), ["a1"]);
    assert_eq!((usable, while_tried, after), (2, 1, 2));
}

#[test]
fn silent_servers_among_answering_ones_do_not_make_their_hall_rest() {
    let mut book = ServerBook::default();
    book.set_servers(
        ["b1", "b2", "b3", "b4"]
            .map(|name| server_in(name, "hall-b"))
            .to_vec(),
    );
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        silent(&mut book, name, at);
        book.answers(Time::from_millis(at), &ServerName::new("b4"));
    }

    let usable = book.usable(
        Time::from_millis(10),
        &ServiceName::new("boards"),
        &[],
        open,
    );

    assert_eq!(usable.len(), 1);
}

fn book_of_two_halls() -> ServerBook {
    let mut book = ServerBook::default();
    book.set_servers(vec![
        server_in("a1", "hall-a"),
        server_in("b1", "hall-b"),
        server_in("b2", "hall-b"),
    ]);
    book
}

fn usable_names(book: &ServerBook, at: u64) -> Vec<String> {
    let usable = book.usable(
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

    teller.at_fault(Time::ZERO, &address);
    let faults = teller.faults(Time::from_millis(100));
    told.told_faults(Time::from_millis(100), &here, &there, &faults);

    assert_eq!(usable_names(&told, 200), ["a1", "b2"]);
    assert_eq!(usable_names(&told, 3_200), ["a1", "b1", "b2"]);
    assert_eq!(teller.faults(Time::from_millis(1_100)), []);
}

#[test]
fn another_halls_box_is_not_believed_about_servers_that_it_reaches_from_afar() {
    let (here, there) = (HallName::new("hall-a"), HallName::new("hall-b"));
    let mut book = book_of_two_halls();
    let far = book.get(&ServerName::new("a1")).expect("known").key;

    book.told_faults(Time::ZERO, &here, &there, &[far]);
    let from_afar = usable_names(&book, 10);
    book.told_faults(Time::ZERO, &here, &here, &[far]);

    assert_eq!(from_afar, ["a1", "b1", "b2"]);
    assert_eq!(usable_names(&book, 10), ["b1", "b2"]);
}

#[test]
fn a_server_that_is_named_again_after_its_rest_rests_longer() {
    let here = HallName::new("hall-a");
    let mut book = book_of_two_halls();
    let key = book.get(&ServerName::new("b1")).expect("known").key;

    book.told_faults(Time::ZERO, &here, &here, &[key]);
    book.told_faults(Time::from_millis(3_500), &here, &here, &[key]);

    assert_eq!(usable_names(&book, 9_000), ["a1", "b2"]);
    assert_eq!(usable_names(&book, 9_600), ["a1", "b1", "b2"]);
}

#[test]
fn where_all_servers_rest_all_are_used() {
    let mut book = book(&["a", "b"]);
    for name in ["a", "b"].map(ServerName::new) {
        book.sent(Time::ZERO, &name);
        book.ended(Time::ZERO, &name, Evidence::Unreachable);
    }

    let picked = picks(&book, Time::from_millis(10), &[]);

    assert_eq!(picked.len(), 2);
}

#[test]
fn a_tried_server_is_used_again_only_where_there_is_no_other() {
    let book = book(&["a", "b"]);

    let one_tried = picks(&book, Time::ZERO, &[ServerName::new("a")]);
    let both_tried = picks(&book, Time::ZERO, &["a", "b"].map(ServerName::new));

    assert_eq!(one_tried.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(both_tried.len(), 2);
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut book = book(&["a", "b"]);
    let leaving = ListedServer {
        leaving: true,
        ..server("a")
    };
    book.set_servers(vec![leaving, server("b")]);

    assert_eq!(
        picks(&book, Time::ZERO, &[]).keys().collect::<Vec<_>>(),
        ["b"]
    );
}

/// Found by a play: boxes chose servers that others had known to leave for 0.3 s.
#[test]
fn what_one_box_reads_of_servers_that_leave_spares_the_others_a_try() {
    let (mut follower, mut other) = (book(&["a", "b", "c"]), book(&["a", "b", "c"]));
    let leaving = ListedServer {
        leaving: true,
        ..server("a")
    };

    let departs = follower.note_departures(Time::ZERO, &[leaving, server("b")]);
    let told = follower.departures(Time::from_millis(900));
    other.told_departures(Time::from_millis(900), &told);

    assert!(departs);
    let left = picks(&other, Time::from_millis(1_000), &[]);
    assert_eq!(left.keys().collect::<Vec<_>>(), ["b"], "c is gone");
    assert_eq!(follower.departures(Time::from_millis(1_000)), []);
    assert_eq!(
        picks(&other, Time::from_millis(2_900), &[]).len(),
        3,
        "the list decides"
    );
}

#[test]
fn a_list_without_departures_tells_of_none() {
    let mut follower = book(&["a", "b"]);

    let departs = follower.note_departures(Time::ZERO, &[server("a"), server("b"), server("c")]);

    assert!(!departs);
    assert_eq!(follower.departures(Time::ZERO), []);
}

/// A server may start again under the name that it had; what was seen of it before says nothing.
#[test]
fn a_server_that_started_again_is_taken_as_new() {
    let born = |at| ListedServer {
        born: Some(at),
        ..server("a")
    };
    let mut book = ServerBook::default();
    book.set_servers(vec![born(1), server("b")]);
    let told = book.get(&ServerName::new("a")).expect("it is listed").key;
    book.told_departures(Time::ZERO, &[told]);
    let before = picks(&book, Time::ZERO, &[]);

    book.set_servers(vec![born(1), server("b")]);
    let same_life = picks(&book, Time::ZERO, &[]);
    book.set_servers(vec![born(2), server("b")]);
    let next_life = picks(&book, Time::ZERO, &[]);

    assert_eq!(before.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(same_life.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(next_life.len(), 2);
}

#[test]
fn no_fallback_uses_a_server_that_leaves() {
    let mut book = book(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let leaves = book.get(&a).expect("known").life;
    let standing = |life| {
        if life == leaves {
            Standing::Leaving
        } else {
            Standing::Open
        }
    };
    book.sent(Time::ZERO, &b);
    book.ended(Time::ZERO, &b, Evidence::Unreachable);
    let names = |tried: &[ServerName]| {
        let at = Time::from_millis(10);
        let usable = book.usable(at, &ServiceName::new("boards"), tried, standing);
        let names = usable.iter().map(|(row, _)| row.info.name.clone());
        names.collect::<Vec<_>>()
    };

    // The other one rests after a failure, then was tried besides.
    assert_eq!(names(&[]), std::slice::from_ref(&b));
    assert_eq!(names(std::slice::from_ref(&b)), std::slice::from_ref(&b));
}

#[test]
fn a_server_that_is_only_suspected_is_used_where_the_others_are_closed() {
    let mut book = book(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let closed = book.get(&a).expect("known").life;
    let standing = |life| {
        if life == closed {
            Standing::Closed
        } else {
            Standing::Open
        }
    };
    book.sent(Time::ZERO, &b);
    book.ended(Time::ZERO, &b, Evidence::Unreachable);

    let usable = book.usable(
        Time::from_millis(10),
        &ServiceName::new("boards"),
        &[],
        standing,
    );

    let takes = usable.iter().find(|(_, standing)| standing.takes_calls());
    assert_eq!(takes.map(|(row, _)| &row.info.name), Some(&b));
}
