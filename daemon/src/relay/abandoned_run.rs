//! Runs whose call has ended while their server may still work on them.
//!
//! A call may end first: its caller leaves, its deadline passes, or it is silent for so long that it is
//! tried elsewhere. What the server shows afterwards still counts: whether and when it read the call,
//! whether it asks for a pause, or whether it crashes. So the connection of such a run is only closed in
//! one direction. To the server that is the end of the call. The box reads on until the server sends
//! something, closes the connection, or has had as long again as a call of the route may take.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::time::Time;
use futures::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::connection_end;
use crate::relay::connection_pool::Via;
use crate::relay::half_close::HalfClose;
use crate::relay::request_quarantine;
use crate::relay::server_gate::Target;

/// Abandoned runs of one box that are watched at a time; further ones are closed at once.
const MAX_WATCHED: usize = 128;
/// Time in which a server that runs notices that a call has ended, and closes its connection.
const CLOSE_TIME: Duration = Duration::from_millis(150);

/// A call that was sent to a server.
#[derive(Debug, Clone)]
pub struct SentRun {
    /// The call.
    pub call: Arc<Call>,
    /// The server.
    pub target: Target,
    /// Its address.
    pub address: String,
    /// When the call was sent.
    pub sent_at: Time,
    /// When the response began, if it did.
    pub response_started: Option<Time>,
}

/// What a server did that was watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It sent something.
    Sent,
    /// It closed the connection.
    Closed,
}

/// What the server showed after its call had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedEnd {
    /// It sent something.
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

/// A run whose call has ended.
#[derive(Debug)]
pub struct AbandonedRun {
    /// The run.
    pub run: SentRun,
    /// Closes the sending side of its connection.
    pub half_close: Arc<HalfClose>,
    /// Who made the connection.
    pub via: Via,
}

impl AbandonedRun {
    /// Watches the server in a task. `sign` resolves once it does something, and holds the connection.
    pub fn watch(self, sign: BoxFuture<'static, Sign>) {
        // There is no runtime while the process exits.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(watch(self, sign));
        }
    }
}

/// Counts the abandoned runs that are watched.
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

async fn watch(abandoned: AbandonedRun, sign: BoxFuture<'static, Sign>) {
    let AbandonedRun {
        run,
        half_close,
        via,
    } = abandoned;
    let relay = &run.call.relay;
    let abandoned_at = relay.clock.now();
    let watched = WatchedGuard::try_new(&relay.watched_runs);
    let is_watched = watched.is_some() && via == Via::Own && relay.held_bytes.has_room_for_call();
    // Other runs of a suspect request wait for this one, and until the other boxes know of a crash.
    let _in_progress = is_watched.then(|| request_quarantine::continue_run(&run.call));
    let end = if is_watched {
        half_close.request();
        wait_for_sign(&run, sign, abandoned_at).await
    } else {
        drop(sign);
        AbandonedEnd::NotWatched
    };
    let took = relay.clock.now().since(abandoned_at);
    let open = if is_watched { took } else { Duration::ZERO };
    call_log::abandoned_run_ended(&run, end, took, open);
    if end == AbandonedEnd::ClosedLate {
        let crashed = CrashedRun {
            started: run.sent_at,
            response_started: run.response_started,
            ended: relay.clock.now(),
        };
        connection_end::examine_abandoned(&run, crashed).await;
        tokio::time::sleep(quarantine::REPORT_WAIT).await;
    }
}

async fn wait_for_sign(
    run: &SentRun,
    sign: BoxFuture<'static, Sign>,
    abandoned_at: Time,
) -> AbandonedEnd {
    let call = &run.call;
    let elapsed = || call.relay.clock.now().since(abandoned_at);
    match timeout(call.route.time_limit, sign).await {
        Ok(Sign::Sent) => AbandonedEnd::Responded,
        Ok(Sign::Closed) if elapsed() < CLOSE_TIME => AbandonedEnd::Closed,
        Ok(Sign::Closed) => AbandonedEnd::ClosedLate,
        Err(_elapsed) => AbandonedEnd::Silent,
    }
}
