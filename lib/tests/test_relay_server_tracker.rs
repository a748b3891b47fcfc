//! Exclusion and choice of servers by one box.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::plain_selection::PlainCall;
use badgerferry_lib::relay::plain_selection::PlainDecision;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_list::ServerEntry;
use badgerferry_lib::relay::server_preferences;
use badgerferry_lib::relay::server_tracker::ServerOutcome;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::server_entry::server;

/// Availability of servers that state no limits.
const fn always_open(_record: &ServerRecord) -> Availability {
    Availability::Open
}

fn tracker(names: &[&str]) -> ServerTracker {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(names.iter().map(|name| server(name)).collect());
    tracker
}

fn pick_counts(tracker: &ServerTracker, now: Time, tried: &[ServerName]) -> BTreeMap<String, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let hall = HallName::new("hall-a");
        let usable = tracker.usable(now, &ServiceName::new("boards"), tried, always_open);
        let call = PlainCall {
            time_left: Duration::from_secs(1),
            boxes: 2,
        };
        let PlainDecision::Send(picked) =
            ServerTracker::select_plain(now, call, &usable, &hall, &mut rng)
        else {
            panic!("a server is available");
        };
        *counts.entry(picked.info.name.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn unreachable_server_is_excluded_and_then_probed() {
    let mut tracker = tracker(&["a", "b"]);
    let a = ServerName::new("a");
    tracker.call_sent(Time::ZERO, &a);
    tracker.call_ended(Time::ZERO, &a, ServerOutcome::Unreachable);

    let right_after = pick_counts(&tracker, Time::from_millis(10), &[]);

    assert_eq!(right_after.keys().collect::<Vec<_>>(), ["b"]);
    assert!(
        !tracker
            .get(&a)
            .expect("server is listed")
            .is_excluded(Time::from_millis(5_000))
    );
}

fn server_in_hall(name: &str, hall: &str) -> ServerEntry {
    ServerEntry {
        hall: HallName::new(hall),
        address: format!("{name}:1"),
        ..server(name)
    }
}

fn connect_timeout(tracker: &mut ServerTracker, name: &str, at: u64) {
    let name = ServerName::new(name);
    tracker.call_sent(Time::from_millis(at), &name);
    tracker.call_ended(Time::from_millis(at), &name, ServerOutcome::ConnectTimeout);
}

#[test]
fn connect_timeouts_exclude_whole_hall_and_one_call_probes_it() {
    let names = ["b1", "b2", "b3", "b4"];
    let mut servers: Vec<ServerEntry> = names
        .iter()
        .map(|name| server_in_hall(name, "hall-b"))
        .collect();
    servers.push(server_in_hall("a1", "hall-a"));
    let mut tracker = ServerTracker::default();
    tracker.set_servers(servers);
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        connect_timeout(&mut tracker, name, at);
    }

    let excluded = pick_counts(&tracker, Time::from_millis(10), &[]);
    let later = Time::from_millis(1_100);
    let before_probe = tracker
        .usable(later, &ServiceName::new("boards"), &[], always_open)
        .len();
    tracker.call_sent(later, &ServerName::new("b4"));
    let during_probe = tracker
        .usable(later, &ServiceName::new("boards"), &[], always_open)
        .len();
    tracker.call_answered(later, &ServerName::new("b4"));
    let after_probe = tracker
        .usable(later, &ServiceName::new("boards"), &[], always_open)
        .len();

    assert_eq!(excluded.keys().collect::<Vec<_>>(), ["a1"]);
    assert_eq!((before_probe, during_probe, after_probe), (2, 1, 2));
}

#[test]
fn connect_timeouts_among_responses_do_not_exclude_hall() {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(
        ["b1", "b2", "b3", "b4"]
            .map(|name| server_in_hall(name, "hall-b"))
            .to_vec(),
    );
    for (name, at) in [("b1", 1), ("b2", 2), ("b3", 3)] {
        connect_timeout(&mut tracker, name, at);
        tracker.call_answered(Time::from_millis(at), &ServerName::new("b4"));
    }

    let usable = tracker.usable(
        Time::from_millis(10),
        &ServiceName::new("boards"),
        &[],
        always_open,
    );

    assert_eq!(usable.len(), 1);
}

fn tracker_of_two_halls() -> ServerTracker {
    let mut tracker = ServerTracker::default();
    tracker.set_servers(vec![
        server_in_hall("a1", "hall-a"),
        server_in_hall("b1", "hall-b"),
        server_in_hall("b2", "hall-b"),
    ]);
    tracker
}

fn usable_names(tracker: &ServerTracker, at: u64) -> Vec<String> {
    let usable = tracker.usable(
        Time::from_millis(at),
        &ServiceName::new("boards"),
        &[],
        always_open,
    );
    let mut names: Vec<String> = usable
        .iter()
        .map(|(record, _)| record.info.name.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn reported_fault_excludes_the_server_at_other_boxes() {
    let (here, there) = (HallName::new("hall-a"), HallName::new("hall-b"));
    let mut reporter = tracker_of_two_halls();
    let mut receiver = tracker_of_two_halls();
    let address = reporter
        .get(&ServerName::new("b1"))
        .expect("server is listed")
        .info
        .address
        .clone();

    reporter.record_fault(Time::ZERO, &address);
    let faults = reporter.recent_faults(Time::from_millis(100));
    receiver.apply_faults(Time::from_millis(100), &here, &there, &faults);

    assert_eq!(usable_names(&receiver, 200), ["a1", "b2"]);
    assert_eq!(usable_names(&receiver, 3_200), ["a1", "b1", "b2"]);
    assert_eq!(reporter.recent_faults(Time::from_millis(1_100)), []);
}

#[test]
fn faults_outside_reporters_hall_are_ignored_from_other_halls() {
    let (here, there) = (HallName::new("hall-a"), HallName::new("hall-b"));
    let mut tracker = tracker_of_two_halls();
    let server_a1 = tracker
        .get(&ServerName::new("a1"))
        .expect("server is listed")
        .key;

    tracker.apply_faults(Time::ZERO, &here, &there, &[server_a1]);
    let after_remote_report = usable_names(&tracker, 10);
    tracker.apply_faults(Time::ZERO, &here, &here, &[server_a1]);

    assert_eq!(after_remote_report, ["a1", "b1", "b2"]);
    assert_eq!(usable_names(&tracker, 10), ["b1", "b2"]);
}

#[test]
fn repeated_fault_extends_exclusion() {
    let here = HallName::new("hall-a");
    let mut tracker = tracker_of_two_halls();
    let key = tracker
        .get(&ServerName::new("b1"))
        .expect("server is listed")
        .key;

    tracker.apply_faults(Time::ZERO, &here, &here, &[key]);
    tracker.apply_faults(Time::from_millis(3_500), &here, &here, &[key]);

    assert_eq!(usable_names(&tracker, 9_000), ["a1", "b2"]);
    assert_eq!(usable_names(&tracker, 9_600), ["a1", "b1", "b2"]);
}

#[test]
fn all_servers_are_used_if_all_are_excluded() {
    let mut tracker = tracker(&["a", "b"]);
    for name in ["a", "b"].map(ServerName::new) {
        tracker.call_sent(Time::ZERO, &name);
        tracker.call_ended(Time::ZERO, &name, ServerOutcome::Unreachable);
    }

    let picked = pick_counts(&tracker, Time::from_millis(10), &[]);

    assert_eq!(picked.len(), 2);
}

#[test]
fn tried_server_is_reused_only_if_no_other_is_left() {
    let tracker = tracker(&["a", "b"]);

    let one_tried = pick_counts(&tracker, Time::ZERO, &[ServerName::new("a")]);
    let both_tried = pick_counts(&tracker, Time::ZERO, &["a", "b"].map(ServerName::new));

    assert_eq!(one_tried.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(both_tried.len(), 2);
}

#[test]
fn leaving_server_gets_no_calls() {
    let mut tracker = tracker(&["a", "b"]);
    let leaving = ServerEntry {
        leaving: true,
        ..server("a")
    };
    tracker.set_servers(vec![leaving, server("b")]);

    assert_eq!(
        pick_counts(&tracker, Time::ZERO, &[])
            .keys()
            .collect::<Vec<_>>(),
        ["b"]
    );
}

/// Without announcements a box may choose a leaving server that other boxes have known to be
/// leaving for 0.3 s.
#[test]
fn announced_departures_are_respected_before_the_list_arrives() {
    let (mut follower, mut other) = (tracker(&["a", "b", "c"]), tracker(&["a", "b", "c"]));
    let leaving = ServerEntry {
        leaving: true,
        ..server("a")
    };

    let has_departures = follower.record_departures(Time::ZERO, &[leaving, server("b")]);
    let departures = follower.recent_departures(Time::from_millis(900));
    other.apply_departures(Time::from_millis(900), &departures);

    assert!(has_departures);
    let remaining = pick_counts(&other, Time::from_millis(1_000), &[]);
    assert_eq!(
        remaining.keys().collect::<Vec<_>>(),
        ["b"],
        "the newer list lacks c"
    );
    assert_eq!(follower.recent_departures(Time::from_millis(1_000)), []);
    assert_eq!(
        pick_counts(&other, Time::from_millis(2_900), &[]).len(),
        3,
        "reports expire, and the list of the box applies again"
    );
}

#[test]
fn list_without_departures_announces_none() {
    let mut follower = tracker(&["a", "b"]);

    let has_departures =
        follower.record_departures(Time::ZERO, &[server("a"), server("b"), server("c")]);

    assert!(!has_departures);
    assert_eq!(follower.recent_departures(Time::ZERO), []);
}

/// Reports about an earlier incarnation of a server must not exclude the restarted server.
#[test]
fn restarted_server_starts_with_a_new_record() {
    let started_at = |at| ServerEntry {
        born: Some(at),
        ..server("a")
    };
    let mut tracker = ServerTracker::default();
    tracker.set_servers(vec![started_at(1), server("b")]);
    let key = tracker
        .get(&ServerName::new("a"))
        .expect("server is listed")
        .key;
    tracker.apply_departures(Time::ZERO, &[key]);
    let before = pick_counts(&tracker, Time::ZERO, &[]);

    tracker.set_servers(vec![started_at(1), server("b")]);
    let same_run = pick_counts(&tracker, Time::ZERO, &[]);
    tracker.set_servers(vec![started_at(2), server("b")]);
    let next_run = pick_counts(&tracker, Time::ZERO, &[]);

    assert_eq!(before.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(same_run.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(next_run.len(), 2);
}

#[test]
fn fallback_never_uses_leaving_server() {
    let mut tracker = tracker(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let leaving = tracker.get(&a).expect("server is listed").incarnation;
    let availability = |record: &ServerRecord| {
        if record.incarnation == leaving {
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
        let names = usable.iter().map(|(record, _)| record.info.name.clone());
        names.collect::<Vec<_>>()
    };

    // Server b is excluded after a failure; in the second case it was also tried before.
    assert_eq!(names(&[]), std::slice::from_ref(&b));
    assert_eq!(names(std::slice::from_ref(&b)), std::slice::from_ref(&b));
}

#[test]
fn excluded_server_is_used_if_others_are_closed() {
    let mut tracker = tracker(&["a", "b"]);
    let (a, b) = (ServerName::new("a"), ServerName::new("b"));
    let closed = tracker.get(&a).expect("server is listed").incarnation;
    let availability = |record: &ServerRecord| {
        if record.incarnation == closed {
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

    let accepting = usable
        .iter()
        .find(|(_, availability)| availability.accepts_calls());
    assert_eq!(accepting.map(|(record, _)| &record.info.name), Some(&b));
}

/// Time until which abandoned calls matter.
const UNANSWERED_UNTIL: Time = Time::from_millis(4_000);

#[test]
fn server_that_has_not_responded_to_an_abandoned_call_is_left_out_until_it_responds() {
    let mut tracker = tracker(&["a", "b"]);
    let a = ServerName::new("a");
    tracker.record_heard(Time::from_millis(10), &a);

    tracker.record_unanswered(Time::from_millis(20), &a, UNANSWERED_UNTIL);

    let without_response = pick_counts(&tracker, Time::from_millis(30), &[]);
    assert_eq!(without_response.keys().collect::<Vec<_>>(), ["b"]);
    tracker.call_answered(Time::from_millis(40), &a);
    assert_eq!(pick_counts(&tracker, Time::from_millis(50), &[]).len(), 2);
}

#[test]
fn abandoned_call_without_a_response_matters_for_a_limited_time() {
    let mut tracker = tracker(&["a", "b"]);

    tracker.record_unanswered(Time::ZERO, &ServerName::new("a"), UNANSWERED_UNTIL);

    assert_eq!(pick_counts(&tracker, UNANSWERED_UNTIL, &[]).len(), 2);
}

#[test]
fn calls_do_not_concentrate_on_few_servers_when_most_have_abandoned_calls() {
    let mut tracker = tracker(&["a", "b", "c"]);

    for name in ["a", "b"] {
        tracker.record_unanswered(Time::ZERO, &ServerName::new(name), UNANSWERED_UNTIL);
    }

    let counts = pick_counts(&tracker, Time::from_millis(10), &[]);
    assert_eq!(counts.len(), 3, "{counts:?}");
}

#[test]
fn silent_server_is_avoided_until_it_responds() {
    let mut tracker = tracker(&["a", "b", "c", "d"]);
    let silent = ServerName::new("a");

    tracker.record_heard(Time::from_millis(5), &silent);
    let is_new = tracker.record_silence(Time::from_millis(10), &silent);
    let counts = pick_counts(&tracker, Time::from_millis(20), &[]);
    tracker.record_running(Time::from_millis(30), &silent);

    assert!(is_new);
    assert!(!counts.contains_key("a"), "{counts:?}");
    assert_eq!(pick_counts(&tracker, Time::from_millis(40), &[]).len(), 4);
    assert!(tracker.silent_servers().is_empty());
}

#[test]
fn only_a_server_that_accepted_a_query_is_verified() {
    let mut tracker = tracker(&["a", "b"]);
    let (accepting, declining) = (ServerName::new("a"), ServerName::new("b"));

    tracker.record_verified(Time::ZERO, &accepting);
    tracker.record_running(Time::ZERO, &declining);

    let is_verified = |name, at| {
        let record = tracker.get(name).expect("listed");
        record.is_verified_within(Time::from_millis(at), Duration::from_millis(50))
    };
    assert!(is_verified(&accepting, 50));
    assert!(!is_verified(&accepting, 51));
    assert!(!is_verified(&declining, 0));
}

#[test]
fn silent_servers_are_used_only_if_no_other_is_left() {
    let mut tracker = tracker(&["a", "b", "c"]);

    for name in ["a", "b"] {
        tracker.record_silence(Time::ZERO, &ServerName::new(name));
    }
    let counts = pick_counts(&tracker, Time::from_millis(10), &[]);
    tracker.record_silence(Time::ZERO, &ServerName::new("c"));

    assert_eq!(counts.len(), 1, "{counts:?}");
    assert_eq!(pick_counts(&tracker, Time::from_millis(10), &[]).len(), 3);
}

#[test]
fn server_that_a_neighbour_reports_silent_is_avoided_until_it_is_heard_from_or_for_a_second() {
    let own_hall = HallName::new("hall-a");
    let servers = ["a", "b", "c", "d"];
    let mut reporter = tracker(&servers);
    reporter.record_silence(Time::ZERO, &ServerName::new("a"));
    let keys = reporter.silent_servers();

    let mut told = tracker(&servers);
    told.apply_silences(Time::ZERO, &own_hall, &own_hall, &keys);
    let counts = pick_counts(&told, Time::from_millis(10), &[]);
    let later = pick_counts(&told, Time::from_millis(1_010), &[]);
    told.record_heard(Time::from_millis(20), &ServerName::new("a"));

    assert!(!counts.contains_key("a"), "{counts:?}");
    assert_eq!(later.len(), 4, "{later:?}");
    assert_eq!(pick_counts(&told, Time::from_millis(30), &[]).len(), 4);
}

#[test]
fn silence_reported_from_a_third_hall_is_not_trusted() {
    let servers = ["a", "b", "c", "d"];
    let mut reporter = tracker(&servers);
    reporter.record_silence(Time::ZERO, &ServerName::new("a"));
    let keys = reporter.silent_servers();

    let mut told = tracker(&servers);
    let (own_hall, other_hall) = (HallName::new("hall-x"), HallName::new("hall-y"));
    told.apply_silences(Time::ZERO, &own_hall, &other_hall, &keys);

    assert_eq!(pick_counts(&told, Time::from_millis(10), &[]).len(), 4);
}

/// Names of the servers that a retry prefers.
fn preferred_for_retry(tracker: &ServerTracker, now: Time) -> Vec<String> {
    let usable = tracker.usable(now, &ServiceName::new("boards"), &[], always_open);
    let preferred = server_preferences::heard_recently(now, Duration::from_millis(300), usable);
    let mut names: Vec<_> = preferred
        .iter()
        .map(|(record, _)| record.info.name.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn retry_prefers_servers_heard_from_last_if_none_was_heard_from_recently() {
    let mut tracker = tracker(&["a", "b", "c", "d"]);
    for (name, heard) in [("a", 100), ("b", 900), ("c", 800), ("d", 200)] {
        tracker.record_heard(Time::from_millis(heard), &ServerName::new(name));
    }

    assert_eq!(
        preferred_for_retry(&tracker, Time::from_millis(1_150)),
        ["b", "c"][..1]
    );
    assert_eq!(
        preferred_for_retry(&tracker, Time::from_millis(5_000)),
        ["b", "c"]
    );
}

#[test]
fn retry_may_go_to_any_server_if_none_was_ever_heard_from() {
    let tracker = tracker(&["a", "b", "c"]);

    assert_eq!(
        preferred_for_retry(&tracker, Time::from_millis(5_000)).len(),
        3
    );
}

#[test]
fn silence_that_any_box_reports_shows_that_servers_of_the_service_may_be_silent() {
    let mut tracker = tracker(&["a", "b"]);
    let service = ServiceName::new("boards");
    let (own, other) = (HallName::new("hall-z"), HallName::new("hall-y"));
    let key = tracker.get(&ServerName::new("a")).unwrap().key;
    let window = Duration::from_secs(10);
    let before = tracker.has_silence_within(Time::from_millis(1), &service, window);

    tracker.apply_silences(Time::from_millis(5), &own, &other, &[key]);

    let after = tracker.has_silence_within(Time::from_millis(6), &service, window);
    let later = tracker.has_silence_within(Time::from_millis(10_006), &service, window);
    assert_eq!((before, after, later), (false, true, false));
    let usable = tracker.usable(Time::from_millis(6), &service, &[], always_open);
    assert_eq!(
        usable.len(),
        2,
        "a report from another hall excludes no server"
    );
}
