//! One attempt of a call: selects a server, sends the call and reads the response.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::http_client;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::connection_end::ConnectionEnd;
use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::reader_patience;
use badgerferry_lib::relay::server_tracker::ServerOutcome;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers;
use badgerferry_platform::headers::Dispatch;
use badgerferry_platform::headers::ExecutionStatus;
use badgerferry_platform::headers::ResponseHead;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;

use crate::relay::abandoned_run::SentRun;
use crate::relay::attempt_candidates::Requirements;
use crate::relay::attempt_candidates::SendKind;
use crate::relay::attempt_response;
use crate::relay::attempt_response::Received;
use crate::relay::attempt_response::StreamingResponse;
use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::candidates;
use crate::relay::connection_end;
use crate::relay::connection_pool::Reuse;
use crate::relay::connection_pool::SendError;
use crate::relay::connection_pool::ServerRequest;
use crate::relay::first_sends;
use crate::relay::request_body::BodyPermit;
use crate::relay::request_body::RequestBody;
use crate::relay::request_quarantine;
use crate::relay::request_quarantine::Run;
use crate::relay::response_body::ResponseBody;
use crate::relay::response_source::ResponseSource;
use crate::relay::running_servers;
use crate::relay::server_gate::Admitted;
use crate::relay::server_gate::MAX_SERVERS_PER_ATTEMPT;
use crate::relay::server_gate::OWNER_RETRY_DELAY;
use crate::relay::server_gate::PendingCall;
use crate::relay::server_gate::Target;
use crate::relay::server_path;
use crate::relay::server_path::Destination;
use crate::relay::server_selection;
use crate::relay::server_selection::Selection;
use crate::relay::unread_sends;
use crate::traffic::lock;

/// Added to the estimate of a response after which the path to the server is checked.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);

/// Longest time in which a server that is down refuses a connection: a round trip between regions,
/// for this box and for a peer.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// A complete response to forward.
    Complete(Response<ResponseBody>),
    /// A stream whose first events have arrived.
    Live(Box<StreamingResponse>),
    /// No server can take the call now; the reason, and the delay before a retry.
    NoServer(RefusalReason, Duration),
    /// The server ran the call and failed; its complete error response.
    ServerError(Response<ResponseBody>),
    /// The attempt ended without a response that can be forwarded.
    Ended(AttemptEnd),
}

/// Whether a response whose end has arrived is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The server ended it.
    Whole,
    /// It has no framing, and its server has not outlived the connection: more may have been to come.
    MaybeCut,
}

/// Registers a sent attempt with the server tracker. If dropped without an outcome, it records
/// [`ServerOutcome::Inconclusive`].
#[derive(Debug)]
pub struct AttemptGuard {
    call: Arc<Call>,
    /// Counts as a run of the call in the quarantine until dropped.
    run: Run,
    /// Time at which the call was sent.
    pub sent_at: Time,
    /// Time at which the head of a successful response arrived.
    response_started: Option<Time>,
    /// Whether the response has its own framing, so that its end does not depend on the end of the
    /// connection.
    is_framed: bool,
    /// Server or engines of the attempt.
    pub selection: Selection,
    /// Whether the outcome has not been recorded yet.
    is_open: bool,
    /// Result of [`Self::finish_served`], once known.
    response_end: Option<ResponseEnd>,
}

impl AttemptGuard {
    fn new(call: &Arc<Call>, run: Run, selection: Selection) -> Self {
        let now = call.relay.clock.now();
        lock(&call.relay.tracker).call_sent(now, &selection.server);
        Self {
            call: Arc::clone(call),
            run,
            sent_at: now,
            response_started: None,
            is_framed: false,
            selection,
            is_open: true,
            response_end: None,
        }
    }

    /// Ends an attempt whose connection was lost, and checks whether the server crashed.
    pub async fn finish_broken(mut self) {
        self.finish_after_break(ServerOutcome::Failure).await;
    }

    /// Whether the server may have cut a response that looks complete, because the box left it unread
    /// for `held_back`. A server that cuts one without framing ends it like a whole one.
    pub fn may_be_cut_unread(&self, held_back: Duration) -> bool {
        !self.is_framed && !reader_patience::counts_against_server(held_back)
    }

    /// Ends an attempt whose response broke off after the box had left it unread. The server may have
    /// cut it for that, or may have crashed.
    pub async fn finish_unread(mut self) {
        self.finish_after_break(ServerOutcome::Inconclusive).await;
    }

    /// Ends an attempt whose response looks complete; later calls return the first result. A
    /// response without framing ends with its connection, as when the server exits. So only a framed
    /// response shows that the request did not crash the server; otherwise the server is examined.
    /// `may_repeat`: whether the call may be sent again if the response may be cut.
    pub async fn finish_served(&mut self, may_repeat: bool) -> ResponseEnd {
        self.finish_complete(ServerOutcome::Success, may_repeat)
            .await
    }

    /// The same for an error response of the server.
    pub async fn finish_with_error(&mut self, may_repeat: bool) -> ResponseEnd {
        self.finish_complete(ServerOutcome::Failure, may_repeat)
            .await
    }

    async fn finish_complete(&mut self, outcome: ServerOutcome, may_repeat: bool) -> ResponseEnd {
        if let Some(end) = self.response_end {
            return end;
        }
        let end = if self.is_framed {
            if outcome == ServerOutcome::Success {
                self.record_success();
            }
            self.record_end(outcome);
            ResponseEnd::Whole
        } else {
            self.finish_unframed(outcome, may_repeat).await
        };
        self.response_end = Some(end);
        end
    }

    async fn finish_unframed(&mut self, outcome: ServerOutcome, may_repeat: bool) -> ResponseEnd {
        let run = self.run_ended();
        let end =
            connection_end::examine_unframed(&self.call, &self.selection, run, may_repeat).await;
        self.finish_examined(end, outcome).await;
        call_log::unframed_response_ended(&self.call, &self.selection, end);
        if end.is_response_whole() {
            ResponseEnd::Whole
        } else {
            ResponseEnd::MaybeCut
        }
    }

    async fn finish_after_break(&mut self, outcome: ServerOutcome) {
        let run = self.run_ended();
        match connection_end::examine_broken(&self.call, &self.selection, run).await {
            Some(end) => self.finish_examined(end, outcome).await,
            None => self.record_end(outcome),
        }
    }

    /// The run, as far as it goes on after its call.
    pub fn sent_run(&self) -> SentRun {
        SentRun {
            call: Arc::clone(&self.call),
            target: self.selection.target.clone(),
            address: self.selection.address.clone(),
            sent_at: self.sent_at,
            response_started: self.response_started,
        }
    }

    /// The run, which ends now.
    fn run_ended(&self) -> CrashedRun {
        CrashedRun {
            started: self.sent_at,
            response_started: self.response_started,
            ended: self.call.relay.clock.now(),
        }
    }

    /// Ends the attempt. After a crash the run stays in progress until the other boxes know of it: the
    /// caller may repeat the request at any of them.
    async fn finish_examined(&mut self, end: ConnectionEnd, outcome: ServerOutcome) {
        self.record_end(end.server_outcome(outcome));
        if end == ConnectionEnd::Crashed {
            tokio::time::sleep(quarantine::REPORT_WAIT).await;
        }
    }

    /// Records that the request did not crash its server.
    pub fn record_success(&self) {
        self.run.record_success();
    }

    /// Records that the response goes on: more of it has arrived.
    pub fn record_progress(&self) {
        let now = self.call.relay.clock.now();
        lock(&self.call.relay.tracker).record_heard(now, &self.selection.server);
        if let Some(started) = self.response_started {
            let responding = now.since(started);
            self.run.record_progress(responding);
        }
    }

    /// Ends the attempt with its outcome for the server.
    pub fn finish(mut self, outcome: ServerOutcome) {
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: ServerOutcome) {
        if std::mem::take(&mut self.is_open) {
            let now = self.call.relay.clock.now();
            lock(&self.call.relay.tracker).call_ended(now, &self.selection.server, outcome);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record_end(ServerOutcome::Inconclusive);
    }
}

/// Runs one attempt. `join` is set if events of an earlier attempt were already forwarded; the
/// server then resumes the stream after the last of them.
pub async fn run_attempt(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    join: Option<&EventJoin>,
) -> AttemptResult {
    let is_retry = attempts.is_retry();
    let (run, selection, admitted) = match admit(call, attempts, tried).await {
        Ok(started) => started,
        Err((reason, retry_after)) => {
            call_log::no_server_available(call, reason, retry_after);
            return AttemptResult::NoServer(reason, retry_after);
        }
    };
    tried.push(selection.server.clone());
    call_log::routed(call, attempts, &selection);
    let resume_after = join.and_then(EventJoin::last);
    let mut attempt = AttemptGuard::new(call, run, selection);
    attempts.send();
    let reuse = if call.route.kind.is_repeatable() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let connection_pool = &call.relay.connection_pool;
    let destination = Destination {
        relay: &call.relay,
        server: &attempt.selection.server,
        address: &attempt.selection.address,
        call: call.id(),
    };
    let patience = reader_patience::server_patience(&call.route);
    let (body_permit, admitted) = match reserve_body(call, &attempt, admitted, patience).await {
        Ok(reserved) => reserved,
        Err(cause) => return handle_send_error(call, attempts, tried, attempt, &cause).await,
    };
    if is_retry && !running_servers::is_running(call, &attempt.selection.listed_server()).await {
        return handle_send_error(call, attempts, tried, attempt, &SendError::Silent).await;
    }
    let request = ServerRequest {
        request: build_request(call, &attempt.selection, resume_after),
        body_permit,
        reuse,
        patience,
    };
    let may_resend = call.may_resend(attempts);
    let path_cut = async {
        if may_resend {
            let selection = &attempt.selection;
            let expected = selection.expected_first_event + RESPONSE_SLACK;
            server_path::cut_while_silent(call, &selection.server, expected).await;
        } else {
            // It may run here only, and the response may still arrive.
            std::future::pending::<()>().await;
        }
    };
    let server = &attempt.selection.server;
    let begin_run = |headers: &mut HeaderMap| {
        // Time has passed since the request was built, if the connection took long.
        headers::set_time_left(headers, call.time_to_state(is_retry));
        (attempt.sent_run(), call.retry.record_sent(call, server))
    };
    let sent = connection_pool
        .send(&destination, request, admitted, begin_run, path_cut)
        .await;
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(cause) => return handle_send_error(call, attempts, tried, attempt, &cause).await,
    };
    let (parts, body) = response.into_parts();
    attempt.is_framed = http_client::is_framed(&parts.headers, &body);
    let head = record_head(call, &attempt.selection.target, &parts);
    if is_from_target(&head) {
        record_load(call, &attempt, parts.status, &head);
        if parts.status.is_success() {
            attempt.response_started = Some(call.relay.clock.now());
        }
    }
    let source = ResponseSource::new(body, connection, attempt.sent_run());
    let received = Received {
        attempt,
        parts,
        head,
        source,
    };
    attempt_response::classify(call, attempts, tried, received, join).await
}

/// Records what a response head shows of its server, whether or not its call goes on.
pub fn record_head(call: &Call, target: &Target, parts: &Parts) -> ResponseHead {
    let head = headers::parse_response_head(parts.status, &parts.headers, call.head.id.as_deref());
    let relay = &call.relay;
    relay
        .unknown_headers
        .record(call.id(), &target.name, &parts.headers);
    lock(&relay.tracker).call_answered(relay.clock.now(), &target.name);
    if is_from_target(&head) {
        relay
            .gate
            .record_response(call.id(), target, &head.notice, head.has_proof);
    }
    // A server whose call depends on other servers may state which one is at fault.
    let is_declined = head.execution != ExecutionStatus::Unknown && !parts.status.is_success();
    if let Some(address) = head.faulty_server.as_ref().filter(|_| is_declined) {
        lock(&relay.tracker).record_fault(relay.clock.now(), address);
        relay.urgent_changed.notify_one();
    }
    head
}

/// A late response to another call, or one from another server, says nothing about the target.
fn is_from_target(head: &ResponseHead) -> bool {
    head.is_for_call && head.execution != ExecutionStatus::Misdirected
}

fn record_load(call: &Call, attempt: &AttemptGuard, status: StatusCode, head: &ResponseHead) {
    let Some(load) = head.load else { return };
    let now = call.relay.clock.now();
    let report = attempt_response::load_report(load, now);
    let is_whole = status.is_success() && !call.route.kind.is_stream();
    let mut tracker = lock(&call.relay.tracker);
    let Some(known) = tracker.load_mut(&attempt.selection.server) else {
        return;
    };
    match head.execution {
        ExecutionStatus::Unknown => {
            known.record_response(report, is_whole.then(|| now.since(attempt.sent_at)));
        }
        ExecutionStatus::NotExecuted => known.record_decline(report),
        ExecutionStatus::Misdirected => {}
    }
}

/// Admits the request by the quarantine and acquires a server. The call may wait in between for
/// engines, for memory or for a limited server, so the quarantine is checked again immediately
/// before the send.
async fn admit(
    call: &Arc<Call>,
    attempts: &Attempts,
    tried: &[ServerName],
) -> Result<(Run, Selection, Admitted), (RefusalReason, Duration)> {
    loop {
        let run = request_quarantine::admit(call).await?;
        let requirements = Requirements {
            tried,
            send: if attempts.is_retry() {
                SendKind::Retry
            } else {
                SendKind::First
            },
            is_declined: attempts.is_unsent(),
            is_isolated: run.is_isolated,
        };
        let (selection, admitted) = acquire_server(call, requirements).await?;
        if run.may_send() {
            return Ok((run, selection, admitted));
        }
    }
}

/// Selects servers until one admits the call. A server that does not admit it is closed to this box
/// for a while, so that it is not selected again at once. While servers of the service are silent, one that may
/// be silent as well gets no first send.
async fn acquire_server(
    call: &Arc<Call>,
    mut requirements: Requirements<'_>,
) -> Result<(Selection, Admitted), (RefusalReason, Duration)> {
    server_path::check_available(call).await?;
    for _ in 0..MAX_SERVERS_PER_ATTEMPT {
        let selection = server_selection::select(call, requirements).await?;
        let is_first = requirements.send != SendKind::Retry;
        if is_first && !first_sends::may_send(call, &selection).await {
            requirements.send = SendKind::FirstAfterSilence;
            continue;
        }
        let pending = PendingCall {
            id: call.id(),
            target: &selection.target,
            helpers: &selection.helper_targets,
            max_wait: call.max_admission_wait(requirements.tried.is_empty()),
        };
        if let Ok(admitted) = call.relay.gate.admit_call(&pending).await {
            return Ok((selection, admitted));
        }
    }
    Err((RefusalReason::ServersLimited, OWNER_RETRY_DELAY))
}

/// Waits until the server has read enough of earlier bodies. After a wait the call is admitted anew,
/// since what the server accepts may have changed.
async fn reserve_body(
    call: &Call,
    attempt: &AttemptGuard,
    admitted: Admitted,
    patience: Duration,
) -> Result<(BodyPermit, Admitted), SendError> {
    let selection = &attempt.selection;
    let pool = &call.relay.connection_pool;
    let permit = pool.reserve_body(&selection.server, call.body.len(), patience);
    let permit = permit.await?;
    if !permit.has_waited {
        return Ok((permit, admitted));
    }
    let pending = PendingCall {
        id: call.id(),
        target: &selection.target,
        helpers: &selection.helper_targets,
        max_wait: Duration::ZERO,
    };
    let admitted = call.relay.gate.admit_call(&pending).await;
    match admitted {
        Ok(admitted) if attempt.run.may_send() => Ok((permit, admitted)),
        Ok(_) | Err(_) => Err(SendError::NotAdmitted),
    }
}

fn build_request(
    call: &Call,
    selection: &Selection,
    resume_after: Option<u64>,
) -> Request<RequestBody> {
    let dispatch = Dispatch {
        server: &selection.server,
        time_left: call.time_left(),
        workspace: call.workspace.as_ref(),
        strips_key: !call.routes.table().workspaces.is_empty(),
        helpers: &selection.helpers,
        priority: selection.priority,
        resume_after,
    };
    let mut request = Request::new(RequestBody::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::server_request_headers(&call.headers, &dispatch);
    request
}

/// Ends an attempt that got no response head. The call is not sent again while its server may still read it.
async fn handle_send_error(
    call: &Call,
    attempts: &Attempts,
    tried: &[ServerName],
    attempt: AttemptGuard,
    cause: &SendError,
) -> AttemptResult {
    let server = attempt.selection.listed_server();
    let end = finish_failed_send(call, tried, attempt, cause).await;
    if end != AttemptEnd::Lost || !attempts.may_retry() {
        return AttemptResult::Ended(end);
    }
    let is_settled = unread_sends::wait_until_settled(call, &server).await;
    AttemptResult::Ended(if is_settled { end } else { AttemptEnd::Unread })
}

/// Records the end of an attempt that got no response head.
async fn finish_failed_send(
    call: &Call,
    tried: &[ServerName],
    attempt: AttemptGuard,
    cause: &SendError,
) -> AttemptEnd {
    call_log::attempt_failed(call, &attempt.selection, attempt.sent_at, cause);
    let patience = reader_patience::server_patience(&call.route);
    match cause {
        SendError::NotSent(_) => {
            let took = call.relay.clock.now().since(attempt.sent_at);
            attempt.finish(ServerOutcome::Unreachable);
            if took <= MAX_REFUSAL_TIME {
                let has_untried = candidates::has_untried(call, tried);
                AttemptEnd::ConnectionRefused { has_untried }
            } else {
                AttemptEnd::NoConnection
            }
        }
        SendError::ConnectTimeout => {
            attempt.finish(ServerOutcome::ConnectTimeout);
            AttemptEnd::NoConnection
        }
        SendError::NoPath | SendError::NotAdmitted | SendError::Silent => {
            attempt.finish(ServerOutcome::Inconclusive);
            AttemptEnd::NoConnection
        }
        SendError::PathCut => {
            attempt.finish(ServerOutcome::Inconclusive);
            AttemptEnd::Lost
        }
        SendError::Lost(_) | SendError::Unacknowledged(_) => {
            attempt.finish_broken().await;
            AttemptEnd::Lost
        }
        SendError::EarlierBodiesUnread => {
            call_log::server_cut(call, &attempt.selection, "earlier_bodies", patience);
            attempt.finish(ServerOutcome::Inconclusive);
            AttemptEnd::NoConnection
        }
        SendError::BodyUnread => {
            call_log::server_cut(call, &attempt.selection, "stalled", patience);
            attempt.finish(ServerOutcome::Failure);
            AttemptEnd::Lost
        }
    }
}
