//! Selection of engines for long prompts, and splitting of prompts that exceed one engine.
//!
//! Long prompts run only on the first engines in order of a rendezvous hash of model and
//! engine, as many as their share of the demand needs; the other engines stay free for short
//! calls. All boxes compute the same order without communication. If their counts differ, the
//! larger set contains the smaller. Engine groups are taken from the end of the set and single
//! long prompts from its start, so that they compete only when the set is full.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::ModelName;
use crate::ids::ServerName;
use crate::request::Share;
use crate::server_view::ServerView;

/// Share of an engine's memory available to all its long prompts together, in percent. The rest
/// is kept for short calls, which would otherwise wait until a long prompt ends.
pub const LONG_MEMORY_PERCENT: u64 = 85;
/// Half-life of the demand that determines the number of engines for long prompts, in seconds.
const DEMAND_HALF_LIFE_S: f64 = 60.0;
/// Capacity for long prompts as a multiple of their share of demand; avoids queues at their
/// engines.
const LONG_ENGINE_HEADROOM: f64 = 1.4;

/// Rendezvous hash of a model and an engine; the model's long prompts run on the engines with the
/// lowest values.
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

/// Exponentially decaying counts of requested prompt tokens, separately for long and short prompts.
#[derive(Debug, Default, Clone, Copy)]
pub struct PromptDemand {
    long: f64,
    short: f64,
    updated_at_s: f64,
}

impl PromptDemand {
    /// Adds a prompt of `tokens` tokens.
    pub fn record(&mut self, now_s: f64, tokens: u64, long: bool) {
        let decay = 0.5_f64.powf((now_s - self.updated_at_s).max(0.0) / DEMAND_HALF_LIFE_S);
        self.updated_at_s = now_s;
        self.long *= decay;
        self.short *= decay;
        if long {
            self.long += tokens as f64;
        } else {
            self.short += tokens as f64;
        }
    }

    /// Number of engines out of `total` that long prompts may use, at most `max_percent` of them
    /// but at least one if there is demand for long prompts and `total` is not zero.
    pub fn long_engine_count(&self, total: usize, max_percent: u64) -> usize {
        let demand = self.long + self.short;
        if total == 0 || self.long <= 0.0 {
            return 0;
        }
        let wanted = (total as f64 * self.long / demand * LONG_ENGINE_HEADROOM).ceil() as usize;
        let max = (total as u64 * max_percent / 100).max(1) as usize;
        wanted.clamp(1, max)
    }
}

/// Memory of an engine available to long prompts, in tokens.
pub fn usable_memory(server: &ServerView) -> u64 {
    server.memory_total() * LONG_MEMORY_PERCENT / 100
}

/// Number of engines, from the first on, whose usable memory together holds `tokens`; all of
/// them if their memory does not suffice.
pub fn engines_needed<'a>(engines: impl Iterator<Item = &'a ServerView>, tokens: u64) -> usize {
    let mut remaining = tokens;
    let mut count = 0;
    for engine in engines {
        if remaining == 0 {
            break;
        }
        remaining = remaining.saturating_sub(usable_memory(engine));
        count += 1;
    }
    count
}

/// Memory of an engine that another long prompt may take now, in tokens.
pub fn free_long_memory(server: &ServerView) -> u64 {
    if server.is_memory_full() {
        return 0;
    }
    let reserved = server.memory_total() - usable_memory(server);
    server.memory_free().saturating_sub(reserved)
}

/// Splits a prompt over engines in order of preference; `None` if their memory is insufficient.
///
/// `total` is the memory for the prompt and its output, in tokens. The shares are sorted by
/// server name. Every box reserves them in this order, so that two groups conflict at their
/// first common engine and at no other.
pub fn plan_group(candidates: &[&ServerView], prompt: u64, total: u64) -> Option<Vec<Share>> {
    let mut remaining = total;
    let mut shares = Vec::new();
    for server in candidates {
        let taken = free_long_memory(server).min(remaining);
        if taken > 0 {
            remaining -= taken;
            shares.push(Share {
                server: server.info().name.clone(),
                tokens: taken,
                prompt: 0,
            });
        }
    }
    if remaining > 0 {
        return None;
    }
    shares.sort_by(|a, b| a.server.cmp(&b.server));
    let mut prompt_remaining = prompt;
    for share in &mut shares {
        share.prompt = share.tokens.min(prompt_remaining);
        prompt_remaining -= share.prompt;
    }
    Some(shares)
}
