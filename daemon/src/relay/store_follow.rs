//! Follows the platform's store: routes, servers and boxes, by one watch; and keeps this
//! box's own entry there under a lease.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::backoff::Backoff;
use badgerferry_lib::relay::server_list::ServerEntries;
use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::state_pull::StampedTable;
use badgerferry_platform::store::Lease;
use badgerferry_platform::store::Store;
use badgerferry_platform::store::StoreError;
use badgerferry_platform::store_change::Change;
use tokio::time::Instant;

use crate::relay::state::Relay;
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
/// How often a box that follows its neighbours looks whether they still follow the store.
const LOOK_AT_NEIGHBOURS: Duration = Duration::from_millis(250);
/// Longest pause after a failure: a change is to be known within four seconds of the store's
/// return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Lifetime of this box's entry; other boxes forget a dead one after it.
const ENTRY_LIFETIME: Duration = Duration::from_secs(6);
/// Renewals in one lifetime of the entry.
const RENEWALS: u32 = 3;

/// Follows for ever.
pub async fn run(relay: &Arc<Relay>) {
    let mut store = Store::new(relay.settings.store, CALL_LIMIT);
    let mut follow = Follow::new(relay);
    loop {
        if follow.revision.is_some() && !relay.must_follow_store() {
            follow.follow_neighbours();
            tokio::time::sleep(LOOK_AT_NEIGHBOURS).await;
            continue;
        }
        let pause = match follow.step(&mut store).await {
            Ok(()) => {
                follow.answered();
                GATHER
            }
            Err(cause) => follow.failed(&cause),
        };
        tokio::time::sleep(pause).await;
    }
}

struct Follow<'a> {
    relay: &'a Arc<Relay>,
    /// Revision to watch from; none where all must be read.
    revision: Option<u64>,
    lost_since: Option<Instant>,
    failures: usize,
    backoff: Backoff,
}

impl<'a> Follow<'a> {
    fn new(relay: &'a Arc<Relay>) -> Self {
        Self {
            relay,
            revision: None,
            lost_since: None,
            failures: 0,
            backoff: Backoff::default(),
        }
    }

    async fn step(&mut self, store: &mut Store) -> Result<(), StoreError> {
        store.set_limit(match self.failures {
            0 => CALL_LIMIT,
            failures => LOST_LIMITS[failures % LOST_LIMITS.len()],
        });
        let Some(after) = self.revision else {
            let all = store.read_all().await?;
            self.store_answers();
            self.take_everything(all.revision, all.items);
            self.revision = Some(all.revision);
            return Ok(());
        };
        let wait = match self.lost_since {
            Some(_) => LOST_WATCH_WAIT,
            None => WATCH_WAIT,
        };
        let seen = store.watch(after, wait).await?;
        self.store_answers();
        let mut servers_changed = false;
        for change in seen.changes {
            servers_changed |= matches!(change, Change::Server { .. } | Change::ServerGone { .. });
            self.take(change);
        }
        if servers_changed {
            // Once for all of them: each time, the list is copied whole.
            self.relay.show_servers();
        }
        self.revision = Some(seen.revision);
        Ok(())
    }

    fn store_answers(&self) {
        let now = self.relay.clock.now();
        let mut followed = lock(&self.relay.followed);
        followed.servers.store_answers(now);
        followed.store_at = Some(now);
    }

    /// Goes on from where the neighbours' news are, should this box follow the store again.
    fn follow_neighbours(&mut self) {
        let have = self.relay.revisions();
        self.revision = self.revision.max(Some(have.servers));
        // Its news reaches this box through them: entries that end are no longer held for long.
        let now = self.relay.clock.now();
        lock(&self.relay.followed).servers.store_answers(now);
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
        if *cause == StoreError::HistoryGone {
            tracing::info!(
                revision = self.revision,
                "store's history is gone; reading all"
            );
            self.revision = None;
            return Duration::ZERO;
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            tracing::warn!(%cause, revision = self.revision, "store lost");
        }
        self.failures += 1;
        lock(&self.relay.followed).servers.store_lost();
        self.backoff.next(&mut rand::rng()).min(LONGEST_PAUSE)
    }

    fn take_everything(&self, revision: u64, items: Vec<Change>) {
        let mut entries = ServerEntries {
            revision,
            ..ServerEntries::default()
        };
        let mut boxes = std::collections::BTreeMap::new();
        for change in items {
            match change {
                Change::Server { server, .. } => {
                    entries.servers.insert(server.name.clone(), server);
                }
                Change::Box(of) => {
                    boxes.insert(of.name.clone(), of);
                }
                other => self.take(other),
            }
        }
        tracing::info!(
            revision,
            servers = entries.servers.len(),
            boxes = boxes.len(),
            "store read whole"
        );
        lock(&self.relay.followed).boxes = boxes;
        let now = self.relay.clock.now();
        self.relay
            .change_servers(|servers| servers.replace(now, entries));
    }

    fn take(&self, change: Change) {
        let relay = self.relay;
        match change {
            Change::Routes { revision, table } => {
                let table = *table;
                relay.offer_table(StampedTable { revision, table }, "store");
            }
            Change::Server { revision, server } => {
                tracing::info!(
                    server = %server.name,
                    service = %server.service,
                    address = server.address,
                    leaving = server.leaving,
                    revision,
                    "server entry"
                );
                lock(&relay.followed).servers.put(revision, server);
            }
            Change::ServerGone { revision, name } => {
                tracing::info!(server = %name, revision, "server entry gone");
                let now = relay.clock.now();
                let mut followed = lock(&relay.followed);
                followed.servers.remove(now, revision, &name);
            }
            Change::Box(of) => {
                tracing::info!(r#box = of.name, "box entry");
                lock(&relay.followed).boxes.insert(of.name.clone(), of);
            }
            Change::BoxGone { name } => {
                tracing::info!(r#box = name, "box entry gone");
                lock(&relay.followed).boxes.remove(&name);
            }
            Change::Unreadable { key, cause } => {
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

/// Keeps this box's entry in the store for ever, and ends held server entries in time.
pub async fn keep_entry(relay: &Arc<Relay>) {
    let mut store = Store::new(relay.settings.store, CALL_LIMIT);
    let lifetime = ENTRY_LIFETIME.max(relay.settings.shortest_lease);
    let entry = BoxAddresses {
        name: relay.settings.name.clone(),
        hall: relay.settings.hall.to_string(),
        pull: relay.settings.pull.to_string(),
        load: relay.settings.load.to_string(),
    };
    let mut lease: Option<Lease> = None;
    loop {
        let result = match lease {
            Some(held) => store.renew(held).await,
            None => enter(&mut store, lifetime, &entry).await.map(|held| {
                lease = Some(held);
            }),
        };
        if let Err(cause) = result {
            tracing::info!(%cause, "this box's entry could not be kept");
            if cause == StoreError::LeaseOver {
                lease = None;
                continue;
            }
        }
        tokio::time::sleep(lifetime / RENEWALS).await;
    }
}

async fn enter(
    store: &mut Store,
    lifetime: Duration,
    entry: &BoxAddresses,
) -> Result<Lease, StoreError> {
    let lease = store.lease(lifetime).await?;
    store.put_box(lease, entry).await?;
    Ok(lease)
}
