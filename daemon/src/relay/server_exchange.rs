//! The exchange of a request for the head of its response, which goes on after its call has ended.
//!
//! A call may end before its server responds: the caller leaves, or the deadline passes. What the
//! server shows afterwards still counts: whether and when it read the call, whether it asks for a
//! pause, or whether it crashes. So the connection of such a call is only closed in one direction. To
//! the server that is the end of the call. The box reads on until the server responds, closes the
//! connection, or has had as long again as a call of the route may take.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::time::Time;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::call_attempt;
use crate::relay::call_log;
use crate::relay::call_retry::PendingSend;
use crate::relay::connection_end;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::SendError;
use crate::relay::connection_pool::Via;
use crate::relay::half_close::HalfClose;
use crate::relay::request_body::RequestBody;
use crate::relay::request_quarantine;
use crate::relay::server_gate::Admitted;
use crate::relay::server_gate::Target;
use crate::traffic::lock;

/// Abandoned calls of one box that are watched at a time; further ones are closed at once.
const MAX_WATCHED: usize = 128;
/// Time in which a server that runs notices that a call was abandoned, and closes its connection.
const CLOSE_TIME: Duration = Duration::from_millis(150);

/// The call that an exchange belongs to, and the server it goes to.
#[derive(Debug)]
pub struct ServerRun {
    /// The call.
    pub call: Arc<Call>,
    /// The server.
    pub target: Target,
    /// Its address.
    pub address: String,
    /// When the call was sent.
    pub sent_at: Time,
    /// Tells the retry budget when the call has arrived.
    pub pending: PendingSend,
}

/// What the server showed after its call had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedEnd {
    /// It responded.
    Responded,
    /// It closed the connection at once, as servers do that notice the end of a call.
    Closed,
    /// It closed the connection later, and may have crashed.
    ClosedLate,
    /// It showed nothing.
    Silent,
    /// It was not watched.
    NotWatched,
}

impl AbandonedEnd {
    /// Name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Responded => "responded",
            Self::Closed => "closed",
            Self::ClosedLate => "closed_late",
            Self::Silent => "silent",
            Self::NotWatched => "not_watched",
        }
    }
}

type Answer = Result<(Response<Incoming>, Connection), SendError>;

struct Running {
    answer: BoxFuture<'static, Answer>,
    half_close: Arc<HalfClose>,
    via: Via,
    run: ServerRun,
}

/// A request that was sent. Dropped before the response, it is abandoned.
pub struct Exchange(Option<Running>);

impl Exchange {
    /// Sends a request once.
    pub fn start(
        mut connection: Connection,
        request: Request<RequestBody>,
        admitted: Admitted,
        run: ServerRun,
    ) -> Self {
        let (half_close, via) = (Arc::clone(&connection.half_close), connection.via);
        let answer = async move {
            let response = connection.send(request, admitted).await?;
            Ok((response, connection))
        };
        Self(Some(Running {
            answer: answer.boxed(),
            half_close,
            via,
            run,
        }))
    }

    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was written.
    pub async fn answer(&mut self) -> Answer {
        let Some(running) = &mut self.0 else {
            return Err(SendError::NotSent("answered before".to_owned()));
        };
        let answer = running.answer.as_mut().await;
        if let Some(Running { run, .. }) = self.0.take() {
            run.end(&answer);
        }
        answer
    }
}

impl ServerRun {
    fn end(self, answer: &Answer) {
        match answer {
            Err(SendError::NotSent(_)) => self.pending.record_not_sent(),
            // A server that closes a connection runs.
            Err(SendError::Lost(_)) => {
                let relay = &self.call.relay;
                lock(&relay.tracker).record_heard(relay.clock.now(), &self.target.name);
            }
            // A response is recorded by those who read it.
            Ok(_) | Err(_) => {}
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(running) = self.0.take() else { return };
        // There is no runtime while the process exits.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(watch_abandoned(running));
        }
    }
}

/// Counts the abandoned calls that are watched.
struct WatchedGuard(Arc<AtomicUsize>);

impl WatchedGuard {
    fn try_new(watched: &Arc<AtomicUsize>) -> Option<Self> {
        let guard = Self(Arc::clone(watched));
        (watched.fetch_add(1, Ordering::Relaxed) < MAX_WATCHED).then_some(guard)
    }
}

impl Drop for WatchedGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn watch_abandoned(running: Running) {
    let Running {
        answer,
        half_close,
        via,
        run,
    } = running;
    let relay = &run.call.relay;
    let abandoned_at = relay.clock.now();
    let watched = WatchedGuard::try_new(&relay.watched_calls);
    let is_watched = watched.is_some() && via == Via::Own && relay.held_bytes.has_room_for_call();
    // Other runs of a suspect request wait for this one, and until the other boxes know of a crash.
    let _in_progress = is_watched.then(|| request_quarantine::continue_run(&run.call));
    let end = if is_watched {
        half_close.request();
        read_abandoned(&run, answer, abandoned_at).await
    } else {
        drop(answer);
        AbandonedEnd::NotWatched
    };
    let took = relay.clock.now().since(abandoned_at);
    call_log::abandoned_call_ended(&run, end, took);
    if end == AbandonedEnd::ClosedLate {
        let crashed = CrashedRun {
            started: run.sent_at,
            response_started: None,
            ended: relay.clock.now(),
        };
        connection_end::examine_abandoned(&run, crashed).await;
        tokio::time::sleep(quarantine::REPORT_WAIT).await;
    }
}

async fn read_abandoned(
    run: &ServerRun,
    answer: BoxFuture<'static, Answer>,
    abandoned_at: Time,
) -> AbandonedEnd {
    let call = &run.call;
    match timeout(call.route.time_limit, answer).await {
        Ok(Ok((response, _connection))) => {
            let (parts, _body) = response.into_parts();
            call_attempt::record_head(call, &run.target, &parts);
            AbandonedEnd::Responded
        }
        Ok(Err(_)) if call.relay.clock.now().since(abandoned_at) < CLOSE_TIME => {
            AbandonedEnd::Closed
        }
        Ok(Err(_)) => AbandonedEnd::ClosedLate,
        Err(_elapsed) => AbandonedEnd::Silent,
    }
}
