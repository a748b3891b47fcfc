//! Follows routes, servers, evacuated halls, boxes and quarantine facts in the platform's store by
//! one watch, and registers this box.
//!
//! The entry of a box contains its addresses. It says nothing about liveness, which peers know from
//! the box's datagrams. So it is written once, kept across restarts, and removed by peers when the
//! box has been silent for long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::backoff::Backoff;
use badgerferry_lib::relay::gossip_topology;
use badgerferry_lib::relay::gossip_topology::Boxes;
use badgerferry_lib::relay::server_list::ServerSnapshot;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::store_cursor::StoreCursor;
use badgerferry_lib::relay::store_cursor::StoreRead;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_platform::store::Freshness;
use badgerferry_platform::store::Store;
use badgerferry_platform::store::StoreError;
use badgerferry_platform::store_change::Change;
use rand::Rng;
use tokio::time::Instant;

use crate::relay::request_quarantine;
use crate::relay::state;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Time-out of calls to the store, in addition to the duration of a watch. The store responds
/// within milliseconds.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-outs used in rotation while the store is unavailable: short ones, so that its recovery is
/// detected soon, and a long one in case it is only slow.
const OUTAGE_CALL_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(700),
    Duration::from_millis(700),
    Duration::from_secs(2),
];
/// Duration of a watch. A silently lost connection is detected after this plus the call time-out.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Duration of a watch while the store is unavailable, and of the first one.
const OUTAGE_WATCH_WAIT: Duration = Duration::from_millis(50);
/// Delay after a response, so that one call fetches changes made in quick succession.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Delay between the first full read and the first watch of a box that does not follow the store by
/// its rank. In this time it learns whether peers do, so most boxes never start a watch. A box that
/// knows no others learns of them by its watch.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Minimum and maximum interval at which a box that relies on its peers checks that they still follow
/// the store.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PEER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum delay after a failed call. Changes have to take effect within four seconds of the
/// store's recovery.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum random delay before a box reads the store in full, where others do so at the same time.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(200);
/// Maximum random delay before the other boxes write their entries again after a restore. Nothing
/// depends on these soon.
const MAX_REREGISTRATION_DELAY: Duration = Duration::from_secs(5);
/// Interval between checks for expired boxes.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_mins(1);

/// Follows the store, directly or through peers. Never returns.
pub async fn run(relay: &Arc<Relay>) {
    let mut store = Store::new(relay.settings.store, STORE_CALL_TIMEOUT);
    let mut follower = StoreFollower::new(relay);
    loop {
        let follows_in = relay.follows_store_in();
        if follower.registered_in.is_some() && !follows_in.is_zero() {
            follower.follow_peers();
            follower.reregister(&mut store).await;
            let pause = follows_in.clamp(PEER_CHECK_INTERVAL, MAX_PEER_CHECK_INTERVAL);
            tokio::time::sleep(pause).await;
            continue;
        }
        let is_first =
            follower.cursor.next() == StoreRead::Full && follower.registered_in.is_none();
        let pause = match follower.step(&mut store).await {
            Ok(()) => {
                follower.record_success();
                if is_first && !relay.is_follower_by_rank() {
                    FIRST_WATCH_DELAY
                } else {
                    BATCH_DELAY
                }
            }
            Err(cause) => follower.record_failure(&cause),
        };
        tokio::time::sleep(pause).await;
    }
}

struct StoreFollower<'a> {
    relay: &'a Arc<Relay>,
    cursor: StoreCursor,
    /// Whether a watch succeeded since this box last relied on its peers.
    is_following: bool,
    /// Whether the store was read since the start of the process.
    has_read: bool,
    unavailable_since: Option<Instant>,
    failures: usize,
    backoff: Backoff,
    /// Entry of this box.
    own: BoxAddresses,
    /// Latest store era that is known to contain `own`.
    registered_in: Option<u64>,
    /// When `own` is written again after a restore of the store.
    reregister_at: Option<Instant>,
    /// Store position of each box's entry, in the current era.
    box_entries: HashMap<String, StorePosition>,
    expiry_checked_at: Instant,
}

impl<'a> StoreFollower<'a> {
    fn new(relay: &'a Arc<Relay>) -> Self {
        Self {
            relay,
            cursor: StoreCursor::default(),
            is_following: false,
            has_read: false,
            unavailable_since: None,
            failures: 0,
            backoff: Backoff::default(),
            own: state::own_addresses(&relay.settings),
            registered_in: None,
            reregister_at: None,
            box_entries: HashMap::new(),
            expiry_checked_at: Instant::now(),
        }
    }

    /// Registers this box if needed, makes the next read of the store and applies the result.
    async fn step(&mut self, store: &mut Store) -> Result<(), StoreError> {
        store.set_timeout(match self.failures {
            0 => STORE_CALL_TIMEOUT,
            failures => OUTAGE_CALL_TIMEOUTS[failures % OUTAGE_CALL_TIMEOUTS.len()],
        });
        let after = match self.cursor.next() {
            StoreRead::ChangesSince(position) => position,
            StoreRead::Full => {
                // The first watch, or a peer that follows the store, supplies what is newer.
                let freshness = if self.has_read {
                    Freshness::Latest
                } else {
                    Freshness::SecondsOld
                };
                let all = store.read_all(freshness).await?;
                self.store_available();
                let is_first = !std::mem::replace(&mut self.has_read, true);
                self.apply_full_read(all.position, all.items, is_first);
                self.cursor.advance_to(all.position);
                return self.register(store, all.position.era).await;
            }
        };
        self.register(store, after.era).await?;
        // The first one is short, so that others soon hear that this box reaches the store.
        let wait = if self.unavailable_since.is_some() || !self.is_following {
            OUTAGE_WATCH_WAIT
        } else {
            WATCH_WAIT
        };
        let watched = store.watch(after, wait).await?;
        self.store_available();
        if !std::mem::replace(&mut self.is_following, true) {
            self.relay.load_changed.notify_one();
        }
        let mut servers_changed = false;
        for change in watched.changes {
            servers_changed |= matches!(
                change,
                Change::Server { .. }
                    | Change::ServerRemoved { .. }
                    | Change::HallRequested { .. }
                    | Change::Unreadable {
                        server: Some(_),
                        ..
                    }
            );
            self.apply_change(change);
        }
        if servers_changed {
            // Once for all changes, since each call copies the whole list.
            self.relay.publish_store_servers();
        }
        self.cursor.advance_to(watched.position);
        self.remove_expired_boxes(store).await
    }

    /// Registers this box in an era of the store, unless it is registered there already.
    async fn register(&mut self, store: &mut Store, era: u64) -> Result<(), StoreError> {
        if self.registered_in >= Some(era) {
            return Ok(());
        }
        let era = store.put_box(&self.own).await?;
        self.registered_in = Some(era);
        {
            let now = self.relay.clock.now();
            let mut cluster_view = lock(&self.relay.cluster_view);
            cluster_view.budget_share.set_listed();
            cluster_view.confirm_share(now, self.relay.settings.retries.window);
        }
        self.reregister_at = None;
        tracing::info!(
            r#box = self.own.name,
            era,
            "this box is registered in the store"
        );
        Ok(())
    }

    /// Registers this box again if its peers announce a new era, which means that the store was
    /// restored. All boxes learn of the era at the same time, so each writes after a random delay.
    async fn reregister(&mut self, store: &mut Store) {
        let era = self.relay.known_state().servers.era;
        if self.registered_in >= Some(era) {
            return;
        }
        let delay = rand::rng().random_range(Duration::ZERO..MAX_REREGISTRATION_DELAY);
        let at = *self.reregister_at.get_or_insert(Instant::now() + delay);
        if Instant::now() < at {
            return;
        }
        if let Err(cause) = self.register(store, era).await {
            tracing::warn!(%cause, era, "registration in the restored store failed");
            self.reregister_at = None;
        }
    }

    /// Removes the entries of expired boxes, if this box is the one of its hall that does so.
    async fn remove_expired_boxes(&mut self, store: &mut Store) -> Result<(), StoreError> {
        if self.expiry_checked_at.elapsed() < EXPIRY_CHECK_INTERVAL {
            return Ok(());
        }
        self.expiry_checked_at = Instant::now();
        let now = self.relay.clock.now();
        let expired = {
            let cluster_view = lock(&self.relay.cluster_view);
            let silent_for = |name: &str| cluster_view.peer_liveness.silent_for(now, name);
            gossip_topology::expired_boxes(&cluster_view.boxes, &self.own, silent_for)
        };
        for name in expired {
            if let Some(&at) = self.box_entries.get(&name) {
                tracing::info!(
                    r#box = name,
                    era = at.era,
                    revision = at.revision,
                    "entry of expired box removed"
                );
                store.remove_box(&name, at).await?;
            }
        }
        Ok(())
    }

    /// Records a response of the store.
    fn store_available(&self) {
        let now = self.relay.clock.now();
        let mut cluster_view = lock(&self.relay.cluster_view);
        cluster_view.servers.store_available(now);
        // The first read may be old, so that others can't rely on this box yet.
        if self.has_read {
            cluster_view.store_answered_at = Some(now);
            cluster_view.confirm_share(now, self.relay.settings.retries.window);
        }
    }

    /// Advances the cursor to the state known from peers, from which this box continues if it has
    /// to follow the store again. Ends a store outage.
    fn follow_peers(&mut self) {
        self.cursor.raise_to(self.relay.known_state().servers);
        // Updates of the store arrive through peers, so entries that disappear from now on are not
        // held as they are in an outage.
        let now = self.relay.clock.now();
        lock(&self.relay.cluster_view).servers.store_available(now);
        self.unavailable_since = None;
        self.failures = 0;
        self.is_following = false;
    }

    fn record_success(&mut self) {
        if let Some(since) = self.unavailable_since.take() {
            let away_ms = since.elapsed().as_millis() as u64;
            tracing::info!(away_ms, "store available again");
        }
        self.failures = 0;
        self.backoff = Backoff::default();
    }

    /// Records a failed call and returns the delay before the next one.
    fn record_failure(&mut self, cause: &StoreError) -> Duration {
        let position = self.cursor.position();
        let (era, revision) = position.map(|at| (at.era, at.revision)).unzip();
        match cause {
            StoreError::HistoryExpired => {
                tracing::info!(era, revision, "store history expired: reading in full");
                self.cursor.reset();
                return Duration::ZERO;
            }
            StoreError::NewEra(new_era) => {
                tracing::warn!(
                    era,
                    revision,
                    new_era,
                    "store restored from a backup: reading in full"
                );
                self.cursor.reset();
                return rand::rng().random_range(Duration::ZERO..MAX_REREAD_DELAY);
            }
            StoreError::TooLarge if position.is_some() => {
                tracing::warn!(era, revision, "store has too many changes: reading in full");
                self.cursor.reset();
                return rand::rng().random_range(Duration::ZERO..MAX_REREAD_DELAY);
            }
            StoreError::TooLarge | StoreError::NotApplied(_) | StoreError::NoResponse(_) => {}
        }
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(Instant::now());
            tracing::warn!(%cause, era, revision, "store unavailable");
        }
        self.failures += 1;
        lock(&self.relay.cluster_view).servers.store_unavailable();
        self.backoff.next(&mut rand::rng()).min(MAX_RETRY_DELAY)
    }

    fn apply_full_read(&mut self, position: StorePosition, items: Vec<Change>, is_first: bool) {
        let mut entries = ServerSnapshot {
            position,
            ..ServerSnapshot::default()
        };
        let mut boxes = Boxes::new();
        let mut routes = None;
        self.box_entries.clear();
        for change in items {
            match change {
                Change::Server { server, .. } => {
                    entries.servers.insert(server.name.clone(), server);
                }
                Change::HallRequested {
                    position,
                    hall,
                    request,
                } => entries.halls.record(position, hall, request),
                Change::Box {
                    position,
                    addresses,
                } => {
                    self.box_entries.insert(addresses.name.clone(), position);
                    boxes.insert(addresses.name.clone(), addresses);
                }
                Change::Routes(_) => routes = Some(change),
                other => self.apply_change(other),
            }
        }
        let before = self.relay.known_state().servers;
        tracing::info!(
            era = position.era,
            revision = position.revision,
            known_era = before.era,
            known_revision = before.revision,
            servers = entries.servers.len(),
            boxes = boxes.len(),
            "store read in full"
        );
        let is_registered = boxes.get(&self.own.name) == Some(&self.own);
        self.registered_in = is_registered.then_some(position.era);
        boxes.insert(self.own.name.clone(), self.own.clone());
        let now = self.relay.clock.now();
        {
            let mut cluster_view = lock(&self.relay.cluster_view);
            cluster_view.is_new_box = is_first && !is_registered;
            cluster_view.merge_boxes(now, boxes);
            if is_registered {
                cluster_view.budget_share.set_listed();
            }
            cluster_view.servers.replace(now, entries);
        }
        self.relay.publish_store_servers();
        if position.era > before.era {
            lock(&self.relay.quarantine).on_store_restored();
            self.relay.quarantine_changed.notify_one();
        }
        // Last, since calls that wait for the first routes proceed at once and need the servers.
        if let Some(routes) = routes {
            self.apply_change(routes);
        }
    }

    fn apply_change(&mut self, change: Change) {
        let relay = self.relay;
        match change {
            Change::Routes(table) => relay.update_routes(*table, "store"),
            Change::Server { position, server } => {
                tracing::info!(
                    server = %server.name,
                    service = %server.service,
                    address = server.address,
                    leaving = server.leaving,
                    born = server.born,
                    cold_ms = server.cold_for.map(|left| left.as_millis() as u64),
                    era = position.era,
                    revision = position.revision,
                    "server entry"
                );
                relay.gate.entry_written(server.incarnation());
                lock(&relay.cluster_view).servers.put(position, server);
            }
            Change::ServerRemoved { position, name } => {
                let (era, revision) = (position.era, position.revision);
                tracing::info!(server = %name, era, revision, "server entry removed");
                let now = relay.clock.now();
                let mut cluster_view = lock(&relay.cluster_view);
                cluster_view.servers.remove(now, position, &name);
            }
            Change::HallRequested {
                position,
                hall,
                request,
            } => {
                let mut cluster_view = lock(&relay.cluster_view);
                cluster_view.servers.put_hall(position, hall, request);
            }
            Change::Box {
                position,
                addresses,
            } => {
                let (era, revision) = (position.era, position.revision);
                tracing::info!(r#box = addresses.name, era, revision, "box entry");
                self.box_entries.insert(addresses.name.clone(), position);
                lock(&relay.cluster_view)
                    .boxes
                    .insert(addresses.name.clone(), addresses);
            }
            Change::BoxRemoved { name } if name == self.own.name => {
                tracing::warn!(r#box = name, "entry of this box was removed");
                self.registered_in = None;
            }
            Change::BoxRemoved { name } => {
                tracing::info!(r#box = name, "box entry removed");
                self.box_entries.remove(&name);
                lock(&relay.cluster_view).boxes.remove(&name);
            }
            Change::Suspect { key, fact } => {
                request_quarantine::apply_fact(relay, key, fact);
            }
            Change::Unreadable {
                position,
                server: Some(name),
                cause,
                ..
            } => {
                let (era, revision) = (position.era, position.revision);
                tracing::error!(server = %name, cause, era, revision, "server entry unreadable: server not used");
                let mut cluster_view = lock(&relay.cluster_view);
                cluster_view.servers.put_unreadable(position, &name);
            }
            Change::Unreadable { key, cause, .. } => {
                tracing::error!(key, cause, "store value unreadable: previous value kept");
            }
            Change::Other => {}
        }
    }
}
