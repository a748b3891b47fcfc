//! The most boxes that were known recently.

use badgerferry_lib::relay::gossip_topology::BOX_EXPIRY;
use badgerferry_lib::relay::recent_box_count::RecentBoxCount;
use badgerferry_lib::time::Time;

#[test]
fn boxes_that_are_no_longer_listed_count_until_their_entries_would_expire() {
    let mut counts = RecentBoxCount::default();
    let start = Time::from_millis(1_000);
    for (second, boxes) in [(0, 5), (1, 26), (2, 17), (3, 9)] {
        counts.record(Time::from_millis(1_000 + second * 1_000), boxes);
    }

    let most =
        [0, 2, 3, 4].map(|second| counts.most(Time::from_millis(second * 1_000) + BOX_EXPIRY));

    assert_eq!(most, [26, 17, 9, 0]);
    assert_eq!(counts.most(start), 26);
}

#[test]
fn no_box_is_known_at_first() {
    assert_eq!(RecentBoxCount::default().most(Time::ZERO), 0);
}
