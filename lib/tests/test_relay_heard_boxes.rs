//! Which boxes are heard, and who is ahead.

use std::time::Duration;

use badgerferry_lib::relay::heard_boxes::HeardBoxes;
use badgerferry_lib::relay::state_pull::Revisions;
use badgerferry_lib::time::Time;

const fn have(table: u64, servers: u64) -> Revisions {
    Revisions { table, servers }
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn boxes_that_said_they_have_newer_state_are_ahead_while_they_live() {
    let mut heard = HeardBoxes::default();
    heard.hear(at(0), "routes", have(5, 1));
    heard.hear(at(100), "servers", have(4, 9));
    heard.hear(at(100), "level", have(4, 1));

    let mut ahead = heard.ahead_of(at(200), have(4, 1));
    ahead.sort_unstable();

    assert_eq!(ahead, ["routes", "servers"]);
    assert_eq!(heard.ahead_of(at(1_250), have(4, 1)), ["servers"]);
    assert!(heard.ahead_of(at(200), have(5, 9)).is_empty());
}

#[test]
fn a_box_that_is_silent_lives_no_more() {
    let mut heard = HeardBoxes::default();
    heard.hear(at(1_000), "a", have(1, 1));

    assert!(heard.lives(at(2_100), "a"));
    assert!(!heard.lives(at(2_200), "a"));
    assert_eq!(heard.silent_for(at(3_000), "a"), Duration::from_secs(2));
    assert_eq!(heard.silent_for(at(3_000), "b"), Duration::from_secs(3));
}
