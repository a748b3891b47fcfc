//! Snapshot of the servers of one model, as input of a routing decision.

use crate::ids::HallName;
use crate::ids::ModelName;
use crate::long_prompt_engines;
use crate::server_view::ServerView;
use crate::service_time::Pace;
use crate::time::Time;

/// Servers of a model that accept work, and their combined capacity at one instant.
#[derive(Debug)]
pub(crate) struct ModelServers {
    /// Indices of the servers that serve the model and accept work.
    pub(crate) serving: Vec<usize>,
    /// Mean processing rates of these servers.
    pub(crate) pace: Pace,
    /// Total prefill rate of these servers in the hall, divided by the number of its boxes, in
    /// tokens per second.
    pub(crate) box_prefill_rate: f64,
    /// Memory that long prompts may use on all servers together, in tokens.
    pub(crate) usable_memory: u64,
    /// Memory that long prompts may use on the largest server, in tokens.
    pub(crate) max_usable_memory: u64,
}

impl ModelServers {
    /// Computes the snapshot; `boxes` is the number of boxes that share the servers of `hall`.
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
        let local = views().filter(|server| server.info().hall == *hall);
        let hall_prefill_rate: f64 = local.map(|server| server.prefill_rate() as f64).sum();
        Self {
            pace: Pace::mean(views()),
            box_prefill_rate: hall_prefill_rate / boxes as f64,
            usable_memory: views().map(long_prompt_engines::usable_memory).sum(),
            max_usable_memory: views()
                .map(long_prompt_engines::usable_memory)
                .max()
                .unwrap_or_default(),
            serving,
        }
    }
}
