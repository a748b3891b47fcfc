//! Examines servers whose connections ended: whether they crashed, and whether the responses that
//! ended with the connections are whole.
//!
//! An end alone proves neither. Connections are reset, and responses truncated, for other reasons
//! than a crash. The conclusions are in [`badgerferry_lib::relay::connection_end`].

use std::sync::Arc;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::connection_end::ConnectionEnd;
use badgerferry_lib::relay::connection_end::PeerVerdict;
use badgerferry_lib::relay::connection_end::ProbeResult;
use badgerferry_lib::relay::connection_end::ProcessEvidence;
use badgerferry_lib::relay::connection_end::ServerStanding;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::server_paths::ServerPath;
use metrics::counter;

use crate::relay::call::Call;
use crate::relay::peer_connections;
use crate::relay::process_probe;
use crate::relay::process_probe::ProcessState;
use crate::relay::request_quarantine;
use crate::relay::request_quarantine::ServerCrash;
use crate::relay::server_path::Destination;
use crate::relay::server_selection::Selection;
use crate::traffic::lock;

/// What has to be known about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Question {
    /// Whether it crashed.
    HasCrashed,
    /// Whether it is still running.
    IsRunning {
        /// Whether to wait until a server that closes new connections has exited, or would have.
        waits: bool,
    },
}

/// Examines the end of a connection that broke during `run`, and records a crash. A server that may
/// exit is not examined, since its exit would be no crash.
pub async fn examine_broken(
    call: &Arc<Call>,
    selection: &Selection,
    run: CrashedRun,
) -> Option<ConnectionEnd> {
    let standing = standing(call, selection);
    if standing != ServerStanding::InService {
        return None;
    }
    let end = examine(call, selection, standing, Question::HasCrashed, run);
    Some(end.await)
}

/// Examines the end of a connection that ended a response without framing, and records a crash. If
/// the call may be repeated, that is faster than to wait for a server that may be exiting.
pub async fn examine_unframed(
    call: &Arc<Call>,
    selection: &Selection,
    run: CrashedRun,
    may_repeat: bool,
) -> ConnectionEnd {
    let question = Question::IsRunning { waits: !may_repeat };
    match standing(call, selection) {
        ServerStanding::Replaced => ConnectionEnd::Exited,
        standing => examine(call, selection, standing, question, run).await,
    }
}

fn standing(call: &Call, selection: &Selection) -> ServerStanding {
    let (relay, target) = (&call.relay, &selection.target);
    let may_exit = relay.gate.may_exit(target);
    let tracker = lock(&relay.tracker);
    match tracker.get(&selection.server) {
        Some(record) if record.incarnation != target.incarnation => ServerStanding::Replaced,
        Some(record) if record.info.leaving || may_exit => ServerStanding::MayExit,
        Some(_) => ServerStanding::InService,
        None if tracker.has_address(&selection.address) => ServerStanding::Replaced,
        None => ServerStanding::MayExit,
    }
}

async fn examine(
    call: &Arc<Call>,
    selection: &Selection,
    standing: ServerStanding,
    question: Question,
    run: CrashedRun,
) -> ConnectionEnd {
    let address = selection.address.clone();
    let crash = ServerCrash {
        server: selection.server.clone(),
        incarnation: selection.target.incarnation,
        run,
    };
    let state = match (process_probe::check_exit(&address).await, question) {
        (ProcessState::Closing, Question::IsRunning { waits: true }) => {
            process_probe::check_slow_exit(&address).await
        }
        (state, _) => state,
    };
    let evidence = gather_evidence(call, &crash.server, &address, question, &state).await;
    let end = ConnectionEnd::conclude(standing, evidence);
    match (end, state) {
        (ConnectionEnd::Crashed, _) => request_quarantine::record_crash(call, &crash),
        (_, state @ (ProcessState::Closing | ProcessState::Open(_)))
            if standing == ServerStanding::InService =>
        {
            tokio::spawn(watch_exit(Arc::clone(call), crash, address, state));
        }
        _ => {}
    }
    end
}

/// Records a crash if the process exits soon.
async fn watch_exit(call: Arc<Call>, crash: ServerCrash, address: String, state: ProcessState) {
    if !process_probe::exits_later(&address, state).await {
        return;
    }
    let (question, state) = (Question::HasCrashed, ProcessState::Exited);
    let evidence = gather_evidence(&call, &crash.server, &address, question, &state).await;
    if ConnectionEnd::conclude(ServerStanding::InService, evidence) == ConnectionEnd::Crashed {
        request_quarantine::record_crash(&call, &crash);
    }
}

async fn gather_evidence(
    call: &Call,
    server: &ServerName,
    address: &str,
    question: Question,
    state: &ProcessState,
) -> ProcessEvidence {
    let probe = match state {
        ProcessState::Exited => ProbeResult::Refused,
        ProcessState::Open(_) => ProbeResult::Open,
        ProcessState::Closing => ProbeResult::Closed,
        ProcessState::ClosingForLong => ProbeResult::ClosedForLong,
        ProcessState::Unreachable => ProbeResult::NoAnswer,
    };
    let peers = match (probe, question) {
        (ProbeResult::Refused, _) | (ProbeResult::NoAnswer, Question::IsRunning { .. }) => {
            ask_peers(call, server, address).await
        }
        _ => PeerVerdict::Unknown,
    };
    let path = lock(&call.relay.server_paths).path(&call.service);
    ProcessEvidence {
        probe,
        peers,
        is_path_suspected: path != ServerPath::Direct,
    }
}

/// Asks peers whether the server is up.
async fn ask_peers(call: &Call, server: &ServerName, address: &str) -> PeerVerdict {
    let destination = Destination {
        relay: &call.relay,
        server,
        address,
        call: call.id(),
    };
    let verdict = peer_connections::ask_peers(&destination).await;
    if verdict == PeerVerdict::Up {
        counter!("badgerferry_server_exits_refuted_total").increment(1);
        tracing::info!(
            call = call.id(),
            %server,
            "server refuses this box but has not exited: its path is cut"
        );
    }
    verdict
}
