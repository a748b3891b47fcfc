//! Plays a fleet's retry budget in virtual time, with the library's decisions: which retries that
//! calls need are allowed, and whether the sum stays within the budget.

use std::collections::VecDeque;
use std::time::Duration;

use badgerferry_lib::relay::retry_pool;
use badgerferry_lib::relay::retry_pool::PoolScope;
use badgerferry_lib::relay::retry_pool::RetryPool;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::retry_window::RetryWindow;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Period in which servers crash once, and for how long.
const CRASH_PERIOD: Duration = Duration::from_secs(20);
const CRASH_DURATION: Duration = Duration::from_secs(4);

/// Time until the other boxes know of those that are added.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct RetryPlan {
    /// Boxes, evenly divided among the halls.
    pub boxes: usize,
    /// Data halls.
    pub halls: usize,
    /// Retry budget of the fleet.
    pub budget: RetryBudgetRule,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Fraction of the calls that need a retry: usually, and while servers crash.
    pub failing: (f64, f64),
    /// Time after which the owner of a pool is replaced by one that knows nothing.
    pub owner_changes: Option<Duration>,
    /// Time in which each box restarts once.
    pub restarts: Option<Duration>,
    /// Interval at which all boxes are killed at once and start again.
    pub kills: Option<Duration>,
    /// Boxes that are added at once in the middle.
    pub added: usize,
    /// Whether each hall is cut in two from the middle on.
    pub halls_cut: bool,
    /// How long it is played.
    pub lasts: Duration,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryCounts {
    /// Retries needed, without the first window.
    pub needed: u64,
    /// Retries allowed of these.
    pub allowed: u64,
    /// Largest sum of retries in a window, as a fraction of the budget there.
    pub worst_use: f64,
}

impl RetryCounts {
    /// Fraction of the needed retries that is allowed.
    pub fn allowed_fraction(&self) -> f64 {
        self.allowed as f64 / self.needed.max(1) as f64
    }
}

/// Pool of a hall, or of half of one.
#[derive(Default)]
struct Owner {
    pool: RetryPool,
    since: Time,
}

/// Plays a budget.
pub fn run(plan: &RetryPlan, seed: u64) -> RetryCounts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service = ServiceKey::of(&ServiceName::new("engines"));
    let mut windows: Vec<RetryWindow> = Vec::new();
    windows.resize_with(plan.boxes, || RetryWindow::new(Time::ZERO));
    let mut owners: Vec<Owner> = Vec::new();
    owners.resize_with(2 * plan.halls, Owner::default);
    let mut sums = Sums::default();
    let mut killed_at = Time::ZERO;
    let mut counts = RetryCounts::default();
    let mut now = Time::ZERO;
    loop {
        let pause = -rng.random::<f64>().max(1e-9).ln() / plan.calls_per_s;
        now = now + Duration::from_secs_f64(pause);
        if now >= Time::ZERO + plan.lasts {
            return counts;
        }
        restart_boxes(plan, (now, pause), &mut windows, &mut rng);
        if plan
            .kills
            .is_some_and(|period| now.since(killed_at) >= period)
        {
            killed_at = now;
            windows.fill_with(|| RetryWindow::new(now));
            owners.fill_with(|| Owner {
                since: now,
                ..Owner::default()
            });
        }
        if now >= Time::ZERO + plan.lasts / 2 && windows.len() == plan.boxes {
            let boxes = plan.boxes + plan.added;
            windows.resize_with(boxes, || RetryWindow::new(now));
        }
        let at = rng.random_range(0..windows.len());
        let known = known_boxes(plan, now, at);
        windows[at].record_first_send(now, &plan.budget);
        sums.first_sends.push_back(now);
        if rng.random::<f64>() >= failing(plan, now) {
            continue;
        }
        let is_cut = plan.halls_cut && now >= Time::ZERO + plan.lasts / 2;
        let half = usize::from(is_cut && at % 2 == 1);
        let owner = &mut owners[2 * (at / 2 % plan.halls) + half];
        keep_owner(plan, now, owner);
        let scope = PoolScope {
            boxes: known,
            hall_boxes: known / plan.halls,
            owners: 1 + usize::from(is_cut),
        };
        let is_own = windows[at].try_reserve(now, &plan.budget, known);
        if is_own {
            windows[at].record_arrival(now);
        }
        let is_allowed = is_own
            || (retry_pool::is_used(&plan.budget, known)
                && owner.pool.try_grant(now, service, &plan.budget, scope));
        if now >= Time::ZERO + plan.budget.window {
            counts.needed += 1;
            counts.allowed += u64::from(is_allowed);
        }
        if is_allowed {
            sums.retries.push_back(now);
        }
        counts.worst_use = counts.worst_use.max(sums.used(now, &plan.budget));
    }
}

/// Number of boxes that a box knows.
fn known_boxes(plan: &RetryPlan, now: Time, at: usize) -> usize {
    let known_at = Time::ZERO + plan.lasts / 2 + DISCOVERY_TIME;
    if at >= plan.boxes || now >= known_at {
        plan.boxes + plan.added
    } else {
        plan.boxes
    }
}

fn failing(plan: &RetryPlan, now: Time) -> f64 {
    let in_period = now.as_micros() % CRASH_PERIOD.as_micros() as u64;
    if in_period < CRASH_DURATION.as_micros() as u64 {
        plan.failing.1
    } else {
        plan.failing.0
    }
}

fn restart_boxes(
    plan: &RetryPlan,
    (now, elapsed_s): (Time, f64),
    windows: &mut [RetryWindow],
    rng: &mut ChaCha8Rng,
) {
    let Some(period) = plan.restarts else { return };
    let restarts = elapsed_s * plan.boxes as f64 / period.as_secs_f64();
    if rng.random::<f64>() < restarts {
        let at = rng.random_range(0..windows.len());
        windows[at] = RetryWindow::new(now);
    }
}

fn keep_owner(plan: &RetryPlan, now: Time, owner: &mut Owner) {
    if plan
        .owner_changes
        .is_some_and(|period| now.since(owner.since) >= period)
    {
        *owner = Owner {
            since: now,
            ..Owner::default()
        };
    }
}

#[derive(Default)]
struct Sums {
    first_sends: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Sums {
    /// Fraction of the budget that was used in the window that ends now.
    fn used(&mut self, now: Time, budget: &RetryBudgetRule) -> f64 {
        for times in [&mut self.first_sends, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > budget.window)
            {
                times.pop_front();
            }
        }
        let allowed = budget.ratio * self.first_sends.len() as f64 + budget.slack;
        self.retries.len() as f64 / allowed
    }
}
