//! What boxes know of servers that leave, and how a server stands.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::leaving_servers::LeavingServers;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::ServerNotices;
use badgerferry_lib::time::Time;

const SERVER: ServerIncarnation = ServerIncarnation(7);

fn leaves() -> Notice {
    Notice {
        leaving: ParsedHeader::Value(true),
        ..Notice::default()
    }
}

fn limited() -> Notice {
    Notice {
        limit: ParsedHeader::Value(CallRate::per_second(1.0).expect("a rate")),
        ..Notice::default()
    }
}

#[test]
fn a_server_that_leaves_never_takes_calls_again_in_the_same_life() {
    let mut notices = ServerNotices::default();
    notices.record_response(Time::ZERO, SERVER, &leaves(), true);
    notices.record_response(Time::from_millis(1), SERVER, &Notice::default(), true);
    let days_later = Time::ZERO + Duration::from_hours(48);

    assert_eq!(
        notices.availability(days_later, SERVER),
        Availability::Leaving
    );
    assert_eq!(notices.available_in(days_later, SERVER), None);
    assert_eq!(
        notices.availability(days_later, ServerIncarnation(8)),
        Availability::Open
    );
}

#[test]
fn leaving_outweighs_a_limit() {
    let mut notices = ServerNotices::default();
    notices.record_response(Time::ZERO, SERVER, &limited(), true);
    notices.record_response(Time::ZERO, SERVER, &leaves(), true);

    assert_eq!(
        notices.availability(Time::ZERO, SERVER),
        Availability::Leaving
    );
}

#[test]
fn what_is_no_flag_takes_no_server_away() {
    for odd in [
        ParsedHeader::Absent,
        ParsedHeader::Value(false),
        ParsedHeader::Unreadable,
    ] {
        let mut notices = ServerNotices::default();
        let notice = Notice {
            leaving: odd,
            ..Notice::default()
        };

        let changes = notices.record_response(Time::ZERO, SERVER, &notice, true);

        assert!(changes.leaving.is_empty());
        assert_eq!(notices.availability(Time::ZERO, SERVER), Availability::Open);
    }
}

#[test]
fn a_box_that_is_told_knows_it_and_it_is_news_once() {
    let (mut first, mut second) = (ServerNotices::default(), ServerNotices::default());
    first.record_response(Time::ZERO, SERVER, &leaves(), true);
    let rows = first.rows(Time::from_millis(5));

    let changes = second.merge_rows(Time::from_millis(6), &rows);
    let again = second.merge_rows(Time::from_millis(7), &rows);

    assert_eq!(changes.leaving, [SERVER]);
    assert!(again.leaving.is_empty());
    assert_eq!(
        second.availability(Time::from_millis(8), SERVER),
        Availability::Leaving
    );
}

#[test]
fn many_that_leave_at_once_are_all_told_within_a_few_datagrams() {
    let mut leaving = LeavingServers::default();
    for incarnation in 0..150 {
        leaving.insert(Time::ZERO, ServerIncarnation(incarnation));
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
    for incarnation in 0..40 {
        leaving.insert(Time::ZERO, ServerIncarnation(incarnation));
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
    for incarnation in 0..10_000 {
        leaving.insert(
            Time::from_millis(incarnation),
            ServerIncarnation(incarnation),
        );
    }

    assert_eq!(leaving.len(), 4_096);
    assert_eq!(leaving.evicted(), 10_000 - 4_096);
    assert!(leaving.contains(ServerIncarnation(9_999)));
}

const PAUSE: Duration = Duration::from_secs(3);

fn sheds(pause: Duration) -> Notice {
    Notice {
        retry_after: ParsedHeader::Value(pause),
        ..Notice::default()
    }
}

/// Notices of a box that was turned away at 0 ms for three seconds.
fn paused() -> ServerNotices {
    let mut notices = ServerNotices::default();
    notices.record_response(Time::ZERO, SERVER, &sheds(PAUSE), false);
    notices
}

#[test]
fn a_server_that_sheds_wants_nothing_until_its_pause_is_over() {
    let notices = paused();

    let before = Time::from_millis(2_999);
    assert_eq!(notices.availability(before, SERVER), Availability::BackOff);
    assert_eq!(
        notices.available_in(before, SERVER),
        Some(Duration::from_millis(1))
    );
    assert_eq!(
        notices.availability(Time::from_millis(3_000), SERVER),
        Availability::Open
    );
    assert_eq!(
        notices.availability(before, ServerIncarnation(8)),
        Availability::Open
    );
}

#[test]
fn a_shorter_pause_after_a_longer_one_shortens_nothing() {
    let mut notices = paused();
    notices.record_response(
        Time::from_millis(100),
        SERVER,
        &sheds(Duration::from_millis(50)),
        false,
    );

    assert_eq!(
        notices.availability(Time::from_millis(2_900), SERVER),
        Availability::BackOff
    );
}

#[test]
fn an_answer_to_an_earlier_call_does_not_end_a_pause() {
    let mut notices = paused();

    let changes = notices.record_response(Time::from_millis(100), SERVER, &Notice::default(), true);

    assert!(changes.recovered.is_empty());
    assert_eq!(
        notices.availability(Time::from_millis(200), SERVER),
        Availability::BackOff
    );
}

#[test]
fn after_a_pause_one_call_tries_the_server_and_others_follow_its_answer() {
    let mut notices = paused();
    let after = Time::from_millis(3_010);
    assert_eq!(notices.availability(after, SERVER), Availability::Open);

    notices.shedding.record_sent(after, SERVER);
    assert_eq!(notices.availability(after, SERVER), Availability::Shedding);
    let changes =
        notices.record_response(Time::from_millis(3_020), SERVER, &Notice::default(), true);

    assert_eq!(changes.recovered, [SERVER]);
    assert_eq!(
        notices.availability(Time::from_millis(3_021), SERVER),
        Availability::Open
    );
}

#[test]
fn a_trial_that_is_turned_away_begins_a_new_pause() {
    let mut notices = paused();
    let after = Time::from_millis(3_010);
    notices.shedding.record_sent(after, SERVER);

    let changes = notices.record_response(after, SERVER, &sheds(PAUSE), false);

    assert_eq!(changes.shedding, [SERVER]);
    assert_eq!(
        notices.availability(Time::from_millis(6_000), SERVER),
        Availability::BackOff
    );
}

#[test]
fn a_trial_without_an_answer_keeps_others_away_for_half_a_second() {
    let mut notices = paused();
    notices
        .shedding
        .record_sent(Time::from_millis(3_010), SERVER);

    assert_eq!(
        notices.availability(Time::from_millis(3_400), SERVER),
        Availability::Shedding
    );
    assert_eq!(
        notices.availability(Time::from_millis(3_600), SERVER),
        Availability::Open
    );
}

#[test]
fn a_box_that_is_told_prefers_others_until_the_teller_has_tried_again() {
    let mut teller = paused();
    let mut told = ServerNotices::default();
    let now = Time::from_millis(10);
    let rows = teller.rows(now);

    let changes = told.merge_rows(now, &rows);

    assert_eq!(changes.shedding, [SERVER]);
    for at in [10, 3_200] {
        assert_eq!(
            told.availability(Time::from_millis(at), SERVER),
            Availability::Shedding
        );
    }
    assert_eq!(
        told.availability(Time::from_millis(3_300), SERVER),
        Availability::Open
    );
}

#[test]
fn a_pause_that_other_boxes_tell_of_keeps_no_box_away_for_long() {
    let mut teller = ServerNotices::default();
    teller.record_response(Time::ZERO, SERVER, &sheds(Duration::from_hours(1)), false);
    let mut told = ServerNotices::default();
    told.merge_rows(Time::ZERO, &teller.rows(Time::ZERO));

    let later = Time::from_millis(10_300);
    assert_eq!(told.availability(later, SERVER), Availability::Open);
    assert_eq!(teller.availability(later, SERVER), Availability::BackOff);
}

#[test]
fn a_pause_without_an_end_is_one_of_an_hour() {
    let mut notices = ServerNotices::default();
    notices.record_response(Time::ZERO, SERVER, &sheds(Duration::MAX), false);

    let hour = Duration::from_hours(1);
    assert_eq!(notices.available_in(Time::ZERO, SERVER), Some(hour));
    assert_eq!(
        notices.availability(Time::ZERO + hour, SERVER),
        Availability::Open
    );
}

#[test]
fn a_pause_of_no_time_is_none() {
    let mut notices = ServerNotices::default();

    let changes = notices.record_response(Time::ZERO, SERVER, &sheds(Duration::ZERO), false);

    assert!(changes.shedding.is_empty());
    assert_eq!(notices.availability(Time::ZERO, SERVER), Availability::Open);
}

#[test]
fn leaving_outweighs_a_pause_and_a_pause_a_limit() {
    let mut notices = paused();
    notices.record_response(Time::ZERO, SERVER, &limited(), true);
    assert_eq!(
        notices.availability(Time::ZERO, SERVER),
        Availability::BackOff
    );

    notices.record_response(Time::ZERO, SERVER, &leaves(), true);

    assert_eq!(
        notices.availability(Time::ZERO, SERVER),
        Availability::Leaving
    );
}

#[test]
fn thousands_that_shed_stay_within_bounds() {
    let mut notices = ServerNotices::default();
    for incarnation in 0..5_000 {
        let now = Time::from_millis(incarnation);
        notices.record_response(now, ServerIncarnation(incarnation), &sheds(PAUSE), false);
        assert!(notices.rows(now).shedding.len() <= 16);
    }

    assert!(notices.shedding.paused_count(Time::from_millis(5_000)) <= 2_048);
}

#[test]
fn a_call_that_was_turned_away_does_not_try_another_server_after_its_pause() {
    let notices = paused();
    let after = Time::from_millis(3_010);

    assert_eq!(notices.availability(after, SERVER), Availability::Open);
    assert_eq!(
        notices.availability_for_retry(after, SERVER),
        Availability::Shedding
    );
}
