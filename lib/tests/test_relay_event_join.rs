//! Joining the event streams of one or more attempts into one response.

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
fn only_complete_events_are_returned() {
    let mut join = EventJoin::default();

    let first = join
        .push(b"id: 1\ndata: a\n")
        .expect("an incomplete event is accepted");
    let second = join.push(b"\nid: 2\n").expect("one event is complete");

    assert!(first.is_empty());
    assert_eq!(&second[..], b"id: 1\ndata: a\n\n");
    assert!(join.is_inside_event());
    assert_eq!(join.last(), Some(1));
}

#[test]
fn incomplete_event_of_a_broken_attempt_is_discarded() {
    let mut join = EventJoin::default();
    let returned = join
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: half")
        .expect("one complete event");

    join.discard_partial();
    let resumed = join
        .push(event(2).as_bytes())
        .expect("the next attempt continues");

    assert_eq!(&returned[..], b"id: 1\ndata: a\n\n");
    assert_eq!(resumed, event(2));
}

#[test]
fn repeated_event_is_an_error() {
    let mut join = EventJoin::default();
    join.push(events(1..4).as_bytes()).expect("three events");

    let repeated = join.push(event(3).as_bytes());

    assert_eq!(
        repeated,
        Err(EventJoinError::OutOfOrder { last: 3, found: 3 })
    );
}

#[test]
fn skipped_event_is_an_error() {
    let mut join = EventJoin::after(Some(7));

    let skipped = join.push(event(9).as_bytes());

    assert_eq!(
        skipped,
        Err(EventJoinError::OutOfOrder { last: 7, found: 9 })
    );
}

#[test]
fn no_event_of_a_chunk_with_an_error_is_returned() {
    let mut join = EventJoin::default();

    let mixed = join.push(format!("{}{}", event(1), event(3)).as_bytes());

    assert_eq!(mixed, Err(EventJoinError::OutOfOrder { last: 1, found: 3 }));
}

#[test]
fn comments_need_no_id() {
    let mut join = EventJoin::default();

    let returned = join
        .push(b": still there\n\nid: 1\ndata: a\n\n")
        .expect("a comment is accepted");

    assert_eq!(&returned[..], b": still there\n\nid: 1\ndata: a\n\n");
}

#[test]
fn event_without_an_end_is_limited_in_size() {
    let mut join = EventJoin::default();
    let endless = vec![b'x'; (1 << 20) + 1];

    assert_eq!(join.push(&endless), Err(EventJoinError::EventTooLarge));
}

/// The response does not depend on the chunk boundaries.
#[test]
fn chunk_boundaries_do_not_change_the_response() {
    fn property(count: u8, cuts: Vec<u8>) -> bool {
        let all = events(1..u64::from(count) + 1);
        let mut join = EventJoin::default();
        let mut joined = Vec::new();
        let mut rest = all.as_bytes();
        for cut in cuts {
            let (chunk, remaining) = rest.split_at(usize::from(cut).min(rest.len()));
            joined.extend_from_slice(&join.push(chunk).expect("well-formed"));
            rest = remaining;
        }
        joined.extend_from_slice(&join.push(rest).expect("well-formed"));
        joined == all.as_bytes() && !join.is_inside_event()
    }
    seeded().quickcheck(property as fn(u8, Vec<u8>) -> bool);
}

/// Attempts that break at any byte and continue elsewhere lose and repeat no event.
#[test]
fn broken_attempts_join_to_the_complete_response() {
    fn property(count: u8, breaks: Vec<u16>) -> TestResult {
        let end = u64::from(count) + 1;
        let all = events(1..end);
        let mut join = EventJoin::default();
        let mut joined = Vec::new();
        for break_at in breaks {
            let attempt = events(join.last().unwrap_or(0) + 1..end);
            let cut = usize::from(break_at).min(attempt.len());
            joined.extend_from_slice(&join.push(&attempt.as_bytes()[..cut]).expect("well-formed"));
            join.discard_partial();
        }
        let last = events(join.last().unwrap_or(0) + 1..end);
        joined.extend_from_slice(&join.push(last.as_bytes()).expect("well-formed"));
        TestResult::from_bool(joined == all.as_bytes())
    }
    seeded().quickcheck(property as fn(u8, Vec<u16>) -> TestResult);
}

/// Arbitrary input causes no panic, and no more bytes are returned than were pushed.
#[test]
fn arbitrary_bytes_are_handled() {
    fn property(chunks: Vec<Vec<u8>>) -> bool {
        let mut join = EventJoin::default();
        let mut pushed = 0;
        let mut returned = 0;
        for chunk in chunks {
            pushed += chunk.len();
            match join.push(&chunk) {
                Ok(events) => returned += events.len(),
                Err(_) => return true,
            }
        }
        returned <= pushed
    }
    seeded().quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}
