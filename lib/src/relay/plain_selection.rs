//! Chooses the server for a call to a service without an engine model, or rejects the call if no
//! server can still serve it.
//!
//! A box learns the load of a server from the responses to its own calls, so at a service with few
//! calls and many boxes its knowledge is mostly old. A report therefore counts for less the older it
//! is, and each call compares only a random sample of the servers: boxes with the same reports would
//! otherwise all send to the same server.
//!
//! Calls are rejected on proof only. The proof is what must be left of the queue of each server even
//! if no box has sent anything since its last report. A server without a report, or without a queue,
//! is never proof. Any other call is sent, and the servers decide.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::outcome::RefusalReason;
use crate::relay::availability::Availability;
use crate::time::Time;

/// Age at which a reported load no longer counts; calls take some tens of milliseconds.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Age at which a service time no longer counts, so that a server that was slow is tried again.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(5);
/// Weight of the newest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.2;
/// Ratio of a server's service time to that of the fastest up to which it costs nothing; averages of
/// a few calls differ by as much.
const SLOWNESS_TOLERANCE: f64 = 3.0;
/// Cost of a failure rate of 1.0, in calls per slot.
const FAILURE_COST: f64 = 20.0;
/// Cost of a server in another data hall, in calls per slot.
const OTHER_HALL_COST: f64 = 0.3;
/// Cost of a server that limits or sheds calls, in calls per slot: the same as a server whose slots
/// are all taken.
const LIMITED_COST: f64 = 1.0;
/// Up to about this many boxes, a call compares most servers of a group.
const FRESH_BOXES: usize = 10;

/// Load that a server reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls that it runs, from all boxes.
    pub running: u32,
    /// Calls in its queue.
    pub waiting: u32,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Time of the report.
    pub at: Time,
}

impl ReportedLoad {
    /// Why the server declined the call, if it states no other reason.
    pub const fn decline_cause(&self) -> DeclineCause {
        if self.running < self.slots && self.waiting == 0 {
            DeclineCause::Faulty
        } else {
            DeclineCause::Full
        }
    }
}

/// Why a server declined a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineCause {
    /// Its queue was full, or the call waited there for too long.
    Full,
    /// It had free slots.
    Faulty,
}

/// What the responses of one server tell about its load and its speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerLoad {
    report: Option<ReportedLoad>,
    /// Whether the last report came with a call that was declined because the queue was full.
    was_full: bool,
    /// Moving average of the time that a call occupies a slot, and when it was last updated.
    service_time: Option<(Duration, Time)>,
}

impl ServerLoad {
    /// Records a report that came with a response. `elapsed` is the time from the send to the
    /// response of a call that succeeded, unless the response is streamed.
    pub fn record_response(&mut self, report: ReportedLoad, elapsed: Option<Duration>) {
        self.report = Some(report);
        self.was_full = false;
        let Some(elapsed) = elapsed else { return };
        // The call waited as long as a call that arrives now, if the queue has kept its length.
        let queued = f64::from(report.waiting) / f64::from(report.slots.max(1));
        let sample = elapsed.div_f64(1.0 + queued);
        let known = self.service_time(report.at).unwrap_or(sample);
        let average =
            known.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + sample.mul_f64(SERVICE_TIME_WEIGHT);
        self.service_time = Some((average, report.at));
    }

    /// Records a report that came with a declined call.
    pub fn record_decline(&mut self, report: ReportedLoad) {
        self.report = Some(report);
        self.was_full = report.decline_cause() == DeclineCause::Full;
    }

    /// Number of calls that the server runs at once, as it said last.
    pub fn slots(&self) -> Option<u32> {
        self.report.map(|report| report.slots)
    }

    /// Calls at the server, fading with the age of the report.
    fn calls(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |report| {
            let age = now.since(report.at).min(LOAD_TTL);
            let weight = 1.0 - age.div_duration_f64(LOAD_TTL);
            (f64::from(report.running) + f64::from(report.waiting)) * weight
        })
    }

    fn service_time(&self, now: Time) -> Option<Duration> {
        let (average, at) = self.service_time?;
        (now.since(at) < SERVICE_TIME_TTL).then_some(average)
    }

    /// Calls that must still be in the queue, even if none has arrived since the report.
    fn min_waiting(&self, now: Time, service_time: Duration) -> f64 {
        self.report.map_or(0.0, |report| {
            let rounds = now.since(report.at).div_duration_f64(service_time);
            f64::from(report.waiting) - rounds * f64::from(report.slots)
        })
    }
}

/// A server as seen by the box that selects.
#[derive(Debug, Clone, Copy)]
pub struct PlainServer<'a> {
    /// Reported load and speed.
    pub load: &'a ServerLoad,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Calls of this box that are in flight there.
    pub in_flight: u32,
    /// Moving average of failed calls of this box, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the hall of this box.
    pub is_local: bool,
    /// Whether it accepts calls. A server that accepts none is never selected.
    pub availability: Availability,
}

impl PlainServer<'_> {
    /// Cost of its load, in calls per slot.
    fn load_cost(&self, now: Time) -> f64 {
        let calls = self.load.calls(now).max(f64::from(self.in_flight));
        calls / f64::from(self.slots.max(1))
    }

    /// Cost that does not depend on its load, in calls per slot.
    fn fixed_cost(&self, now: Time, fastest: Option<Duration>) -> f64 {
        let slowness = match (self.load.service_time(now), fastest) {
            (Some(own), Some(fastest)) if !fastest.is_zero() => own.div_duration_f64(fastest),
            _ => 1.0,
        };
        let hall_cost = if self.is_local { 0.0 } else { OTHER_HALL_COST };
        let limit_cost = match self.availability {
            Availability::Open => 0.0,
            _ => LIMITED_COST,
        };
        (slowness - SLOWNESS_TOLERANCE).max(0.0)
            + self.failure_rate * FAILURE_COST
            + hall_cost
            + limit_cost
    }

    /// Why the server certainly can't serve a call within `time_left`, if so.
    fn overload(&self, now: Time, time_left: Duration) -> Option<Overload> {
        let report = self.load.report?;
        let service_time = self.load.service_time(now)?;
        let waiting = self.load.min_waiting(now, service_time);
        if service_time.is_zero() || waiting <= 0.0 {
            return None;
        }
        let queue_time = service_time.mul_f64(waiting / f64::from(report.slots.max(1)));
        let has_vacancy = waiting + 1.0 <= f64::from(report.waiting);
        let reason = if self.load.was_full && !has_vacancy {
            RefusalReason::ServersFull
        } else if queue_time + service_time > time_left {
            RefusalReason::WouldMissDeadline
        } else {
            return None;
        };
        Some(Overload { reason, queue_time })
    }
}

/// Why a server can't serve a call, and how long its queue takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Overload {
    reason: RefusalReason,
    queue_time: Duration,
}

/// A call to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainCall {
    /// Time until its deadline.
    pub time_left: Duration,
    /// Number of boxes that send to the same servers.
    pub boxes: usize,
}

/// Decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainDecision<S> {
    /// Send it to this server.
    Send(S),
    /// No server can serve it: all are full, or their queues take longer than it has left.
    Reject {
        /// Reason of the server with the shortest queue.
        reason: RefusalReason,
        /// Time until the shortest queue has been served, at most the time that the call has left.
        retry_after: Duration,
    },
    /// No server accepts calls.
    NoServer,
}

impl<S> PlainDecision<S> {
    /// Converts the selected server.
    pub fn map<T>(self, f: impl FnOnce(S) -> T) -> PlainDecision<T> {
        match self {
            Self::Send(server) => PlainDecision::Send(f(server)),
            Self::Reject {
                reason,
                retry_after,
            } => PlainDecision::Reject {
                reason,
                retry_after,
            },
            Self::NoServer => PlainDecision::NoServer,
        }
    }
}

/// Selects the index of a server for a call: the cheapest of a sample of each group of servers that
/// differ in load only. Ties are broken at random.
pub fn select(
    now: Time,
    call: PlainCall,
    servers: &[PlainServer<'_>],
    rng: &mut impl Rng,
) -> PlainDecision<usize> {
    let accepts_calls = |index: &usize| servers[*index].availability.accepts_calls();
    let accepting: Vec<usize> = (0..servers.len()).filter(accepts_calls).collect();
    let overload = |index: &usize| servers[*index].overload(now, call.time_left);
    let (overloaded, mut candidates): (Vec<usize>, Vec<usize>) = accepting
        .into_iter()
        .partition(|index| overload(index).is_some());
    if candidates.is_empty() {
        let shortest = overloaded.iter().filter_map(overload);
        return match shortest.min_by_key(|overload| overload.queue_time) {
            Some(Overload { reason, queue_time }) => PlainDecision::Reject {
                reason,
                retry_after: queue_time.min(call.time_left),
            },
            None => PlainDecision::NoServer,
        };
    }
    let fastest = fastest(now, servers);
    let fixed_cost = |index: &usize| cost_key(servers[*index].fixed_cost(now, fastest));
    candidates.shuffle(rng);
    candidates.sort_by_key(fixed_cost);
    let groups = candidates.chunk_by(|left, right| fixed_cost(left) == fixed_cost(right));
    let sampled = groups.flat_map(|group| {
        let size = (group.len() * FRESH_BOXES).div_ceil(FRESH_BOXES + call.boxes);
        group.iter().take(size.max(2))
    });
    let cost = |index: &&usize| fixed_cost(index) + cost_key(servers[**index].load_cost(now));
    match sampled.min_by_key(cost) {
        Some(&index) => PlainDecision::Send(index),
        None => PlainDecision::NoServer,
    }
}

/// Service time of the fastest server.
fn fastest(now: Time, servers: &[PlainServer<'_>]) -> Option<Duration> {
    servers
        .iter()
        .filter_map(|server| server.load.service_time(now))
        .min()
}

/// Integer with the same order as a cost; costs are at most a few hundred.
fn cost_key(cost: f64) -> u64 {
    (cost * 1e6) as u64
}
