//! Runs a fleet whose servers cut many calls, while boxes restart in series, and audits the retries
//! that reach the servers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::random_loopback_ip;
use badgerferry_standin::relay_box::settings;
use badgerferry_standin::relay_box::with_retry_slack;
use badgerferry_standin::retry_audit;
use badgerferry_standin::retry_audit::BudgetTerms;
use badgerferry_standin::retry_audit::SentCall;
use badgerferry_standin::retry_audit::WindowUse;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 8;
const SERVER_PACE: Duration = Duration::from_millis(5);
/// Most servers that a call of the route may run on.
const MAX_ATTEMPTS: usize = 3;
const CALLERS: usize = 50;
/// Interval between the starts of two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause of a caller whose box refused the connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Deadline that each call states to the box.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the first restart, in which boxes earn retries.
const WARM_UP: Duration = Duration::from_secs(11);
/// Longest graceful stop of a box.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// The retry budget in the settings of the boxes.
const BUDGET: BudgetTerms = BudgetTerms {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 206.0,
};

/// How boxes restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restarts {
    /// They do not.
    Never,
    /// All are killed at once and started again.
    KillAll,
    /// One after the other is killed and started again.
    KillInTurn,
    /// One after the other is stopped gracefully, while a box with another name starts.
    ReplaceInTurn,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    restarts: Restarts,
    /// Time in which each box restarts once.
    period: Duration,
    /// Fraction of runs that servers cut.
    cut_fraction: f64,
    /// Whether the store is silent from the first restart on.
    is_store_down: bool,
    /// How long boxes restart.
    lasts: Duration,
}

impl Plan {
    fn draw(seed: u64, boxes: Option<usize>, lasts: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sizes = [4, 6, 9, 13];
        let plan = Self {
            boxes: sizes[rng.random_range(0..sizes.len())],
            restarts: match rng.random_range(0..8) {
                0 => Restarts::Never,
                1..=3 => Restarts::KillAll,
                4 | 5 => Restarts::KillInTurn,
                _ => Restarts::ReplaceInTurn,
            },
            period: Duration::from_millis(rng.random_range(1_500..9_000)),
            cut_fraction: rng.random_range(0.5..0.9),
            is_store_down: rng.random_bool(0.25),
            lasts,
        };
        Self {
            boxes: boxes.unwrap_or(plan.boxes),
            ..plan
        }
    }
}

/// Counts of a successful run.
#[derive(Debug)]
pub struct Summary {
    calls: usize,
    served: usize,
    worst: Option<WindowUse>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, served, .. } = self;
        write!(f, "{calls} calls, {served} served")?;
        if let Some(worst) = &self.worst {
            let WindowUse {
                retries, allowed, ..
            } = worst;
            write!(f, ", {retries} retries in the worst window of {allowed:.0}")?;
        }
        Ok(())
    }
}

/// What callers share.
#[derive(Debug, Default)]
struct Traffic {
    fronts: RwLock<Vec<SocketAddr>>,
    sent: Mutex<Vec<SentCall>>,
    served: Mutex<usize>,
    is_over: AtomicBool,
}

struct Fleet {
    store: Store,
    servers: Vec<Server>,
    boxes: Vec<RelayBox>,
    /// Boxes that were told to stop.
    stopping: Vec<RelayBox>,
    traffic: Arc<Traffic>,
    started: usize,
}

/// Runs a seed.
///
/// # Errors
///
/// A retry rule is violated, or a process could not be started.
pub async fn run(seed: u64, boxes: Option<usize>, lasts: Duration) -> anyhow::Result<Summary> {
    let plan = Plan::draw(seed, boxes, lasts);
    println!("seed {seed}: {plan:?}");
    let mut fleet = Fleet::start(&plan).await?;
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|index| {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (index + 1));
            tokio::spawn(make_calls(index, Arc::clone(&fleet.traffic), rng))
        })
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let restarted = fleet.restart_boxes(&plan).await;
    fleet.traffic.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await?;
    }
    restarted?;
    fleet.audit(seed)
}

impl Fleet {
    async fn start(plan: &Plan) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        store.put_routes(&desired_state(1, &["key-1"]));
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let server = Server::start(&format!("i-{index}"), "boards", SERVER_PACE).await?;
            server.cut_calls(plan.cut_fraction);
            store.put(&server.key(), &server.entry("ready"));
            servers.push(server);
        }
        let mut fleet = Self {
            store,
            servers,
            boxes: Vec::new(),
            stopping: Vec::new(),
            traffic: Arc::default(),
            started: 0,
        };
        for _ in 0..plan.boxes {
            let started = fleet.start_box()?;
            fleet.boxes.push(started);
        }
        for started in &fleet.boxes {
            started.wait_ready().await?;
        }
        fleet.publish_fronts();
        Ok(fleet)
    }

    fn start_box(&mut self) -> anyhow::Result<RelayBox> {
        let ip = random_loopback_ip();
        let seeds: Vec<_> = self.boxes.iter().take(3).map(|seed| seed.ip).collect();
        let name = format!("box-{}", self.started);
        self.started += 1;
        let text = settings(&name, ip, self.store.address, &seeds);
        RelayBox::start_with_settings(ip, &with_retry_slack(&text, BUDGET.slack))
    }

    fn publish_fronts(&self) {
        let fronts = self.boxes.iter().map(RelayBox::front).collect();
        *(self.traffic.fronts.write()).unwrap_or_else(PoisonError::into_inner) = fronts;
    }

    async fn restart_boxes(&mut self, plan: &Plan) -> anyhow::Result<()> {
        if plan.is_store_down {
            self.store.set_mode(Mode::Silent);
        }
        let until = Instant::now() + plan.lasts;
        let mut turn = 0;
        while Instant::now() < until {
            match plan.restarts {
                Restarts::Never => {}
                Restarts::KillAll => self.boxes.iter_mut().try_for_each(RelayBox::restart)?,
                Restarts::KillInTurn => self.boxes[turn].restart()?,
                Restarts::ReplaceInTurn => self.replace(turn)?,
            }
            turn = (turn + 1) % plan.boxes;
            tokio::time::sleep(match plan.restarts {
                Restarts::Never | Restarts::KillAll => plan.period,
                _ => plan.period / plan.boxes as u32,
            })
            .await;
        }
        self.end_stopped().await
    }

    fn replace(&mut self, index: usize) -> anyhow::Result<()> {
        let successor = self.start_box()?;
        let replaced = std::mem::replace(&mut self.boxes[index], successor);
        // It may have ended already.
        let _ = replaced.signal("TERM");
        self.stopping.push(replaced);
        self.publish_fronts();
        Ok(())
    }

    async fn end_stopped(&mut self) -> anyhow::Result<()> {
        let started = Instant::now();
        for stopping in &mut self.stopping {
            while stopping.exit_code()?.is_none() {
                anyhow::ensure!(started.elapsed() < STOP_TIMEOUT, "a box did not stop");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn audit(&self, seed: u64) -> anyhow::Result<Summary> {
        let sent = lock(&self.traffic.sent).clone();
        let worst = retry_audit::worst_window(&sent, &self.servers, &BUDGET);
        let beyond = retry_audit::calls_beyond_attempts(&self.servers, MAX_ATTEMPTS);
        let late = retry_audit::arrivals_with_too_much_time(&sent, &self.servers);
        let summary = Summary {
            calls: sent.len(),
            served: *lock(&self.traffic.served),
            worst,
        };
        let is_within = worst.is_none_or(|worst| worst.fraction() <= 1.0);
        if is_within && beyond.is_empty() && late == 0 {
            return Ok(summary);
        }
        let logs = self.save_logs(seed)?;
        anyhow::bail!(
            "{summary}; calls on more than {MAX_ATTEMPTS} servers: {beyond:?}; arrivals that state \
             too much time: {late}; logs in {logs}"
        )
    }

    fn save_logs(&self, seed: u64) -> anyhow::Result<String> {
        let dir = std::env::temp_dir().join(format!("badgerferry-soak-retries-{seed}"));
        std::fs::create_dir_all(&dir)?;
        for (index, a_box) in self.boxes.iter().chain(&self.stopping).enumerate() {
            let path = dir.join(format!("box-{index}.log"));
            std::fs::write(path, a_box.log()).context("failed to save a log")?;
        }
        Ok(dir.display().to_string())
    }
}

/// Makes calls at random boxes until the traffic is over. A connection is used until the box closes
/// it.
async fn make_calls(index: u64, traffic: Arc<Traffic>, mut rng: ChaCha8Rng) {
    let mut connection: Option<Caller> = None;
    for turn in 0.. {
        if traffic.is_over.load(Ordering::SeqCst) {
            return;
        }
        let next = tokio::time::Instant::now() + CALL_INTERVAL;
        let mut caller = match connection.take() {
            Some(caller) => caller,
            None => connect(&traffic, &mut rng).await,
        };
        let id = format!("c{index}-{turn}");
        let text = call("POST", "/stream/a", &id, "", &format!("prompt {id}"));
        lock(&traffic.sent).push(SentCall {
            id,
            at: Instant::now(),
            deadline: CALL_DEADLINE,
        });
        let exchange = async {
            caller.send(&text).await?;
            caller.read_response().await
        };
        if let Ok(Ok(response)) = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            let is_served = response.status == 200 && response.is_complete;
            *lock(&traffic.served) += usize::from(is_served);
            if response.is_complete && response.header("connection") != Some("close") {
                connection = Some(caller);
            }
        }
        tokio::time::sleep_until(next).await;
    }
}

async fn connect(traffic: &Traffic, rng: &mut ChaCha8Rng) -> Caller {
    loop {
        let front = {
            let fronts = traffic.fronts.read();
            let fronts = fronts.unwrap_or_else(PoisonError::into_inner);
            fronts[rng.random_range(0..fronts.len())]
        };
        match Caller::connect(front).await {
            Ok(caller) => return caller,
            Err(_refused) => tokio::time::sleep(RECONNECT_PAUSE).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
