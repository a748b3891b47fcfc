//! Who gives out the calls of a limited server, and how many.

use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::call_quota::CallQuota;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::PermitRequest;
use badgerferry_lib::relay::quota_owner::OwnedQuotas;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_limits::LimitRow;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::time::Time;

const LONG_UP: Duration = Duration::from_mins(1);

fn rate(calls: f64) -> CallRate {
    CallRate::per_second(calls).expect("a rate")
}

/// Boxes `a1`, `a2`, `b1`, `b2` in halls a and b.
fn boxes() -> Boxes {
    let names = ["a1", "a2", "b1", "b2"];
    let of = |(at, name): (usize, &str)| BoxAddresses {
        name: name.to_owned(),
        hall: name[..1].to_owned(),
        pull: String::new(),
        load: format!("127.0.0.1:{}", at + 1),
        processor: 0,
    };
    let all = names.into_iter().enumerate().map(of);
    all.map(|of| (of.name.clone(), of)).collect()
}

fn keeper(own: &str, hall: &str, up_for: Duration, living: &[&str]) -> QuotaOwner {
    let lives = |name: &str| living.contains(&name);
    QuotaOwner::elect(&boxes(), own, &HallName::new(hall), up_for, lives)
}

fn at(port: u16) -> QuotaOwner {
    QuotaOwner::Remote(([127, 0, 0, 1], port).into())
}

/// Calls that go in the worst four seconds, where one asks every few milliseconds.
fn most_taken(calls: f64) -> usize {
    let mut quota = CallQuota::new(Time::ZERO, rate(calls));
    let asked = (0..20_000).map(Time::from_millis);
    let taken: Vec<Time> = asked
        .filter(|now| quota.take(*now, Duration::ZERO).is_ok())
        .collect();
    let within = |at: usize| {
        let until = taken[at] + Duration::from_secs(4);
        taken[at..].partition_point(|other| *other < until)
    };
    (0..taken.len()).map(within).max().unwrap_or_default()
}

#[test]
fn a_quota_gives_out_two_calls_beyond_the_limit_at_most_in_four_seconds() {
    for calls in [0.2, 1.0, 1.7, 10.0, 200.0] {
        let most = most_taken(calls) as f64;

        assert!(most <= 4.0 * calls + 2.0, "{most} of {calls} a second");
        assert!(most >= 0.9 * 4.0 * calls, "{most} of {calls} a second");
    }
}

#[test]
fn a_call_that_can_wait_gets_its_place_and_the_next_one_the_place_after() {
    let mut quota = CallQuota::new(Time::ZERO, rate(2.0));
    let now = Time::from_millis(60_000);
    let patience = Duration::from_secs(1);

    let waits: Vec<_> = (0..4).map(|_| quota.take(now, patience)).collect();

    let half = Duration::from_millis(500);
    let expected = [Duration::ZERO, Duration::ZERO, half, half * 2];
    assert_eq!(waits, expected.map(Ok));
    let late = quota.take(now, patience);
    assert_eq!(late.map_err(|full| full.retry_in), Err(half * 3));
}

#[test]
fn a_limit_that_rises_is_used_at_once() {
    let mut quota = CallQuota::new(Time::ZERO, rate(0.1));
    let now = Time::from_millis(100);

    quota.set_rate(now, rate(100.0));

    let soon = now + Duration::from_millis(200);
    assert_eq!(quota.take(soon, Duration::ZERO), Ok(Duration::ZERO));
}

#[test]
fn calls_that_go_in_any_case_count() {
    let mut quota = CallQuota::new(Time::ZERO, rate(1.0));
    let now = Time::from_millis(60_000);
    for _ in 0..3 {
        quota.charge(now);
    }

    let taken = quota.take(now, Duration::ZERO);

    assert_eq!(
        taken.map_err(|full| full.retry_in),
        Err(Duration::from_secs(2))
    );
}

#[test]
fn the_first_living_box_of_the_servers_hall_keeps_its_count() {
    let all = ["a1", "a2", "b1", "b2"];

    assert_eq!(
        keeper("a1", "a", LONG_UP, &all),
        QuotaOwner::Local { shares: 1 }
    );
    assert_eq!(keeper("a2", "a", LONG_UP, &all), at(1));
    assert_eq!(keeper("b1", "a", LONG_UP, &all), at(1));
    assert_eq!(keeper("a1", "b", LONG_UP, &all), at(3));
    assert_eq!(keeper("b1", "a", LONG_UP, &["a2", "b2"]), at(2));
}

#[test]
fn a_box_that_may_not_be_the_only_keeper_takes_a_part() {
    let half_a_hall = keeper("a1", "a", LONG_UP, &["b1"]);
    let other_hall = keeper("b1", "a", LONG_UP, &["b2"]);
    let alone = keeper("a1", "a", LONG_UP, &[]);

    assert_eq!(half_a_hall, QuotaOwner::Local { shares: 2 });
    assert_eq!(other_hall, QuotaOwner::Local { shares: 2 });
    assert_eq!(alone, QuotaOwner::Local { shares: 4 });
}

#[test]
fn a_box_that_has_just_started_keeps_no_count_yet() {
    let young = Duration::from_millis(500);

    assert_eq!(keeper("a1", "a", young, &[]), QuotaOwner::Unknown);
    assert_eq!(keeper("a1", "a", young, &["a2"]), QuotaOwner::Unknown);
    assert_eq!(keeper("a2", "a", young, &["a1"]), at(1));
}

#[test]
fn a_question_asked_again_takes_no_second_call() {
    let mut quotas = OwnedQuotas::default();
    let decision = PermitDecision::Granted { after: 5 };

    quotas.cache_response(3, decision);

    assert_eq!(quotas.cached_response(3), Some(decision));
    assert_eq!(quotas.cached_response(4), None);
}

#[test]
fn questions_are_read_as_they_were_written_and_other_bytes_are_none() {
    let ask = PermitFrame::Request(PermitRequest {
        id: 1,
        hall: HallName::new("a"),
        limit_row: LimitRow {
            incarnation: ServerIncarnation(2),
            rate: Some(rate(1.7)),
            age_ms: 30,
        },
        max_wait_ms: 150,
    });
    let bytes = ask.encode();

    assert!(PermitFrame::has_version_byte(&bytes));
    assert_eq!(PermitFrame::decode(&bytes), Ok(ask));
    for cut in 0..bytes.len() {
        assert!(PermitFrame::decode(&bytes[..cut]).is_err(), "{cut}");
    }
    assert!(!PermitFrame::has_version_byte(&[]));
}
