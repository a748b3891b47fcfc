//! How long a box waits for a caller or a server that reads nothing.
//!
//! The limits follow from what callers of the route need. A caller of a stream gives up after a gap
//! of the longest of two seconds, four times the objective and eight times the gap limit, so one
//! that has read nothing for that long has no use for the rest. A caller of a unary response waits
//! until its deadline. A server that reads nothing of a request body for as long as the whole
//! response may take can't respond in time.

use std::time::Duration;

use crate::relay::route_table::Route;
use crate::time::Time;

/// Shortest time without progress after which a caller counts as stalled.
pub const MIN_CALLER_STALL: Duration = Duration::from_secs(2);
/// Shortest time without progress after which a server counts as stalled, or a caller may be evicted
/// in favour of others; packet loss delays either by less.
const MIN_STALL: Duration = Duration::from_secs(1);
/// A server may cut a response that was left unread for this long.
const SERVER_PATIENCE: Duration = Duration::from_secs(1);

/// How long a caller may leave the bytes of its response unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPatience {
    /// `None` if it lasts until the deadline.
    max_stall: Option<Duration>,
    deadline: Time,
}

impl CallerPatience {
    /// Patience with the caller of a call on this route.
    pub fn of(route: &Route, deadline: Time) -> Self {
        let max_stall = route.kind.is_stream().then(|| {
            let by_gap = route.max_gap.unwrap_or_default() * 8;
            MIN_CALLER_STALL.max(route.objective * 4).max(by_gap)
        });
        Self {
            max_stall,
            deadline,
        }
    }

    /// Whether to cut a caller that has read nothing for `stalled` although bytes wait for it.
    pub fn is_exhausted(&self, now: Time, stalled: Duration) -> bool {
        let is_due = now >= self.deadline;
        self.max_stall.is_some_and(|max_stall| stalled >= max_stall)
            || (is_due && stalled >= MIN_CALLER_STALL)
    }
}

/// How long a caller on this route must have read nothing before it may be evicted in favour of
/// others. From the gap limit of a stream or the objective of a unary call on, its response is late
/// anyway; a longer one doesn't protect a caller past the time after which it counts as stalled.
pub fn eviction_stall(route: &Route) -> Duration {
    let gap = route.max_gap.filter(|_| route.kind.is_stream());
    let late_after = gap.unwrap_or(route.objective);
    late_after.clamp(MIN_STALL, MIN_CALLER_STALL)
}

/// How long a server may read nothing of the body of a call on this route.
pub fn server_patience(route: &Route) -> Duration {
    MIN_STALL.max(route.objective)
}

/// Whether a response that broke off counts against its server. It doesn't if the box left it
/// unread for `held_back`, because its caller or other callers read slowly: the server may have cut
/// it for that.
pub fn counts_against_server(held_back: Duration) -> bool {
    held_back < SERVER_PATIENCE
}

/// How long a stream may be left unread before its attempt is ended, while memory is reserved for it
/// at several engines. The server may have cut the stream long before: that shows only once the box
/// reads on, and until then the memory would be renewed unused. So it is kept for as long as a
/// reservation lasts without renewal, but longer than a server's own patience.
pub fn reservation_patience(reservation_ttl: Duration) -> Duration {
    reservation_ttl.max(SERVER_PATIENCE * 2)
}

/// Whether a stream whose caller paused may still be resumed: the next server has to send an event
/// before the call ends.
pub fn is_resumed_in_time(time_left: Duration, expected_first_event: Duration) -> bool {
    time_left > expected_first_event
}
