//! Examines servers whose connections ended: whether they crashed, and whether the responses that
//! ended with the connections are whole.
//!
//! An end alone proves neither. Connections are reset, and responses truncated, for other reasons
//! than a crash. The conclusions are in [`badgerferry_lib::relay::connection_end`].

use std::sync::Arc;

use badgerferry_edges::process_probe;
use badgerferry_edges::process_probe::ProcessState;
use badgerferry_lib::relay::connection_end::ConnectionEnd;
use badgerferry_lib::relay::connection_end::PeerVerdict;
use badgerferry_lib::relay::connection_end::ProbeResult;
use badgerferry_lib::relay::connection_end::ProcessEvidence;
use badgerferry_lib::relay::connection_end::ServerStanding;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::server_paths::ServerPath;
use metrics::counter;

use crate::relay::abandoned_run::SentRun;
use crate::relay::call::Call;
use crate::relay::peer_connections;
use crate::relay::request_quarantine;
use crate::relay::request_quarantine::ServerCrash;
use crate::relay::server_gate::Target;
use crate::relay::server_path::Destination;
use crate::relay::server_selection::Selection;
use crate::relay::unread_sends;
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
    let server = EndedServer::of(call, &selection.target, &selection.address);
    match server.standing(call) {
        standing @ ServerStanding::InService => {
            Some(examine(call, server, standing, Question::HasCrashed, run).await)
        }
        ServerStanding::MayExit | ServerStanding::Replaced => None,
    }
}

/// Examines the end of a connection that ended a response without framing, and records a crash. If
/// the call may be repeated, that is faster than to wait for a server that may be exiting.
pub async fn examine_unframed(
    call: &Arc<Call>,
    selection: &Selection,
    run: CrashedRun,
    may_repeat: bool,
) -> ConnectionEnd {
    let server = EndedServer::of(call, &selection.target, &selection.address);
    let question = Question::IsRunning { waits: !may_repeat };
    match server.standing(call) {
        ServerStanding::Replaced => ConnectionEnd::Exited,
        standing => examine(call, server, standing, question, run).await,
    }
}

/// Examines a server that closed the connection of an abandoned call late, and records a crash.
pub async fn examine_abandoned(abandoned: &SentRun, run: CrashedRun) {
    let call = &abandoned.call;
    let server = EndedServer::of(call, &abandoned.target, &abandoned.address);
    let standing = server.standing(call);
    if standing == ServerStanding::InService {
        examine(call, server, standing, Question::HasCrashed, run).await;
    }
}

/// Server whose connection ended.
#[derive(Debug, Clone)]
struct EndedServer {
    target: Target,
    address: String,
    /// Whether the connection may have ended while this box was suspended.
    was_suspended: bool,
}

impl EndedServer {
    fn of(call: &Call, target: &Target, address: &str) -> Self {
        let now = call.relay.clock.now();
        Self {
            target: target.clone(),
            address: address.to_owned(),
            was_suspended: lock(&call.relay.suspension).was_suspended(now),
        }
    }

    fn standing(&self, call: &Call) -> ServerStanding {
        let may_exit = call.relay.gate.may_exit(&self.target);
        let tracker = lock(&call.relay.tracker);
        match tracker.get(&self.target.name) {
            Some(record) if record.incarnation != self.target.incarnation => {
                ServerStanding::Replaced
            }
            Some(record) if record.info.leaving || may_exit => ServerStanding::MayExit,
            Some(_) => ServerStanding::InService,
            None if tracker.has_address(&self.address) => ServerStanding::Replaced,
            None => ServerStanding::MayExit,
        }
    }

    /// Whether it has announced its exit by now. That it is not listed any more, or was started again,
    /// is no announcement: a crash has the same effect.
    fn has_announced_exit(&self, call: &Call) -> bool {
        let may_exit = call.relay.gate.may_exit(&self.target);
        let tracker = lock(&call.relay.tracker);
        let record = tracker.get(&self.target.name);
        let record = record.filter(|record| record.incarnation == self.target.incarnation);
        may_exit || record.is_some_and(|record| record.info.leaving)
    }

    /// Draws the conclusion from what new connections showed.
    async fn conclude(
        &self,
        call: &Call,
        standing: ServerStanding,
        question: Question,
        state: &ProcessState,
    ) -> ConnectionEnd {
        let probe = match state {
            ProcessState::Exited => ProbeResult::Refused,
            ProcessState::Open(_) => ProbeResult::Open,
            ProcessState::Closing => ProbeResult::Closed,
            ProcessState::ClosingForLong => ProbeResult::ClosedForLong,
            ProcessState::Unreachable => ProbeResult::NoAnswer,
        };
        let peers = match (probe, question) {
            (ProbeResult::Refused, _) | (ProbeResult::NoAnswer, Question::IsRunning { .. }) => {
                self.ask_peers(call).await
            }
            _ => PeerVerdict::Unknown,
        };
        let path = lock(&call.relay.server_paths).path(&call.service);
        let evidence = ProcessEvidence {
            probe,
            peers,
            is_path_suspected: path != ServerPath::Direct,
            was_suspended: self.was_suspended,
        };
        let standing = match standing {
            ServerStanding::InService if self.has_announced_exit(call) => ServerStanding::MayExit,
            standing => standing,
        };
        ConnectionEnd::conclude(standing, evidence)
    }

    /// Asks peers whether it is up.
    async fn ask_peers(&self, call: &Call) -> PeerVerdict {
        let destination = Destination {
            relay: &call.relay,
            server: &self.target.name,
            address: &self.address,
            call: call.id(),
        };
        let verdict = peer_connections::ask_peers(&destination).await;
        if verdict == PeerVerdict::Up {
            counter!("badgerferry_server_exits_refuted_total").increment(1);
            tracing::info!(
                call = call.id(),
                server = %self.target.name,
                "server refuses this box but has not exited: its path is cut"
            );
        }
        verdict
    }
}

async fn examine(
    call: &Arc<Call>,
    server: EndedServer,
    standing: ServerStanding,
    question: Question,
    run: CrashedRun,
) -> ConnectionEnd {
    let state = match (process_probe::check_exit(&server.address).await, question) {
        (ProcessState::Closing, Question::IsRunning { waits: true }) => {
            process_probe::check_slow_exit(&server.address).await
        }
        (state, _) => state,
    };
    if matches!(state, ProcessState::Exited) {
        unread_sends::record_exit(&call.relay, &server.target);
    }
    let end = server.conclude(call, standing, question, &state).await;
    match (end, state) {
        (ConnectionEnd::Crashed, _) => record_crash(call, &server, run),
        (_, state @ (ProcessState::Closing | ProcessState::Open(_)))
            if standing == ServerStanding::InService && end != ConnectionEnd::Unknown =>
        {
            tokio::spawn(watch_exit(Arc::clone(call), server, state, run));
        }
        _ => {}
    }
    end
}

/// Records a crash if the process exits soon.
async fn watch_exit(call: Arc<Call>, server: EndedServer, state: ProcessState, run: CrashedRun) {
    if !process_probe::exits_later(&server.address, state).await {
        return;
    }
    let (standing, state) = (ServerStanding::InService, ProcessState::Exited);
    let end = server.conclude(&call, standing, Question::HasCrashed, &state);
    if end.await == ConnectionEnd::Crashed {
        record_crash(&call, &server, run);
    }
}

fn record_crash(call: &Call, server: &EndedServer, run: CrashedRun) {
    let crash = ServerCrash {
        server: server.target.name.clone(),
        incarnation: server.target.incarnation,
        run,
    };
    request_quarantine::record_crash(call, &crash);
}
