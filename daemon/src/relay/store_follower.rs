//! Follows the platform's store: routes, servers and boxes, by one watch; and enters this box.
//!
//! An entry says where a box is reached, not that it lives: that is known by who is heard. So it
//! is written once for all lives of a box, and removed by its neighbours when it was silent long.

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
use badgerferry_platform::store::Store;
use badgerferry_platform::store::StoreError;
use badgerferry_platform::store_change::Change;
use rand::Rng;
use tokio::time::Instant;

use crate::relay::state;
use crate::relay::state::Relay;
use crate::relay::suspects;
use crate::traffic::lock;

/// Longest wait for an answer of the store beyond what a watch waits; it answers in milliseconds.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Limits tried in turn while the store does not answer: short ones, so that its return shows
/// soon, and a long one in case it is only slow.
const LOST_LIMITS: [Duration; 3] = [
    Duration::from_millis(700),
    Duration::from_millis(700),
    Duration::from_secs(2),
];
/// How long a watch waits: a watch that is cut silently is known after this and the limit.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// How long it waits while the store does not answer.
const LOST_WATCH_WAIT: Duration = Duration::from_millis(50);
/// Pause after an answer: changes that come together are fetched by one call.
const GATHER: Duration = Duration::from_millis(100);
/// After all was read, until the first watch: by then a box has heard from neighbours which box
/// follows the store, and most need not watch at all.
const FIRST_WATCH: Duration = Duration::from_secs(1);
/// How often a box that follows its neighbours looks whether they still follow the store.
const LOOK_AT_NEIGHBOURS: Duration = Duration::from_millis(250);
/// Longest pause after a failure: a change is to be known within four seconds of the store's
/// return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Within this time after a return from a copy boxes that follow the store read all of it.
const READ_AGAIN_WITHIN: Duration = Duration::from_millis(200);
/// Within this time the others write their entries again, which nobody waits for.
const ENTER_AGAIN_WITHIN: Duration = Duration::from_secs(5);
/// How often boxes are looked for that were silent long.
const SWEEP_PAUSE: Duration = Duration::from_mins(1);

/// Follows for ever.
pub async fn run(relay: &Arc<Relay>) {
    let mut store = Store::new(relay.settings.store, CALL_LIMIT);
    let mut follow = StoreFollower::new(relay);
    loop {
        if follow.entered_in.is_some() && !relay.must_follow_store() {
            follow.follow_neighbours();
            follow.enter_again(&mut store).await;
            tokio::time::sleep(LOOK_AT_NEIGHBOURS).await;
            continue;
        }
        let is_first = follow.cursor.next() == StoreRead::Full && follow.entered_in.is_none();
        let pause = match follow.step(&mut store).await {
            Ok(()) => {
                follow.answered();
                if is_first { FIRST_WATCH } else { GATHER }
            }
            Err(cause) => follow.failed(&cause),
        };
        tokio::time::sleep(pause).await;
    }
}

struct StoreFollower<'a> {
    relay: &'a Arc<Relay>,
    cursor: StoreCursor,
    lost_since: Option<Instant>,
    failures: usize,
    backoff: Backoff,
    /// What other boxes are to know of this one.
    own: BoxAddresses,
    /// The era in which the store held that.
    entered_in: Option<u64>,
    /// When it is written again after a return from a copy.
    enters_again: Option<Instant>,
    /// Where the store took each box's entry, in the era that is read.
    entries: HashMap<String, StorePosition>,
    swept: Instant,
}

impl<'a> StoreFollower<'a> {
    fn new(relay: &'a Arc<Relay>) -> Self {
        Self {
            relay,
            cursor: StoreCursor::default(),
            lost_since: None,
            failures: 0,
            backoff: Backoff::default(),
            own: state::own_addresses(&relay.settings),
            entered_in: None,
            enters_again: None,
            entries: HashMap::new(),
            swept: Instant::now(),
        }
    }

    async fn step(&mut self, store: &mut Store) -> Result<(), StoreError> {
        store.set_limit(match self.failures {
            0 => CALL_LIMIT,
            failures => LOST_LIMITS[failures % LOST_LIMITS.len()],
        });
        let after = match self.cursor.next() {
            StoreRead::ChangesSince(position) => position,
            StoreRead::Full => {
                let all = store.read_all().await?;
                self.store_available();
                self.take_everything(all.position, all.items);
                self.cursor.advance_to(all.position);
                return self.enter(store, all.position.era).await;
            }
        };
        self.enter(store, after.era).await?;
        let wait = match self.lost_since {
            Some(_) => LOST_WATCH_WAIT,
            None => WATCH_WAIT,
        };
        let seen = store.watch(after, wait).await?;
        self.store_available();
        let mut servers_changed = false;
        for change in seen.changes {
            servers_changed |= matches!(
                change,
                Change::Server { .. }
                    | Change::ServerGone { .. }
                    | Change::Unreadable {
                        server: Some(_),
                        ..
                    }
            );
            self.take(change);
        }
        if servers_changed {
            // Once for all of them: each time, the list is copied whole.
            self.relay.publish_store_servers();
        }
        self.cursor.advance_to(seen.position);
        self.sweep(store).await
    }

    /// Enters this box in an era of the store, unless that holds its addresses.
    async fn enter(&mut self, store: &mut Store, era: u64) -> Result<(), StoreError> {
        if self.entered_in >= Some(era) {
            return Ok(());
        }
        let era = store.put_box(&self.own).await?;
        self.entered_in = Some(era);
        self.enters_again = None;
        tracing::info!(
            r#box = self.own.name,
            era,
            "this box is entered in the store"
        );
        Ok(())
    }

    /// Enters this box again, some time after it heard from others that the store came back from a copy:
    /// all boxes hear of it at once.
    async fn enter_again(&mut self, store: &mut Store) {
        let era = self.relay.known_state().servers.era;
        if self.entered_in >= Some(era) {
            return;
        }
        let within = rand::rng().random_range(Duration::ZERO..ENTER_AGAIN_WITHIN);
        let at = *self.enters_again.get_or_insert(Instant::now() + within);
        if Instant::now() < at {
            return;
        }
        if let Err(cause) = self.enter(store, era).await {
            tracing::warn!(%cause, era, "this box could not be entered in the store again");
            self.enters_again = None;
        }
    }

    /// Removes entries of boxes that were silent long, if this box does that for its hall.
    async fn sweep(&mut self, store: &mut Store) -> Result<(), StoreError> {
        if self.swept.elapsed() < SWEEP_PAUSE {
            return Ok(());
        }
        self.swept = Instant::now();
        let now = self.relay.clock.now();
        let abandoned = {
            let cluster_view = lock(&self.relay.cluster_view);
            let silent_for = |name: &str| cluster_view.peer_liveness.silent_for(now, name);
            gossip_topology::expired_boxes(&cluster_view.boxes, &self.own, silent_for)
        };
        for name in abandoned {
            if let Some(&at) = self.entries.get(&name) {
                tracing::info!(
                    r#box = name,
                    era = at.era,
                    revision = at.revision,
                    "entry of a box removed, which is silent long"
                );
                store.remove_box(&name, at).await?;
            }
        }
        Ok(())
    }

    fn store_available(&self) {
        let now = self.relay.clock.now();
        let mut cluster_view = lock(&self.relay.cluster_view);
        cluster_view.servers.store_available(now);
        cluster_view.store_answered_at = Some(now);
    }

    /// Goes on from where the neighbours' news are, should this box follow the store again.
    fn follow_neighbours(&mut self) {
        self.cursor.raise_to(self.relay.known_state().servers);
        // Its news reaches this box through them: entries that end are no longer held for long.
        let now = self.relay.clock.now();
        lock(&self.relay.cluster_view).servers.store_available(now);
        self.lost_since = None;
        self.failures = 0;
    }

    fn answered(&mut self) {
        if let Some(since) = self.lost_since.take() {
            let away_ms = since.elapsed().as_millis() as u64;
            tracing::info!(away_ms, "store regained");
        }
        self.failures = 0;
        self.backoff = Backoff::default();
    }

    fn failed(&mut self, cause: &StoreError) -> Duration {
        let position = self.cursor.position();
        let (era, revision) = position.map(|at| (at.era, at.revision)).unzip();
        match cause {
            StoreError::HistoryGone => {
                tracing::info!(era, revision, "store's history is gone; reading all");
                self.cursor.reset();
                return Duration::ZERO;
            }
            StoreError::NewEra(new_era) => {
                tracing::warn!(
                    era,
                    revision,
                    new_era,
                    "store came back from a copy; reading all"
                );
                self.cursor.reset();
                return rand::rng().random_range(Duration::ZERO..READ_AGAIN_WITHIN);
            }
            StoreError::NotDone(_) | StoreError::NoAnswer(_) => {}
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            tracing::warn!(%cause, era, revision, "store lost");
        }
        self.failures += 1;
        lock(&self.relay.cluster_view).servers.store_unavailable();
        self.backoff.next(&mut rand::rng()).min(LONGEST_PAUSE)
    }

    fn take_everything(&mut self, position: StorePosition, items: Vec<Change>) {
        let mut entries = ServerSnapshot {
            position,
            ..ServerSnapshot::default()
        };
        let mut boxes = Boxes::new();
        let mut routes = None;
        self.entries.clear();
        for change in items {
            match change {
                Change::Server { server, .. } => {
                    entries.servers.insert(server.name.clone(), server);
                }
                Change::Box { position, of } => {
                    self.entries.insert(of.name.clone(), position);
                    boxes.insert(of.name.clone(), of);
                }
                Change::Routes(_) => routes = Some(change),
                other => self.take(other),
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
            "store read whole"
        );
        let is_entered = boxes.get(&self.own.name) == Some(&self.own);
        self.entered_in = is_entered.then_some(position.era);
        boxes.insert(self.own.name.clone(), self.own.clone());
        let now = self.relay.clock.now();
        {
            let mut cluster_view = lock(&self.relay.cluster_view);
            cluster_view.merge_boxes(now, boxes);
            cluster_view.servers.replace(now, entries);
        }
        self.relay.publish_store_servers();
        if position.era > before.era {
            lock(&self.relay.quarantine).on_store_restored();
            self.relay.quarantine_changed.notify_one();
        }
        // Calls that wait for the first routes go by them at once, and need the servers.
        if let Some(routes) = routes {
            self.take(routes);
        }
    }

    fn take(&mut self, change: Change) {
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
                    era = position.era,
                    revision = position.revision,
                    "server entry"
                );
                lock(&relay.cluster_view).servers.put(position, server);
            }
            Change::ServerGone { position, name } => {
                let (era, revision) = (position.era, position.revision);
                tracing::info!(server = %name, era, revision, "server entry gone");
                let now = relay.clock.now();
                let mut cluster_view = lock(&relay.cluster_view);
                cluster_view.servers.remove(now, position, &name);
            }
            Change::Box { position, of } => {
                let (era, revision) = (position.era, position.revision);
                tracing::info!(r#box = of.name, era, revision, "box entry");
                self.entries.insert(of.name.clone(), position);
                lock(&relay.cluster_view).boxes.insert(of.name.clone(), of);
            }
            Change::BoxGone { name } if name == self.own.name => {
                tracing::warn!(r#box = name, "this box's entry is gone");
                self.entered_in = None;
            }
            Change::BoxGone { name } => {
                tracing::info!(r#box = name, "box entry gone");
                self.entries.remove(&name);
                lock(&relay.cluster_view).boxes.remove(&name);
            }
            Change::Suspect { work, fact } => suspects::stored(relay, work, fact),
            Change::Unreadable {
                position,
                server: Some(name),
                cause,
                ..
            } => {
                let (era, revision) = (position.era, position.revision);
                tracing::error!(server = %name, cause, era, revision, "server entry can't be read; it is not used");
                let mut cluster_view = lock(&relay.cluster_view);
                cluster_view.servers.put_unreadable(position, &name);
            }
            Change::Unreadable { key, cause, .. } => {
                tracing::error!(
                    key,
                    cause,
                    "a value in the store can't be read; the old stands"
                );
            }
            Change::Other => {}
        }
    }
}
