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

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::engines;
use crate::relay::engines::Chosen;
use crate::relay::response_body::ResponseBody;
use crate::relay::server_gate::Entrant;
use crate::relay::server_gate::MOST_ASKED;
use crate::relay::server_gate::NO_KEEPER;
use crate::relay::server_gate::Pass;
use crate::relay::suspects;
use crate::relay::suspects::Run;
use crate::relay::upstream::Connection;
use crate::relay::upstream::Reuse;
use crate::relay::upstream::SendError;
use crate::traffic::lock;

/// Largest answer of a plain call that is read whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// How a try went.
#[derive(Debug)]
pub enum TryResult {
    /// A whole answer to pass on.
    Whole(Response<ResponseBody>),
    /// A stream whose first events are here.
    Live(Box<Live>),
    /// No server can take the call.
    NoServer(RefusalReason, Duration),
    /// The server ran the call and answered with a failure of its own, here whole.
    ServerError(Response<ResponseBody>),
    /// It ended without an answer that can be passed on.
    Ended(AttemptEnd),
}

/// A stream that a server is sending.
#[derive(Debug)]
pub struct Live {
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
    pub flight: Flight,
    /// What becomes of the connection after the answer.
    pub after: After,
}

/// What becomes of a connection after a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// It ends.
    Close,
    /// It may carry another call.
    Rest {
        /// Within this time, if the server says so.
        keep_alive: Option<Duration>,
    },
}

/// An answer whose head is here.
#[derive(Debug)]
struct Received {
    flight: Flight,
    connection: Connection,
    parts: http::response::Parts,
    head: AnswerHead,
    body: Incoming,
}

impl Received {
    const fn after(&self) -> After {
        if self.head.closes {
            After::Close
        } else {
            After::Rest {
                keep_alive: self.head.keep_alive,
            }
        }
    }
}

/// A try in the books: dropped, it counts as ended with nothing to say of the server.
#[derive(Debug)]
pub struct Flight {
    call: Arc<Call>,
    run: Run,
    /// When it was sent.
    began: Time,
    /// Whether the end of its answer shows that the server has lived on.
    is_framed: bool,
    /// Where it went.
    pub chosen: Chosen,
    open: bool,
}

impl Flight {
    fn new(call: &Arc<Call>, run: Run, chosen: Chosen) -> Self {
        let now = call.relay.clock.now();
        lock(&call.relay.tracker).call_sent(now, &chosen.server);
        Self {
            call: Arc::clone(call),
            run,
            began: now,
            is_framed: false,
            chosen,
            open: true,
        }
    }

    /// Closes the books on a run that broke off, perhaps with its server.
    pub async fn broke_off(self) {
        suspects::broke_off(&self.call, &self.chosen, self.began).await;
        self.end(ServerOutcome::Failure);
    }

    /// Closes the books on a run that was served. The end of an answer without a length looks like its
    /// server's own: it speaks for the work only where it shows by itself.
    pub async fn served(self) {
        if self.is_framed {
            self.runs_well();
        } else {
            suspects::broke_off(&self.call, &self.chosen, self.began).await;
        }
        self.end(ServerOutcome::Success);
    }

    /// Notes that its server serves it well, so that it does not end servers.
    pub fn runs_well(&self) {
        self.run.record_success();
    }

    /// Closes the books with what the try says of the server.
    pub fn end(mut self, evidence: ServerOutcome) {
        self.close(evidence);
    }

    fn close(&mut self, evidence: ServerOutcome) {
        if std::mem::take(&mut self.open) {
            let now = self.call.relay.clock.now();
            lock(&self.call.relay.tracker).call_ended(now, &self.chosen.server, evidence);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.close(ServerOutcome::Inconclusive);
    }
}

/// Why a run of a stream is over before its end.
#[derive(Debug)]
pub enum Broken {
    /// Its connection ended; perhaps its server did.
    Off(String),
    /// Its bytes can't be used.
    Spoiled(String),
    /// Nothing came in time.
    Silent(&'static str),
}

impl Broken {
    /// Ends the run's books.
    pub async fn end(self, call: &Call, flight: Flight) -> TryResult {
        let why = match &self {
            Self::Off(why) | Self::Spoiled(why) => why,
            Self::Silent(why) => *why,
        };
        call_log::unusable_response(call, &flight.chosen, StatusCode::OK, why);
        match self {
            Self::Off(_) => flight.broke_off().await,
            Self::Spoiled(_) | Self::Silent(_) => flight.end(ServerOutcome::Failure),
        }
        TryResult::Ended(AttemptEnd::Lost)
    }
}

/// Tries the call once; `join` is given where an earlier run's events are passed on already.
pub async fn try_once(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    join: Option<&EventJoin>,
) -> TryResult {
    let (run, chosen, pass) = match admit(call, tried).await {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => {
            call_log::no_server_available(call, reason, retry_after);
            return TryResult::NoServer(reason, retry_after);
        }
    };
    tried.push(chosen.server.clone());
    call_log::routed(call, attempts, &chosen);
    let resume_after = join.and_then(EventJoin::last);
    let request = request(call, &chosen, resume_after);
    let mut flight = Flight::new(call, run, chosen);
    attempts.send();
    let reuse = if call.route.kind.is_repeatable() {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let upstream = &call.relay.upstream;
    let (server, address) = (&flight.chosen.server, &flight.chosen.address);
    let sent = upstream.send(server, address, reuse, request, pass).await;
    let (answer, connection) = match sent {
        Ok(sent) => sent,
        Err(cause) => return not_answered(call, flight, &cause).await,
    };
    let (parts, body) = answer.into_parts();
    let head = headers::read_answer(parts.status, &parts.headers, call.head.id.as_deref());
    let relay = &call.relay;
    let server = &flight.chosen.server;
    relay
        .unknown_headers
        .record(call.id(), server, &parts.headers);
    flight.is_framed = headers::is_framed(&parts.headers);
    let now = call.relay.clock.now();
    lock(&call.relay.tracker).call_answered(now, &flight.chosen.server);
    if let Some(load) = head.load {
        let told = ReportedLoad {
            calls: load.running + load.waiting,
            at: call.relay.clock.now(),
        };
        lock(&call.relay.tracker).record_load(&flight.chosen.server, told);
    }
    // Neither a late answer to another call nor one of another server speaks for this one.
    let speaks = head.is_ours && head.word != RunWord::OtherServer;
    if speaks {
        let target = &flight.chosen.target;
        call.relay
            .gate
            .answered(call.id(), target, &head.notice, head.has_proof);
    }
    let received = Received {
        flight,
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
) -> Result<(Run, Chosen, Pass), (RefusalReason, Duration)> {
    loop {
        let run = suspects::admit(call).await?;
        let (chosen, pass) = place(call, tried, run.is_apart).await?;
        if run.may_send() {
            return Ok((run, chosen, pass));
        }
    }
}

/// Chooses until a server has room for the call. One that has none is closed to this box for a
/// while, so that it isn't chosen again.
async fn place(
    call: &Arc<Call>,
    tried: &[ServerName],
    is_apart: bool,
) -> Result<(Chosen, Pass), (RefusalReason, Duration)> {
    for _ in 0..MOST_ASKED {
        let chosen = engines::choose(call, tried, is_apart).await?;
        let entrant = Entrant {
            id: call.id(),
            target: &chosen.target,
            patience: call.max_admission_wait(tried.is_empty()),
        };
        if let Ok(pass) = call.relay.gate.enter(&entrant).await {
            return Ok((chosen, pass));
        }
    }
    Err((RefusalReason::ServersLimited, NO_KEEPER))
}

fn request(call: &Call, chosen: &Chosen, resume_after: Option<u64>) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        server: &chosen.server,
        time_left: call.time_left(),
        workspace: call.workspace.as_ref(),
        takes_key: !call.routes.table().workspaces.is_empty(),
        readers: &chosen.readers,
        rank: chosen.rank,
        resume_after,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::to_server(&call.headers, &dispatch);
    request
}

async fn not_answered(call: &Call, flight: Flight, cause: &SendError) -> TryResult {
    call_log::attempt_failed(call, &flight.chosen, cause);
    match cause {
        SendError::NotSent(_) => {
            flight.end(ServerOutcome::Unreachable);
            TryResult::Ended(AttemptEnd::NoConnection)
        }
        SendError::NoAnswer => {
            flight.end(ServerOutcome::ConnectTimeout);
            TryResult::Ended(AttemptEnd::NoConnection)
        }
        SendError::Lost(_) => {
            flight.broke_off().await;
            TryResult::Ended(AttemptEnd::Lost)
        }
    }
}

async fn classify(
    call: &Arc<Call>,
    attempts: &Attempts,
    received: Received,
    join: Option<&EventJoin>,
) -> TryResult {
    let (head, status) = (&received.head, received.parts.status);
    if head.word != RunWord::Nothing && !status.is_success() {
        return declined(call, received).await;
    }
    if !head.is_ours {
        return unusable(call, received.flight, status, "it answers another call");
    }
    if status.is_success() && !head.has_proof {
        return unusable(call, received.flight, status, "it lacks the server's proof");
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

fn unusable(call: &Call, flight: Flight, status: StatusCode, why: &str) -> TryResult {
    call_log::unusable_response(call, &flight.chosen, status, why);
    flight.end(ServerOutcome::Failure);
    TryResult::Ended(AttemptEnd::Lost)
}

async fn declined(call: &Call, received: Received) -> TryResult {
    let after = received.after();
    let Received {
        flight,
        connection,
        parts,
        head,
        body,
    } = received;
    call_log::declined(call, &flight.chosen, parts.status, &head);
    if let Some(address) = &head.at_fault {
        let now = call.relay.clock.now();
        lock(&call.relay.tracker).record_fault(now, address);
        call.relay.urgent_changed.notify_one();
    }
    if read_whole(body).await.is_some() {
        put_back(call, &flight.chosen.server, connection, after);
    }
    flight.end(match head.word {
        RunWord::OtherServer => ServerOutcome::Unreachable,
        RunWord::NotRun | RunWord::Nothing => ServerOutcome::Inconclusive,
    });
    let pause = head.notice.retry_after.value().unwrap_or_default();
    TryResult::Ended(if pause.is_zero() {
        AttemptEnd::Declined
    } else {
        AttemptEnd::Shed
    })
}

async fn whole_answer(call: &Call, received: Received) -> TryResult {
    let after = received.after();
    let Received {
        flight,
        connection,
        parts,
        body,
        ..
    } = received;
    let Some(bytes) = read_whole(body).await else {
        call_log::unusable_response(call, &flight.chosen, parts.status, "it ended early");
        flight.broke_off().await;
        return TryResult::Ended(AttemptEnd::Lost);
    };
    put_back(call, &flight.chosen.server, connection, after);
    let answer = pass_on(&parts, ResponseBody::full(bytes));
    if parts.status.is_server_error() {
        flight.end(ServerOutcome::Failure);
        TryResult::ServerError(answer)
    } else {
        flight.served().await;
        TryResult::Whole(answer)
    }
}

/// Lets a connection rest whose answer was whole, if it may.
pub fn put_back(call: &Call, server: &ServerName, connection: Connection, after: After) {
    if let After::Rest { keep_alive } = after {
        call.relay.upstream.rest(server, connection, keep_alive);
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
pub fn pass_on(parts: &http::response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers::without_connection(&parts.headers);
    answer
}

/// How long a server may be silent before its run is taken for broken.
pub fn silence(call: &Call, chosen: &Chosen, first: bool) -> Duration {
    let objective = call.route.objective;
    match (first, call.route.max_gap) {
        (true, _) => (chosen.expected * 3).max(objective) + FIRST_EVENT_SLACK,
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
) -> TryResult {
    let after = received.after();
    let Received {
        flight,
        connection,
        parts,
        mut body,
        ..
    } = received;
    let mut patience = silence(call, &flight.chosen, true);
    let (events, complete) = loop {
        let broken = match timeout(patience, body.frame()).await {
            Ok(Some(Ok(frame))) => match join.push(&frame.into_data().unwrap_or_default()) {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => break (events, false),
                Err(cause) => Broken::Spoiled(cause.to_string()),
            },
            Ok(None) if !join.is_inside_event() => break (Bytes::new(), true),
            Ok(None) => Broken::Off("it ended inside an event".to_owned()),
            Ok(Some(Err(cause))) => Broken::Off(cause.to_string()),
            Err(_elapsed) if attempts.may_retry() && call.has_retry_budget() => {
                Broken::Silent("no first event in time")
            }
            Err(_elapsed) => {
                patience = Duration::MAX;
                continue;
            }
        };
        return broken.end(call, flight).await;
    };
    flight.chosen.prefill_done(call);
    TryResult::Live(Box::new(Live {
        head: parts,
        events,
        complete,
        body,
        join,
        connection,
        flight,
        after,
    }))
}
