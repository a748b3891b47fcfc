//! Runs one seed: starts all processes, injects the faults, and checks the invariants.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::random_loopback_ip;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;

use crate::callers;
use crate::callers::CallRecords;
use crate::faults;
use crate::faults::Fault;
use crate::faults::Planned;
use crate::ledger;
use crate::proxy::Link;
use crate::proxy::Proxy;

const CALLERS_PER_BOX: usize = 4;
/// Servers that crash on [`callers::CRASHING_PROMPT`], and their downtime after each crash.
const FRAGILE_SERVERS: usize = 16;
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);
/// Slightly more than the time that the settings of a box allow for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Limit that the first server announces throughout the run.
const CALLS_PER_SECOND: f64 = 3.0;
/// Pause that shedding servers ask for, in seconds and as a duration.
const RETRY_AFTER: &str = "1";
const PAUSE: Duration = Duration::from_secs(1);
/// Downtime of a server that announced that it leaves.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time after the faults within which all boxes must know which calls crash servers.
const CRASH_REPORT_PROPAGATION: Duration = Duration::from_secs(2);
/// Delay between a restore of the store and the replay of the lost writes.
const REPLAY_DELAY: Duration = Duration::from_millis(300);
/// Time within which new routes take effect at all boxes that reach each other and the store.
const ROUTES_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts to be served after the faults, 100 ms apart, before the run fails.
const RECOVERY_ATTEMPTS: usize = 200;

/// Exit code reported for a process that was killed by a signal.
const KILLED_BY_SIGNAL: i32 = -1;

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of servers, without the fragile ones.
    pub servers: usize,
    /// Length of the fault phase.
    pub faults_for: Duration,
}

/// Counts of a successful run.
#[derive(Debug)]
pub struct Summary {
    faults: usize,
    calls: usize,
    served: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            faults,
            calls,
            served,
        } = self;
        write!(f, "{faults} faults, {calls} calls, {served} served")
    }
}

struct Cluster {
    store: Store,
    store_proxy: Proxy,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    /// Reached without a proxy, so that connections are refused while they are down.
    fragile: Vec<Server>,
    boxes: Vec<Mutex<RelayBox>>,
    version: AtomicU64,
}

/// Runs a seed.
///
/// # Errors
///
/// An invariant is violated, or a process or a fault could not be started.
pub async fn run(seed: u64, size: Size) -> anyhow::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = faults::plan(&mut rng, size.faults_for, size.boxes, size.servers);
    let cluster = Arc::new(Cluster::start(size).await?);
    let records = CallRecords::default();
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = cluster.fronts().await;
    let callers: Vec<_> = (0..CALLERS_PER_BOX * size.boxes)
        .map(|name| {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (name as u64 + 1));
            let (records, stop) = (Arc::clone(&records), Arc::clone(&stop));
            tokio::spawn(callers::run(name, fronts.clone(), rng, records, stop))
        })
        .collect();
    let started = tokio::time::Instant::now();
    let faults: Vec<_> = (plan.iter().copied())
        .map(|planned| {
            let cluster = Arc::clone(&cluster);
            tokio::spawn(async move {
                tokio::time::sleep_until(started + planned.at).await;
                cluster.inject(planned).await
            })
        })
        .collect();
    for fault in faults {
        fault.await?.context("fault could not be injected")?;
    }
    cluster.clear_faults();
    let recovered = cluster.wait_until_served(&fronts).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await?;
    }
    let recovered = match recovered {
        Ok(()) => cluster.check_crashing_call_is_held(&fronts).await,
        Err(cause) => Err(cause),
    };
    let recovered = match recovered {
        Ok(()) => cluster.check_new_routes(&fronts).await,
        Err(cause) => Err(cause),
    };
    let restarts = plan.iter().filter(|planned| planned.fault.restarts_box());
    let box_starts = size.boxes + restarts.count();
    let records = records
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let servers = [cluster.servers.as_slice(), &cluster.fragile].concat();
    let checked = recovered
        .and_then(|()| ledger::check(&records, &servers))
        .and_then(|()| ledger::check_crashes(&cluster.fragile, box_starts))
        .and_then(|()| ledger::check_limit(&cluster.servers[0], CALLS_PER_SECOND))
        .and_then(|()| {
            ledger::check_pauses(
                &cluster.servers,
                PAUSE,
                CALLERS_PER_BOX * size.boxes,
                box_starts,
            )
        });
    if let Err(cause) = checked {
        let logs = cluster.save_logs(seed).await?;
        return Err(cause.context(format!("plan {plan:#?}; logs in {logs}")));
    }
    let served = records.iter().filter_map(|record| record.response.as_ref());
    let served = served
        .filter(|response| response.status == 200 && response.is_complete)
        .count();
    Ok(Summary {
        faults: plan.len(),
        calls: records.len(),
        served,
    })
}

impl Cluster {
    async fn start(size: Size) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        store.put_routes(&desired_state(1, &["key-1"]));
        let store_proxy = Proxy::start(store.address).await?;
        let (mut servers, mut proxies) = (Vec::new(), Vec::new());
        for at in 0..size.servers {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("i-{at}"), "boards", pace).await?;
            let proxy = Proxy::start(server.address).await?;
            store.put(&server.key(), &server.entry_at("ready", proxy.address));
            servers.push(server);
            proxies.push(proxy);
        }
        servers[0].announce_limit(Some(&CALLS_PER_SECOND.to_string()));
        let mut fragile = Vec::new();
        for at in 0..FRAGILE_SERVERS {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("f-{at}"), "fragile", pace).await?;
            server.set_crash_rule(CrashRule::on_body(
                callers::CRASHING_PROMPT,
                CRASH_DOWNTIME,
                &store,
            ));
            store.put(&server.key(), &server.entry("ready"));
            fragile.push(server);
        }
        let ips: Vec<_> = (0..size.boxes).map(|_| random_loopback_ip()).collect();
        let mut boxes = Vec::new();
        for (at, ip) in ips.iter().enumerate() {
            let seeds = &ips[..ips.len().min(3)];
            let name = format!("box-{at}");
            let started = RelayBox::start_at(&name, *ip, store_proxy.address, seeds)?;
            boxes.push(Mutex::new(started));
        }
        for a_box in &boxes {
            a_box.lock().await.wait_ready().await?;
        }
        Ok(Self {
            store,
            store_proxy,
            servers,
            proxies,
            fragile,
            boxes,
            version: AtomicU64::new(1),
        })
    }

    async fn fronts(&self) -> Vec<SocketAddr> {
        let mut fronts = Vec::new();
        for a_box in &self.boxes {
            fronts.push(a_box.lock().await.front());
        }
        fronts
    }

    async fn inject(&self, planned: Planned) -> anyhow::Result<()> {
        let wait = || tokio::time::sleep(planned.lasts);
        match planned.fault {
            Fault::ServerLink(at, link) => {
                self.proxies[at].set(link);
                wait().await;
                self.proxies[at].set(Link::Open);
            }
            Fault::StoreLink(link) => {
                self.store_proxy.set(link);
                wait().await;
                self.store_proxy.set(Link::Open);
            }
            Fault::StoreMode(mode) => {
                self.store.set_mode(mode);
                wait().await;
                self.store.set_mode(Mode::Serving);
            }
            Fault::LoseAnswers(count) => self.store.drop_responses(count),
            Fault::ForgetHistory => self.store.compact_history(),
            Fault::ReturnFromCopy => {
                self.store.take_backup();
                wait().await;
                let before = self.store.restore_backup();
                tokio::time::sleep(REPLAY_DELAY).await;
                self.store.replay_lost_writes(before);
            }
            Fault::Lapse(at) => {
                self.store.remove(&self.servers[at].key());
                wait().await;
                self.publish_entry(at, "ready");
            }
            Fault::Leave(at) => {
                self.publish_entry(at, "draining");
                wait().await;
                self.publish_entry(at, "ready");
            }
            Fault::SayLeaving(at) => self.announce_leaving(at, planned.lasts).await,
            Fault::Shed(at) => {
                self.servers[at].shed(Some(RETRY_AFTER));
                wait().await;
                self.servers[at].shed(None);
            }
            Fault::Misbehave(at, behaviour, count) => {
                self.servers[at].queue_behaviours(&vec![behaviour; count]);
            }
            Fault::Kill(at) => self.boxes[at].lock().await.restart()?,
            Fault::Terminate(at) => self.stop_gracefully(at).await?,
            Fault::Freeze(at) => {
                let a_box = self.boxes[at].lock().await;
                a_box.signal("STOP")?;
                wait().await;
                a_box.signal("CONT")?;
            }
            Fault::Hangup(at) => self.boxes[at].lock().await.signal("HUP")?,
            Fault::NewRoutes => {
                let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
                self.store.put_routes(&desired_state(version, &["key-1"]));
            }
        }
        Ok(())
    }

    /// Announces the departure only in responses for a while, then removes the entry and crashes.
    async fn announce_leaving(&self, at: usize, lasts: Duration) {
        let server = &self.servers[at];
        server.announce_leaving(Some("1"));
        tokio::time::sleep(lasts).await;
        self.store.remove(&server.key());
        server.crash();
        tokio::time::sleep(RESTART_DELAY).await;
        self.publish_entry(at, "ready");
    }

    fn publish_entry(&self, at: usize, state: &str) {
        let server = &self.servers[at];
        let entry = server.entry_at(state, self.proxies[at].address);
        self.store.put(&server.key(), &entry);
    }

    async fn stop_gracefully(&self, at: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[at].lock().await;
        a_box.signal("TERM")?;
        let started = tokio::time::Instant::now();
        while a_box.exit_code()?.is_none() {
            anyhow::ensure!(
                started.elapsed() < STOP_TIMEOUT,
                "box {at} did not stop in time"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let code = a_box.exit_code()?;
        let early = code == Some(KILLED_BY_SIGNAL) && !a_box.handles_signals();
        anyhow::ensure!(
            code == Some(0) || early,
            "box {at} stopped with exit code {code:?}"
        );
        a_box.restart()
    }

    fn clear_faults(&self) {
        self.proxies.iter().for_each(|proxy| proxy.set(Link::Open));
        self.store_proxy.set(Link::Open);
        self.store.set_mode(Mode::Serving);
        (0..self.servers.len()).for_each(|at| self.publish_entry(at, "ready"));
    }

    async fn wait_until_served(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        for (at, front) in fronts.iter().enumerate() {
            self.restart_if_killed(at).await?;
            let mut served = false;
            for number in 0..RECOVERY_ATTEMPTS {
                let text = call(
                    "GET",
                    "/again/a",
                    &format!("recovery-{at}-{number}"),
                    "",
                    "",
                );
                let response = Caller::exchange(*front, &text).await;
                served = response.is_ok_and(|response| response.status == 200);
                if served {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            anyhow::ensure!(served, "box {at} did not serve after the faults");
        }
        Ok(())
    }

    /// Once boxes reach each other and the store, none forwards a call that has crashed servers.
    async fn check_crashing_call_is_held(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        if !ledger::crash_limit_reached(&self.fragile) {
            return Ok(());
        }
        tokio::time::sleep(CRASH_REPORT_PROPAGATION).await;
        let crashes = || {
            self.fragile
                .iter()
                .map(Server::times_crashed)
                .sum::<usize>()
        };
        let before = crashes();
        for (at, front) in fronts.iter().enumerate() {
            let path = "/stream/fragile/a";
            let text = call(
                "POST",
                path,
                &format!("recovery-held-{at}"),
                "",
                callers::CRASHING_PROMPT,
            );
            let response = Caller::exchange(*front, &text).await?;
            let status = response.status;
            anyhow::ensure!(
                status == 503,
                "box {at} responded {status} to a call that crashes servers"
            );
        }
        anyhow::ensure!(
            crashes() == before,
            "a call that crashes servers was forwarded"
        );
        Ok(())
    }

    /// After any fault of the store, two successive versions take effect in time at each box.
    async fn check_new_routes(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        for (keys, wanted) in [(&["key-1", "key-new"][..], 200), (&["key-1"][..], 401)] {
            let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
            self.store.put_routes(&desired_state(version, keys));
            let text = call(
                "GET",
                "/again/a",
                &format!("recovery-new-{version}"),
                "",
                "",
            );
            let text = text.replace("key-1", "key-new");
            let until = tokio::time::Instant::now() + ROUTES_PROPAGATION_TIMEOUT;
            for (at, front) in fronts.iter().enumerate() {
                while Caller::exchange(*front, &text).await?.status != wanted {
                    let in_time = tokio::time::Instant::now() < until;
                    anyhow::ensure!(
                        in_time,
                        "version {version} is not in force at box {at} in time"
                    );
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    /// Stands in for the platform, which restarts a process killed before it handled signals.
    async fn restart_if_killed(&self, at: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[at].lock().await;
        match a_box.exit_code()? {
            None => Ok(()),
            Some(KILLED_BY_SIGNAL) => a_box.restart(),
            Some(code) => anyhow::bail!("box {at} ended by itself with code {code}"),
        }
    }

    async fn save_logs(&self, seed: u64) -> anyhow::Result<String> {
        let folder = std::env::temp_dir().join(format!("badgerferry-soak-{seed}"));
        std::fs::create_dir_all(&folder)?;
        for (at, a_box) in self.boxes.iter().enumerate() {
            let log = a_box.lock().await.log();
            std::fs::write(folder.join(format!("box-{at}.log")), log)?;
        }
        Ok(folder.display().to_string())
    }
}
