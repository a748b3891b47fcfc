//! Chooses a server for a request on stale knowledge.
//!
//! A few candidates are drawn at random, so that boxes with the same stale reports do
//! not all choose the same one, and the cheapest of them is taken. The cost of a
//! candidate is the time until the request's first token there: the queue ahead of its
//! rank, its own prefill less what the engine has cached, and the trip to another data
//! hall. The plain policies are kept as baselines to measure against; a daemon always
//! uses [`Policy::Cost`]. Ways weighed: `docs/design/routing.md`.

use std::fmt;
use std::time::Duration;

use rand::Rng;

use crate::ids::HallName;
use crate::ids::ServerName;
use crate::priority::Rank;
use crate::request::Request;
use crate::server_view::ServerView;
use crate::time::Time;

/// What each request that generates adds to the time of a new one; spreads long answers.
const CROWD_PER_REQUEST: Duration = Duration::from_micros(300);
/// What a candidate without room in memory costs more; it would make the request wait there.
const NO_MEMORY: Duration = Duration::from_secs(2);

/// How servers are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Least time to first token among a few drawn; what the daemon uses.
    #[default]
    Cost,
    /// One after the other.
    RoundRobin,
    /// Fewest own requests in flight.
    LeastRequests,
    /// Least reported queue.
    LeastReported,
    /// The one of two drawn with fewer own requests in flight.
    TwoChoices,
}

impl Policy {
    /// Name for tables.
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

/// What a candidate costs, as time until the first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// The queue ahead.
    pub wait: Duration,
    /// The prompt's own prefill, less what is cached.
    pub prefill: Duration,
    /// Requests that generate there, and want of memory.
    pub contention: Duration,
    /// The way to another data hall.
    pub trip: Duration,
}

impl Cost {
    /// The whole.
    pub fn total(&self) -> Duration {
        self.wait + self.prefill + self.contention + self.trip
    }
}

/// A candidate that was weighed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerName,
    /// What it would cost.
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

/// A chosen server and what was weighed.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index of the chosen server in the caller's list.
    pub index: usize,
    /// The chosen one's cost.
    pub cost: Cost,
    /// Every candidate drawn.
    pub candidates: Vec<Candidate>,
}

/// What a choice depends on besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// The present.
    pub now: Time,
    /// This box's data hall.
    pub hall: &'a HallName,
    /// Servers drawn.
    pub samples: usize,
    /// What another hall must be better by.
    pub hall_trip: Duration,
}

/// Works out what a request costs at a server.
pub fn cost(cx: RoutingContext<'_>, server: &ServerView, request: &Request, rank: Rank) -> Cost {
    let cached = match request.prefix {
        Some(prefix) => server.cached_tokens(prefix).min(request.prompt_tokens),
        None => 0,
    };
    let wants = request.prompt_tokens + request.max_output;
    let lacks_memory = request.prompt_tokens > 0 && server.memory_free() < wants;
    let contention = CROWD_PER_REQUEST * server.running() as u32;
    Cost {
        wait: server.queue_wait(cx.now, rank),
        prefill: server.prefill_time(request.prompt_tokens - cached),
        contention: if lacks_memory {
            contention + NO_MEMORY
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

/// Draws candidates from `usable` (indices into `servers`) and takes the cheapest.
pub fn choose(
    cx: RoutingContext<'_>,
    servers: &[ServerView],
    usable: &mut [usize],
    request: &Request,
    rank: Rank,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let drawn = draw(usable, cx.samples, rng);
    let mut best: Option<(usize, Cost)> = None;
    let mut candidates = Vec::with_capacity(drawn.len());
    for &index in drawn {
        let found = cost(cx, &servers[index], request, rank);
        candidates.push(Candidate {
            server: servers[index].info().name.clone(),
            cost: found,
        });
        if best.is_none_or(|(_, least)| found.total() < least.total()) {
            best = Some((index, found));
        }
    }
    best.map(|(index, cost)| Choice {
        index,
        cost,
        candidates,
    })
}

/// Moves `count` randomly drawn entries to the front and returns them.
fn draw<'a>(usable: &'a mut [usize], count: usize, rng: &mut impl Rng) -> &'a [usize] {
    let count = count.min(usable.len());
    for at in 0..count {
        let other = rng.random_range(at..usable.len());
        usable.swap(at, other);
    }
    &usable[..count]
}

/// Chooses by one of the plain policies.
pub fn choose_baseline(
    policy: Policy,
    servers: &[ServerView],
    usable: &[usize],
    turn: &mut usize,
    rng: &mut impl Rng,
) -> Option<usize> {
    if usable.is_empty() {
        return None;
    }
    let in_flight = |index: &usize| servers[*index].in_flight();
    match policy {
        Policy::Cost | Policy::RoundRobin => {
            *turn += 1;
            Some(usable[*turn % usable.len()])
        }
        Policy::LeastRequests => {
            // Ties broken at random, or every idle box would begin with the first server.
            let least = usable.iter().map(in_flight).min()?;
            let ties: Vec<_> = usable
                .iter()
                .filter(|index| in_flight(index) == least)
                .collect();
            Some(*ties[rng.random_range(0..ties.len())])
        }
        Policy::LeastReported => {
            let queued = |index: usize| {
                let report = servers[index].report();
                report.map_or(0, |report| report.queued.iter().sum::<u64>())
            };
            let least = usable.iter().map(|&index| queued(index)).min()?;
            let ties: Vec<_> = usable
                .iter()
                .filter(|&&index| queued(index) == least)
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
