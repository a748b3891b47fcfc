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

/// Examines the end of a connection that broke during `run`, and records a crash. A server that may
/// exit is not examined, since its exit would be no crash.
pub async fn examine_broken(
    call: &Arc<Call>,
    selection: &Selection,
    run: CrashedRun,
) -> ConnectionEnd {
    match standing(call, selection) {
        ServerStanding::InService => examine(call, selection, ServerStanding::InService, run).await,
        ServerStanding::MayExit | ServerStanding::Replaced => ConnectionEnd::Unclear,
    }
}

/// Examines the end of a connection that ended a response without framing, and records a crash.
pub async fn examine_unframed(
    call: &Arc<Call>,
    selection: &Selection,
    run: CrashedRun,
) -> ConnectionEnd {
    match standing(call, selection) {
        ServerStanding::Replaced => ConnectionEnd::Exited,
        standing => examine(call, selection, standing, run).await,
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
    run: CrashedRun,
) -> ConnectionEnd {
    let address = selection.address.clone();
    let crash = ServerCrash {
        server: selection.server.clone(),
        incarnation: selection.target.incarnation,
        run,
    };
    let state = process_probe::check_exit(&address).await;
    let end = conclude(call, &crash.server, &address, standing, &state).await;
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
    let (standing, state) = (ServerStanding::InService, ProcessState::Exited);
    let end = conclude(&call, &crash.server, &address, standing, &state).await;
    if end == ConnectionEnd::Crashed {
        request_quarantine::record_crash(&call, &crash);
    }
}

async fn conclude(
    call: &Call,
    server: &ServerName,
    address: &str,
    standing: ServerStanding,
    state: &ProcessState,
) -> ConnectionEnd {
    let probe = match state {
        ProcessState::Exited => ProbeResult::Refused,
        ProcessState::Open(_) => ProbeResult::Open,
        ProcessState::Closing => ProbeResult::Closed,
        ProcessState::Unreachable => ProbeResult::NoAnswer,
    };
    let peers = match probe {
        ProbeResult::Refused => ask_peers(call, server, address).await,
        ProbeResult::Open | ProbeResult::Closed | ProbeResult::NoAnswer => PeerVerdict::Unknown,
    };
    let path = lock(&call.relay.server_paths).path(&call.service);
    let evidence = ProcessEvidence {
        probe,
        peers,
        is_path_suspected: path != ServerPath::Direct,
    };
    let end = ConnectionEnd::conclude(standing, evidence);
    if matches!(end, ConnectionEnd::PathCut | ConnectionEnd::PathSuspected) {
        counter!("badgerferry_server_exits_refuted_total").increment(1);
        tracing::info!(
            call = call.id(),
            %server,
            end = end.code(),
            "server refuses this box but has not exited: its path is cut"
        );
    }
    end
}

async fn ask_peers(call: &Call, server: &ServerName, address: &str) -> PeerVerdict {
    let destination = Destination {
        relay: &call.relay,
        server,
        address,
        call: call.id(),
    };
    peer_connections::ask_peers(&destination).await
}
