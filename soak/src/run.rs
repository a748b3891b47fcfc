//! Runs one seed: starts all processes, injects the faults, and checks the invariants.

use std::fmt;
use std::net::Ipv4Addr;
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
use badgerferry_standin::relay_box::settings;
use badgerferry_standin::relay_box::with_retry_slack;
use badgerferry_standin::server::Server;
use badgerferry_standin::server_links::ServerLinks;
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
use badgerferry_standin::proxy::Link;
use badgerferry_standin::proxy::Proxy;

const CALLERS_PER_BOX: usize = 4;
/// Number of servers that crash on [`callers::CRASHING_PROMPT`].
const FRAGILE_SERVERS: usize = 16;
/// Downtime of a fragile server after each crash.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);
/// Slightly more than the time that the settings of a box allow for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Limit that the first server announces throughout the run, in calls per second.
const CALLS_PER_SECOND: f64 = 3.0;
/// `Retry-After` value of shedding servers, in seconds.
const RETRY_AFTER: &str = "1";
/// The same pause as a duration.
const PAUSE: Duration = Duration::from_secs(1);
/// Time from the crash of a leaving server until its entry is published again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time after recovery within which all boxes must know which request crashes servers.
const CRASH_REPORT_PROPAGATION: Duration = Duration::from_secs(2);
/// Delay between a restore of the store and the replay of the lost writes.
const REPLAY_DELAY: Duration = Duration::from_millis(300);
/// Time within which new routes must take effect at all boxes, once these reach each other and
/// the store.
const ROUTES_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts to get a call served by each box after the faults, 100 ms apart, before the run fails.
const RECOVERY_ATTEMPTS: usize = 200;

/// Time in which boxes that pull no state from each other discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Calls in a row that a box must serve while its links to all servers are cut.
const SERVED_WHILE_CUT: usize = 10;

/// Slack of the retry budget in the settings of the boxes, per window.
const RETRY_SLACK: f64 = 100.0;

/// Exit code that [`RelayBox::exit_code`] reports for a process killed by a signal.
const KILLED_BY_SIGNAL: i32 = -1;

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of servers, without the fragile ones.
    pub servers: usize,
    /// Length of the fault phase.
    pub fault_duration: Duration,
    /// Whether each box has links of its own to the servers, which are cut. Boxes then don't pull
    /// state from each other, see [`badgerferry_standin::server_links`].
    pub cuts_servers: bool,
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
    /// Links to the store: one of all boxes, or one of each.
    store_proxies: Vec<Proxy>,
    servers: Vec<Server>,
    server_proxies: Vec<Proxy>,
    /// Links of each box to the servers, if they can be cut.
    server_links: Vec<ServerLinks>,
    /// Reached without a proxy, so that connections are refused while they are down.
    fragile: Vec<Server>,
    boxes: Vec<Mutex<RelayBox>>,
    routes_version: AtomicU64,
}

fn box_settings(name: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr]) -> String {
    with_retry_slack(&settings(name, ip, store, seeds), RETRY_SLACK)
}

/// Runs a seed.
///
/// # Errors
///
/// An invariant is violated, a box did not recover, or a process or a fault could not be started.
pub async fn run(seed: u64, size: Size) -> anyhow::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = faults::plan(&mut rng, size);
    let cluster = Arc::new(Cluster::start(size).await?);
    let records = CallRecords::default();
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = cluster.fronts().await;
    let callers: Vec<_> = (0..CALLERS_PER_BOX * size.boxes)
        .map(|index| {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1));
            let (records, stop) = (Arc::clone(&records), Arc::clone(&stop));
            tokio::spawn(callers::run(index, fronts.clone(), rng, records, stop))
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
        fault.await?.context("failed to inject a fault")?;
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
    let recovered = match recovered {
        Ok(()) => cluster.check_cut_box_serves(&fronts).await,
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
        let mut store_proxies = vec![Proxy::start(store.address).await?];
        let (mut servers, mut server_proxies) = (Vec::new(), Vec::new());
        for index in 0..size.servers {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("i-{index}"), "boards", pace).await?;
            let proxy = Proxy::start(server.address).await?;
            store.put(&server.key(), &server.entry_at("ready", proxy.address));
            servers.push(server);
            server_proxies.push(proxy);
        }
        servers[0].announce_limit(Some(&CALLS_PER_SECOND.to_string()));
        let mut fragile = Vec::new();
        for index in 0..FRAGILE_SERVERS {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("f-{index}"), "fragile", pace).await?;
            server.set_crash_rule(CrashRule::on_body(
                callers::CRASHING_PROMPT,
                CRASH_DOWNTIME,
                &store,
            ));
            store.put(&server.key(), &server.entry("ready"));
            fragile.push(server);
        }
        let ips: Vec<_> = (0..size.boxes).map(|_| random_loopback_ip()).collect();
        let (mut boxes, mut server_links) = (Vec::new(), Vec::new());
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("box-{index}");
            let started = if size.cuts_servers {
                let targets = servers.iter().zip(&server_proxies);
                let targets = targets.map(|(server, proxy)| (server, proxy.address));
                let links = ServerLinks::start_to(&store, &name, targets).await?;
                // All boxes of a hall follow the store if there are two.
                let hall = format!("zone = \"hall-{}\"", index / 2);
                let store_proxy = Proxy::start(links.store.address).await?;
                let settings = box_settings(&name, *ip, store_proxy.address, &[]);
                let settings = settings.replace("zone = \"hall-a\"", &hall);
                let started = RelayBox::start_with_settings(*ip, &settings)?;
                store_proxies.push(store_proxy);
                server_links.push(links);
                started
            } else {
                let seeds = &ips[..ips.len().min(3)];
                let settings = box_settings(&name, *ip, store_proxies[0].address, seeds);
                RelayBox::start_with_settings(*ip, &settings)?
            };
            boxes.push(Mutex::new(started));
        }
        for a_box in &boxes {
            a_box.lock().await.wait_ready().await?;
        }
        if size.cuts_servers {
            tokio::time::sleep(DISCOVERY_TIME).await;
        }
        Ok(Self {
            store,
            store_proxies,
            servers,
            server_proxies,
            server_links,
            fragile,
            boxes,
            routes_version: AtomicU64::new(1),
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
            Fault::ServerLink(index, link) => {
                self.server_proxies[index].set(link);
                wait().await;
                self.server_proxies[index].set(Link::Open);
            }
            Fault::BoxLinks(index, link) => {
                self.server_links[index].set(link);
                wait().await;
                self.server_links[index].set(Link::Open);
            }
            Fault::StoreLink(link) => {
                self.set_store_links(link);
                wait().await;
                self.set_store_links(Link::Open);
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
            Fault::Lapse(index) => {
                self.store.remove(&self.servers[index].key());
                wait().await;
                self.publish_entry(index, "ready");
            }
            Fault::Leave(index) => {
                self.publish_entry(index, "draining");
                wait().await;
                self.publish_entry(index, "ready");
            }
            Fault::SayLeaving(index) => self.announce_leaving(index, planned.lasts).await,
            Fault::Shed(index) => {
                self.servers[index].shed(Some(RETRY_AFTER));
                wait().await;
                self.servers[index].shed(None);
            }
            Fault::Misbehave(index, behaviour, count) => {
                self.servers[index].queue_behaviours(&vec![behaviour; count]);
            }
            Fault::Kill(index) => self.boxes[index].lock().await.restart()?,
            Fault::Terminate(index) => self.stop_gracefully(index).await?,
            Fault::Freeze(index) => {
                let a_box = self.boxes[index].lock().await;
                a_box.signal("STOP")?;
                wait().await;
                a_box.signal("CONT")?;
            }
            Fault::Hangup(index) => self.boxes[index].lock().await.signal("HUP")?,
            Fault::NewRoutes => {
                let version = self.routes_version.fetch_add(1, Ordering::SeqCst) + 1;
                self.store.put_routes(&desired_state(version, &["key-1"]));
            }
        }
        Ok(())
    }

    /// Announces for `lasts`, in responses only, that the server leaves; then removes its entry,
    /// crashes it and publishes the entry again.
    async fn announce_leaving(&self, index: usize, lasts: Duration) {
        let server = &self.servers[index];
        server.announce_leaving(Some("1"));
        tokio::time::sleep(lasts).await;
        self.store.remove(&server.key());
        server.crash();
        tokio::time::sleep(RESTART_DELAY).await;
        self.publish_entry(index, "ready");
    }

    fn publish_entry(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = server.entry_at(state, self.server_proxies[index].address);
        self.store.put(&server.key(), &entry);
    }

    async fn stop_gracefully(&self, index: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[index].lock().await;
        a_box.signal("TERM")?;
        let started = tokio::time::Instant::now();
        while a_box.exit_code()?.is_none() {
            anyhow::ensure!(
                started.elapsed() < STOP_TIMEOUT,
                "box {index} did not stop within {STOP_TIMEOUT:?} of SIGTERM"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let code = a_box.exit_code()?;
        let killed_early = code == Some(KILLED_BY_SIGNAL) && !a_box.handles_signals();
        anyhow::ensure!(
            code == Some(0) || killed_early,
            "box {index} exited with code {code:?} after SIGTERM"
        );
        a_box.restart()
    }

    fn set_store_links(&self, link: Link) {
        self.store_proxies.iter().for_each(|proxy| proxy.set(link));
    }

    fn clear_faults(&self) {
        self.server_proxies
            .iter()
            .for_each(|proxy| proxy.set(Link::Open));
        self.server_links
            .iter()
            .for_each(|links| links.set(Link::Open));
        self.set_store_links(Link::Open);
        self.store.set_mode(Mode::Serving);
        self.servers
            .iter()
            .for_each(Server::clear_queued_behaviours);
        (0..self.servers.len()).for_each(|index| self.publish_entry(index, "ready"));
    }

    async fn wait_until_served(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        for (index, front) in fronts.iter().enumerate() {
            let mut served = false;
            for number in 0..RECOVERY_ATTEMPTS {
                // A box that a signal has just killed may not have ended yet.
                self.restart_if_killed(index).await?;
                let text = call(
                    "GET",
                    "/again/a",
                    &format!("recovery-{index}-{number}"),
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
            anyhow::ensure!(
                served,
                "box {index} served none of {RECOVERY_ATTEMPTS} calls after the faults"
            );
        }
        Ok(())
    }

    /// Checks that no box forwards the crashing request once boxes reach each other and the store.
    /// Skipped if the request has not crashed enough servers to be held.
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
        for (index, front) in fronts.iter().enumerate() {
            let path = "/stream/fragile/a";
            let text = call(
                "POST",
                path,
                &format!("recovery-held-{index}"),
                "",
                callers::CRASHING_PROMPT,
            );
            let response = Caller::exchange(*front, &text).await?;
            let status = response.status;
            anyhow::ensure!(
                status == 503,
                "box {index} responded {status} to a call that crashes servers, expected 503"
            );
        }
        anyhow::ensure!(
            crashes() == before,
            "a call that crashes servers was forwarded"
        );
        Ok(())
    }

    /// Checks that two successive versions of the routes each take effect in time at all boxes,
    /// whatever faults the store had.
    async fn check_new_routes(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        for (keys, expected_status) in [(&["key-1", "key-new"][..], 200), (&["key-1"][..], 401)] {
            let version = self.routes_version.fetch_add(1, Ordering::SeqCst) + 1;
            self.store.put_routes(&desired_state(version, keys));
            let text = call(
                "GET",
                "/again/a",
                &format!("recovery-new-{version}"),
                "",
                "",
            );
            let text = text.replace("key-1", "key-new");
            let deadline = tokio::time::Instant::now() + ROUTES_PROPAGATION_TIMEOUT;
            for (index, front) in fronts.iter().enumerate() {
                while Caller::exchange(*front, &text).await?.status != expected_status {
                    let before_deadline = tokio::time::Instant::now() < deadline;
                    anyhow::ensure!(
                        before_deadline,
                        "version {version} of the routes did not take effect at box {index} within \
                         {ROUTES_PROPAGATION_TIMEOUT:?}"
                    );
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    /// Checks that a box serves calls while its links to all servers are cut.
    async fn check_cut_box_serves(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        let (Some(links), Some(front)) = (self.server_links.first(), fronts.first()) else {
            return Ok(());
        };
        for cut in [Link::Dropped, Link::Refused] {
            links.set(cut);
            let (mut served, mut number) = (0, 0);
            while served < SERVED_WHILE_CUT {
                anyhow::ensure!(
                    number < RECOVERY_ATTEMPTS,
                    "box 0 did not serve {SERVED_WHILE_CUT} calls in a row while its links to \
                     servers were cut ({cut:?})"
                );
                let id = format!("recovery-cut-{cut:?}-{number}");
                let text = call("GET", "/again/a", &id, "", "");
                let response = Caller::exchange(*front, &text).await;
                served = match response {
                    Ok(response) if response.status == 200 => served + 1,
                    _ => 0,
                };
                number += 1;
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            links.set(Link::Open);
        }
        Ok(())
    }

    /// Acts for the platform, which restarts a box that a signal killed before it handled signals.
    async fn restart_if_killed(&self, index: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[index].lock().await;
        match a_box.exit_code()? {
            None => Ok(()),
            Some(KILLED_BY_SIGNAL) => a_box.restart(),
            Some(code) => anyhow::bail!("box {index} exited unexpectedly with code {code}"),
        }
    }

    async fn save_logs(&self, seed: u64) -> anyhow::Result<String> {
        let dir = std::env::temp_dir().join(format!("badgerferry-soak-{seed}"));
        std::fs::create_dir_all(&dir)?;
        for (index, a_box) in self.boxes.iter().enumerate() {
            let log = a_box.lock().await.log();
            std::fs::write(dir.join(format!("box-{index}.log")), log)?;
        }
        Ok(dir.display().to_string())
    }
}
