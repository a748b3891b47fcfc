//! Seeded model of boxes that follow a store which is restored from backups, with network cuts,
//! new boxes, and servers that leave, stop and restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_list::HOLD_AFTER_RECOVERY;
use badgerferry_lib::relay::server_list::ServerEntry;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::relay::server_list::ServerSnapshot;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_cursor::StoreCursor;
use badgerferry_lib::relay::store_cursor::StoreRead;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::server_entry::server;

const BOXES: usize = 5;
/// Number of boxes that read the store continuously; the others pull from peers.
const FOLLOWERS: usize = 2;
const SERVERS: u64 = 4;
const STEPS: u64 = 120;
const STEP: Duration = Duration::from_millis(50);
/// Steps after the last fault within which all boxes must converge.
const CONVERGENCE_STEPS: u64 = 8;
/// Steps from a restore of the store until operators and servers write their keys again.
const REWRITE_DELAY_STEPS: u64 = 6;
/// Key of the route table; keys of servers start differently.
const ROUTES_KEY: &str = "routes";

#[derive(Debug, Clone, PartialEq)]
enum Value {
    Version(u64),
    Server(ServerEntry),
}

type StoreContents = BTreeMap<String, Value>;

#[derive(Debug, Clone, Default)]
struct ModelStore {
    position: StorePosition,
    contents: StoreContents,
    /// Changes since the start; a restore drops those that the backup lacks.
    events: Vec<(StorePosition, String, Option<Value>)>,
}

impl ModelStore {
    fn write(&mut self, key: &str, value: Option<Value>) {
        self.position.revision += 1;
        match value.clone() {
            Some(value) => self.contents.insert(key.to_owned(), value),
            None => self.contents.remove(key),
        };
        self.events.push((self.position, key.to_owned(), value));
    }

    /// Restores the contents of the backup under a new era.
    fn restore(&mut self, backup: &Self) {
        let era = self.position.era + 1;
        *self = backup.clone();
        self.position.era = era;
        self.events.iter_mut().for_each(|(at, ..)| at.era = era);
    }
}

#[derive(Debug, Default)]
struct ModelBox {
    cursor: StoreCursor,
    servers: ServerList,
    version: Option<u64>,
    reaches_store: bool,
    reaches_others: bool,
    /// Incarnations that this box saw leaving in the store.
    retired: BTreeSet<ServerIncarnation>,
}

impl ModelBox {
    fn new() -> Self {
        Self {
            reaches_store: true,
            reaches_others: true,
            ..Self::default()
        }
    }

    fn known_state(&self) -> KnownState {
        KnownState {
            routes: self.version,
            servers: self.servers.entries().position,
        }
    }

    fn update_version(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
    }

    fn read_store(&mut self, now: Time, store: &ModelStore) {
        match self.cursor.next() {
            StoreRead::Full => self.read_full(now, store),
            StoreRead::ChangesSince(at) if !at.shares_era_with(store.position) => {
                self.cursor.reset();
            }
            StoreRead::ChangesSince(at) => {
                for (position, key, value) in &store.events {
                    if *position > at {
                        self.apply_change(now, *position, key, value.as_ref());
                    }
                }
                self.cursor.advance_to(store.position);
            }
        }
    }

    fn read_full(&mut self, now: Time, store: &ModelStore) {
        let mut entries = ServerSnapshot {
            position: store.position,
            ..ServerSnapshot::default()
        };
        for value in store.contents.values() {
            match value {
                Value::Version(version) => self.update_version(*version),
                Value::Server(server) => {
                    entries.servers.insert(server.name.clone(), server.clone());
                }
            }
        }
        self.servers.replace(now, entries);
        self.cursor.advance_to(store.position);
    }

    fn apply_change(&mut self, now: Time, at: StorePosition, key: &str, value: Option<&Value>) {
        match value {
            Some(Value::Version(version)) => self.update_version(*version),
            Some(Value::Server(server)) => {
                if server.leaving {
                    self.retired.insert(server.incarnation());
                }
                self.servers.put(at, server.clone());
            }
            None => self.servers.remove(now, at, &ServerName::new(key)),
        }
    }

    fn usable(&self) -> BTreeSet<ServerIncarnation> {
        let servers = self.servers.servers().into_iter();
        let usable = servers.filter(|server| !server.leaving);
        usable.map(|server| server.incarnation()).collect()
    }
}

struct Run {
    rng: ChaCha8Rng,
    step: u64,
    store: ModelStore,
    backup: ModelStore,
    /// Contents as last written by operators and servers, unaffected by restores.
    written: StoreContents,
    rewrite_at: Option<u64>,
    boxes: Vec<ModelBox>,
    born: u64,
    version: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            store: ModelStore::default(),
            backup: ModelStore::default(),
            written: StoreContents::default(),
            rewrite_at: None,
            boxes: (0..BOXES).map(|_| ModelBox::new()).collect(),
            born: 0,
            version: 0,
        };
        run.new_version();
        (0..SERVERS).for_each(|at| run.start_server(at));
        run.backup = run.store.clone();
        run
    }

    fn now(&self) -> Time {
        Time::ZERO + STEP * self.step as u32
    }

    fn write(&mut self, key: &str, value: Option<Value>) {
        match value.clone() {
            Some(value) => self.written.insert(key.to_owned(), value),
            None => self.written.remove(key),
        };
        self.store.write(key, value);
    }

    fn new_version(&mut self) {
        self.version += 1;
        self.write(ROUTES_KEY, Some(Value::Version(self.version)));
    }

    fn start_server(&mut self, at: u64) {
        self.born += 1;
        let name = format!("server-{at}");
        let started = ServerEntry {
            born: Some(self.born),
            ..server(&name)
        };
        self.write(&name, Some(Value::Server(started)));
    }

    fn mark_leaving(&mut self, at: u64) {
        let name = format!("server-{at}");
        if let Some(Value::Server(server)) = self.written.get(&name).cloned() {
            let leaving = ServerEntry {
                leaving: true,
                ..server
            };
            self.write(&name, Some(Value::Server(leaving)));
        }
    }

    fn remove_server(&mut self, at: u64) {
        let name = format!("server-{at}");
        if self.written.contains_key(&name) {
            self.write(&name, None);
        }
    }

    fn rewrite_lost(&mut self) {
        let lost: Vec<String> = (self.store.contents.keys().chain(self.written.keys()))
            .filter(|key| self.store.contents.get(*key) != self.written.get(*key))
            .cloned()
            .collect();
        for key in lost.into_iter().collect::<BTreeSet<String>>() {
            let value = self.written.get(&key).cloned();
            self.store.write(&key, value);
        }
    }

    fn inject_fault(&mut self) {
        let at = self.rng.random_range(0..BOXES);
        let server = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..14) {
            0 | 1 => self.new_version(),
            2 => self.start_server(server),
            3 => self.mark_leaving(server),
            4 => self.remove_server(server),
            5 => self.backup = self.store.clone(),
            6 => {
                self.store.restore(&self.backup);
                self.backup.position.era = self.store.position.era;
                self.backup.events.clone_from(&self.store.events);
                self.rewrite_at = Some(self.step + REWRITE_DELAY_STEPS);
            }
            7 => self.boxes[at].reaches_store = false,
            8 => self.boxes[at].reaches_others = false,
            9 => self.boxes[at].reaches_store = true,
            10 => self.boxes[at].reaches_others = true,
            11 if self.rng.random_bool(0.2) => self.boxes[at] = ModelBox::new(),
            _ => {}
        }
        if self.rewrite_at.is_some_and(|due| self.step >= due) {
            self.rewrite_at = None;
            self.rewrite_lost();
        }
    }

    fn sync_boxes(&mut self) {
        let now = self.now();
        for at in 0..BOXES {
            let reads_store = at < FOLLOWERS || self.boxes[at].cursor.next() == StoreRead::Full;
            if reads_store && self.boxes[at].reaches_store {
                self.boxes[at].read_store(now, &self.store);
            }
        }
        for to in 0..BOXES {
            let first = self.rng.random_range(0..BOXES);
            for next in 0..BOXES {
                self.pull(now, (first + next) % BOXES, to);
            }
        }
        for model_box in &mut self.boxes {
            model_box.servers.tick(now);
        }
    }

    fn pull(&mut self, now: Time, from: usize, to: usize) {
        let reaches_others = |at: usize| self.boxes[at].reaches_others;
        let (own, theirs) = (self.boxes[to].known_state(), self.boxes[from].known_state());
        if from == to || !reaches_others(from) || !reaches_others(to) || !own.is_behind(theirs) {
            return;
        }
        let update = self.boxes[from].servers.update_since(own.servers);
        let hold_remaining = self.boxes[from].servers.hold_remaining(now);
        let model_box = &mut self.boxes[to];
        model_box.servers.extend_hold(now, hold_remaining);
        if let Some(update) = update {
            model_box.servers.apply_update(now, update);
        }
        if let Some(version) = theirs.routes {
            model_box.update_version(version);
        }
        if to >= FOLLOWERS {
            let known = model_box.known_state().servers;
            model_box.cursor.raise_to(known);
        }
    }

    /// Invariants that hold after every step.
    fn check_invariants(&self, before: &[Option<u64>]) {
        for (model_box, before) in self.boxes.iter().zip(before) {
            assert!(
                model_box.version >= *before,
                "route table version went back"
            );
            let usable = model_box.usable();
            let revived: Vec<_> = model_box.retired.intersection(&usable).collect();
            assert!(
                revived.is_empty(),
                "retired servers are in use again: {revived:?}"
            );
        }
    }

    fn run_steps(&mut self, steps: u64, with_faults: bool) {
        for _ in 0..steps {
            self.step += 1;
            if with_faults {
                self.inject_fault();
            }
            let version = |model_box: &ModelBox| model_box.version;
            let before: Vec<Option<u64>> = self.boxes.iter().map(version).collect();
            self.sync_boxes();
            self.check_invariants(&before);
        }
    }

    /// Final state once all boxes reach the store and each other, and all keys were written again.
    fn check_converged(&self) {
        let listed = self.written.values().filter_map(|value| match value {
            Value::Server(server) if !server.leaving => Some(server.incarnation()),
            _ => None,
        });
        let expected: BTreeSet<ServerIncarnation> = listed.collect();
        for (at, model_box) in self.boxes.iter().enumerate() {
            assert_eq!(model_box.version, Some(self.version), "box {at}");
            assert_eq!(model_box.usable(), expected, "box {at}");
        }
    }
}

fn run_seed(seed: u64) {
    let mut run = Run::new(seed);
    run.run_steps(STEPS, true);
    run.rewrite_lost();
    for model_box in &mut run.boxes {
        (model_box.reaches_store, model_box.reaches_others) = (true, true);
    }
    run.new_version();
    let hold_steps = HOLD_AFTER_RECOVERY.as_millis() / STEP.as_millis();
    run.run_steps(CONVERGENCE_STEPS, false);
    for (at, model_box) in run.boxes.iter().enumerate() {
        assert_eq!(
            model_box.version,
            Some(run.version),
            "box {at} lacks the newest version"
        );
    }
    run.run_steps(hold_steps as u64 + CONVERGENCE_STEPS, false);
    run.check_converged();
}

/// Number of seeds; `BADGERFERRY_ERA_SEEDS` overrides it, for example with 100000 for long runs.
fn seeds() -> u64 {
    let text = std::env::var("BADGERFERRY_ERA_SEEDS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(1_000)
}

#[test]
fn boxes_converge_to_the_newest_state_after_store_restores() {
    let (_, failed) = badgerferry_testutils::seeds::run_seeds(0..seeds(), run_seed);

    assert!(
        failed.is_empty(),
        "{} seeds: {:?}",
        failed.len(),
        &failed[..failed.len().min(10)]
    );
}
