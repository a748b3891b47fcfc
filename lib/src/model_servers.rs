//! The servers of one model at one instant, as a decision sees them.

use crate::ids::HallName;
use crate::ids::ModelName;
use crate::long_prompt_engines;
use crate::server_view::ServerView;
use crate::service_time::Pace;
use crate::time::Time;

/// The servers of a model at one instant.
#[derive(Debug)]
pub(crate) struct ModelServers {
    /// Indices of those that take work.
    pub(crate) serving: Vec<usize>,
    /// How fast they work.
    pub(crate) pace: Pace,
    /// Prompt tokens a second of the hall's own, over its boxes.
    pub(crate) box_prefill_rate: f64,
    /// Memory that long prompts may take, at all of them.
    pub(crate) usable_memory: u64,
    /// The same, at the largest.
    pub(crate) max_memory: u64,
}

impl ModelServers {
    /// Works it out; `boxes` share the servers of `hall`.
    pub(crate) fn new(
        now: Time,
        servers: &[ServerView],
        model: &ModelName,
        hall: &HallName,
        boxes: usize,
    ) -> Self {
        let is_usable =
            |&index: &usize| servers[index].accepts_work(now) && servers[index].serves(model);
        let serving: Vec<usize> = (0..servers.len()).filter(is_usable).collect();
        let views = || serving.iter().map(|&index| &servers[index]);
        let own = views().filter(|server| server.info().hall == *hall);
        let box_prefill_rate: f64 = own.map(|server| server.prefill_rate() as f64).sum();
        Self {
            pace: Pace::of(views()),
            box_prefill_rate: box_prefill_rate / boxes as f64,
            usable_memory: views().map(long_prompt_engines::usable_memory).sum(),
            max_memory: views()
                .map(long_prompt_engines::usable_memory)
                .max()
                .unwrap_or_default(),
            serving,
        }
    }
}
