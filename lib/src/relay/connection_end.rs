//! What the end of a connection to a server shows: whether the server crashed, and whether the
//! response that ended with the connection is whole.
//!
//! A response with a length or chunks has its own end. One without ends with its connection, and
//! looks the same whether the server finished it or its process exited midway. Whether a server may
//! be blamed for an exit does not matter for this: a response is whole only if its process outlived
//! the connection.

use crate::relay::server_tracker::ServerOutcome;

/// What is known about a server whose connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStanding {
    /// It is listed, and nothing indicates that it may exit.
    InService,
    /// It may exit without having crashed: it is leaving or not listed any more, or its data hall is
    /// evacuated.
    MayExit,
    /// Another process has its name or its address now.
    Replaced,
}

/// What new connections of this box to the server's address showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// They are refused.
    Refused,
    /// They are accepted and stay open.
    Open,
    /// They are closed or reset.
    Closed,
    /// The same, for longer than a process takes to exit.
    ClosedForLong,
    /// They get no answer.
    NoAnswer,
}

/// Whether a server that this box can't connect to is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerVerdict {
    /// A connection of a peer to it stays open, so the path of this box is at fault.
    Up,
    /// It closes the connections of peers.
    Closes,
    /// It refuses a peer as well.
    Down,
    /// No peer could tell, or none was asked.
    Unknown,
    /// There is no peer.
    Alone,
}

/// Evidence about the process of a server whose connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEvidence {
    /// What this box saw.
    pub probe: ProbeResult,
    /// What peers saw.
    pub peers: PeerVerdict,
    /// Whether the path of this box to the servers of the service may be cut.
    pub is_path_suspected: bool,
    /// Whether this box was suspended lately, so that the connection may have ended long before it
    /// noticed.
    pub was_suspended: bool,
}

/// What the end of a connection shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server crashed.
    Crashed,
    /// The server exited without having crashed.
    Exited,
    /// The server is still running.
    Running,
    /// The server is still running, and the path of this box to it is cut.
    PathCut,
    /// The path of this box may be cut, and no peer could tell.
    PathSuspected,
    /// The server closes new connections. It is exiting, or accepts no more connections.
    Closing,
    /// The server does not answer, and no peer could tell.
    Unreachable,
    /// A process listens at its address, but this box was suspended, so that it may be another one.
    Unknown,
}

impl ConnectionEnd {
    /// Concludes from the evidence.
    pub const fn conclude(standing: ServerStanding, evidence: ProcessEvidence) -> Self {
        let ProcessEvidence {
            probe,
            peers,
            is_path_suspected,
            was_suspended,
        } = evidence;
        match (standing, probe, peers) {
            (ServerStanding::Replaced, _, _) => Self::Exited,
            (_, ProbeResult::Open | ProbeResult::ClosedForLong, _)
            | (_, ProbeResult::Refused | ProbeResult::NoAnswer, PeerVerdict::Up)
                if was_suspended =>
            {
                Self::Unknown
            }
            (_, ProbeResult::Open | ProbeResult::ClosedForLong, _) => Self::Running,
            (_, ProbeResult::Refused | ProbeResult::NoAnswer, PeerVerdict::Up) => Self::PathCut,
            (_, ProbeResult::Refused, PeerVerdict::Closes) => Self::PathSuspected,
            (_, ProbeResult::Refused, PeerVerdict::Unknown) if is_path_suspected => {
                Self::PathSuspected
            }
            (ServerStanding::InService, ProbeResult::Refused, _) => Self::Crashed,
            (ServerStanding::MayExit, ProbeResult::Refused, _) => Self::Exited,
            (_, ProbeResult::Closed, _) => Self::Closing,
            (_, ProbeResult::NoAnswer, _) => Self::Unreachable,
        }
    }

    /// Whether a response that ended with its connection is whole.
    pub const fn is_response_whole(self) -> bool {
        match self {
            Self::Running | Self::PathCut => true,
            Self::Crashed
            | Self::Exited
            | Self::PathSuspected
            | Self::Closing
            | Self::Unreachable
            | Self::Unknown => false,
        }
    }

    /// Outcome of the attempt for its server, if it would be `outcome` as far as the response shows.
    pub const fn server_outcome(self, outcome: ServerOutcome) -> ServerOutcome {
        match (self, outcome) {
            (Self::PathCut | Self::PathSuspected | Self::Unknown, _)
            | (Self::Exited | Self::Closing | Self::Unreachable, ServerOutcome::Success) => {
                ServerOutcome::Inconclusive
            }
            (Self::Crashed, ServerOutcome::Success) => ServerOutcome::Failure,
            (_, outcome) => outcome,
        }
    }

    /// Label for logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Exited => "exited",
            Self::Running => "running",
            Self::PathCut => "path_cut",
            Self::PathSuspected => "path_suspected",
            Self::Closing => "closing",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}
