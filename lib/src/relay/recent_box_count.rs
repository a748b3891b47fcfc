//! The most boxes that were known recently.

use std::collections::VecDeque;

use crate::relay::gossip_topology::BOX_EXPIRY;
use crate::time::Time;

/// Largest number of boxes that was known within [`BOX_EXPIRY`].
#[derive(Debug, Default)]
pub struct RecentBoxCount {
    /// Counts that no later one exceeds, the largest first.
    counts: VecDeque<(Time, usize)>,
}

impl RecentBoxCount {
    /// Records how many boxes this or another box knows.
    pub fn record(&mut self, now: Time, boxes: usize) {
        while self.counts.back().is_some_and(|(_, last)| *last <= boxes) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, boxes));
        while (self.counts.front()).is_some_and(|(at, _)| now.since(*at) >= BOX_EXPIRY) {
            self.counts.pop_front();
        }
    }

    /// The largest count; zero if there is none.
    pub fn most(&self, now: Time) -> usize {
        let mut counts = self.counts.iter();
        let recent = counts.find(|(at, _)| now.since(*at) < BOX_EXPIRY);
        recent.map_or(0, |(_, boxes)| *boxes)
    }
}
