//! Ownership of call quotas: one box grants the calls to a limited server, the others request a
//! permit from it for each call.
//!
//! If each box counted by itself, every box could send a first call at the same time, and an even
//! share per box would leave most of a small limit unused. So the first live box of the server's
//! hall owns the quota. No particular box is required: if the owner fails, the next box takes over
//! without any burst allowance, and a box that can reach no owner sends no call to the server while
//! other servers are available.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::HallName;
use crate::relay::call_quota::CallQuota;
use crate::relay::call_quota::QuotaExceeded;
use crate::relay::call_quota::QuotaTerms;
use crate::relay::gossip_topology;
use crate::relay::gossip_topology::Boxes;
use crate::relay::gossip_topology::GossipScope;
use crate::relay::peer_liveness::LIVENESS_TIMEOUT;
use crate::relay::peer_liveness::PeerState;
use crate::relay::permit_wire::PermitDecision;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::state_pull::BoxAddresses;
use crate::time::Time;

/// Maximum number of owned quotas, at about 50 bytes each.
const MAX_QUOTAS: usize = 2_048;
/// Idle time after which a quota may be evicted: by then it is replenished, except for the slowest
/// servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of responses kept for repeated requests.
const MAX_CACHED_RESPONSES: usize = 512;

/// Shares of a new owner while the previous one may not have noticed that it is cut off, and still
/// grant the whole rate.
const TAKEOVER_SHARES: usize = 3;

/// Box that owns the quota of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaOwner {
    /// This box, which grants one of `shares` equal shares of the rate: under a network partition
    /// there may be that many owners at the same time.
    Local {
        /// Number of shares.
        shares: usize,
    },
    /// Another box.
    Remote(SocketAddr),
    /// Not known yet.
    Unknown,
}

impl QuotaOwner {
    /// Determines the owner for the servers of a hall, as seen by the box `own`, which started
    /// `uptime` ago: the first live box of the hall, or of another hall if it has no live box.
    pub fn elect(
        boxes: &Boxes,
        own: &str,
        hall: &HallName,
        uptime: Duration,
        is_alive: impl Fn(&str) -> bool,
    ) -> Self {
        let has_live_peer = boxes.keys().any(|name| name != own && is_alive(name));
        if !has_live_peer {
            return match boxes.len() {
                0 | 1 => Self::Local { shares: 1 },
                _ if uptime < LIVENESS_TIMEOUT => Self::Unknown,
                // This box is partitioned from the others, or they have all failed.
                boxes => Self::Local { shares: boxes },
            };
        }
        let Some(first) = gossip_topology::first_live_box(boxes, own, hall, &is_alive) else {
            return Self::Unknown;
        };
        if first.name != own {
            return first.load.parse().map_or(Self::Unknown, Self::Remote);
        }
        if uptime < LIVENESS_TIMEOUT {
            // A datagram of the previous owner may not have arrived yet.
            return Self::Unknown;
        }
        let shares = if first.hall == hall.as_str() {
            possible_partitions(boxes, own, hall, is_alive)
        } else {
            // Under a partition, the first box of each hall may consider itself the owner.
            gossip_topology::hall_count(boxes)
        };
        Self::Local { shares }
    }

    /// Determines the owner for cold servers of a hall, see [`Self::elect`] and
    /// [`Self::for_cold_servers`]. Boxes notice a partition or its end up to `LIVENESS_TIMEOUT`
    /// apart, so the shares fall only after all peers have been live or silent for that long.
    pub fn elect_for_cold_servers(
        boxes: &Boxes,
        own: &str,
        hall: &HallName,
        uptime: Duration,
        state: impl Fn(&str) -> PeerState,
    ) -> Self {
        let view = |uptime, live: &[PeerState]| {
            let is_alive = |name: &str| live.contains(&state(name));
            Self::elect(boxes, own, hall, uptime, is_alive)
                .for_cold_servers(boxes, own, hall, is_alive)
        };
        let before = uptime.saturating_sub(LIVENESS_TIMEOUT);
        let current = view(uptime, &[PeerState::Steady, PeerState::New]);
        let previous = [
            view(before, &[PeerState::Steady]),
            view(
                before,
                &[PeerState::Steady, PeerState::New, PeerState::Lost],
            ),
        ];
        previous.into_iter().fold(current, Self::at_least_shares_of)
    }

    fn at_least_shares_of(self, previous: Self) -> Self {
        match (self, previous) {
            (Self::Local { shares }, Self::Local { shares: previous }) => Self::Local {
                shares: shares.max(previous),
            },
            (Self::Local { shares }, Self::Remote(_)) => Self::Local {
                shares: shares.max(TAKEOVER_SHARES),
            },
            (owner, _) => owner,
        }
    }

    /// The owner for cold servers of a hall, which fail above their rate also while halls are cut off
    /// from each other: each hall that is silent may have an owner of its own, so this box grants at
    /// most the share of the others. See [`QuotaTerms::cold`] for the shares. Boxes of other halls
    /// count only if they gossip with this one.
    #[must_use]
    pub fn for_cold_servers(
        self,
        boxes: &Boxes,
        own: &str,
        hall: &HallName,
        is_alive: impl Fn(&str) -> bool,
    ) -> Self {
        match self {
            Self::Local { shares } => {
                let halls = gossip_topology::hall_count(boxes);
                let is_heard = |peer: &BoxAddresses| peer.name == own || is_alive(&peer.name);
                let heard = boxes.values().filter(|peer| is_heard(peer));
                let heard: HashSet<&str> = heard.map(|peer| peer.hall.as_str()).collect();
                let shares_by_halls = halls.div_ceil(heard.len().max(1));
                let scope = GossipScope::of(boxes);
                let own_hall = boxes.get(own).map(|own| own.hall.as_str());
                let in_scope = |peer: &&BoxAddresses| {
                    scope == GossipScope::Fleet || own_hall == Some(peer.hall.as_str())
                };
                let hears_whole_halls = boxes
                    .values()
                    .filter(in_scope)
                    .all(|peer| is_heard(peer) || !heard.contains(peer.hall.as_str()));
                let is_half_of_hall = boxes.get(own).is_some_and(|own| own.hall == hall.as_str())
                    && possible_partitions(boxes, own, hall, &is_alive) == 2;
                let shares = match (shares_by_halls, is_half_of_hall) {
                    // The other half cannot hear most of the boxes as well.
                    (1, true) => {
                        partitions_by_heard(boxes.values().filter(in_scope), own, &is_alive)
                    }
                    // The other half of the hall and the silent halls may have an owner each.
                    (2, true) => shares.max(4),
                    // The silent box of a heard hall may be on a third side.
                    (2, false) if !hears_whole_halls => shares.max(3),
                    (by_halls, _) => shares.max(by_halls),
                };
                Self::Local { shares }
            }
            Self::Remote(_) | Self::Unknown => self,
        }
    }
}

/// Upper estimate of the number of partitions of a hall: one, while most of its boxes are
/// live for this box. The others may be partitioned rather than failed, and have an owner of their
/// own.
fn possible_partitions(
    boxes: &Boxes,
    own: &str,
    hall: &HallName,
    is_alive: impl Fn(&str) -> bool,
) -> usize {
    let known = gossip_topology::ranked_boxes(boxes, hall.as_str());
    partitions_by_heard(known, own, is_alive)
}

/// Upper estimate of the number of partitions of these boxes: one, while most of them are heard.
fn partitions_by_heard<'a>(
    known: impl IntoIterator<Item = &'a BoxAddresses>,
    own: &str,
    is_alive: impl Fn(&str) -> bool,
) -> usize {
    let known = known.into_iter();
    let is_heard = known.map(|peer| peer.name == own || is_alive(&peer.name));
    let (heard, silent): (Vec<bool>, Vec<bool>) = is_heard.partition(|is_heard| *is_heard);
    if heard.len() > silent.len() {
        1
    } else {
        (heard.len() + silent.len()).div_ceil(heard.len().max(1))
    }
}

/// Quotas owned by this box.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    quotas: HashMap<ServerIncarnation, QuotaEntry>,
    /// Latest responses by request ID, oldest first.
    responses: VecDeque<(u64, PermitDecision)>,
}

#[derive(Debug)]
struct QuotaEntry {
    quota: CallQuota,
    requested_at: Time,
}

impl OwnedQuotas {
    /// Grants a call to the server and returns how long it has to wait.
    ///
    /// # Errors
    ///
    /// The call would have to wait longer than `max_wait`.
    pub fn take(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        terms: QuotaTerms,
        max_wait: Duration,
    ) -> Result<Duration, QuotaExceeded> {
        self.quota(now, incarnation, terms).take(now, max_wait)
    }

    /// Counts a call that is sent regardless of the quota.
    pub fn charge(&mut self, now: Time, incarnation: ServerIncarnation, terms: QuotaTerms) {
        self.quota(now, incarnation, terms).charge(now);
    }

    /// Response already given to the request with this ID. A request is repeated if the response
    /// was lost or late, and must not take a second call from the quota.
    pub fn cached_response(&self, id: u64) -> Option<PermitDecision> {
        let mut responses = self.responses.iter().rev();
        responses
            .find(|(cached, _)| *cached == id)
            .map(|(_, decision)| *decision)
    }

    /// Stores the response to a request.
    pub fn cache_response(&mut self, id: u64, decision: PermitDecision) {
        if self.responses.len() >= MAX_CACHED_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back((id, decision));
    }

    fn quota(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        terms: QuotaTerms,
    ) -> &mut CallQuota {
        if !self.quotas.contains_key(&incarnation) && self.quotas.len() >= MAX_QUOTAS {
            self.evict(now);
        }
        let entry = self
            .quotas
            .entry(incarnation)
            .or_insert_with(|| QuotaEntry {
                quota: CallQuota::new(now, terms),
                requested_at: now,
            });
        entry.requested_at = now;
        entry.quota.set_terms(now, terms);
        &mut entry.quota
    }

    fn evict(&mut self, now: Time) {
        self.quotas
            .retain(|_, entry| now.since(entry.requested_at) < IDLE_TIMEOUT);
        let oldest = self
            .quotas
            .iter()
            .min_by_key(|(_, entry)| entry.requested_at);
        if let (true, Some((&incarnation, _))) = (self.quotas.len() >= MAX_QUOTAS, oldest) {
            self.quotas.remove(&incarnation);
        }
    }
}
