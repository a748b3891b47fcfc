//! One try of a call: a server is chosen, the call sent, and the answer classified.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::relay::attempts::Attempts;
use badgerferry_lib::relay::attempts::TryEnd;
use badgerferry_lib::relay::event_join::EventJoin;
use badgerferry_lib::relay::server_book::Evidence;
use badgerferry_lib::relay::server_book::ToldLoad;
use badgerferry_platform::headers;
use badgerferry_platform::headers::AnswerHead;
use badgerferry_platform::headers::Dispatch;
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
use crate::relay::engines;
use crate::relay::engines::Chosen;
use crate::relay::log_lines;
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
    Whole(Response<AnswerBody>),
    /// A stream whose first events are here.
    Live(Box<Live>),
    /// No server can take the call.
    NoServer(RefusalReason, Duration),
    /// The server ran the call and answered with a failure of its own, here whole.
    ServerError(Response<AnswerBody>),
    /// It ended without an answer that can be passed on.
    Ended(TryEnd),
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
    /// How long the connection may rest; none where it must be closed.
    pub rest: Option<Option<Duration>>,
}

/// A try in the books: dropped, it counts as ended with nothing to say of the server.
#[derive(Debug)]
pub struct Flight {
    call: Arc<Call>,
    /// Where it went.
    pub chosen: Chosen,
    open: bool,
}

impl Flight {
    fn new(call: &Arc<Call>, chosen: Chosen) -> Self {
        lock(&call.relay.book).sent(&chosen.server);
        Self {
            call: Arc::clone(call),
            chosen,
            open: true,
        }
    }

    /// Closes the books with what the try says of the server.
    pub fn end(mut self, evidence: Evidence) {
        self.close(evidence);
    }

    fn close(&mut self, evidence: Evidence) {
        if std::mem::take(&mut self.open) {
            let now = self.call.relay.clock.now();
            lock(&self.call.relay.book).ended(now, &self.chosen.server, evidence);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.close(Evidence::Neutral);
    }
}

/// Tries the call once; `join` is given where an earlier run's events are passed on already.
pub async fn try_once(
    call: &Arc<Call>,
    attempts: &mut Attempts,
    tried: &mut Vec<ServerName>,
    join: Option<&EventJoin>,
) -> TryResult {
    let chosen = match engines::choose(call, tried).await {
        Ok(chosen) => chosen,
        Err((reason, retry_after)) => return TryResult::NoServer(reason, retry_after),
    };
    tried.push(chosen.server.clone());
    log_lines::routed(call, attempts, &chosen);
    let resume_after = join.and_then(EventJoin::last);
    let request = request(call, &chosen, resume_after);
    let flight = Flight::new(call, chosen);
    attempts.send();
    let reuse = match call.route.kind.is_repeatable() {
        true => Reuse::Allowed,
        false => Reuse::Never,
    };
    let upstream = &call.relay.upstream;
    let (server, address) = (&flight.chosen.server, &flight.chosen.address);
    let sent = upstream.send(server, address, reuse, request).await;
    let (answer, connection) = match sent {
        Ok(sent) => sent,
        Err(cause) => return not_answered(call, flight, &cause),
    };
    let (parts, body) = answer.into_parts();
    let head = headers::read_answer(parts.status, &parts.headers, call.head.id.as_deref());
    lock(&call.relay.book).answers(&flight.chosen.server);
    if let Some(load) = head.load {
        let told = ToldLoad {
            calls: load.running + load.waiting,
            at: call.relay.clock.now(),
        };
        lock(&call.relay.book).told(&flight.chosen.server, told);
    }
    classify(call, attempts, flight, connection, parts, head, body, join).await
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

fn not_answered(call: &Call, flight: Flight, cause: &SendError) -> TryResult {
    log_lines::try_failed(call, &flight.chosen, cause);
    match cause {
        SendError::NotSent(_) => {
            flight.end(Evidence::Unreachable);
            TryResult::Ended(TryEnd::NoConnection)
        }
        SendError::NoAnswer => {
            flight.end(Evidence::Silent);
            TryResult::Ended(TryEnd::NoConnection)
        }
        SendError::Lost(_) => {
            flight.end(Evidence::Bad);
            TryResult::Ended(TryEnd::Lost)
        }
    }
}

async fn classify(
    call: &Arc<Call>,
    attempts: &Attempts,
    flight: Flight,
    connection: Connection,
    parts: http::response::Parts,
    head: AnswerHead,
    body: Incoming,
    join: Option<&EventJoin>,
) -> TryResult {
    let unusable = |flight: Flight, why: &str| {
        log_lines::unusable(call, &flight.chosen, parts.status, why);
        flight.end(Evidence::Bad);
        TryResult::Ended(TryEnd::Lost)
    };
    if head.not_run && !parts.status.is_success() {
        log_lines::declined(call, &flight.chosen, parts.status, &head);
        if let Some(address) = &head.at_fault {
            let now = call.relay.clock.now();
            lock(&call.relay.book).unreachable_at(now, address);
        }
        let evidence = match head.other_server {
            true => Evidence::Unreachable,
            false => Evidence::Neutral,
        };
        finish_body(call, &flight, connection, &head, body).await;
        flight.end(evidence);
        return TryResult::Ended(TryEnd::Declined);
    }
    if !head.is_ours {
        return unusable(flight, "it answers another call");
    }
    if parts.status.is_success() && !head.has_proof {
        return unusable(flight, "it lacks the server's proof");
    }
    if parts.status.is_success() && call.route.kind.is_stream() {
        let rest = (!head.closes).then_some(head.keep_alive);
        let join = match join {
            Some(join) => join.clone(),
            None => EventJoin::after(call.head.resume_after),
        };
        return first_events(call, attempts, flight, connection, parts, body, join, rest).await;
    }
    let Some(bytes) = read_whole(body).await else {
        return unusable(flight, "it ended early");
    };
    let failed = parts.status.is_server_error();
    if !head.closes {
        let upstream = &call.relay.upstream;
        upstream.rest(&flight.chosen.server, connection, head.keep_alive);
    }
    flight.end(match failed {
        true => Evidence::Bad,
        false => Evidence::Good,
    });
    let answer = pass_on(&parts, AnswerBody::whole(bytes));
    match failed {
        true => TryResult::ServerError(answer),
        false => TryResult::Whole(answer),
    }
}

async fn finish_body(
    call: &Call,
    flight: &Flight,
    connection: Connection,
    head: &AnswerHead,
    body: Incoming,
) {
    if read_whole(body).await.is_some() && !head.closes {
        let upstream = &call.relay.upstream;
        upstream.rest(&flight.chosen.server, connection, head.keep_alive);
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
pub fn pass_on(parts: &http::response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers::without_connection(&parts.headers);
    answer
}

/// How long a server may be silent before its run is taken for broken.
pub fn silence(call: &Call, chosen: &Chosen, first: bool) -> Duration {
    let objective = call.route.objective;
    match (first, call.route.pause) {
        (true, _) => (chosen.expected * 3).max(objective) + FIRST_EVENT_SLACK,
        (false, Some(pause)) => (pause * 4).max(NEXT_EVENT_SLACK),
        (false, None) => Duration::MAX,
    }
}

/// What the first event may take beyond its objective, or three times its estimate.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);
/// Shortest silence after which a stream is continued elsewhere; callers leave after two seconds.
const NEXT_EVENT_SLACK: Duration = Duration::from_millis(1_000);

async fn first_events(
    call: &Arc<Call>,
    attempts: &Attempts,
    flight: Flight,
    connection: Connection,
    head: http::response::Parts,
    mut body: Incoming,
    mut join: EventJoin,
    rest: Option<Option<Duration>>,
) -> TryResult {
    let mut patience = silence(call, &flight.chosen, true);
    loop {
        let broken = match timeout(patience, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                match join.push(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        flight.chosen.read_done(call);
                        return TryResult::Live(Box::new(Live {
                            head,
                            events,
                            complete: false,
                            body,
                            join,
                            connection,
                            flight,
                            rest,
                        }));
                    }
                    Err(cause) => cause.to_string(),
                }
            }
            Ok(None) if !join.is_inside_event() => {
                return TryResult::Live(Box::new(Live {
                    head,
                    events: Bytes::new(),
                    complete: true,
                    body,
                    join,
                    connection,
                    flight,
                    rest,
                }));
            }
            Ok(None) => "it ended inside an event".to_owned(),
            Ok(Some(Err(cause))) => cause.to_string(),
            Err(_elapsed) if attempts.may_repeat() && call.has_retry_budget() => {
                "no first event in time".to_owned()
            }
            Err(_elapsed) => {
                patience = Duration::MAX;
                continue;
            }
        };
        log_lines::unusable(call, &flight.chosen, StatusCode::OK, &broken);
        flight.end(Evidence::Bad);
        return TryResult::Ended(TryEnd::Lost);
    }
}
