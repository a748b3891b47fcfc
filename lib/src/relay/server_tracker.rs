//! Health and load of each backend server as seen by one box.
//!
//! The evidence is the box's own: calls in flight, the outcomes of recent calls, and the load that
//! servers report with their responses; other boxes add reports of faults and departures. A server
//! that fails is excluded for a time and then probed with one call. If all servers are excluded,
//! all of them are used: a doubtful server is better than none.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;

use crate::breaker::Breaker;
use crate::ids::HallName;
use crate::ids::ServerName;
use crate::relay::availability::Availability;
use crate::relay::engine_load::EngineKey;
use crate::relay::hall_reachability::HallReachability;
use crate::relay::hall_reachability::HallReachabilityChange;
use crate::relay::plain_selection;
use crate::relay::plain_selection::PlainCall;
use crate::relay::plain_selection::PlainDecision;
use crate::relay::plain_selection::PlainServer;
use crate::relay::plain_selection::ServerLoad;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::route_table::ServiceName;
use crate::relay::server_list::ServerEntry;
use crate::relay::server_preferences;
use crate::time::Time;

/// How long a departure is announced to other boxes; several datagrams are sent in that time.
const DEPARTURE_GOSSIP_TIME: Duration = Duration::from_secs(1);
/// How long a reported departure is trusted; by then the box has received the list that shows it.
/// An entry that expired during an outage of the store reappears after about the same time.
const DEPARTURE_TRUST_TIME: Duration = Duration::from_secs(2);
/// Maximum number of departures per datagram, newest first; the others are known from the list.
const MAX_GOSSIPED_DEPARTURES: usize = 64;
/// Consecutive failures after which a server is excluded.
const FAILURE_THRESHOLD: u32 = 2;
/// How long a failed server is excluded before one call probes it.
const EXCLUSION_TIME: Duration = Duration::from_millis(1_500);
/// How long a server is excluded after another server reported it at fault: it is leaving, already
/// helps as many other servers as it may, or is unreachable. Each call that includes it loses an
/// attempt.
const FAULT_EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Maximum factor on `FAULT_EXCLUSION_TIME` for a server that is reported again after each
/// exclusion: a leaving server keeps running for some seconds.
const MAX_FAULT_EXCLUSIONS: u32 = 2;
/// How long a fault is announced to other boxes; several datagrams are sent in that time.
const FAULT_GOSSIP_TIME: Duration = Duration::from_secs(1);
/// How long a reported silence is trusted: several datagrams repeat it in that time.
const SILENCE_TRUST_TIME: Duration = Duration::from_secs(1);
/// Maximum number of silent servers per datagram.
const MAX_GOSSIPED_SILENCES: usize = 64;
/// Maximum number of faults per datagram; the others follow once these are no longer announced.
const MAX_GOSSIPED_FAULTS: usize = 16;
/// Consecutive connect timeouts within a hall after which the whole hall is excluded. The network
/// path is then probably cut, and excluding its servers one by one would delay a call for each.
const HALL_FAILURE_THRESHOLD: u32 = 3;
/// How long a hall is excluded before one call probes it.
const HALL_EXCLUSION_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Outcome of a call at a server, as evidence of the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server responded correctly.
    Success,
    /// The server failed, did not respond, or could not be reached.
    Failure,
    /// The server refused the connection, or its address belongs to another server now: calls to it
    /// can't succeed at present.
    Unreachable,
    /// The connection attempt got no answer; the path to the hall may be cut.
    ConnectTimeout,
    /// Says nothing about the server's health.
    Inconclusive,
}

/// Health and load of one server.
#[derive(Debug)]
pub struct ServerRecord {
    /// Its entry in the store.
    pub info: ServerEntry,
    /// Short key of the server's name, as used between boxes.
    pub key: EngineKey,
    /// Incarnation that the entry describes.
    pub incarnation: ServerIncarnation,
    /// Calls of this box that are in flight there.
    pub in_flight: u32,
    /// Moving average of failed calls of this box, from 0 to 1.
    pub failure_rate: f64,
    /// Load and speed according to its responses to this box.
    pub load: ServerLoad,
    breaker: Breaker,
    /// When it last sent this box anything.
    last_heard: Option<Time>,
    /// When it last sent this box anything in response to a call.
    last_response: Option<Time>,
    /// When it last responded to a query and did not decline it. What it sends otherwise may have been on
    /// the way for long.
    last_verified: Option<Time>,
    /// When it last did not respond to a query in time.
    last_silence: Option<Time>,
    /// When another box last reported that it does not respond.
    reported_silent: Option<Time>,
    /// When a call was abandoned that it had not responded to, and until when that matters.
    unanswered: Option<(Time, Time)>,
    /// When another server last reported it at fault to this box.
    last_fault: Option<Time>,
    /// Consecutive exclusions due to reported faults, up to `MAX_FAULT_EXCLUSIONS`.
    fault_exclusions: u32,
    /// When another box last reported it as leaving or gone.
    reported_leaving: Option<Time>,
}

impl ServerRecord {
    fn new(info: ServerEntry) -> Self {
        Self {
            key: EngineKey::of(&info.name),
            incarnation: info.incarnation(),
            info,
            in_flight: 0,
            failure_rate: 0.0,
            load: ServerLoad::default(),
            breaker: Breaker::Closed,
            last_heard: None,
            last_response: None,
            last_verified: None,
            last_silence: None,
            reported_silent: None,
            unanswered: None,
            last_fault: None,
            fault_exclusions: 0,
            reported_leaving: None,
        }
    }

    /// Whether other boxes reported that it leaves, before the local list shows it.
    fn is_reported_leaving(&self, now: Time) -> bool {
        let reported = self.reported_leaving;
        reported.is_some_and(|at| now.since(at) < DEPARTURE_TRUST_TIME)
    }

    /// When it last sent this box anything.
    pub const fn last_heard(&self) -> Option<Time> {
        self.last_heard
    }

    /// Whether it has responded to a query within this time, and so runs and is reached.
    pub fn is_verified_within(&self, now: Time, recent: Duration) -> bool {
        let verified = self.last_verified;
        verified.is_some_and(|at| now.since(at) <= recent)
    }

    /// Whether it has sent something within this time.
    pub fn is_heard_within(&self, now: Time, recent: Duration) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) <= recent)
    }

    /// Whether it has sent nothing since it did not respond to a query in time: it may stand still.
    pub fn is_silent(&self) -> bool {
        self.last_silence
            .is_some_and(|since| self.is_unheard_since(since))
    }

    /// Whether another box has recently reported that it does not respond, and it has sent nothing since.
    pub(super) fn is_reported_silent(&self, now: Time) -> bool {
        let reported = self.reported_silent;
        reported.is_some_and(|at| now.since(at) < SILENCE_TRUST_TIME && self.is_unheard_since(at))
    }

    fn is_unheard_since(&self, since: Time) -> bool {
        self.last_heard.is_none_or(|at| at < since)
    }

    /// Whether it has responded to no call since one was abandoned that it had not responded to. It may have
    /// asked for a pause, which nobody received.
    pub(super) fn is_unanswered(&self, now: Time) -> bool {
        let unanswered = self.unanswered.filter(|(_, until)| now < *until);
        unanswered.is_some_and(|(since, _)| self.last_response.is_none_or(|at| at < since))
    }

    /// Whether the server is excluded after failures.
    pub fn is_excluded(&self, now: Time) -> bool {
        !self.breaker.admits(now)
    }

    fn exclude_for_fault(&mut self, now: Time) {
        if self.breaker.admits(now) {
            self.fault_exclusions = (self.fault_exclusions + 1).min(MAX_FAULT_EXCLUSIONS);
        }
        let duration = FAULT_EXCLUSION_TIME * self.fault_exclusions.max(1);
        self.breaker.on_failure(now, 1, duration);
    }

    /// The server as a candidate for a call of a plain service.
    fn as_plain(&self, hall: &HallName, availability: Availability) -> PlainServer<'_> {
        PlainServer {
            load: &self.load,
            // The entry may be another writer's.
            slots: self.load.slots().unwrap_or(self.info.slots),
            in_flight: self.in_flight,
            failure_rate: self.failure_rate,
            is_local: self.info.hall == *hall,
            availability,
        }
    }
}

/// All listed servers, by name and by service, and the state of their halls.
#[derive(Debug, Default)]
pub struct ServerTracker {
    records: HashMap<ServerName, ServerRecord>,
    by_service: HashMap<ServiceName, Vec<ServerName>>,
    halls: HashMap<HallName, Breaker>,
    reachability: HallReachability,
    /// When any box last found a server of a service silent.
    silences: HashMap<ServiceName, Time>,
    /// Servers that the store showed to be leaving or gone, and when this box learned of it.
    departed: Vec<(EngineKey, Time)>,
}

impl ServerTracker {
    /// Records servers that leave or are gone according to a newer list; true if there are any.
    ///
    /// Boxes that read the store announce departures with their next datagram. Otherwise other
    /// boxes keep choosing such servers until they receive the list, for example 0.3 s later, and a
    /// long prompt is declined if one engine of its group is leaving.
    pub fn record_departures(&mut self, now: Time, listed: &[ServerEntry]) -> bool {
        let is_staying = |server: &&ServerEntry| !server.leaving;
        let staying = listed.iter().filter(is_staying).map(|server| &server.name);
        let staying: HashSet<&ServerName> = staying.collect();
        let known = self.records.values();
        let departed = known.filter(|record| !record.info.leaving);
        let departed = departed.filter(|record| !staying.contains(&record.info.name));
        let known_before = self.departed.len();
        self.departed
            .extend(departed.map(|record| (record.key, now)));
        self.departed.len() > known_before
    }

    /// Recent departures, to announce to other boxes; older ones are dropped.
    pub fn recent_departures(&mut self, now: Time) -> Vec<EngineKey> {
        self.departed
            .retain(|(_, since)| now.since(*since) < DEPARTURE_GOSSIP_TIME);
        let newest = self.departed.iter().rev().take(MAX_GOSSIPED_DEPARTURES);
        newest.map(|(key, _)| *key).collect()
    }

    /// Applies departures reported by another box. Unlike faults, they are trusted from any hall,
    /// as they originate from the store.
    pub fn apply_departures(&mut self, now: Time, keys: &[EngineKey]) {
        if keys.is_empty() {
            return;
        }
        let is_named = |record: &&mut ServerRecord| keys.contains(&record.key);
        for record in self.records.values_mut().filter(is_named) {
            record.reported_leaving = Some(now);
        }
    }

    /// Replaces the list of servers; health and load of servers that did not restart are kept.
    pub fn set_servers(&mut self, listed: Vec<ServerEntry>) {
        let mut previous = std::mem::take(&mut self.records);
        self.by_service.clear();
        for info in listed {
            let names = self.by_service.entry(info.service.clone()).or_default();
            names.push(info.name.clone());
            let record = match previous.remove(&info.name) {
                // The record of a previous incarnation says nothing about a restarted server.
                Some(record) if record.info.born == info.born => ServerRecord { info, ..record },
                _ => ServerRecord::new(info),
            };
            self.records.insert(record.info.name.clone(), record);
        }
        self.silences
            .retain(|service, _| self.by_service.contains_key(service));
        let records = &self.records;
        for names in self.by_service.values_mut() {
            names.sort_by_key(|name| records[name].key);
        }
    }

    /// A listed server.
    pub fn get(&self, name: &ServerName) -> Option<&ServerRecord> {
        self.records.get(name)
    }

    /// Name of the listed server with this incarnation.
    pub fn name_of(&self, incarnation: ServerIncarnation) -> Option<ServerName> {
        let mut records = self.records.values();
        let found = records.find(|record| record.incarnation == incarnation);
        found.map(|record| record.info.name.clone())
    }

    /// Whether a listed server has this address.
    pub fn has_address(&self, address: &str) -> bool {
        let mut records = self.records.values();
        records.any(|record| record.info.address == address)
    }

    /// Servers of a service, sorted by key: all boxes use the same order.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerRecord> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.map(|name| &self.records[name])
    }

    /// Servers that may take part in a call now, sorted by key.
    ///
    /// What a server or the operator states is always respected: leaving servers and those of
    /// evacuated halls are never included.
    /// Exclusions are only preferences: if none of the other servers accepts calls, excluded
    /// servers are included, and finally also those in `tried`. Silent servers are left out as long as any
    /// other remains, and those with an abandoned call that they have not responded to as long as most others
    /// do.
    pub fn usable(
        &self,
        now: Time,
        service: &ServiceName,
        tried: &[ServerName],
        availability: impl Fn(&ServerRecord) -> Availability,
    ) -> Vec<(&ServerRecord, Availability)> {
        let listed = self
            .of_service(service)
            .filter(|record| !record.info.leaving);
        let listed = listed.map(|record| (record, availability(record)));
        let listed: Vec<_> = listed
            .filter(|(_, availability)| availability.accepts_chunks())
            .collect();
        let is_untried = |record: &ServerRecord| !tried.contains(&record.info.name);
        let is_healthy = |record: &ServerRecord| {
            !record.is_excluded(now)
                && !record.is_reported_leaving(now)
                && self.is_hall_admitted(now, &record.info.hall)
        };
        let select =
            |matches: &dyn Fn(&ServerRecord) -> bool| -> Vec<(&ServerRecord, Availability)> {
                let selected = listed.iter().filter(|(record, _)| matches(record));
                selected.copied().collect()
            };
        let best = select(&|record| is_untried(record) && is_healthy(record));
        if server_preferences::accepts_calls(&best) {
            return server_preferences::without_unanswered(
                now,
                server_preferences::without_silent(now, best),
            );
        }
        let untried = select(&is_untried);
        if server_preferences::accepts_calls(&untried) {
            untried
        } else {
            listed
        }
    }

    /// Selects one of the usable servers for a call of a plain service, or rejects the call.
    pub fn select_plain<'a>(
        now: Time,
        call: PlainCall,
        usable: &[(&'a ServerRecord, Availability)],
        hall: &HallName,
        rng: &mut impl Rng,
    ) -> PlainDecision<&'a ServerRecord> {
        let servers = usable
            .iter()
            .map(|(record, availability)| record.as_plain(hall, *availability));
        let servers: Vec<_> = servers.collect();
        plain_selection::select(now, call, &servers, rng).map(|index| usable[index].0)
    }

    fn is_hall_admitted(&self, now: Time, hall: &HallName) -> bool {
        let breaker = self.halls.get(hall);
        breaker.is_none_or(|breaker| breaker.admits(now))
            && self.reachability.allows_calls(now, hall)
    }

    /// Halls that became unreachable or reachable since this method was last called.
    pub fn take_reach_changes(&mut self, now: Time) -> Vec<HallReachabilityChange> {
        self.reachability.take_changes(now)
    }

    /// Records a datagram from the box `from` in `hall`; `own_hall` is this box's hall.
    pub fn datagram_received(
        &mut self,
        now: Time,
        own_hall: &HallName,
        hall: &HallName,
        from: &str,
    ) {
        if hall == own_hall {
            self.reachability.record_own_hall_heartbeat(now);
        } else {
            self.reachability.record_heartbeat(now, hall, from);
        }
    }

    /// Records that a call was sent to a server.
    pub fn call_sent(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            self.reachability.record_call(now, &record.info.hall);
            record.in_flight += 1;
            record.breaker.on_dispatch();
            self.halls
                .entry(record.info.hall.clone())
                .or_default()
                .on_dispatch();
        }
    }

    /// Records that a server sent something in response to a call.
    pub fn record_heard(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            record.last_heard = Some(now);
            record.last_response = Some(now);
        }
    }

    /// Records that a server responded to a query of this box itself, and accepts requests.
    pub fn record_verified(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            record.last_heard = Some(now);
            record.last_verified = Some(now);
        }
    }

    /// Records that a server responded to a query of this box itself: it runs.
    pub fn record_running(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            record.last_heard = Some(now);
        }
    }

    /// Records that a server did not respond to a query in time. Returns whether it counts as silent from now
    /// on, and did not before.
    pub fn record_silence(&mut self, now: Time, name: &ServerName) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        let was_silent = record.is_silent();
        record.last_silence = Some(now);
        self.silences.insert(record.info.service.clone(), now);
        !was_silent
    }

    /// Whether any box has found a server of this service silent within this time. Others may be as well.
    pub fn has_silence_within(&self, now: Time, service: &ServiceName, recent: Duration) -> bool {
        (self.silences.get(service)).is_some_and(|at| now.since(*at) <= recent)
    }

    /// Servers that do not respond to queries of this box, to announce to other boxes.
    pub fn silent_servers(&self) -> Vec<EngineKey> {
        let silent = self.records.values().filter(|record| record.is_silent());
        silent
            .map(|record| record.key)
            .take(MAX_GOSSIPED_SILENCES)
            .collect()
    }

    /// Applies silences reported by a box in the hall `from`, which exclude servers if faults would.
    pub fn apply_silences(
        &mut self,
        now: Time,
        own_hall: &HallName,
        from: &HallName,
        keys: &[EngineKey],
    ) {
        if keys.is_empty() {
            return;
        }
        for record in self.records.values_mut() {
            if !keys.contains(&record.key) {
                continue;
            }
            self.silences.insert(record.info.service.clone(), now);
            if from == own_hall || record.info.hall == *from {
                record.reported_silent = Some(now);
            }
        }
    }

    /// Records that a call was abandoned that the server had not responded to; it matters until `until`.
    pub fn record_unanswered(&mut self, now: Time, name: &ServerName, until: Time) {
        if let Some(record) = self.records.get_mut(name) {
            record.unanswered = Some((now, until));
        }
    }

    /// Whether a server has sent anything since this time.
    pub fn is_heard_since(&self, at: Time, name: &ServerName) -> bool {
        let heard = self.records.get(name).and_then(|record| record.last_heard);
        heard.is_some_and(|heard| heard >= at)
    }

    /// Records that a server began to respond: a probe succeeds now, not at the end of a long call.
    pub fn call_answered(&mut self, now: Time, name: &ServerName) {
        if let Some(record) = self.records.get_mut(name) {
            record.last_heard = Some(now);
            record.last_response = Some(now);
            self.reachability.record_answer(now, &record.info.hall);
            record.breaker.on_success();
            self.halls
                .entry(record.info.hall.clone())
                .or_default()
                .on_success();
        }
    }

    /// Records that another server reported the server at this address at fault.
    pub fn record_fault(&mut self, now: Time, address: &str) {
        let mut records = self.records.values_mut();
        if let Some(record) = records.find(|record| record.info.address == address) {
            record.exclude_for_fault(now);
            record.last_fault = Some(now);
        }
    }

    /// Servers recently reported at fault to this box, to announce to other boxes.
    pub fn recent_faults(&self, now: Time) -> Vec<EngineKey> {
        let is_recent = |record: &&ServerRecord| {
            let at = record.last_fault;
            at.is_some_and(|at| now.since(at) < FAULT_GOSSIP_TIME)
        };
        let faulty = self.records.values().filter(is_recent);
        faulty
            .map(|record| record.key)
            .take(MAX_GOSSIPED_FAULTS)
            .collect()
    }

    /// Applies faults reported by a box in the hall `from`; returns the newly excluded servers.
    ///
    /// Reports are trusted about servers in the reporter's own hall, and about all servers if the
    /// reporter is in this box's hall. Otherwise only the reporter's network path may be broken.
    pub fn apply_faults(
        &mut self,
        now: Time,
        own_hall: &HallName,
        from: &HallName,
        keys: &[EngineKey],
    ) -> Vec<ServerName> {
        let mut newly_excluded = Vec::new();
        if keys.is_empty() {
            return newly_excluded;
        }
        for record in self.records.values_mut() {
            let is_trusted = from == own_hall || record.info.hall == *from;
            if is_trusted && keys.contains(&record.key) {
                if !record.is_excluded(now) {
                    newly_excluded.push(record.info.name.clone());
                }
                record.exclude_for_fault(now);
            }
        }
        newly_excluded
    }

    /// Records the end of a call sent to a server.
    pub fn call_ended(&mut self, now: Time, name: &ServerName, outcome: ServerOutcome) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        let hall = self.halls.entry(record.info.hall.clone()).or_default();
        let failed = match outcome {
            ServerOutcome::Success => {
                record.breaker.on_success();
                record.fault_exclusions = 0;
                0.0
            }
            ServerOutcome::Failure => {
                record
                    .breaker
                    .on_failure(now, FAILURE_THRESHOLD, EXCLUSION_TIME);
                1.0
            }
            ServerOutcome::Unreachable => {
                record.breaker.on_failure(now, 1, EXCLUSION_TIME);
                1.0
            }
            ServerOutcome::ConnectTimeout => {
                record.breaker.on_failure(now, 1, EXCLUSION_TIME);
                hall.on_failure(now, HALL_FAILURE_THRESHOLD, HALL_EXCLUSION_TIME);
                1.0
            }
            ServerOutcome::Inconclusive => {
                record.breaker.on_inconclusive(now);
                hall.on_inconclusive(now);
                return;
            }
        };
        record.failure_rate += (failed - record.failure_rate) * FAILURE_WEIGHT;
    }

    /// Load and speed of a server, to be updated from its responses.
    pub fn load_mut(&mut self, name: &ServerName) -> Option<&mut ServerLoad> {
        self.records.get_mut(name).map(|record| &mut record.load)
    }
}
