//! Admission of requests to backend servers: the last step before any request is sent.
//!
//! Servers state in their responses which calls they accept, see
//! [`badgerferry_lib::relay::server_notices`]. A leaving server gets no new calls, a server that
//! requested a pause gets none until the pause is over, and a server with a limit gets no more than
//! that limit. A cold server has the limit that is configured for its service. The servers of a data
//! hall that the operator evacuates get nothing new, see
//! [`badgerferry_lib::relay::evacuated_halls`].
//!
//! A call to a limited server needs a permit from the box that owns the server's quota, see
//! [`badgerferry_lib::relay::quota_owner`]. This module requests permits by datagram, and responds
//! to the requests of other boxes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call_quota::ColdTolerance;
use badgerferry_lib::relay::call_quota::QuotaShares;
use badgerferry_lib::relay::call_quota::QuotaTerms;
use badgerferry_lib::relay::cold_servers::ColdChange;
use badgerferry_lib::relay::cold_servers::ListedServer;
use badgerferry_lib::relay::evacuated_halls;
use badgerferry_lib::relay::evacuated_halls::HallSet;
use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::PermitRequest;
use badgerferry_lib::relay::permit_wire::PermitResponse;
use badgerferry_lib::relay::quota_owner::OwnedQuotas;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::retry_pool::RetryPool;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::NoticeChanges;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::server_notices::ServerNotices;
use badgerferry_lib::relay::server_tracker::ServerRecord;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;
use metrics::counter;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::relay::cluster_view::ClusterView;
use crate::relay::notice_log;
use crate::relay::permit_transport::PermitTransport;
use crate::traffic::lock;

/// Response time-outs of a permit request and of its one retry. The round-trip time is a few
/// milliseconds between halls, and some tens of milliseconds between regions.
const RESPONSE_TIMEOUTS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(110)];
/// How long a server is closed to this box if its quota owner does not respond or is not known yet.
pub const OWNER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of servers tried per attempt of a call, which is refused after these. A server
/// whose quota is used up or whose quota owner does not respond is closed to this box and not tried
/// again meanwhile.
pub const MAX_SERVERS_PER_ATTEMPT: usize = 8;
/// Maximum time that a call waits for quota or for the end of a pause, when no other server is
/// available.
pub const MAX_ADMISSION_WAIT: Duration = Duration::from_secs(1);

/// Proof that one request to one server was admitted. Only this module can construct it.
#[derive(Debug)]
pub struct Admitted(());

/// The server accepts no request from this box at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAdmitted;

/// Server that a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the server.
    pub name: ServerName,
    /// Incarnation that the request was planned for.
    pub incarnation: ServerIncarnation,
    /// Data hall of the server.
    pub hall: HallName,
}

impl Target {
    /// The server that the record describes.
    pub fn of(record: &ServerRecord) -> Self {
        Self {
            name: record.info.name.clone(),
            incarnation: record.incarnation,
            hall: record.info.hall.clone(),
        }
    }
}

/// A call that requests admission to its chosen server.
#[derive(Debug, Clone, Copy)]
pub struct PendingCall<'a> {
    /// ID of the call, for logs.
    pub id: &'a str,
    /// Chosen server.
    pub target: &'a Target,
    /// Servers that the chosen one sends parts of the call to.
    pub helpers: &'a [Target],
    /// Maximum time to wait for admission.
    pub max_wait: Duration,
}

/// State that the gate shares with the rest of the daemon.
#[derive(Debug)]
pub struct GateContext {
    /// Name of this box.
    pub own: String,
    /// Calls that a cold server bears within one second.
    pub cold_tolerance: ColdTolerance,
    /// Clock of the process.
    pub clock: Clock,
    /// Known boxes and their liveness, which determine the quota owners.
    pub cluster_view: Arc<Mutex<ClusterView>>,
    /// Listed servers.
    pub tracker: Arc<Mutex<ServerTracker>>,
    /// Data halls that the operator evacuates.
    pub evacuated_halls: Arc<ArcSwap<HallSet>>,
    /// Notifies the sender of this box's load, which waits for its minimum interval.
    pub load_changed: Arc<Notify>,
    /// Notifies the sender of this box's load to send at once.
    pub urgent_changed: Arc<Notify>,
    /// Notifies the sender of the hall's load to other halls.
    pub hall_changed: Arc<Notify>,
    /// Data hall of this box.
    pub hall: HallName,
    /// Retry budget of the fleet.
    pub retries: RetryBudgetRule,
}

/// Gate that admits requests to servers.
#[derive(Debug)]
pub struct ServerGate {
    pub(super) context: GateContext,
    /// Notices from server responses and from gossip.
    pub notices: Mutex<ServerNotices>,
    /// Quotas owned by this box.
    pub(super) quotas: Mutex<OwnedQuotas>,
    /// Retries granted to boxes of this hall.
    pub(super) retry_pool: Mutex<RetryPool>,
    /// Sends permit requests and responses, and delivers the responses of other boxes.
    pub permits: PermitTransport,
}

impl ServerGate {
    /// Creates a gate without any server notices.
    pub fn new(context: GateContext) -> Self {
        Self {
            context,
            notices: Mutex::default(),
            quotas: Mutex::default(),
            retry_pool: Mutex::default(),
            permits: PermitTransport::default(),
        }
    }

    /// Admits a call to its server, after waiting for the end of a pause or for quota if needed.
    ///
    /// # Errors
    ///
    /// The server accepts no call from this box at present.
    pub async fn admit_call(&self, call: &PendingCall<'_>) -> Result<Admitted, NotAdmitted> {
        let target = call.target;
        // A paused server is chosen only if no other one is available, so the call may wait.
        let pause = lock(&self.notices)
            .shedding
            .pause_remaining(self.now(), target.incarnation);
        // Even a zero-length sleep would last until the next timer tick.
        if !pause.is_zero() && pause <= call.max_wait {
            tokio::time::sleep(pause).await;
        }
        self.acquire_permit(call).await?;
        // The list, the notices and the evacuated halls may have changed while the call waited.
        let participants = || call.helpers.iter().chain([target]);
        if participants().any(|server| self.has_departed(server)) {
            notice_log::log_held_back(call, Availability::Leaving);
            return Err(NotAdmitted);
        }
        let now = self.now();
        let mut notices = lock(&self.notices);
        let announced = notices.availability(now, target.incarnation);
        let halls = participants().map(|server| &server.hall);
        let availability = self.availability_in(halls, announced);
        match availability {
            Availability::BackOff | Availability::Evacuated | Availability::Leaving => {
                notice_log::log_held_back(call, availability);
                Err(NotAdmitted)
            }
            Availability::Open
            | Availability::Limited
            | Availability::Shedding
            | Availability::Closed => {
                notices.shedding.record_sent(now, target.incarnation);
                Ok(Admitted(()))
            }
        }
    }

    /// Whether the server is leaving, gone or restarted according to the list.
    fn has_departed(&self, target: &Target) -> bool {
        let tracker = lock(&self.context.tracker);
        tracker
            .get(&target.name)
            .is_none_or(|record| record.info.leaving || record.incarnation != target.incarnation)
    }

    /// Obtains a permit if the server has a limit.
    async fn acquire_permit(&self, call: &PendingCall<'_>) -> Result<(), NotAdmitted> {
        let now = self.now();
        let target = call.target;
        let (limit, was_closed, is_cold) = {
            let notices = lock(&self.notices);
            let incarnation = target.incarnation;
            (
                notices.limit(now, incarnation),
                !notices.limits.closed_for(now, incarnation).is_zero(),
                notices.cold.limit(now, incarnation).is_some(),
            )
        };
        let Some(limit) = limit else {
            return Ok(());
        };
        // A closed server is chosen only if no other one is available, so the call may wait.
        let max_wait = if was_closed {
            call.max_wait
        } else {
            Duration::ZERO
        };
        let decision = self.request_permit(target, max_wait).await;
        notice_log::log_permit(call, limit, is_cold, decision);
        if let Ok(wait) = decision {
            tokio::time::sleep(wait).await;
        }
        decision.map(|_wait| ()).map_err(|_retry_in| NotAdmitted)
    }

    /// Admits a request that no caller waits for. It never waits for quota.
    ///
    /// # Errors
    ///
    /// The server accepts no call at present, or has no quota left.
    pub async fn admit_background(&self, target: &Target) -> Result<Admitted, NotAdmitted> {
        if !self.availability(target).accepts_calls() {
            return Err(NotAdmitted);
        }
        let limit = lock(&self.notices).limit(self.now(), target.incarnation);
        if limit.is_none() {
            return Ok(Admitted(()));
        }
        let decision = self.request_permit(target, Duration::ZERO).await;
        decision
            .map(|_wait| Admitted(()))
            .map_err(|_retry_in| NotAdmitted)
    }

    /// Admits an order that starts new work, such as a memory reservation. It is charged to the
    /// quota, but admitted even if that is used up.
    ///
    /// # Errors
    ///
    /// The server is leaving, its hall is evacuated, or it accepts nothing from this box at present.
    pub fn admit_order(&self, target: &Target) -> Result<Admitted, NotAdmitted> {
        if self.availability(target).accepts_chunks() {
            Ok(self.charge(target))
        } else {
            Err(NotAdmitted)
        }
    }

    /// Charges a request to the quota and admits it unconditionally, for requests that must not be
    /// delayed, such as the release of memory.
    pub fn charge(&self, target: &Target) -> Admitted {
        let now = self.now();
        let Some(rows) = lock(&self.notices).quota_rows(now, target.incarnation) else {
            return Admitted(());
        };
        match self.quota_owner(&target.hall, target.incarnation) {
            QuotaOwner::Local { shares } => {
                self.charge_owned(&target.hall, target.incarnation, shares);
            }
            QuotaOwner::Remote(address) => {
                let request = permit_request(target, rows, Duration::ZERO);
                self.permits.send(address, &PermitFrame::Charge(request));
            }
            QuotaOwner::Unknown => {}
        }
        Admitted(())
    }

    /// Whether the server may exit without having crashed: it is leaving, or its hall is evacuated.
    pub fn may_exit(&self, target: &Target) -> bool {
        match self.availability(target) {
            Availability::Evacuated | Availability::Leaving => true,
            Availability::Open
            | Availability::Limited
            | Availability::Shedding
            | Availability::Closed
            | Availability::BackOff => false,
        }
    }

    /// Availability of a server, see [`evacuated_halls::availability`].
    pub fn availability_in<'a>(
        &self,
        halls: impl IntoIterator<Item = &'a HallName>,
        announced: Availability,
    ) -> Availability {
        evacuated_halls::availability(&self.context.evacuated_halls.load(), halls, announced)
    }

    /// Whether the operator evacuates a hall.
    pub fn is_evacuated(&self, hall: &HallName) -> bool {
        self.context.evacuated_halls.load().contains(hall)
    }

    /// Whether a server accepts calls of this box, by what it announced.
    pub fn availability(&self, target: &Target) -> Availability {
        let announced = lock(&self.notices).availability(self.now(), target.incarnation);
        self.availability_in([&target.hall], announced)
    }

    pub(super) fn now(&self) -> Time {
        self.context.clock.now()
    }

    /// Owner of the quota of a server in a hall.
    fn quota_owner(&self, hall: &HallName, incarnation: ServerIncarnation) -> QuotaOwner {
        let now = self.now();
        let cold_limit = lock(&self.notices).cold.limit(now, incarnation);
        let cluster_view = lock(&self.context.cluster_view);
        cluster_view.quota_owner(now, &self.context.own, hall, cold_limit.is_some())
    }

    /// Requests a permit and returns how long the call has to wait. If the permit is denied,
    /// returns the time until a retry as the error, and closes the server to this box for that
    /// time.
    async fn request_permit(
        &self,
        target: &Target,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        let requested_at = self.now();
        let Some(rows) = lock(&self.notices).quota_rows(requested_at, target.incarnation) else {
            return Ok(Duration::ZERO);
        };
        let decision = match self.quota_owner(&target.hall, target.incarnation) {
            QuotaOwner::Local { shares } => {
                self.decide(&target.hall, target.incarnation, shares, max_wait)
            }
            QuotaOwner::Remote(address) => {
                let request = permit_request(target, rows, max_wait);
                let id = request.id;
                self.request_from_owner(address, id, PermitFrame::Request(request))
                    .await
            }
            QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        let retry_in = match decision {
            PermitDecision::Granted { after } => return Ok(Duration::from_micros(after.into())),
            PermitDecision::Full { retry_in } => Duration::from_micros(retry_in.into()),
            PermitDecision::NotOwner => OWNER_RETRY_DELAY,
        };
        lock(&self.notices)
            .limits
            .close(self.now(), target.incarnation, retry_in);
        Err(retry_in)
    }

    pub(super) async fn request_from_owner(
        &self,
        address: SocketAddr,
        id: u64,
        frame: PermitFrame,
    ) -> PermitDecision {
        for response_timeout in RESPONSE_TIMEOUTS {
            let response = self.permits.register(id);
            self.permits.send(address, &frame);
            if let Ok(Ok(decision)) = timeout(response_timeout, response).await {
                return decision;
            }
        }
        self.permits.cancel(id);
        counter!("badgerferry_limit_questions_lost_total").increment(1);
        tracing::info!(owner = %address, "a question for a limited server got no answer");
        PermitDecision::NotOwner
    }

    /// Decides on a permit for a server whose quota this box owns.
    fn decide(
        &self,
        hall: &HallName,
        incarnation: ServerIncarnation,
        shares: usize,
        max_wait: Duration,
    ) -> PermitDecision {
        let now = self.now();
        // A newer response, not yet known to the requesting box, may have lifted the limit.
        let Some(terms) = self.owned_terms(now, hall, incarnation, shares) else {
            return PermitDecision::Granted { after: 0 };
        };
        let taken = lock(&self.quotas).take(now, incarnation, terms, max_wait);
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        match taken {
            Ok(wait) => PermitDecision::Granted {
                after: micros(wait),
            },
            Err(exceeded) => PermitDecision::Full {
                retry_in: micros(exceeded.retry_in),
            },
        }
    }

    /// Handles a permit datagram of another box. Returns the response if it is a request.
    pub fn handle_datagram(&self, bytes: &[u8]) -> Option<PermitFrame> {
        match PermitFrame::decode(bytes) {
            Ok(PermitFrame::Request(request)) => {
                Some(PermitFrame::Response(self.respond(&request)))
            }
            Ok(PermitFrame::Retry(request)) => {
                Some(PermitFrame::Response(self.respond_to_retry(request)))
            }
            Ok(PermitFrame::Charge(request)) => {
                self.apply_charge(&request);
                None
            }
            Ok(PermitFrame::Response(response)) => {
                self.permits.deliver(response);
                None
            }
            Err(cause) => {
                counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                tracing::debug!(%cause, "permit datagram dropped");
                None
            }
        }
    }

    fn respond(&self, request: &PermitRequest) -> PermitResponse {
        let id = request.id;
        if let Some(decision) = lock(&self.quotas).cached_response(id) {
            return PermitResponse { id, decision };
        }
        self.merge_rows(&request.notices, "a question");
        let max_wait = Duration::from_millis(request.max_wait_ms.into());
        let decision = match self.quota_owner(&request.hall, request.incarnation) {
            QuotaOwner::Local { shares } => {
                self.decide(&request.hall, request.incarnation, shares, max_wait)
            }
            QuotaOwner::Remote(_) | QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        lock(&self.quotas).cache_response(id, decision);
        PermitResponse { id, decision }
    }

    fn apply_charge(&self, request: &PermitRequest) {
        self.merge_rows(&request.notices, "a question");
        if let QuotaOwner::Local { shares } = self.quota_owner(&request.hall, request.incarnation) {
            self.charge_owned(&request.hall, request.incarnation, shares);
        }
    }

    /// Charges a request to a quota that this box owns.
    fn charge_owned(&self, hall: &HallName, incarnation: ServerIncarnation, shares: usize) {
        let now = self.now();
        if let Some(terms) = self.owned_terms(now, hall, incarnation, shares) {
            lock(&self.quotas).charge(now, incarnation, terms);
        }
    }

    /// Terms for a server whose quota this box owns, with one of `shares` shares. For a cold server
    /// these are shares of its cold rate; a limit that it states is shared as for other servers.
    fn owned_terms(
        &self,
        now: Time,
        hall: &HallName,
        incarnation: ServerIncarnation,
        shares: usize,
    ) -> Option<QuotaTerms> {
        let own = &self.context.own;
        let owner = lock(&self.context.cluster_view).quota_owner(now, own, hall, false);
        let stated = match owner {
            QuotaOwner::Local { shares } => shares,
            QuotaOwner::Remote(_) | QuotaOwner::Unknown => shares,
        };
        let shares = QuotaShares {
            stated,
            cold: shares,
        };
        lock(&self.notices).quota_terms(now, incarnation, shares, self.context.cold_tolerance)
    }

    /// Records the notice in a server's response to the call with this ID, and announces changes to
    /// other boxes. See [`ServerNotices::record_response`] for `has_proof`.
    pub fn record_response(&self, id: &str, target: &Target, notice: &Notice, has_proof: bool) {
        notice_log::log_unreadable(id, target, notice);
        let now = self.now();
        let changes =
            lock(&self.notices).record_response(now, target.incarnation, notice, has_proof);
        notice_log::log_changes(&self.context.tracker, &changes, "an answer");
        if is_urgent(&changes) {
            self.context.urgent_changed.notify_one();
            self.context.hall_changed.notify_one();
        } else if !changes.shedding.is_empty() {
            self.context.load_changed.notify_one();
        }
    }

    /// Merges server notices gossiped by another box. Returns whether a server has turned cold.
    pub fn merge_rows(&self, rows: &NoticeRows, source: &str) -> bool {
        let changes = lock(&self.notices).merge_rows(self.now(), rows);
        notice_log::log_changes(&self.context.tracker, &changes, source);
        if is_urgent(&changes) {
            // The delegate of this hall informs the other halls.
            self.context.hall_changed.notify_one();
        }
        has_cold_news(&changes)
    }

    /// Records that a server wrote its entry to the store, see
    /// [`badgerferry_lib::relay::cold_servers::ColdServers::entry_written`].
    pub fn entry_written(&self, incarnation: ServerIncarnation) {
        lock(&self.notices).cold.entry_written(incarnation);
    }

    /// Learns from the listed entries which servers are cold. Returns the changes, which
    /// [`Self::report_cold`] logs once the names of new servers are known.
    pub fn learn_cold(
        &self,
        position: StorePosition,
        listed: impl IntoIterator<Item = ListedServer>,
    ) -> Vec<ColdChange> {
        let now = self.now();
        lock(&self.notices).cold.set_listed(now, position, listed)
    }

    /// Logs which servers became cold or warm, and announces the cold ones to other boxes.
    pub fn report_cold(&self, changes: Vec<ColdChange>, source: &str) {
        if changes.is_empty() {
            return;
        }
        let changes = NoticeChanges {
            cold: changes,
            ..NoticeChanges::default()
        };
        notice_log::log_changes(&self.context.tracker, &changes, source);
        if is_urgent(&changes) {
            self.context.urgent_changed.notify_one();
            self.context.hall_changed.notify_one();
        }
    }

    /// Logs servers that are warm again because their time has passed.
    pub fn expire_cold(&self) {
        let warmed = lock(&self.notices).cold.take_warmed(self.now());
        self.report_cold(warmed, "its time");
    }
}

/// Whether to inform other boxes at once, since each call that they send meanwhile is one too many.
/// A server that sheds load is reported with the next regular datagram.
fn is_urgent(changes: &NoticeChanges) -> bool {
    changes.limits.iter().any(|change| change.announce_now)
        || !changes.leaving.is_empty()
        || has_cold_news(changes)
}

fn has_cold_news(changes: &NoticeChanges) -> bool {
    changes.cold.iter().any(|change| !change.left.is_zero())
}

fn permit_request(target: &Target, notices: NoticeRows, max_wait: Duration) -> PermitRequest {
    PermitRequest {
        id: rand::random(),
        hall: target.hall.clone(),
        incarnation: target.incarnation,
        notices,
        max_wait_ms: max_wait.as_millis() as u32,
    }
}
