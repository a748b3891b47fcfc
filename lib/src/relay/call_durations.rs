//! How long the calls of each route take, from the latest ones that were served.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Latest calls of a route that count.
const SAMPLES: usize = 32;
/// Fraction of them that take no longer than expected.
const EXPECTED_QUANTILE: f64 = 0.9;
/// Maximum number of routes with samples; those of removed routes are dropped together beyond it.
const MAX_ROUTES: usize = 4_096;

/// Times from arrival to end, by the name of the route.
#[derive(Debug, Default)]
pub struct CallDurations {
    by_route: HashMap<String, VecDeque<Duration>>,
}

impl CallDurations {
    /// Records a call that was served.
    pub fn record(&mut self, route: &str, took: Duration) {
        if let Some(samples) = self.by_route.get_mut(route) {
            if samples.len() == SAMPLES {
                samples.pop_front();
            }
            samples.push_back(took);
            return;
        }
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.clear();
        }
        self.by_route
            .insert(route.to_owned(), VecDeque::from([took]));
    }

    /// Time that nine in ten calls of the route do not exceed; `None` without any.
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let mut samples: Vec<Duration> = self.by_route.get(route)?.iter().copied().collect();
        samples.sort_unstable();
        let rank = (samples.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        samples.get(rank.saturating_sub(1)).copied()
    }
}
