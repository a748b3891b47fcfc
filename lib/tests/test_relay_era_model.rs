//! Boxes that follow a store which comes back from copies, by seeds: cuts, new boxes, servers that leave,
//! end and start again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::server_list::HOLD_AFTER_RETURN;
use badgerferry_lib::relay::server_list::ListedServer;
use badgerferry_lib::relay::server_list::ServerEntries;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_cursor::Ask;
use badgerferry_lib::relay::store_cursor::StoreCursor;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::relay::work_key::ServerLife;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::listed_server::server;

const BOXES: usize = 5;
/// Boxes that ask the store themselves; the others pull from them.
const FOLLOWERS: usize = 2;
const SERVERS: u64 = 4;
const STEPS: u64 = 120;
const STEP: Duration = Duration::from_millis(50);
/// Steps after all is well again until all boxes must know all.
const CALM_STEPS: u64 = 8;
/// From the store's return until operators and servers have written again.
const WRITTEN_AGAIN_AFTER: u64 = 6;
/// The route table's key; servers' begin otherwise.
const ROUTES: &str = "routes";

#[derive(Debug, Clone, PartialEq)]
enum Value {
    Version(u64),
    Server(ListedServer),
}

type Items = BTreeMap<String, Value>;

#[derive(Debug, Clone, Default)]
struct ModelStore {
    position: StorePosition,
    items: Items,
    /// Changes since the last return, and of the copy before it.
    events: Vec<(StorePosition, String, Option<Value>)>,
}

impl ModelStore {
    fn write(&mut self, key: &str, value: Option<Value>) {
        self.position.revision += 1;
        match value.clone() {
            Some(value) => self.items.insert(key.to_owned(), value),
            None => self.items.remove(key),
        };
        self.events.push((self.position, key.to_owned(), value));
    }

    /// Comes back as it was when it was copied.
    fn return_from(&mut self, copy: &Self) {
        let era = self.position.era + 1;
        *self = copy.clone();
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
    /// Lives that it knew to leave or to have ended while the store worked.
    over: BTreeSet<ServerLife>,
}

impl ModelBox {
    fn new() -> Self {
        Self {
            reaches_store: true,
            reaches_others: true,
            ..Self::default()
        }
    }

    fn known(&self) -> KnownState {
        KnownState {
            routes: self.version,
            servers: self.servers.entries().position,
        }
    }

    fn take_version(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
    }

    fn ask(&mut self, now: Time, store: &ModelStore) {
        match self.cursor.next() {
            Ask::Everything => self.read_whole(now, store),
            Ask::ChangesSince(at) if !at.shares_era_with(store.position) => {
                self.cursor.lost_history();
            }
            Ask::ChangesSince(at) => {
                for (position, key, value) in &store.events {
                    if *position > at {
                        self.take(now, *position, key, value.as_ref());
                    }
                }
                self.cursor.has_read(store.position);
            }
        }
    }

    fn read_whole(&mut self, now: Time, store: &ModelStore) {
        let mut entries = ServerEntries {
            position: store.position,
            ..ServerEntries::default()
        };
        for value in store.items.values() {
            match value {
                Value::Version(version) => self.take_version(*version),
                Value::Server(server) => {
                    entries.servers.insert(server.name.clone(), server.clone());
                }
            }
        }
        self.servers.replace(now, entries);
        self.cursor.has_read(store.position);
    }

    fn take(&mut self, now: Time, at: StorePosition, key: &str, value: Option<&Value>) {
        match value {
            Some(Value::Version(version)) => self.take_version(*version),
            Some(Value::Server(server)) => {
                if server.leaving {
                    self.over.insert(server.life());
                }
                self.servers.put(at, server.clone());
            }
            None => self.servers.remove(now, at, &ServerName::new(key)),
        }
    }

    fn usable(&self) -> BTreeSet<ServerLife> {
        let servers = self.servers.servers().into_iter();
        let usable = servers.filter(|server| !server.leaving);
        usable.map(|server| server.life()).collect()
    }
}

struct Run {
    rng: ChaCha8Rng,
    step: u64,
    store: ModelStore,
    copy: ModelStore,
    /// What operators and servers last wrote.
    written: Items,
    writes_again_at: Option<u64>,
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
            copy: ModelStore::default(),
            written: Items::default(),
            writes_again_at: None,
            boxes: (0..BOXES).map(|_| ModelBox::new()).collect(),
            born: 0,
            version: 0,
        };
        run.new_version();
        (0..SERVERS).for_each(|at| run.start_server(at));
        run.copy = run.store.clone();
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
        self.write(ROUTES, Some(Value::Version(self.version)));
    }

    fn start_server(&mut self, at: u64) {
        self.born += 1;
        let name = format!("server-{at}");
        let started = ListedServer {
            born: Some(self.born),
            ..server(&name)
        };
        self.write(&name, Some(Value::Server(started)));
    }

    fn leave(&mut self, at: u64) {
        let name = format!("server-{at}");
        if let Some(Value::Server(server)) = self.written.get(&name).cloned() {
            let leaving = ListedServer {
                leaving: true,
                ..server
            };
            self.write(&name, Some(Value::Server(leaving)));
        }
    }

    fn end_server(&mut self, at: u64) {
        let name = format!("server-{at}");
        if self.written.contains_key(&name) {
            self.write(&name, None);
        }
    }

    fn write_again(&mut self) {
        let lost: Vec<String> = (self.store.items.keys().chain(self.written.keys()))
            .filter(|key| self.store.items.get(*key) != self.written.get(*key))
            .cloned()
            .collect();
        for key in lost.into_iter().collect::<BTreeSet<String>>() {
            let value = self.written.get(&key).cloned();
            self.store.write(&key, value);
        }
    }

    fn trouble(&mut self) {
        let at = self.rng.random_range(0..BOXES);
        let server = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..14) {
            0 | 1 => self.new_version(),
            2 => self.start_server(server),
            3 => self.leave(server),
            4 => self.end_server(server),
            5 => self.copy = self.store.clone(),
            6 => {
                self.store.return_from(&self.copy);
                self.copy.position.era = self.store.position.era;
                self.copy.events.clone_from(&self.store.events);
                self.writes_again_at = Some(self.step + WRITTEN_AGAIN_AFTER);
            }
            7 => self.boxes[at].reaches_store = false,
            8 => self.boxes[at].reaches_others = false,
            9 => self.boxes[at].reaches_store = true,
            10 => self.boxes[at].reaches_others = true,
            11 if self.rng.random_bool(0.2) => self.boxes[at] = ModelBox::new(),
            _ => {}
        }
        if self.writes_again_at.is_some_and(|due| self.step >= due) {
            self.writes_again_at = None;
            self.write_again();
        }
    }

    fn boxes_learn(&mut self) {
        let now = self.now();
        for at in 0..BOXES {
            let asks = at < FOLLOWERS || self.boxes[at].cursor.next() == Ask::Everything;
            if asks && self.boxes[at].reaches_store {
                self.boxes[at].ask(now, &self.store);
            }
        }
        for to in 0..BOXES {
            let first = self.rng.random_range(0..BOXES);
            for next in 0..BOXES {
                self.pull(now, (first + next) % BOXES, to);
            }
        }
        for of in &mut self.boxes {
            of.servers.tick(now);
        }
    }

    fn pull(&mut self, now: Time, from: usize, to: usize) {
        let reach = |at: usize| self.boxes[at].reaches_others;
        let (have, theirs) = (self.boxes[to].known(), self.boxes[from].known());
        if from == to || !reach(from) || !reach(to) || !have.is_behind(theirs) {
            return;
        }
        let news = self.boxes[from].servers.news_since(have.servers);
        let hold_remaining = self.boxes[from].servers.hold_remaining(now);
        let of = &mut self.boxes[to];
        of.servers.hold_for(now, hold_remaining);
        if let Some(news) = news {
            of.servers.take_news(now, news);
        }
        if let Some(version) = theirs.routes {
            of.take_version(version);
        }
        if to >= FOLLOWERS {
            let known = of.known().servers;
            of.cursor.was_told(known);
        }
    }

    /// What must hold all the time.
    fn check(&self, before: &[Option<u64>]) {
        for (of, before) in self.boxes.iter().zip(before) {
            assert!(of.version >= *before, "an older version came back");
            let used = of.usable();
            let back: Vec<_> = of.over.intersection(&used).collect();
            assert!(back.is_empty(), "used again though over: {back:?}");
        }
    }

    fn steps(&mut self, steps: u64, has_trouble: bool) {
        for _ in 0..steps {
            self.step += 1;
            if has_trouble {
                self.trouble();
            }
            let is_same = |of: &ModelBox| of.version;
            let before: Vec<Option<u64>> = self.boxes.iter().map(is_same).collect();
            self.boxes_learn();
            self.check(&before);
        }
    }

    /// What must hold once all reach the store and each other, and all was written again.
    fn check_known(&self) {
        let listed = self.written.values().filter_map(|value| match value {
            Value::Server(server) if !server.leaving => Some(server.life()),
            _ => None,
        });
        let lives: BTreeSet<ServerLife> = listed.collect();
        for (at, of) in self.boxes.iter().enumerate() {
            assert_eq!(of.version, Some(self.version), "box {at}");
            assert_eq!(of.usable(), lives, "box {at}");
        }
    }
}

fn play(seed: u64) {
    let mut run = Run::new(seed);
    run.steps(STEPS, true);
    run.write_again();
    for of in &mut run.boxes {
        (of.reaches_store, of.reaches_others) = (true, true);
    }
    run.new_version();
    let held = HOLD_AFTER_RETURN.as_millis() / STEP.as_millis();
    run.steps(CALM_STEPS, false);
    for (at, of) in run.boxes.iter().enumerate() {
        assert_eq!(of.version, Some(run.version), "box {at} is late");
    }
    run.steps(held as u64 + CALM_STEPS, false);
    run.check_known();
}

/// By hand: `BADGERFERRY_ERA_SEEDS=100000`.
fn seeds() -> u64 {
    let asked = std::env::var("BADGERFERRY_ERA_SEEDS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(1_000)
}

#[test]
fn boxes_know_the_newest_state_whatever_copies_the_store_comes_back_from() {
    let (_, broken) = badgerferry_testutils::seeds::run_seeds(0..seeds(), play);

    assert!(
        broken.is_empty(),
        "{} seeds: {:?}",
        broken.len(),
        &broken[..broken.len().min(10)]
    );
}
