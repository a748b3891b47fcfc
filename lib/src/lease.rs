//! Client side of a lease: the holder never acts after its lease may have expired.
//!
//! Validity is measured from the time at which the renewal request was sent, on the holder's own
//! monotonic clock, and ends before the TTL has elapsed: the margin covers differences in clock
//! rate. A holder that was suspended reads the clock when it resumes and finds its lease expired.
//! The fencing token increases with each change of holder, and every order carries it.

use std::time::Duration;

use crate::platform_wire::LeaseResponse;
use crate::settings_commit::NoAnswer;
use crate::time::Time;

/// Fraction of the TTL by which the holder lets the lease expire early.
const EXPIRY_MARGIN: f64 = 0.2;
/// Renewal requests per TTL, so that the loss of one response does not expire the lease.
const RENEWALS_PER_TTL: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldLease {
    fence: u64,
    valid_until: Time,
    since: Time,
}

/// State of a lease on one box, whether or not the box holds it.
#[derive(Debug)]
pub struct Lease {
    ttl: Duration,
    held: Option<HeldLease>,
    next_request_at: Time,
    other_holder: Option<LeaseResponse>,
}

impl Lease {
    /// Creates a lease that is not held.
    pub const fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            held: None,
            next_request_at: Time::ZERO,
            other_holder: None,
        }
    }

    /// Sets the TTL of subsequent requests.
    pub const fn set_ttl(&mut self, ttl: Duration) {
        self.ttl = ttl;
    }

    /// TTL to request.
    pub const fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Whether a request to acquire or renew the lease is due.
    pub fn is_request_due(&self, now: Time) -> bool {
        now >= self.next_request_at
    }

    /// Handles the platform's response to a request that was sent at `requested_at`.
    pub fn on_response(
        &mut self,
        requested_at: Time,
        now: Time,
        response: Result<LeaseResponse, NoAnswer>,
    ) {
        self.next_request_at = now + self.ttl / RENEWALS_PER_TTL;
        match response {
            Ok(response) if response.granted => {
                let previous = self.held.filter(|held| held.fence == response.fence);
                self.held = Some(HeldLease {
                    fence: response.fence,
                    valid_until: requested_at + self.ttl.mul_f64(1.0 - EXPIRY_MARGIN),
                    since: previous.map_or(now, |held| held.since),
                });
                self.other_holder = None;
            }
            Ok(response) => {
                self.held = None;
                self.other_holder = Some(response);
                // A standby box requests the lease less often than the holder renews it.
                self.next_request_at = now + self.ttl;
            }
            // The renewal may or may not have succeeded: the previous expiry still applies.
            Err(NoAnswer) => {}
        }
    }

    /// Fencing token under which orders may be given now; `None` if the lease is not held or has
    /// expired.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until);
        held.map(|held| held.fence)
    }

    /// Time since which the lease has been held without a change of holder; `None` if it is not
    /// held or has expired.
    pub fn held_since(&self, now: Time) -> Option<Time> {
        let held = self.held.filter(|held| now < held.valid_until);
        held.map(|held| held.since)
    }

    /// Last response that named another holder; `None` if there was none since the lease was last
    /// granted.
    pub const fn other_holder(&self) -> Option<&LeaseResponse> {
        self.other_holder.as_ref()
    }
}
