//! Joining the events of one or more runs into one answer.

use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::event_join::EventJoinError;
use quickcheck::TestResult;

use crate::seeded::seeded;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: std::ops::Range<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn only_whole_events_are_passed_on() {
    let mut join = EventJoin::default();

    let first = join
        .push(b"id: 1\ndata: a\n")
        .expect("a part of an event is fine");
    let second = join.push(b"\nid: 2\n").expect("an event ended");

    assert!(first.is_empty());
    assert_eq!(&second[..], b"id: 1\ndata: a\n\n");
    assert!(join.is_inside_event());
    assert_eq!(join.last(), Some(1));
}

#[test]
fn the_unfinished_event_of_a_broken_run_is_dropped() {
    let mut join = EventJoin::default();
    let passed = join
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: half")
        .expect("one whole event");

    join.discard_partial();
    let resumed = join
        .push(event(2).as_bytes())
        .expect("the next run continues");

    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    assert_eq!(resumed, event(2));
}

#[test]
fn a_run_that_repeats_an_event_is_not_used() {
    let mut join = EventJoin::default();
    join.push(events(1..4).as_bytes()).expect("three events");

    let repeated = join.push(event(3).as_bytes());

    assert_eq!(
        repeated,
        Err(EventJoinError::OutOfOrder { last: 3, found: 3 })
    );
}

#[test]
fn a_run_that_skips_an_event_is_not_used() {
    let mut join = EventJoin::after(Some(7));

    let skipped = join.push(event(9).as_bytes());

    assert_eq!(
        skipped,
        Err(EventJoinError::OutOfOrder { last: 7, found: 9 })
    );
}

#[test]
fn nothing_of_a_chunk_with_a_bad_event_is_passed_on() {
    let mut join = EventJoin::default();

    let mixed = join.push(format!("{}{}", event(1), event(3)).as_bytes());

    assert_eq!(mixed, Err(EventJoinError::OutOfOrder { last: 1, found: 3 }));
}

#[test]
fn comments_need_no_id() {
    let mut join = EventJoin::default();

    let passed = join
        .push(b": still there\n\nid: 1\ndata: a\n\n")
        .expect("a comment is fine");

    assert_eq!(&passed[..], b": still there\n\nid: 1\ndata: a\n\n");
}

#[test]
fn an_event_without_an_end_is_not_held_for_ever() {
    let mut join = EventJoin::default();
    let endless = vec![b'x'; (1 << 20) + 1];

    assert_eq!(join.push(&endless), Err(EventJoinError::EventTooLarge));
}

/// However the bytes are cut into chunks, the answer is the same.
#[test]
fn chunks_do_not_matter() {
    fn property(count: u8, cuts: Vec<u8>) -> bool {
        let all = events(1..u64::from(count) + 1);
        let mut join = EventJoin::default();
        let mut joined = Vec::new();
        let mut rest = all.as_bytes();
        for cut in cuts {
            let (now, later) = rest.split_at(usize::from(cut).min(rest.len()));
            joined.extend_from_slice(&join.push(now).expect("well-formed"));
            rest = later;
        }
        joined.extend_from_slice(&join.push(rest).expect("well-formed"));
        joined == all.as_bytes() && !join.is_inside_event()
    }
    seeded().quickcheck(property as fn(u8, Vec<u8>) -> bool);
}

/// Runs that break anywhere and go on elsewhere lose nothing and repeat nothing.
#[test]
fn broken_runs_join_whole() {
    fn property(count: u8, breaks: Vec<u16>) -> TestResult {
        let end = u64::from(count) + 1;
        let all = events(1..end);
        let mut join = EventJoin::default();
        let mut joined = Vec::new();
        for at in breaks {
            let run = events(join.last().unwrap_or(0) + 1..end);
            let cut = usize::from(at).min(run.len());
            joined.extend_from_slice(&join.push(&run.as_bytes()[..cut]).expect("well-formed"));
            join.discard_partial();
        }
        let last = events(join.last().unwrap_or(0) + 1..end);
        joined.extend_from_slice(&join.push(last.as_bytes()).expect("well-formed"));
        TestResult::from_bool(joined == all.as_bytes())
    }
    seeded().quickcheck(property as fn(u8, Vec<u16>) -> TestResult);
}

/// Any bytes at all: no panic, and never a byte that was not pushed.
#[test]
fn any_bytes_are_borne() {
    fn property(chunks: Vec<Vec<u8>>) -> bool {
        let mut join = EventJoin::default();
        let mut pushed = 0;
        let mut passed = 0;
        for chunk in chunks {
            pushed += chunk.len();
            match join.push(&chunk) {
                Ok(events) => passed += events.len(),
                Err(_) => return true,
            }
        }
        passed <= pushed
    }
    seeded().quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}
