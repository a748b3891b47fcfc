//! What one box knows of each backend server, and which one takes a call of a plain service.
//!
//! The evidence is the box's own: calls in flight, how the last ones ended, and the load that
//! servers tell with their answers. A server that fails rests and is tried again with one call;
//! where all rest, all are used, since a doubtful server serves more than none.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;

use crate::breaker::Breaker;
use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::availability::Availability;
use crate::relay::engine_load::EngineKey;
use crate::relay::hall_reach::HallReach;
use crate::relay::hall_reach::ReachChange;
use crate::relay::route_table::ServiceName;
use crate::relay::server_list::ListedServer;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// How long other boxes are told of servers that leave; datagrams go several times in that time.
const DEPARTURE_TOLD: Duration = Duration::from_secs(1);
/// How long a box goes by what it was told of them: until it has the list that says so. An entry
/// that comes back after an outage of the store does so about as soon.
const DEPARTURE_BELIEVED: Duration = Duration::from_secs(2);
/// Departures told of at once, of those that are newest; the list tells the others.
const MOST_DEPARTURES_TOLD: usize = 64;
/// Failures in a row after which a server rests.
const FAILURES: u32 = 2;
/// How long it rests; then one call tries it.
const REST: Duration = Duration::from_millis(1_500);
/// How long a server rests that another server named as being at fault: it leaves, helps as many
/// as it may, or can't be reached, and each call that names it costs a try.
const FAULT_REST: Duration = Duration::from_secs(3);
/// How many times as long it rests at most, where it is named again after each rest: one that
/// leaves serves on for some seconds.
const MAX_FAULT_RESTS: u32 = 2;
/// How long other boxes are told of it; datagrams go several times in that time.
const FAULT_TOLD: Duration = Duration::from_secs(1);
/// Servers told of at once; the rest follows when these have been told.
const MAX_FAULTS_TOLD: usize = 16;
/// Servers of a hall in a row that stay silent, after which the whole hall rests: then the way
/// there is cut, and finding it out at each server by itself would delay a call each time.
const HALL_FAILURES: u32 = 3;
/// How long a hall rests; then one call tries it.
const HALL_REST: Duration = Duration::from_secs(1);
/// A load told with an answer counts this long; calls take some tens of milliseconds.
const LOAD_LIFETIME: Duration = Duration::from_millis(500);
/// Weight of the newest answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// What a server that always fails costs more, in calls ahead.
const FAILURE_COST: f64 = 20.0;
/// What another data hall costs, in calls ahead.
const OTHER_HALL_COST: f64 = 0.3;
/// What a server costs more that names a limit or sheds load, in calls ahead: as much as one whose
/// slots are taken.
const LIMITED_COST: f64 = 1.0;

/// How a server's part in a call ended, as far as it speaks for or against the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It served.
    Good,
    /// It failed, was silent, or could not be reached.
    Bad,
    /// It refused the connection, or another server has its address: no call gets there now.
    Unreachable,
    /// It did not answer to the connection; the way to its hall may be cut.
    Silent,
    /// Nothing can be said.
    Neutral,
}

/// Load that a server told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// Calls running and waiting there, from all boxes.
    pub calls: u32,
    /// When it was told.
    pub at: Time,
}

/// One server.
#[derive(Debug)]
pub struct ServerRecord {
    /// Its entry.
    pub info: ListedServer,
    /// Its short key.
    pub key: EngineKey,
    /// The life that its entry tells of.
    pub life: ServerLife,
    /// Own calls there.
    pub in_flight: u32,
    /// Share of recent own calls that failed, from 0 to 1.
    pub failing: f64,
    told: Option<ToldLoad>,
    breaker: Breaker,
    /// When another server last named it as being at fault, to this box.
    at_fault: Option<Time>,
    /// Rests after which it was named again.
    fault_rests: u32,
    /// When another box last told that it leaves or is gone.
    told_leaving: Option<Time>,
}

impl ServerRecord {
    fn new(info: ListedServer) -> Self {
        Self {
            key: EngineKey::of(&info.name),
            life: info.life(),
            info,
            in_flight: 0,
            failing: 0.0,
            told: None,
            breaker: Breaker::Closed,
            at_fault: None,
            fault_rests: 0,
            told_leaving: None,
        }
    }

    /// Whether it leaves by what other boxes told, before the list says so here.
    fn is_told_leaving(&self, now: Time) -> bool {
        let told = self.told_leaving;
        told.is_some_and(|at| now.since(at) < DEPARTURE_BELIEVED)
    }

    /// Whether it rests after failures.
    pub fn rests(&self, now: Time) -> bool {
        !self.breaker.admits(now)
    }

    fn rest_at_fault(&mut self, now: Time) {
        if self.breaker.admits(now) {
            self.fault_rests = (self.fault_rests + 1).min(MAX_FAULT_RESTS);
        }
        let rest = FAULT_REST * self.fault_rests.max(1);
        self.breaker.on_failure(now, 1, rest);
    }

    fn cost(&self, now: Time, hall: &HallName, availability: Availability) -> f64 {
        let told = self.told.filter(|told| now.since(told.at) < LOAD_LIFETIME);
        let calls = told.map_or(self.in_flight, |told| told.calls.max(self.in_flight));
        let trip = if self.info.hall == *hall {
            0.0
        } else {
            OTHER_HALL_COST
        };
        let limited = match availability {
            Availability::Open => 0.0,
            Availability::Limited
            | Availability::Shedding
            | Availability::Closed
            | Availability::BackOff
            | Availability::Leaving => LIMITED_COST,
        };
        f64::from(calls) / f64::from(self.info.slots) + self.failing * FAILURE_COST + trip + limited
    }
}

/// All servers.
#[derive(Debug, Default)]
pub struct ServerBook {
    records: HashMap<ServerName, ServerRecord>,
    by_service: HashMap<ServiceName, Vec<ServerName>>,
    halls: HashMap<HallName, Breaker>,
    reach: HallReach,
    /// Servers that this box knows to leave or to be gone, and since when.
    departed: Vec<(EngineKey, Time)>,
}

impl ServerBook {
    /// Notes which servers leave or are gone by a newer list of the store; true if any does.
    ///
    /// The boxes that follow the store tell it to the others with the next datagram: a long prompt
    /// was declined for one such server of a group that other boxes had known of for 0.3 s.
    pub fn note_departures(&mut self, now: Time, listed: &[ListedServer]) -> bool {
        let stays = |server: &&ListedServer| !server.leaving;
        let staying = listed.iter().filter(stays).map(|server| &server.name);
        let staying: HashSet<&ServerName> = staying.collect();
        let known = self.records.values();
        let departed = known.filter(|record| !record.info.leaving);
        let departed = departed.filter(|record| !staying.contains(&record.info.name));
        let before = self.departed.len();
        self.departed
            .extend(departed.map(|record| (record.key, now)));
        self.departed.len() > before
    }

    /// Servers that leave or are gone since lately, for the other boxes.
    pub fn departures(&mut self, now: Time) -> Vec<EngineKey> {
        self.departed
            .retain(|(_, since)| now.since(*since) < DEPARTURE_TOLD);
        let newest = self.departed.iter().rev().take(MOST_DEPARTURES_TOLD);
        newest.map(|(key, _)| *key).collect()
    }

    /// Takes what another box tells of servers that leave or are gone. The store's word is as good
    /// from any box.
    pub fn told_departures(&mut self, now: Time, keys: &[EngineKey]) {
        if keys.is_empty() {
            return;
        }
        let told = |record: &&mut ServerRecord| keys.contains(&record.key);
        for record in self.records.values_mut().filter(told) {
            record.told_leaving = Some(now);
        }
    }

    /// Takes the list of servers that may live.
    pub fn set_servers(&mut self, listed: Vec<ListedServer>) {
        let mut before = std::mem::take(&mut self.records);
        self.by_service.clear();
        for info in listed {
            let names = self.by_service.entry(info.service.clone()).or_default();
            names.push(info.name.clone());
            let record = match before.remove(&info.name) {
                // A server that has started again holds and knows nothing of before.
                Some(record) if record.info.born == info.born => ServerRecord { info, ..record },
                _ => ServerRecord::new(info),
            };
            self.records.insert(record.info.name.clone(), record);
        }
        let records = &self.records;
        for names in self.by_service.values_mut() {
            names.sort_by_key(|name| records[name].key);
        }
    }

    /// A server, if it may live.
    pub fn get(&self, name: &ServerName) -> Option<&ServerRecord> {
        self.records.get(name)
    }

    /// The server that has this life, if it is listed.
    pub fn name_of(&self, life: ServerLife) -> Option<ServerName> {
        let mut records = self.records.values();
        let found = records.find(|record| record.life == life);
        found.map(|record| record.info.name.clone())
    }

    /// Servers of a service, in the order that all boxes share.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerRecord> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.map(|name| &self.records[name])
    }

    /// Servers that may have a part in a call now, in the shared order.
    ///
    /// What a server itself says comes first: no fall-back goes to one that leaves, and among the
    /// others one that this box only suspects is used where none else takes calls. `tried` ones come
    /// last.
    pub fn usable(
        &self,
        now: Time,
        service: &ServiceName,
        tried: &[ServerName],
        availability: impl Fn(ServerLife) -> Availability,
    ) -> Vec<(&ServerRecord, Availability)> {
        let listed = self
            .of_service(service)
            .filter(|record| !record.info.leaving);
        let listed = listed.map(|record| (record, availability(record.life)));
        let listed: Vec<_> = listed
            .filter(|(_, availability)| availability.accepts_chunks())
            .collect();
        let is_fresh = |record: &ServerRecord| !tried.contains(&record.info.name);
        let works = |record: &ServerRecord| {
            !record.rests(now)
                && !record.is_told_leaving(now)
                && self.hall_works(now, &record.info.hall)
        };
        let of = |is_good: &dyn Fn(&ServerRecord) -> bool| -> Vec<(&ServerRecord, Availability)> {
            let good = listed.iter().filter(|(record, _)| is_good(record));
            good.copied().collect()
        };
        let best = of(&|record| is_fresh(record) && works(record));
        if accepts_calls(&best) {
            return best;
        }
        let untried = of(&is_fresh);
        if accepts_calls(&untried) {
            untried
        } else {
            listed
        }
    }

    /// The server of a plain service that a call goes to, of those that may be used; none that is
    /// closed.
    pub fn pick<'a>(
        now: Time,
        mut usable: Vec<(&'a ServerRecord, Availability)>,
        hall: &HallName,
        rng: &mut impl Rng,
    ) -> Option<&'a ServerRecord> {
        usable.retain(|(_, availability)| availability.accepts_calls());
        let start = rng.random_range(0..usable.len().max(1));
        let turned = usable.iter().cycle().skip(start).take(usable.len());
        let cost =
            |record: &ServerRecord, availability| ordered(record.cost(now, hall, availability));
        let cheapest = turned.min_by_key(|(record, availability)| cost(record, *availability));
        cheapest.map(|(record, _)| *record)
    }

    fn hall_works(&self, now: Time, hall: &HallName) -> bool {
        let breaker = self.halls.get(hall);
        breaker.is_none_or(|breaker| breaker.admits(now)) && self.reach.admits(now, hall)
    }

    /// Halls that fell silent or are heard again since this was last asked for.
    pub fn take_reach_changes(&mut self, now: Time) -> Vec<ReachChange> {
        self.reach.take_changes(now)
    }

    /// Records that a box was heard; `own` is this box's hall.
    pub fn heard(&mut self, now: Time, own: &HallName, hall: &HallName, from: &str) {
        if hall == own {
            self.reach.heard_near(now);
        } else {
            self.reach.heard(now, hall, from);
        }
    }

    /// Records a call sent there.
    pub fn sent(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            self.reach.sent(now, &record.info.hall);
            record.in_flight += 1;
            record.breaker.on_dispatch();
            self.halls
                .entry(record.info.hall.clone())
                .or_default()
                .on_dispatch();
        }
    }

    /// Records that it answers, though its call may take long: a trial has succeeded.
    pub fn answers(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            self.reach.answered(now, &record.info.hall);
            record.breaker.on_success();
            self.halls
                .entry(record.info.hall.clone())
                .or_default()
                .on_success();
        }
    }

    /// Records that another server named the one at this address as being at fault.
    pub fn at_fault(&mut self, now: Time, address: &str) {
        let mut records = self.records.values_mut();
        if let Some(record) = records.find(|record| record.info.address == address) {
            record.rest_at_fault(now);
            record.at_fault = Some(now);
        }
    }

    /// Servers that were named to this box lately, for the other boxes.
    pub fn faults(&self, now: Time) -> Vec<EngineKey> {
        let told = |record: &&ServerRecord| {
            let at = record.at_fault;
            at.is_some_and(|at| now.since(at) < FAULT_TOLD)
        };
        let told = self.records.values().filter(told);
        told.map(|record| record.key)
            .take(MAX_FAULTS_TOLD)
            .collect()
    }

    /// Takes what another box tells of servers at fault.
    ///
    /// A box is believed about the servers of its own hall, and by the boxes of its hall about
    /// all: elsewhere the way that failed for it may be sound. Gives back those that rest from now.
    pub fn told_faults(
        &mut self,
        now: Time,
        own: &HallName,
        from: &HallName,
        keys: &[EngineKey],
    ) -> Vec<ServerName> {
        let mut resting = Vec::new();
        if keys.is_empty() {
            return resting;
        }
        for record in self.records.values_mut() {
            let is_believed = from == own || record.info.hall == *from;
            if is_believed && keys.contains(&record.key) {
                if !record.rests(now) {
                    resting.push(record.info.name.clone());
                }
                record.rest_at_fault(now);
            }
        }
        resting
    }

    /// Records the end of a call sent there.
    pub fn ended(&mut self, now: Time, name: &ServerName, evidence: Evidence) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        let hall = self.halls.entry(record.info.hall.clone()).or_default();
        let failed = match evidence {
            Evidence::Good => {
                record.breaker.on_success();
                record.fault_rests = 0;
                0.0
            }
            Evidence::Bad => {
                record.breaker.on_failure(now, FAILURES, REST);
                1.0
            }
            Evidence::Unreachable => {
                record.breaker.on_failure(now, 1, REST);
                1.0
            }
            Evidence::Silent => {
                record.breaker.on_failure(now, 1, REST);
                hall.on_failure(now, HALL_FAILURES, HALL_REST);
                1.0
            }
            Evidence::Neutral => {
                record.breaker.on_nothing_learned(now);
                hall.on_nothing_learned(now);
                return;
            }
        };
        record.failing += (failed - record.failing) * FAILURE_WEIGHT;
    }

    /// Takes the load that a server told.
    pub fn told(&mut self, name: &ServerName, told: ToldLoad) {
        if let Some(record) = self.records.get_mut(name) {
            record.told = Some(told);
        }
    }
}

fn accepts_calls(servers: &[(&ServerRecord, Availability)]) -> bool {
    servers
        .iter()
        .any(|(_, availability)| availability.accepts_calls())
}

/// A cost as an integer that sorts alike; costs are a few hundred at most.
fn ordered(cost: f64) -> u64 {
    (cost * 1e6) as u64
}
