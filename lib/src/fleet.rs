//! The servers of one model at one instant, as a decision sees them.

use crate::ids::HallName;
use crate::ids::ModelName;
use crate::long_lane;
use crate::server_view::ServerView;
use crate::service_time::Pace;
use crate::time::Time;

/// The servers of a model at one instant.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Indices of those that take work.
    pub(crate) serving: Vec<usize>,
    /// How fast they work.
    pub(crate) pace: Pace,
    /// Prompt tokens a second of the hall's own, over its boxes.
    pub(crate) own_rate: f64,
    /// Memory that long prompts may take, at all of them.
    pub(crate) usable_memory: u64,
    /// The same, at the largest.
    pub(crate) most_memory: u64,
}

impl Fleet {
    /// Works it out; `boxes` share the servers of `hall`.
    pub(crate) fn new(
        now: Time,
        servers: &[ServerView],
        model: &ModelName,
        hall: &HallName,
        boxes: usize,
    ) -> Self {
        let is_usable =
            |&index: &usize| servers[index].takes_work(now) && servers[index].serves(model);
        let serving: Vec<usize> = (0..servers.len()).filter(is_usable).collect();
        let views = || serving.iter().map(|&index| &servers[index]);
        let own = views().filter(|server| server.info().hall == *hall);
        let own_rate: f64 = own.map(|server| server.prefill_rate() as f64).sum();
        Self {
            pace: Pace::mean(views()),
            own_rate: own_rate / boxes as f64,
            usable_memory: views().map(long_lane::usable_memory).sum(),
            most_memory: views()
                .map(long_lane::usable_memory)
                .max()
                .unwrap_or_default(),
            serving,
        }
    }
}
