//! Holding a lease so that its holder never acts outside it.
//!
//! The lease is believed only for its safe part: from before the request that renewed it
//! was sent, by the holder's own monotonic clock, and short of the whole by a margin for
//! clocks that run unlike. A holder that was frozen reads the clock when it wakes and finds
//! that the safe part is over. Each change of holder has a greater fencing number, which
//! every order carries.

use std::time::Duration;

use crate::platform_wire::LeaseResponse;
use crate::settings_commit::NoAnswer;
use crate::time::Time;

/// Part of the lease's life that is not used.
const MARGIN: f64 = 0.2;
/// Renewals within a life, so that one answer may be lost.
const RENEWALS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    fence: u64,
    safe_until: Time,
    since: Time,
}

/// One box's part in a lease.
#[derive(Debug)]
pub struct Lease {
    ttl: Duration,
    held: Option<Held>,
    next_ask: Time,
    other: Option<LeaseResponse>,
}

impl Lease {
    /// A lease that is not held.
    pub const fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            held: None,
            next_ask: Time::ZERO,
            other: None,
        }
    }

    /// Sets the life to ask for from now on.
    pub const fn set_ttl(&mut self, ttl: Duration) {
        self.ttl = ttl;
    }

    /// The life to ask for.
    pub const fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Whether it is time to ask for it or to renew it.
    pub fn is_request_due(&self, now: Time) -> bool {
        now >= self.next_ask
    }

    /// Takes the platform's answer to a request that was sent at `asked_at`.
    pub fn on_response(
        &mut self,
        asked_at: Time,
        now: Time,
        answer: Result<LeaseResponse, NoAnswer>,
    ) {
        self.next_ask = now + self.ttl / RENEWALS;
        match answer {
            Ok(answer) if answer.granted => {
                let same = self.held.filter(|held| held.fence == answer.fence);
                self.held = Some(Held {
                    fence: answer.fence,
                    safe_until: asked_at + self.ttl.mul_f64(1.0 - MARGIN),
                    since: same.map_or(now, |held| held.since),
                });
                self.other = None;
            }
            Ok(answer) => {
                self.held = None;
                self.other = Some(answer);
                // Boxes that only stand by need not ask as often as the holder renews.
                self.next_ask = now + self.ttl;
            }
            // Perhaps renewed, perhaps not: the safe part known before stays as it is.
            Err(NoAnswer) => {}
        }
    }

    /// The fencing number under which orders may be given now.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let held = self.held.filter(|held| now < held.safe_until);
        held.map(|held| held.fence)
    }

    /// Since when the lease is held without a break.
    pub fn held_since(&self, now: Time) -> Option<Time> {
        let held = self.held.filter(|held| now < held.safe_until);
        held.map(|held| held.since)
    }

    /// The other holder, as told last.
    pub const fn other_holder(&self) -> Option<&LeaseResponse> {
        self.other.as_ref()
    }
}
