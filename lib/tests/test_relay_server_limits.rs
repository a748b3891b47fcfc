//! Merging and gossip of call limits stated by servers.

use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_limits::LimitRow;
use badgerferry_lib::relay::server_limits::ServerLimits;
use badgerferry_lib::time::Time;

const SERVER: ServerIncarnation = ServerIncarnation(7);

fn rate(calls: f64) -> CallRate {
    CallRate::per_second(calls).expect("valid rate")
}

fn limits(now: Time, calls: f64) -> ServerLimits {
    let mut limits = ServerLimits::default();
    limits.record_response(now, SERVER, ParsedHeader::Value(rate(calls)));
    limits
}

#[test]
fn the_newest_statement_wins_in_any_order_of_arrival() {
    let (earlier, now) = (Time::from_millis(1_000), Time::from_millis(5_000));
    let mut older = limits(earlier, 2.0);
    let mut newer = limits(Time::from_millis(4_000), 3.0);
    let rows = [older.rows(now), newer.rows(now)];
    let mut other = ServerLimits::default();

    other.merge_rows(now, &rows[1]);
    other.merge_rows(now, &rows[0]);
    older.merge_rows(now, &rows[1]);
    newer.merge_rows(now, &rows[0]);

    for known in [&other, &older, &newer] {
        assert_eq!(known.limit(SERVER), Some(rate(3.0)));
    }
}

#[test]
fn a_statement_does_not_get_younger_by_round_trips() {
    let mut first = limits(Time::from_millis(1_000), 2.0);
    let mut second = ServerLimits::default();
    let mut now = Time::from_millis(1_000);
    for _ in 0..100 {
        let rows = first.rows(now);
        second.merge_rows(now + Duration::from_millis(3), &rows);
        now = now + Duration::from_millis(300);
        let rows = second.rows(now);
        first.merge_rows(now + Duration::from_millis(3), &rows);
    }

    let row = first.row_of(now, SERVER).expect("statement is known");

    assert!(row.age_ms >= 30_000, "{row:?}");
}

#[test]
fn a_lifted_limit_reopens_a_closed_server() {
    let mut limits = limits(Time::ZERO, 1.0);
    let now = Time::from_millis(2_000);
    limits.close(now, SERVER, Duration::from_secs(9));
    assert_eq!(limits.availability(now, SERVER), Availability::Closed);

    let change = limits.record_response(now, SERVER, ParsedHeader::Absent);

    assert_eq!(change.map(|change| change.after), Some(None));
    assert_eq!(limits.availability(now, SERVER), Availability::Open);
}

#[test]
fn a_new_incarnation_does_not_inherit_the_limit() {
    let limits = limits(Time::ZERO, 1.0);

    assert_eq!(
        limits.availability(Time::ZERO, ServerIncarnation(8)),
        Availability::Open
    );
}

#[test]
fn a_malformed_header_changes_nothing() {
    let mut limits = limits(Time::ZERO, 1.0);

    let change = limits.record_response(Time::from_millis(5), SERVER, ParsedHeader::Unreadable);

    assert_eq!(change, None);
    assert_eq!(limits.limit(SERVER), Some(rate(1.0)));
}

#[test]
fn a_flapping_limit_is_announced_at_most_four_times_per_second() {
    let mut limits = limits(Time::ZERO, 1.0);
    let mut announced = 0;
    for at in 1..=1_000_u64 {
        let header = ParsedHeader::Value(rate(1.0 + (at % 2) as f64));
        let change = limits.record_response(Time::from_millis(at), SERVER, header);
        announced += u32::from(change.is_some_and(|change| change.announce_now));
    }

    assert!(announced <= 4, "{announced}");
}

#[test]
fn state_is_bounded_and_all_statements_are_gossiped_in_rotation() {
    let mut limits = ServerLimits::default();
    for incarnation in 0..5_000 {
        limits.record_response(
            Time::from_millis(incarnation),
            ServerIncarnation(incarnation),
            ParsedHeader::Value(rate(1.0)),
        );
    }
    let mut gossiped = std::collections::BTreeSet::new();
    let mut now = Time::from_millis(10_000);
    for _ in 0..1_000 {
        now = now + Duration::from_millis(100);
        let rows = limits.rows(now);
        assert!(rows.len() <= 20, "{} rows", rows.len());
        gossiped.extend(rows.iter().map(|row| row.incarnation));
    }

    assert_eq!(limits.limited().count(), 2_048);
    assert_eq!(gossiped.len(), 2_048);
    assert!(limits.evicted() > 0);
}

#[test]
fn a_datagram_that_omits_a_server_keeps_its_limit() {
    let mut limits = limits(Time::ZERO, 1.0);
    let other = LimitRow {
        incarnation: ServerIncarnation(9),
        rate: Some(rate(4.0)),
        age_ms: 0,
    };

    limits.merge_rows(Time::from_millis(10), &[other]);
    limits.merge_rows(Time::from_millis(20), &[]);

    assert_eq!(limits.limit(SERVER), Some(rate(1.0)));
}
