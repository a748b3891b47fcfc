//! Where long prompts run, and how one larger than an engine's memory is split.
//!
//! Long prompts keep to the first engines of a fixed order (rendezvous hash of model
//! and engine), as many as their share of the demand needs, so that the other engines
//! stay free for short calls. Every box computes the same order without a word between
//! them; they may differ in the count, and then one lane contains the other. Groups take
//! engines from the back of the lane and single long prompts from the front, so that
//! the two meet only when the lane is full.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::ModelName;
use crate::ids::ServerName;
use crate::request::Share;
use crate::server_view::ServerView;

/// Part of an engine's memory that long prompts together may take; the rest stays free for
/// short calls, which would otherwise wait for a long one's end.
pub const LONG_MEMORY_PERCENT: u64 = 85;
/// Half-life of the demand that the lane's size follows, in seconds.
const DEMAND_HALF_LIFE_S: f64 = 60.0;
/// Room above the long prompts' share of demand, so that the lane itself does not queue.
const LANE_HEADROOM: f64 = 1.4;

/// Position of an engine in a model's lane order.
///
/// # Panics
///
/// Never: a digest has more than eight bytes.
pub fn rendezvous_hash(model: &ModelName, server: &ServerName) -> u64 {
    let mut hash = Sha256::new();
    hash.update(model.as_str());
    hash.update([0]);
    hash.update(server.as_str());
    let digest = hash.finalize();
    u64::from_be_bytes(digest[..8].try_into().expect("eight bytes of a digest"))
}

/// Decaying count of prompt tokens asked for, long and short.
#[derive(Debug, Default, Clone, Copy)]
pub struct PromptDemand {
    long: f64,
    short: f64,
    at_s: f64,
}

impl PromptDemand {
    /// Counts a prompt.
    pub fn record(&mut self, now_s: f64, tokens: u64, long: bool) {
        let kept = 0.5_f64.powf((now_s - self.at_s).max(0.0) / DEMAND_HALF_LIFE_S);
        self.at_s = now_s;
        self.long *= kept;
        self.short *= kept;
        if long {
            self.long += tokens as f64;
        } else {
            self.short += tokens as f64;
        }
    }

    /// Engines of `total` that long prompts may use, at most `most_percent` of them.
    pub fn long_engine_count(&self, total: usize, most_percent: u64) -> usize {
        let all = self.long + self.short;
        if total == 0 || self.long <= 0.0 {
            return 0;
        }
        let wanted = (total as f64 * self.long / all * LANE_HEADROOM).ceil() as usize;
        let most = (total as u64 * most_percent / 100).max(1) as usize;
        wanted.clamp(1, most)
    }
}

/// Tokens of an engine's memory that a long prompt may take.
pub fn usable_memory(server: &ServerView) -> u64 {
    server.memory_total() * LONG_MEMORY_PERCENT / 100
}

/// How many of the engines, from the first on, hold this many tokens.
pub fn engines_needed<'a>(engines: impl Iterator<Item = &'a ServerView>, tokens: u64) -> usize {
    let mut left = tokens;
    let mut count = 0;
    for engine in engines {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(usable_memory(engine));
        count += 1;
    }
    count
}

/// Tokens of an engine's memory that another long prompt may take now.
pub fn free_long_memory(server: &ServerView) -> u64 {
    if server.is_memory_full() {
        return 0;
    }
    let kept = server.memory_total() - usable_memory(server);
    server.memory_free().saturating_sub(kept)
}

/// Splits a prompt over engines in order of preference; none if they do not suffice.
///
/// `whole` is the memory for the prompt and its answer, in tokens. The shares come out in
/// the order in which every box reserves them, by name, so that two groups meet at their
/// first common engine and at no other.
pub fn plan_group(candidates: &[&ServerView], prompt: u64, whole: u64) -> Option<Vec<Share>> {
    let mut left = whole;
    let mut shares = Vec::new();
    for server in candidates {
        let held = free_long_memory(server).min(left);
        if held > 0 {
            left -= held;
            shares.push(Share {
                server: server.info().name.clone(),
                tokens: held,
                prompt: 0,
            });
        }
    }
    if left > 0 {
        return None;
    }
    shares.sort_by(|a, b| a.server.cmp(&b.server));
    let mut prompt_left = prompt;
    for share in &mut shares {
        share.prompt = share.tokens.min(prompt_left);
        prompt_left -= share.prompt;
    }
    Some(shares)
}
