//! Selects a server for a request, based on stale load reports.
//!
//! [`Policy::Cost`] draws a few random candidates and selects the one with the lowest cost. The
//! random draw prevents boxes with the same stale reports from all selecting the same server. The
//! cost is the estimated time to the request's first token: the queue ahead of its rank, its own
//! prefill without the cached prefix, contention at the server, and the trip to another data hall.
//! A daemon always uses this policy; the others are baselines for measurements. See
//! `docs/design/routing.md` for the alternatives considered.

use std::fmt;
use std::time::Duration;

use rand::Rng;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::priority::Rank;
use crate::request::Request;
use crate::server_view::ServerView;
use crate::time::Time;

/// Cost per request that is generating at the server; spreads long outputs over servers.
const CONTENTION_PER_REQUEST: Duration = Duration::from_micros(300);
/// Additional cost of a server without enough free memory, where the request would have to wait.
const MEMORY_SHORTAGE_COST: Duration = Duration::from_secs(2);

/// Policy for the selection of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Lowest estimated time to first token among a few random candidates; used by the daemon.
    #[default]
    Cost,
    /// Each server in turn.
    RoundRobin,
    /// Fewest requests of this box in flight.
    LeastRequests,
    /// Shortest reported queue.
    LeastReported,
    /// Of two random servers, the one with fewer requests of this box in flight.
    TwoChoices,
}

impl Policy {
    /// Name of the policy in tables of results.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::RoundRobin => "round-robin",
            Self::LeastRequests => "least-requests",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
        }
    }
}

/// Cost of a candidate, as estimated time to the first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prefill time of the queue ahead.
    pub wait: Duration,
    /// Prefill time of the prompt without its cached prefix.
    pub prefill: Duration,
    /// Cost of requests that are generating there, and of insufficient memory.
    pub contention: Duration,
    /// Cost of using another data hall; zero in this box's own.
    pub trip: Duration,
}

impl Cost {
    /// Sum of all components.
    pub fn total(&self) -> Duration {
        self.wait + self.prefill + self.contention + self.trip
    }
}

/// Server that was considered, with its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerName,
    /// Estimated cost of the request there.
    pub cost: Cost,
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
        write!(
            f,
            "{}={:.1}ms(wait {:.1}, prefill {:.1}, crowd {:.1}, trip {:.1})",
            self.server,
            millis(self.cost.total()),
            millis(self.cost.wait),
            millis(self.cost.prefill),
            millis(self.cost.contention),
            millis(self.cost.trip),
        )
    }
}

/// Selected server, and all candidates.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index of the selected server in `servers` of [`choose`].
    pub index: usize,
    /// Cost of the selected server.
    pub cost: Cost,
    /// All candidates, including the selected one.
    pub candidates: Vec<Candidate>,
}

/// Parameters of a selection other than the servers.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// Current time.
    pub now: Time,
    /// Data hall of this box.
    pub hall: &'a HallName,
    /// Number of random candidates.
    pub samples: usize,
    /// Cost added to servers of another data hall.
    pub hall_trip: Duration,
}

/// Estimates the cost of a request at a server.
pub fn cost(cx: RoutingContext<'_>, server: &ServerView, request: &Request, rank: Rank) -> Cost {
    let cached = match request.prefix {
        Some(prefix) => server.cached_tokens(prefix).min(request.prompt_tokens),
        None => 0,
    };
    let needed_memory = request.prompt_tokens + request.max_output;
    let lacks_memory = request.prompt_tokens > 0 && server.memory_free() < needed_memory;
    let contention = CONTENTION_PER_REQUEST * server.running() as u32;
    Cost {
        wait: server.queue_wait(cx.now, rank),
        prefill: server.prefill_time(request.prompt_tokens - cached),
        contention: if lacks_memory {
            contention + MEMORY_SHORTAGE_COST
        } else {
            contention
        },
        trip: if server.info().hall == *cx.hall {
            Duration::ZERO
        } else {
            cx.hall_trip
        },
    }
}

/// Selects the cheapest of a few random candidates from `usable` (indices into `servers`).
pub fn choose(
    cx: RoutingContext<'_>,
    servers: &[ServerView],
    usable: &mut [usize],
    request: &Request,
    rank: Rank,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let sampled = sample(usable, cx.samples, rng);
    let mut best: Option<(usize, Cost)> = None;
    let mut candidates = Vec::with_capacity(sampled.len());
    for &index in sampled {
        let estimate = cost(cx, &servers[index], request, rank);
        candidates.push(Candidate {
            server: servers[index].info().name.clone(),
            cost: estimate,
        });
        if best.is_none_or(|(_, lowest)| estimate.total() < lowest.total()) {
            best = Some((index, estimate));
        }
    }
    best.map(|(index, cost)| Choice {
        index,
        cost,
        candidates,
    })
}

/// Moves `count` random entries to the front and returns them.
fn sample<'a>(usable: &'a mut [usize], count: usize, rng: &mut impl Rng) -> &'a [usize] {
    let count = count.min(usable.len());
    for index in 0..count {
        let other = rng.random_range(index..usable.len());
        usable.swap(index, other);
    }
    &usable[..count]
}

/// Selects a server by a baseline policy; `cursor` is the position of the round robin.
pub fn choose_baseline(
    policy: Policy,
    servers: &[ServerView],
    usable: &[usize],
    cursor: &mut usize,
    rng: &mut impl Rng,
) -> Option<usize> {
    if usable.is_empty() {
        return None;
    }
    let in_flight = |index: &usize| servers[*index].in_flight();
    match policy {
        Policy::Cost | Policy::RoundRobin => {
            *cursor += 1;
            Some(usable[*cursor % usable.len()])
        }
        Policy::LeastRequests => {
            // Break ties at random; otherwise every idle box would start with the first server.
            let lowest = usable.iter().map(in_flight).min()?;
            let ties: Vec<_> = usable
                .iter()
                .filter(|index| in_flight(index) == lowest)
                .collect();
            Some(*ties[rng.random_range(0..ties.len())])
        }
        Policy::LeastReported => {
            let queued = |index: usize| {
                let report = servers[index].report();
                report.map_or(0, |report| report.queued.iter().sum::<u64>())
            };
            let lowest = usable.iter().map(|&index| queued(index)).min()?;
            let ties: Vec<_> = usable
                .iter()
                .filter(|&&index| queued(index) == lowest)
                .collect();
            Some(*ties[rng.random_range(0..ties.len())])
        }
        Policy::TwoChoices => {
            let one = usable[rng.random_range(0..usable.len())];
            let two = usable[rng.random_range(0..usable.len())];
            Some(if in_flight(&one) <= in_flight(&two) {
                one
            } else {
                two
            })
        }
    }
}
