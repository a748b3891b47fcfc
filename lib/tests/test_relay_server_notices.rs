//! What boxes know of servers that leave, and how a server stands.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::leaving_servers::LeavingServers;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::ServerNotices;
use badgerferry_lib::relay::standing::Standing;
use badgerferry_lib::relay::stated::Stated;
use badgerferry_lib::relay::work_key::ServerLife;
use badgerferry_lib::time::Time;

const SERVER: ServerLife = ServerLife(7);

fn leaves() -> Notice {
    Notice {
        leaving: Stated::Value(true),
        ..Notice::default()
    }
}

fn limited() -> Notice {
    Notice {
        limit: Stated::Value(CallRate::per_second(1.0).expect("a rate")),
        ..Notice::default()
    }
}

#[test]
fn a_server_that_leaves_never_takes_calls_again_in_the_same_life() {
    let mut notices = ServerNotices::default();
    notices.answered(Time::ZERO, SERVER, &leaves(), true);
    notices.answered(Time::from_millis(1), SERVER, &Notice::default(), true);
    let days_later = Time::ZERO + Duration::from_hours(48);

    assert_eq!(notices.standing(days_later, SERVER), Standing::Leaving);
    assert_eq!(notices.opens_in(days_later, SERVER), None);
    assert_eq!(notices.standing(days_later, ServerLife(8)), Standing::Open);
}

#[test]
fn leaving_outweighs_a_limit() {
    let mut notices = ServerNotices::default();
    notices.answered(Time::ZERO, SERVER, &limited(), true);
    notices.answered(Time::ZERO, SERVER, &leaves(), true);

    assert_eq!(notices.standing(Time::ZERO, SERVER), Standing::Leaving);
}

#[test]
fn what_is_no_flag_takes_no_server_away() {
    for odd in [Stated::Absent, Stated::Value(false), Stated::Unreadable] {
        let mut notices = ServerNotices::default();
        let notice = Notice {
            leaving: odd,
            ..Notice::default()
        };

        let changes = notices.answered(Time::ZERO, SERVER, &notice, true);

        assert!(changes.leaving.is_empty());
        assert_eq!(notices.standing(Time::ZERO, SERVER), Standing::Open);
    }
}

#[test]
fn a_box_that_is_told_knows_it_and_it_is_news_once() {
    let (mut first, mut second) = (ServerNotices::default(), ServerNotices::default());
    first.answered(Time::ZERO, SERVER, &leaves(), true);
    let rows = first.rows(Time::from_millis(5));

    let changes = second.take_rows(Time::from_millis(6), &rows);
    let again = second.take_rows(Time::from_millis(7), &rows);

    assert_eq!(changes.leaving, [SERVER]);
    assert!(again.leaving.is_empty());
    assert_eq!(
        second.standing(Time::from_millis(8), SERVER),
        Standing::Leaving
    );
}

#[test]
fn many_that_leave_at_once_are_all_told_within_a_few_datagrams() {
    let mut leaving = LeavingServers::default();
    for life in 0..150 {
        leaving.note(Time::ZERO, ServerLife(life));
    }
    let mut told = BTreeSet::new();
    for at in 0..5 {
        let rows = leaving.rows(Time::from_millis(at * 40));
        assert!(rows.len() <= 36, "{} rows", rows.len());
        told.extend(rows);
    }

    assert_eq!(told.len(), 150);
}

#[test]
fn boxes_that_were_cut_off_hear_of_old_ones_in_turn() {
    let mut leaving = LeavingServers::default();
    for life in 0..40 {
        leaving.note(Time::ZERO, ServerLife(life));
    }
    let mut told = BTreeSet::new();
    for at in 0..10 {
        let rows = leaving.rows(Time::from_millis(10_000 + at * 300));
        assert!(rows.len() <= 4, "{} rows", rows.len());
        told.extend(rows);
    }

    assert_eq!(told.len(), 40);
}

#[test]
fn thousands_that_leave_stay_within_bounds_and_the_newest_are_kept() {
    let mut leaving = LeavingServers::default();
    for life in 0..10_000 {
        leaving.note(Time::from_millis(life), ServerLife(life));
    }

    assert_eq!(leaving.len(), 4_096);
    assert_eq!(leaving.pushed_out(), 10_000 - 4_096);
    assert!(leaving.holds(ServerLife(9_999)));
}
