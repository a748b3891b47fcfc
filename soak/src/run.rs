//! One seed: starts everything, brings the faults about, and holds the rows to the promises.

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
use crate::callers::Rows;
use crate::faults;
use crate::faults::Fault;
use crate::faults::Planned;
use crate::ledger;
use crate::proxy::Link;
use crate::proxy::Proxy;

/// Callers for each box.
const CALLERS: usize = 4;
/// Servers that end under a certain call, and are away so long.
const FRAGILE: usize = 16;
const AWAY: Duration = Duration::from_secs(2);
/// Time that a stopping box has before it is killed, as its settings say, and a bit more.
const STOP_TIME: Duration = Duration::from_secs(9);
/// Calls a second that the first server says it takes, all the time.
const LIMIT: f64 = 3.0;
/// The pause that servers ask for which shed.
const PAUSE_TEXT: &str = "1";
const PAUSE: Duration = Duration::from_secs(1);
/// How long a server that left is away.
const STARTS_AGAIN: Duration = Duration::from_millis(200);
/// After the faults, until all boxes must know of calls that end servers.
const NEWS_IN_FORCE: Duration = Duration::from_secs(2);
/// From the store's return until what operators and servers wrote since is written again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// Within this time a new version is in force at all boxes that reach each other and the store.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
/// Tries to be served after the faults, a tenth of a second apart, before a run counts as lost.
const RECOVERY_TRIES: usize = 200;

/// What is told of a process that a signal ended.
const BY_SIGNAL: i32 = -1;

/// How large a run is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Boxes.
    pub boxes: usize,
    /// Servers.
    pub servers: usize,
    /// How long faults come.
    pub faults_for: Duration,
}

/// What a run did.
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

struct Stage {
    store: Store,
    store_way: Proxy,
    servers: Vec<Server>,
    ways: Vec<Proxy>,
    /// Reached without a proxy: nobody listens there while they are away.
    fragile: Vec<Server>,
    boxes: Vec<Mutex<RelayBox>>,
    version: AtomicU64,
}

/// Runs a seed.
///
/// # Errors
///
/// A promise is broken, or something could not be started.
pub async fn run(seed: u64, size: Size) -> anyhow::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = faults::plan(&mut rng, size.faults_for, size.boxes, size.servers);
    let stage = Arc::new(Stage::start(size).await?);
    let rows = Rows::default();
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = stage.fronts().await;
    let callers: Vec<_> = (0..CALLERS * size.boxes)
        .map(|name| {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (name as u64 + 1));
            let (rows, stop) = (Arc::clone(&rows), Arc::clone(&stop));
            tokio::spawn(callers::run(name, fronts.clone(), rng, rows, stop))
        })
        .collect();
    let begun = tokio::time::Instant::now();
    let faults: Vec<_> = (plan.iter().copied())
        .map(|planned| {
            let stage = Arc::clone(&stage);
            tokio::spawn(async move {
                tokio::time::sleep_until(begun + planned.at).await;
                stage.bring_about(planned).await
            })
        })
        .collect();
    for fault in faults {
        fault.await?.context("a fault could not be brought about")?;
    }
    stage.heal();
    let recovered = stage.recovers(&fronts).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await?;
    }
    let recovered = match recovered {
        Ok(()) => stage.holds_what_ends_servers(&fronts).await,
        Err(cause) => Err(cause),
    };
    let recovered = match recovered {
        Ok(()) => stage.takes_new_routes(&fronts).await,
        Err(cause) => Err(cause),
    };
    let restarts = plan.iter().filter(|planned| planned.fault.starts_a_box());
    let box_lives = size.boxes + restarts.count();
    let rows = rows.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let servers = [stage.servers.as_slice(), &stage.fragile].concat();
    let checked = recovered
        .and_then(|()| ledger::check(&rows, &servers))
        .and_then(|()| ledger::check_lives(&stage.fragile, box_lives))
        .and_then(|()| ledger::check_limit(&stage.servers[0], LIMIT))
        .and_then(|()| {
            ledger::check_pauses(&stage.servers, PAUSE, CALLERS * size.boxes, box_lives)
        });
    if let Err(cause) = checked {
        let logs = stage.keep_logs(seed).await?;
        return Err(cause.context(format!("plan {plan:#?}; logs in {logs}")));
    }
    let served = rows.iter().filter_map(|row| row.answer.as_ref());
    let served = served
        .filter(|answer| answer.status == 200 && answer.is_complete)
        .count();
    Ok(Summary {
        faults: plan.len(),
        calls: rows.len(),
        served,
    })
}

impl Stage {
    async fn start(size: Size) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        store.put_routes(&desired_state(1, &["key-1"]));
        let store_way = Proxy::start(store.address).await?;
        let (mut servers, mut ways) = (Vec::new(), Vec::new());
        for at in 0..size.servers {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("i-{at}"), "boards", pace).await?;
            let way = Proxy::start(server.address).await?;
            store.put(&server.key(), &server.entry_at("ready", way.address));
            servers.push(server);
            ways.push(way);
        }
        servers[0].announce_limit(Some(&LIMIT.to_string()));
        let mut fragile = Vec::new();
        for at in 0..FRAGILE {
            let pace = Duration::from_millis(15);
            let server = Server::start(&format!("f-{at}"), "fragile", pace).await?;
            server.set_crash_rule(CrashRule::on_body(callers::DEADLY, AWAY, &store));
            store.put(&server.key(), &server.entry("ready"));
            fragile.push(server);
        }
        let ips: Vec<_> = (0..size.boxes).map(|_| random_loopback_ip()).collect();
        let mut boxes = Vec::new();
        for (at, ip) in ips.iter().enumerate() {
            let seeds = &ips[..ips.len().min(3)];
            let name = format!("box-{at}");
            let started = RelayBox::start_at(&name, *ip, store_way.address, seeds)?;
            boxes.push(Mutex::new(started));
        }
        for a_box in &boxes {
            a_box.lock().await.wait_ready().await?;
        }
        Ok(Self {
            store,
            store_way,
            servers,
            ways,
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

    async fn bring_about(&self, planned: Planned) -> anyhow::Result<()> {
        let last = || tokio::time::sleep(planned.lasts);
        match planned.fault {
            Fault::ServerLink(at, link) => {
                self.ways[at].set(link);
                last().await;
                self.ways[at].set(Link::Open);
            }
            Fault::StoreLink(link) => {
                self.store_way.set(link);
                last().await;
                self.store_way.set(Link::Open);
            }
            Fault::StoreMode(mode) => {
                self.store.set_mode(mode);
                last().await;
                self.store.set_mode(Mode::Serving);
            }
            Fault::LoseAnswers(count) => self.store.drop_responses(count),
            Fault::ForgetHistory => self.store.compact_history(),
            Fault::ReturnFromCopy => {
                self.store.take_backup();
                last().await;
                let before = self.store.restore_backup();
                tokio::time::sleep(WRITTEN_AGAIN_AFTER).await;
                self.store.replay_lost_writes(before);
            }
            Fault::Lapse(at) => {
                self.store.remove(&self.servers[at].key());
                last().await;
                self.list(at, "ready");
            }
            Fault::Leave(at) => {
                self.list(at, "draining");
                last().await;
                self.list(at, "ready");
            }
            Fault::SayLeaving(at) => self.announce_leaving(at, planned.lasts).await,
            Fault::Shed(at) => {
                self.servers[at].shed(Some(PAUSE_TEXT));
                last().await;
                self.servers[at].shed(None);
            }
            Fault::Misbehave(at, behaviour, count) => {
                self.servers[at].queue_behaviours(&vec![behaviour; count]);
            }
            Fault::Kill(at) => self.boxes[at].lock().await.restart()?,
            Fault::Terminate(at) => self.stop_in_order(at).await?,
            Fault::Freeze(at) => {
                let a_box = self.boxes[at].lock().await;
                a_box.signal("STOP")?;
                last().await;
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

    /// Its answers say so for a while, nothing else does; then its entry goes with its life.
    async fn announce_leaving(&self, at: usize, lasts: Duration) {
        let server = &self.servers[at];
        server.announce_leaving(Some("1"));
        tokio::time::sleep(lasts).await;
        self.store.remove(&server.key());
        server.crash();
        tokio::time::sleep(STARTS_AGAIN).await;
        self.list(at, "ready");
    }

    fn list(&self, at: usize, state: &str) {
        let server = &self.servers[at];
        let entry = server.entry_at(state, self.ways[at].address);
        self.store.put(&server.key(), &entry);
    }

    async fn stop_in_order(&self, at: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[at].lock().await;
        a_box.signal("TERM")?;
        let begun = tokio::time::Instant::now();
        while a_box.exit_code()?.is_none() {
            anyhow::ensure!(
                begun.elapsed() < STOP_TIME,
                "box {at} does not stop in time"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let code = a_box.exit_code()?;
        let early = code == Some(BY_SIGNAL) && !a_box.handles_signals();
        anyhow::ensure!(code == Some(0) || early, "box {at} stopped with {code:?}");
        a_box.restart()
    }

    fn heal(&self) {
        self.ways.iter().for_each(|way| way.set(Link::Open));
        self.store_way.set(Link::Open);
        self.store.set_mode(Mode::Serving);
        (0..self.servers.len()).for_each(|at| self.list(at, "ready"));
    }

    async fn recovers(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        for (at, front) in fronts.iter().enumerate() {
            self.start_again_if_ended(at).await?;
            let mut served = false;
            for number in 0..RECOVERY_TRIES {
                let text = call(
                    "GET",
                    "/again/a",
                    &format!("recovery-{at}-{number}"),
                    "",
                    "",
                );
                let answer = Caller::exchange(*front, &text).await;
                served = answer.is_ok_and(|answer| answer.status == 200);
                if served {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            anyhow::ensure!(served, "box {at} does not serve after the faults");
        }
        Ok(())
    }

    /// Once all reach each other and the store, no box sends on a call that has ended servers.
    async fn holds_what_ends_servers(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
        if !ledger::is_held(&self.fragile) {
            return Ok(());
        }
        tokio::time::sleep(NEWS_IN_FORCE).await;
        let lives = || {
            self.fragile
                .iter()
                .map(Server::times_crashed)
                .sum::<usize>()
        };
        let before = lives();
        for (at, front) in fronts.iter().enumerate() {
            let path = "/stream/fragile/a";
            let text = call(
                "POST",
                path,
                &format!("recovery-held-{at}"),
                "",
                callers::DEADLY,
            );
            let answer = Caller::exchange(*front, &text).await?;
            let status = answer.status;
            anyhow::ensure!(
                status == 503,
                "box {at} answers {status} to a call that ends servers"
            );
        }
        anyhow::ensure!(lives() == before, "a call that ends servers was sent on");
        Ok(())
    }

    /// Whatever became of the store, a new version is in force in time at each box, and the one after it.
    async fn takes_new_routes(&self, fronts: &[SocketAddr]) -> anyhow::Result<()> {
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
            let until = tokio::time::Instant::now() + IN_FORCE_WITHIN;
            for (at, front) in fronts.iter().enumerate() {
                while Caller::exchange(*front, &text).await?.status != wanted {
                    let in_time = tokio::time::Instant::now() < until;
                    anyhow::ensure!(in_time, "version {version} is not in force at box {at}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    /// The platform starts a process again that a signal ended before it could take signals.
    async fn start_again_if_ended(&self, at: usize) -> anyhow::Result<()> {
        let mut a_box = self.boxes[at].lock().await;
        match a_box.exit_code()? {
            None => Ok(()),
            Some(BY_SIGNAL) => a_box.restart(),
            Some(code) => anyhow::bail!("box {at} ended by itself with code {code}"),
        }
    }

    async fn keep_logs(&self, seed: u64) -> anyhow::Result<String> {
        let folder = std::env::temp_dir().join(format!("badgerferry-soak-{seed}"));
        std::fs::create_dir_all(&folder)?;
        for (at, a_box) in self.boxes.iter().enumerate() {
            let log = a_box.lock().await.log();
            std::fs::write(folder.join(format!("box-{at}.log")), log)?;
        }
        Ok(folder.display().to_string())
    }
}
