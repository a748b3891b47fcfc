//! Runs whose call has ended while their server may still work on them.
//!
//! A call may end first: its caller leaves, its deadline passes, or it is silent for so long that it is
//! tried elsewhere. Its connection is then reset at once, since its server has to stop within half a second
//! however it notices that. Nothing more arrives on the connection, but what the server shows otherwise
//! still counts:
//!
//! - Other calls prefer servers that have responded since, as this one may have asked for a pause.
//! - If its process exits within the time that the route allows a call, the run may have crashed it.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::time::Time;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::relay::call::Call;
use crate::relay::call_log;
use crate::relay::connection_end;
use crate::relay::connection_pool::Via;
use crate::relay::listed_server::ListedServer;
use crate::relay::request_quarantine;
use crate::relay::request_quarantine::Run;
use crate::relay::server_gate::Target;
use crate::traffic::lock;

/// Time in which a server has to stop after the call has ended.
const STOP_TIME: Duration = Duration::from_millis(500);
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

impl SentRun {
    /// The run without the body of its request, which is not needed to examine a crash.
    fn without_body(self) -> Self {
        Self {
            call: Arc::new(self.call.without_body()),
            ..self
        }
    }
}

/// What the server showed after its call had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedEnd {
    /// Its process exited.
    Exited,
    /// It responded to other calls.
    Responded,
    /// It showed nothing.
    Silent,
    /// It was not watched.
    NotWatched,
}

impl AbandonedEnd {
    /// Name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Exited => "exited",
            Self::Responded => "responded",
            Self::Silent => "silent",
            Self::NotWatched => "not_watched",
        }
    }
}

/// A run whose call has ended, and whose connection is reset.
#[derive(Debug)]
pub struct AbandonedRun {
    /// The run.
    pub run: SentRun,
    /// Who made the connection.
    pub via: Via,
}

impl AbandonedRun {
    /// Watches the server in a task.
    pub fn watch(self) {
        call_log::connection_reset(&self.run, self.via);
        // There is no runtime while the process exits.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(watch(self));
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

async fn watch(abandoned: AbandonedRun) {
    let AbandonedRun { run, via } = abandoned;
    let run = run.without_body();
    let relay = Arc::clone(&run.call.relay);
    let abandoned_at = relay.clock.now();
    let watched = WatchedRun {
        until: abandoned_at + run.call.route.time_limit,
        run,
        abandoned_at,
    };
    // Other runs of a suspect request wait for this one, and until the other boxes know of a crash.
    let mut in_progress = Some(request_quarantine::continue_run(&watched.run.call));
    let counted = CountGuard::try_new(&relay.abandoned_runs, MAX_WATCHED_RUNS);
    let end = match counted {
        Some(_) if via == Via::Own => watched.observe(&mut in_progress).await,
        Some(_) | None => AbandonedEnd::NotWatched,
    };
    let run = &watched.run;
    let ended = relay.clock.now();
    call_log::abandoned_run_ended(run, end, ended.since(abandoned_at));
    if end == AbandonedEnd::Exited {
        let _in_progress = match in_progress {
            Some(in_progress) => in_progress,
            None => request_quarantine::continue_run(&run.call),
        };
        let crashed = CrashedRun {
            started: run.sent_at,
            response_started: run.response_started,
            ended,
        };
        connection_end::examine_abandoned(run, crashed).await;
        sleep(quarantine::REPORT_WAIT).await;
    }
}

/// An abandoned run whose server is watched.
struct WatchedRun {
    run: SentRun,
    abandoned_at: Time,
    /// When the watch ends.
    until: Time,
}

impl WatchedRun {
    /// Watches the process of the server.
    async fn observe(&self, in_progress: &mut Option<Run>) -> AbandonedEnd {
        let relay = &self.run.call.relay;
        if self.run.response_started.is_none() {
            let server = &self.run.target.name;
            lock(&relay.tracker).record_unanswered(self.abandoned_at, server, self.until);
        }
        let process = relay
            .process_watches
            .watch(&self.run.target, &self.run.address);
        tokio::select! {
            () = process.exited() => AbandonedEnd::Exited,
            end = self.wait_for_responses(in_progress) => end,
        }
    }

    /// Resolves at the end of the watch. A server that responds half a second after the reset runs, and has
    /// stopped by then: the run is no longer in progress.
    async fn wait_for_responses(&self, in_progress: &mut Option<Run>) -> AbandonedEnd {
        let has_responded = tokio::select! {
            has_responded = self.wait_for_response(self.abandoned_at) => has_responded,
            never = self.check_status() => match never {},
        };
        if has_responded {
            self.wait_for_response(self.abandoned_at + STOP_TIME).await;
        }
        *in_progress = None;
        let now = self.run.call.relay.clock.now();
        sleep(now.until(self.until)).await;
        if has_responded {
            AbandonedEnd::Responded
        } else {
            AbandonedEnd::Silent
        }
    }

    /// Asks a server that stays silent for its status: one that has asked for a pause, which nobody received,
    /// declines the check as well.
    async fn check_status(&self) -> Infallible {
        sleep(STOP_TIME).await;
        let call = &self.run.call;
        let service = call.routes.service(&call.service);
        let path = service.and_then(|service| service.health_path.as_deref());
        if let Some(path) = path.filter(|_| self.run.response_started.is_none()) {
            let server = ListedServer::new(&self.run.target, &self.run.address);
            call.relay
                .status_checks
                .check(&call.relay, &server, path)
                .await;
        }
        std::future::pending().await
    }

    /// Waits until the server has sent anything since this time; returns whether it has before the end of the
    /// watch.
    async fn wait_for_response(&self, since: Time) -> bool {
        let relay = &self.run.call.relay;
        let server = &self.run.target.name;
        while relay.clock.now() < self.until {
            if lock(&relay.tracker).is_heard_since(since, server) {
                return true;
            }
            sleep(RESPONSE_CHECK_INTERVAL).await;
        }
        false
    }
}
