//! Runs whose call has ended while their server may still work on them.
//!
//! A call may end first: its caller leaves, its deadline passes, or it is silent for so long that it is
//! tried elsewhere. Its server has to stop within half a second of that, however it notices it; and what
//! the server shows afterwards still counts: whether and when it read the call, whether it asks for a
//! pause, or whether it crashes.
//!
//! - First the connection is closed in one direction. Most servers read its end and close it. If the server
//!   sends something instead, or nothing for some tenths of a second, the connection is reset, so that its
//!   next write fails.
//! - A server that has sent nothing is watched from then on, as long again as a call of the route may take:
//!   if its process exits, the run may have crashed it. Other calls prefer servers that have responded
//!   since, as this one may be about to ask for a pause.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::time::Time;
use futures::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::call_retry::PendingSend;
use crate::relay::connection_end;
use crate::relay::connection_pool::Via;
use crate::relay::request_quarantine;
use crate::relay::server_gate::Target;
use crate::relay::server_stream::StreamControl;
use crate::traffic::lock;

/// Time in which a server has to stop after the caller of its call has left.
const STOP_TIME: Duration = Duration::from_millis(500);
/// Time for the head of a response to a call that has ended. The rest of [`STOP_TIME`] is left for the
/// next write of a server that notices only that.
const HEAD_TIME: Duration = Duration::from_millis(STOP_TIME.as_millis() as u64 / 2);
/// Time in which a server that has begun to respond reads the end of the connection and closes it: a round
/// trip between regions, and less than what a stream with rare events leaves of [`STOP_TIME`].
const END_TIME: Duration = Duration::from_millis(STOP_TIME.as_millis() as u64 / 5);
/// Time in which the rest of a response head arrives.
const HEAD_REST_TIME: Duration = Duration::from_millis(20);
/// Time in which a server that runs notices that a call has ended, and closes its connection.
const CLOSE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of abandoned runs whose connection is read; further ones are reset at once.
const MAX_READ_CONNECTIONS: usize = 128;
/// Maximum number of abandoned runs whose server is watched.
const MAX_WATCHED_RUNS: usize = 128;
/// Interval at which the box checks whether a server has responded to other calls.
const RESPONSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Its process exited after the connection was reset.
    Exited,
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
            Self::Exited => "exited",
            Self::Silent => "silent",
            Self::NotWatched => "not_watched",
        }
    }

    /// Whether the process has to be examined for a crash.
    const fn may_be_crash(self) -> bool {
        matches!(self, Self::ClosedLate | Self::Exited)
    }
}

/// A run whose call has ended.
#[derive(Debug)]
pub struct AbandonedRun {
    /// The run.
    pub run: SentRun,
    /// Controls its connection.
    pub control: Arc<StreamControl>,
    /// Who made the connection.
    pub via: Via,
    /// Tells the retry budget when the call has arrived, unless it has.
    pub pending: Option<PendingSend>,
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

/// Counts abandoned runs.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// `None` if there are `max` already.
    fn try_new(count: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let guard = Self(Arc::clone(count));
        (count.fetch_add(1, Ordering::Relaxed) < max).then_some(guard)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn watch(abandoned: AbandonedRun, sign: BoxFuture<'static, Sign>) {
    let AbandonedRun {
        run,
        control,
        via,
        pending,
    } = abandoned;
    let relay = &run.call.relay;
    let abandoned_at = relay.clock.now();
    let elapsed = || relay.clock.now().since(abandoned_at);
    // Other runs of a suspect request wait for this one, and until the other boxes know of a crash.
    let _in_progress = request_quarantine::continue_run(&run.call);
    let mut end = read_on(&run, &control, via, sign).await;
    let open = elapsed();
    if end == AbandonedEnd::Silent {
        end = watch_process(&run, pending, abandoned_at).await;
    } else {
        drop(pending);
    }
    call_log::abandoned_run_ended(&run, end, elapsed(), open);
    if end.may_be_crash() {
        let crashed = CrashedRun {
            started: run.sent_at,
            response_started: run.response_started,
            ended: relay.clock.now(),
        };
        connection_end::examine_abandoned(&run, crashed).await;
        tokio::time::sleep(quarantine::REPORT_WAIT).await;
    }
}

/// Closes the connection in one direction and reads on for a short time, after which it is reset.
async fn read_on(
    run: &SentRun,
    control: &StreamControl,
    via: Via,
    sign: BoxFuture<'static, Sign>,
) -> AbandonedEnd {
    let relay = &run.call.relay;
    // A peer resets what it carries.
    if via == Via::Peer || !relay.held_bytes.has_room_for_call() {
        return AbandonedEnd::NotWatched;
    }
    let counted = CountGuard::try_new(&relay.abandoned_connections, MAX_READ_CONNECTIONS);
    if counted.is_none() {
        return AbandonedEnd::Silent;
    }
    control.half_close();
    let half_closed_at = Instant::now();
    let time = match run.response_started {
        Some(_) => END_TIME,
        None => HEAD_TIME,
    };
    let received = async {
        control.received().await;
        sleep(HEAD_REST_TIME).await;
    };
    tokio::select! {
        biased;
        sign = sign => match sign {
            Sign::Sent => AbandonedEnd::Responded,
            Sign::Closed if half_closed_at.elapsed() < CLOSE_TIME => AbandonedEnd::Closed,
            Sign::Closed => AbandonedEnd::ClosedLate,
        },
        () = received => AbandonedEnd::Responded,
        () = sleep(time) => AbandonedEnd::Silent,
    }
}

/// Watches the process of a server whose connection was reset while it was silent. The call is pending
/// until the server has responded to anything: one that stands still reads it later.
async fn watch_process(
    run: &SentRun,
    mut pending: Option<PendingSend>,
    abandoned_at: Time,
) -> AbandonedEnd {
    let relay = &run.call.relay;
    let server = &run.target.name;
    let Some(_counted) = CountGuard::try_new(&relay.abandoned_runs, MAX_WATCHED_RUNS) else {
        return AbandonedEnd::NotWatched;
    };
    let until = abandoned_at + run.call.route.time_limit;
    if run.response_started.is_none() {
        lock(&relay.tracker).record_unanswered(abandoned_at, server, until);
    }
    let process = relay.process_watches.watch(&run.target, &run.address);
    loop {
        tokio::select! {
            () = process.exited() => return AbandonedEnd::Exited,
            () = sleep(RESPONSE_CHECK_INTERVAL) => {}
        }
        if lock(&relay.tracker).is_heard_since(abandoned_at, server) {
            pending = None;
        }
        if relay.clock.now() >= until {
            drop(pending);
            return AbandonedEnd::Silent;
        }
    }
}
