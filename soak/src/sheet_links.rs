//! How the servers and boxes of a deployment are reached, and how servers notice that callers have left.

use std::time::Duration;

use badgerferry_standin::disconnect::DisconnectDetection;
use badgerferry_standin::proxy::Link;

/// Interval of the interim responses of servers that notice only failed writes.
const INTERIM_INTERVAL: Duration = Duration::from_millis(150);
/// Time that slow forwarders take in each direction.
const FORWARDING_DELAY: Duration = Duration::from_millis(40);

/// How a server notices that a caller has left, and how it is reached.
#[derive(Debug, Clone, Copy)]
pub struct ServerKind {
    pub detection: DisconnectDetection,
    /// Its forwarder, if it has one. A forwarder turns a reset into an end, so that no server behind one
    /// notices only errors.
    pub link: Option<Link>,
}

impl ServerKind {
    /// Kind of the server with this index.
    pub const fn of(index: usize) -> Self {
        let (detection, link) = match index % 6 {
            0 => (DisconnectDetection::FailedWrite, None),
            1 => (DisconnectDetection::FailedWrite, Some(Link::Open)),
            2 => (DisconnectDetection::EndOfInput, None),
            3 => (DisconnectDetection::ConnectionError, None),
            4 => (
                DisconnectDetection::EndOfInput,
                Some(Link::Delayed(FORWARDING_DELAY)),
            ),
            _ => (DisconnectDetection::FailedRead, None),
        };
        Self { detection, link }
    }

    /// Servers that notice only failed writes write while they work.
    pub fn interim_interval(self) -> Option<Duration> {
        let notices_writes = self.detection == DisconnectDetection::FailedWrite;
        notices_writes.then_some(INTERIM_INTERVAL)
    }
}

/// Forwarder in front of the box with this index, if it has one.
pub const fn box_link(index: usize) -> Option<Link> {
    match index % 3 {
        0 => None,
        1 => Some(Link::Open),
        _ => Some(Link::Delayed(FORWARDING_DELAY)),
    }
}

/// Index of the box to which a call with this id was sent.
pub fn box_of(id: &str) -> Option<usize> {
    id.rsplit_once("-b")?.1.parse().ok()
}
