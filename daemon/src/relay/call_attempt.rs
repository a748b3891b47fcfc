//! One try of a call: a server is chosen, the call sent, and the answer classified.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::AttemptEnd;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::server_tracker::ReportedLoad;
use badgerferry_lib::relay::server_tracker::ServerOutcome;
use badgerferry_lib::time::Time;
use badgerferry_platform::headers;
use badgerferry_platform::headers::AnswerHead;
use badgerferry_platform::headers::Dispatch;
use badgerferry_platform::headers::RunWord;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::relay::answer_body::AnswerBody;
use crate::relay::call::Call;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::Reuse;
use crate::relay::connection_pool::SendError;
use crate::relay::log_lines;
use crate::relay::server_gate::Entrant;
use crate::relay::server_gate::MOST_ASKED;
use crate::relay::server_gate::NO_KEEPER;
use crate::relay::server_gate::Pass;
use crate::relay::server_selection;
use crate::relay::server_selection::Selection;
use crate::relay::suspects;
use crate::relay::suspects::Run;
use crate::traffic::lock;

/// Largest answer of a plain call that is read whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// How a try went.
#[derive(Debug)]
pub enum AttemptResult {
    /// A whole answer to pass on.
    Complete(Response<AnswerBody>),
    /// A stream whose first events are here.
    Live(Box<StreamingResponse>),
    /// No server can take the call.
    NoServer(RefusalReason, Duration),
    /// The server ran the call and answered with a failure of its own, here whole.
    ServerError(Response<AnswerBody>),
    /// It ended without an answer that can be passed on.
    Ended(AttemptEnd),
}

/// A stream that a server is sending.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// Events that are here already.
    pub events: Bytes,
    /// Whether all of it is here already.
    pub complete: bool,
    /// The rest.
    pub body: Incoming,
    /// Events joined so far.
    pub join: EventJoin,
    /// The connection that it comes on.
    pub connection: Connection,
    /// What was chosen for it; its books are closed when this is dropped.
    pub attempt: AttemptGuard,
    /// What becomes of the connection after the answer.
    pub after: AfterResponse,
}

/// What becomes of a connection after a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// It ends.
    Close,
    /// It may carry another call.
    Pool {
        /// Within this time, if the server says so.
        keep_alive: Option<Duration>,
    },
}

/// An answer whose head is here.
#[derive(Debug)]
struct Received {
    attempt: AttemptGuard,
    connection: Connection,
    parts: http::response::Parts,
    head: AnswerHead,
    body: Incoming,
}

impl Received {
    const fn after(&self) -> AfterResponse {
        if self.head.closes {
            AfterResponse::Close
        } else {
            AfterResponse::Pool {
                keep_alive: self.head.keep_alive,
            }
        }
    }
}

/// A try in the books: dropped, it counts as ended with nothing to say of the server.
#[derive(Debug)]
pub struct AttemptGuard {
    call: Arc<Call>,
    run: Run,
    /// When it was sent.
    began: Time,
    /// Whether the end of its answer shows that the server has lived on.
    is_framed: bool,
    /// Where it went.
    pub selection: Selection,
    open: bool,
}

impl AttemptGuard {
    fn new(call: &Arc<Call>, run: Run, selection: Selection) -> Self {
        let now = call.relay.clock.now();
        lock(&call.relay.tracker).call_sent(now, &selection.server);
        Self {
            call: Arc::clone(call),
            run,
            began: now,
            is_framed: false,
            selection,
            open: true,
        }
    }

    /// Closes the books on a run that broke off, perhaps with its server.
    pub async fn finish_broken(self) {
        suspects::broke_off(&self.call, &self.selection, self.began).await;
        self.finish(ServerOutcome::Failure);
    }

    /// Closes the books on a run that was served. The end of an answer without a length looks like its
    /// server's own: it speaks for the work only where it shows by itself.
    pub async fn finish_served(self) {
        if self.is_framed {
            self.record_success();
        } else {
            suspects::broke_off(&self.call, &self.selection, self.began).await;
        }
        self.finish(ServerOutcome::Success);
    }

    /// Notes that its server serves it well, so that it does not end servers.
    pub fn record_success(&self) {
        self.run.record_success();
    }

    /// Closes the books with what the try says of the server.
    pub fn finish(mut self, evidence: ServerOutcome) {
        self.close(evidence);
    }

    fn close(&mut self, evidence: ServerOutcome) {
        if std::mem::take(&mut self.open) {
            let now = self.call.relay.clock.now();
            lock(&self.call.relay.tracker).call_ended(now, &self.selection.server, evidence);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.close(ServerOutcome::Inconclusive);
    }
}

/// Why a run of a stream is over before its end.
#[derive(Debug)]
pub enum StreamFailure {
    /// Its connection ended; perhaps its server did.
    ConnectionLost(String),
    /// Its bytes can't be used.
    InvalidData(String),
    /// Nothing came in time.
    TimedOut(&'static str),
}

impl StreamFailure {
    /// Ends the run's books.
    pub async fn finish(self, call: &Call, attempt: AttemptGuard) -> AttemptResult {
        let why = match &self {
            Self::ConnectionLost(why) | Self::InvalidData(why) => why,
            Self::TimedOut(why) => *why,
        };
        log_lines::unusable(call, &attempt.selection, StatusCode::OK, why);
        match self {
            Self::ConnectionLost(_) => attempt.finish_broken().await,
            Self::InvalidData(_) | Self::TimedOut(_) => attempt.finish(ServerOutcome::Failure),
        }
        AttemptResult::Ended(AttemptEnd::Lost)
    }
}

/// Tries the call once; `join` is given where an earlier run's events are passed on already.
pub async fn run_attempt(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    join: Option<&EventJoin>,
) -> AttemptResult {
    let (run, selection, pass) = match admit(call, tried).await {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => {
            log_lines::no_server_takes(call, reason, retry_after);
            return AttemptResult::NoServer(reason, retry_after);
        }
    };
    tried.push(selection.server.clone());
    log_lines::routed(call, attempts, &selection);
    let resume_after = join.and_then(EventJoin::last);
    let request = request(call, &selection, resume_after);
    let mut attempt = AttemptGuard::new(call, run, selection);
    attempts.send();
    let reuse = if call.route.kind.is_repeatable() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let connection_pool = &call.relay.connection_pool;
    let (server, address) = (&attempt.selection.server, &attempt.selection.address);
    let sent = connection_pool
        .send(server, address, reuse, request, pass)
        .await;
    let (answer, connection) = match sent {
        Ok(sent) => sent,
        Err(cause) => return not_answered(call, attempt, &cause).await,
    };
    let (parts, body) = answer.into_parts();
    let head = headers::read_answer(parts.status, &parts.headers, call.head.id.as_deref());
    let relay = &call.relay;
    let server = &attempt.selection.server;
    relay
        .unknown_headers
        .note(call.id(), server, &parts.headers);
    attempt.is_framed = headers::is_framed(&parts.headers);
    let now = call.relay.clock.now();
    lock(&call.relay.tracker).call_answered(now, &attempt.selection.server);
    if let Some(load) = head.load {
        let told = ReportedLoad {
            calls: load.running + load.waiting,
            at: call.relay.clock.now(),
        };
        lock(&call.relay.tracker).record_load(&attempt.selection.server, told);
    }
    // Neither a late answer to another call nor one of another server speaks for this one.
    let speaks = head.is_ours && head.word != RunWord::OtherServer;
    if speaks {
        let target = &attempt.selection.target;
        call.relay
            .gate
            .answered(call.id(), target, &head.notice, head.has_proof);
    }
    let received = Received {
        attempt,
        connection,
        parts,
        head,
        body,
    };
    classify(call, attempts, received, join).await
}

/// Lets a run begin and finds its place. Between the two it may have waited for engines, for memory or
/// for a limited server: what is known of its work is asked again, last before the send.
async fn admit(
    call: &Arc<Call>,
    tried: &[ServerName],
) -> Result<(Run, Selection, Pass), (RefusalReason, Duration)> {
    loop {
        let run = suspects::admit(call).await?;
        let (selection, pass) = place(call, tried, run.is_apart).await?;
        if run.may_send() {
            return Ok((run, selection, pass));
        }
    }
}

/// Chooses until a server has room for the call. One that has none is closed to this box for a
/// while, so that it isn't chosen again.
async fn place(
    call: &Arc<Call>,
    tried: &[ServerName],
    is_isolated: bool,
) -> Result<(Selection, Pass), (RefusalReason, Duration)> {
    for _ in 0..MOST_ASKED {
        let selection = server_selection::select(call, tried, is_isolated).await?;
        let entrant = Entrant {
            id: call.id(),
            target: &selection.target,
            patience: call.patience(tried.is_empty()),
        };
        if let Ok(pass) = call.relay.gate.enter(&entrant).await {
            return Ok((selection, pass));
        }
    }
    Err((RefusalReason::ServersLimited, NO_KEEPER))
}

fn request(call: &Call, selection: &Selection, resume_after: Option<u64>) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        server: &selection.server,
        time_left: call.time_left(),
        workspace: call.workspace.as_ref(),
        takes_key: !call.routes.table().workspaces.is_empty(),
        readers: &selection.helpers,
        rank: selection.rank,
        resume_after,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::to_server(&call.headers, &dispatch);
    request
}

async fn not_answered(call: &Call, attempt: AttemptGuard, cause: &SendError) -> AttemptResult {
    log_lines::try_failed(call, &attempt.selection, cause);
    match cause {
        SendError::NotSent(_) => {
            attempt.finish(ServerOutcome::Unreachable);
            AttemptResult::Ended(AttemptEnd::NoConnection)
        }
        SendError::ConnectTimeout => {
            attempt.finish(ServerOutcome::ConnectTimeout);
            AttemptResult::Ended(AttemptEnd::NoConnection)
        }
        SendError::Lost(_) => {
            attempt.finish_broken().await;
            AttemptResult::Ended(AttemptEnd::Lost)
        }
    }
}

async fn classify(
    call: &Arc<Call>,
    attempts: &Attempts,
    received: Received,
    join: Option<&EventJoin>,
) -> AttemptResult {
    let (head, status) = (&received.head, received.parts.status);
    if head.word != RunWord::Nothing && !status.is_success() {
        return declined(call, received).await;
    }
    if !head.is_ours {
        return unusable(call, received.attempt, status, "it answers another call");
    }
    if status.is_success() && !head.has_proof {
        return unusable(
            call,
            received.attempt,
            status,
            "it lacks the server's proof",
        );
    }
    if status.is_success() && call.route.kind.is_stream() {
        let join = match join {
            Some(join) => join.clone(),
            None => EventJoin::after(call.head.resume_after),
        };
        return first_events(call, attempts, received, join).await;
    }
    whole_answer(call, received).await
}

fn unusable(call: &Call, attempt: AttemptGuard, status: StatusCode, why: &str) -> AttemptResult {
    log_lines::unusable(call, &attempt.selection, status, why);
    attempt.finish(ServerOutcome::Failure);
    AttemptResult::Ended(AttemptEnd::Lost)
}

async fn declined(call: &Call, received: Received) -> AttemptResult {
    let after = received.after();
    let Received {
        attempt,
        connection,
        parts,
        head,
        body,
    } = received;
    log_lines::declined(call, &attempt.selection, parts.status, &head);
    if let Some(address) = &head.at_fault {
        let now = call.relay.clock.now();
        lock(&call.relay.tracker).record_fault(now, address);
        call.relay.urgent_changed.notify_one();
    }
    if read_whole(body).await.is_some() {
        return_connection(call, &attempt.selection.server, connection, after);
    }
    attempt.finish(match head.word {
        RunWord::OtherServer => ServerOutcome::Unreachable,
        RunWord::NotRun | RunWord::Nothing => ServerOutcome::Inconclusive,
    });
    let pause = head.notice.retry_after.value().unwrap_or_default();
    AttemptResult::Ended(if pause.is_zero() {
        AttemptEnd::Declined
    } else {
        AttemptEnd::Shed
    })
}

async fn whole_answer(call: &Call, received: Received) -> AttemptResult {
    let after = received.after();
    let Received {
        attempt,
        connection,
        parts,
        body,
        ..
    } = received;
    let Some(bytes) = read_whole(body).await else {
        log_lines::unusable(call, &attempt.selection, parts.status, "it ended early");
        attempt.finish_broken().await;
        return AttemptResult::Ended(AttemptEnd::Lost);
    };
    return_connection(call, &attempt.selection.server, connection, after);
    let answer = response_to_caller(&parts, AnswerBody::whole(bytes));
    if parts.status.is_server_error() {
        attempt.finish(ServerOutcome::Failure);
        AttemptResult::ServerError(answer)
    } else {
        attempt.finish_served().await;
        AttemptResult::Complete(answer)
    }
}

/// Lets a connection rest whose answer was whole, if it may.
pub fn return_connection(
    call: &Call,
    server: &ServerName,
    connection: Connection,
    after: AfterResponse,
) {
    if let AfterResponse::Pool { keep_alive } = after {
        call.relay
            .connection_pool
            .put(server, connection, keep_alive);
    }
}

async fn read_whole(body: Incoming) -> Option<Bytes> {
    let body = http_body_util::Limited::new(body, MAX_WHOLE_BYTES);
    body.collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes)
}

/// The server's head without what concerns its own connection.
pub fn response_to_caller(parts: &http::response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers::without_connection(&parts.headers);
    answer
}

/// How long a server may be silent before its run is taken for broken.
pub fn silence_timeout(call: &Call, selection: &Selection, first: bool) -> Duration {
    let objective = call.route.objective;
    match (first, call.route.max_gap) {
        (true, _) => (selection.expected_first_event * 3).max(objective) + FIRST_EVENT_SLACK,
        (false, Some(pause)) => (pause * 4).max(NEXT_EVENT_SLACK),
        (false, None) => Duration::MAX,
    }
}

/// What the first event may take beyond its objective, or three times its estimate.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);
/// Shortest silence after which a stream is continued elsewhere; callers leave after two seconds.
const NEXT_EVENT_SLACK: Duration = Duration::from_secs(1);

async fn first_events(
    call: &Arc<Call>,
    attempts: &Attempts,
    received: Received,
    mut join: EventJoin,
) -> AttemptResult {
    let after = received.after();
    let Received {
        attempt,
        connection,
        parts,
        mut body,
        ..
    } = received;
    let mut patience = silence_timeout(call, &attempt.selection, true);
    let (events, complete) = loop {
        let broken = match timeout(patience, body.frame()).await {
            Ok(Some(Ok(frame))) => match join.push(&frame.into_data().unwrap_or_default()) {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => break (events, false),
                Err(cause) => StreamFailure::InvalidData(cause.to_string()),
            },
            Ok(None) if !join.is_inside_event() => break (Bytes::new(), true),
            Ok(None) => StreamFailure::ConnectionLost("it ended inside an event".to_owned()),
            Ok(Some(Err(cause))) => StreamFailure::ConnectionLost(cause.to_string()),
            Err(_elapsed) if attempts.may_retry() && call.has_retry_budget() => {
                StreamFailure::TimedOut("no first event in time")
            }
            Err(_elapsed) => {
                patience = Duration::MAX;
                continue;
            }
        };
        return broken.finish(call, attempt).await;
    };
    attempt.selection.prefill_done(call);
    AttemptResult::Live(Box::new(StreamingResponse {
        head: parts,
        events,
        complete,
        body,
        join,
        connection,
        attempt,
        after,
    }))
}
