//! The one way to a backend server: whatever is sent there passes here, last before the send.
//!
//! What servers say of the calls they take is [`badgerferry_lib::relay::server_notices`]: one that leaves
//! gets nothing new, one that asked for a pause nothing until it is over, and one that names a limit no
//! more than that.
//!
//! Who gives out a limited server's calls is [`badgerferry_lib::relay::quota_owner`]; here it is asked, by
//! datagrams, and answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::availability::Availability;
use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::parsed_header::ParsedHeader;
use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::PermitRequest;
use badgerferry_lib::relay::permit_wire::PermitResponse;
use badgerferry_lib::relay::quota_owner::OwnedQuotas;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::server_limits::LimitChange;
use badgerferry_lib::relay::server_limits::LimitRow;
use badgerferry_lib::relay::server_notices::Notice;
use badgerferry_lib::relay::server_notices::NoticeChanges;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::server_notices::ServerNotices;
use badgerferry_lib::relay::server_tracker::ServerTracker;
use badgerferry_lib::time::Time;
use metrics::counter;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::relay::cluster_view::ClusterView;
use crate::relay::line_budget::GOOD_LINES;
use crate::relay::line_budget::LATE_LINES;
use crate::relay::permit_post::PermitPost;
use crate::traffic::lock;

/// Longest waits for an answer to a question, which is then asked again: halls are milliseconds apart,
/// regions some tens.
const ANSWER_LIMITS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(110)];
/// How long a server is closed whose keeper does not answer, or is not known yet.
pub const NO_KEEPER: Duration = Duration::from_millis(250);
/// Servers asked for one try of a call, each closed to this box since: where all are that slow to
/// answer, the call hears so.
pub const MOST_ASKED: usize = 8;
/// Longest wait of a call for its place at a limited server, where all are.
pub const MOST_PATIENCE: Duration = Duration::from_secs(1);

/// Allows one request to one server; only this module makes it.
#[derive(Debug)]
pub struct Pass(());

/// The server takes no request of this box now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// The server that a request is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub name: ServerName,
    /// The life of it that is meant.
    pub life: ServerIncarnation,
    /// Its data hall.
    pub hall: HallName,
}

/// A call that is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Entrant<'a> {
    /// Its id, for logs.
    pub id: &'a str,
    /// Where it is to go.
    pub target: &'a Target,
    /// How long it may wait for its place.
    pub patience: Duration,
}

/// What the gate shares with the rest of the box.
#[derive(Debug)]
pub struct GateParts {
    /// This box.
    pub own: String,
    /// The process's clock.
    pub clock: Clock,
    /// Which boxes live.
    pub cluster_view: Arc<Mutex<ClusterView>>,
    /// Names of servers.
    pub tracker: Arc<Mutex<ServerTracker>>,
    /// Wakes whoever tells the boxes of this hall.
    pub load_changed: Arc<Notify>,
    /// Wakes it at once.
    pub urgent_changed: Arc<Notify>,
    /// Wakes whoever tells other halls.
    pub hall_changed: Arc<Notify>,
}

/// The way to servers.
#[derive(Debug)]
pub struct ServerGate {
    parts: GateParts,
    /// What servers say of the calls they take.
    pub notices: Mutex<ServerNotices>,
    /// Counts of those whose calls this box gives out.
    quotas: Mutex<OwnedQuotas>,
    /// Questions for calls to them.
    pub permits: PermitPost,
}

impl ServerGate {
    /// A gate to which no server has said anything yet.
    pub fn new(parts: GateParts) -> Self {
        Self {
            parts,
            notices: Mutex::default(),
            quotas: Mutex::default(),
            permits: PermitPost::default(),
        }
    }

    /// Lets a call to its server, at once where that says nothing against it.
    ///
    /// # Errors
    ///
    /// The server takes no call of this box now.
    pub async fn enter(&self, entrant: &Entrant<'_>) -> Result<Pass, Closed> {
        let target = entrant.target;
        // It was chosen though it wants no call yet: there is no other one.
        let pause = lock(&self.notices)
            .shedding
            .pause_remaining(self.now(), target.life);
        // A timer of no time still ends with the next tick.
        if !pause.is_zero() && pause <= entrant.patience {
            tokio::time::sleep(pause).await;
        }
        self.take_limited(entrant).await?;
        // What it says may have changed while the call waited.
        let now = self.now();
        let mut notices = lock(&self.notices);
        let availability = notices.availability(now, target.life);
        match availability {
            Availability::BackOff | Availability::Leaving => {
                held_back(entrant, availability);
                Err(Closed)
            }
            Availability::Open
            | Availability::Limited
            | Availability::Shedding
            | Availability::Closed => {
                notices.shedding.record_sent(now, target.life);
                Ok(Pass(()))
            }
        }
    }

    /// Takes a place at a server that names a limit.
    async fn take_limited(&self, entrant: &Entrant<'_>) -> Result<(), Closed> {
        let now = self.now();
        let target = entrant.target;
        let (limit, was_closed) = {
            let limits = &lock(&self.notices).limits;
            let life = target.life;
            (limits.limit(life), !limits.closed_for(now, life).is_zero())
        };
        let Some(limit) = limit else {
            return Ok(());
        };
        // It was chosen though it is closed: there is no other one.
        let patience = if was_closed {
            entrant.patience
        } else {
            Duration::ZERO
        };
        let decision = self.ask(target, patience).await;
        log_asked(entrant, limit, decision);
        if let Ok(wait) = decision {
            tokio::time::sleep(wait).await;
        }
        decision.map(|_wait| ()).map_err(|_retry_in| Closed)
    }

    /// Lets a request to a server that nobody waits for.
    ///
    /// # Errors
    ///
    /// It takes none now.
    pub async fn enter_idle(&self, target: &Target) -> Result<Pass, Closed> {
        if !self.availability(target).accepts_calls() {
            return Err(Closed);
        }
        if lock(&self.notices).limits.limit(target.life).is_none() {
            return Ok(Pass(()));
        }
        let decision = self.ask(target, Duration::ZERO).await;
        decision.map(|_wait| Pass(())).map_err(|_retry_in| Closed)
    }

    /// Lets an order go that begins something new.
    ///
    /// # Errors
    ///
    /// The server leaves, or wants nothing of this box now.
    pub fn enter_order(&self, target: &Target) -> Result<Pass, Closed> {
        if self.availability(target).accepts_chunks() {
            Ok(self.charge(target))
        } else {
            Err(Closed)
        }
    }

    /// Lets a request go that can't be held back, as what gives memory back can't; it counts.
    pub fn charge(&self, target: &Target) -> Pass {
        let now = self.now();
        let limit_row = lock(&self.notices).limits.row_of(now, target.life);
        let Some((limit_row, limit)) =
            limit_row.and_then(|limit_row| Some((limit_row, limit_row.rate?)))
        else {
            return Pass(());
        };
        match self.keeper(&target.hall) {
            QuotaOwner::Local { shares } => {
                lock(&self.quotas).charge(now, target.life, limit.divided_by(shares));
            }
            QuotaOwner::Remote(address) => {
                let ask = question(target, limit_row, Duration::ZERO);
                self.permits.send(address, &PermitFrame::Charge(ask));
            }
            QuotaOwner::Unknown => {}
        }
        Pass(())
    }

    /// Whether the server said that it leaves.
    pub fn leaves(&self, target: &Target) -> bool {
        self.availability(target) == Availability::Leaving
    }

    fn availability(&self, target: &Target) -> Availability {
        lock(&self.notices).availability(self.now(), target.life)
    }

    fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// Who gives out the calls of limited servers of a hall.
    fn keeper(&self, hall: &HallName) -> QuotaOwner {
        lock(&self.parts.cluster_view).quota_owner(self.now(), &self.parts.own, hall)
    }

    /// Asks for a call; gives back how long it must wait, or when there is room. Then the server is
    /// closed to this box until that time.
    async fn ask(&self, target: &Target, patience: Duration) -> Result<Duration, Duration> {
        let asked = self.now();
        let Some(limit_row) = lock(&self.notices).limits.row_of(asked, target.life) else {
            return Ok(Duration::ZERO);
        };
        let decision = match self.keeper(&target.hall) {
            QuotaOwner::Local { shares } => self.decide(target.life, shares, patience),
            QuotaOwner::Remote(address) => {
                self.ask_keeper(address, question(target, limit_row, patience))
                    .await
            }
            QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        let retry_in = match decision {
            PermitDecision::Granted { after } => return Ok(Duration::from_micros(after.into())),
            PermitDecision::Full { retry_in } => Duration::from_micros(retry_in.into()),
            PermitDecision::NotOwner => NO_KEEPER,
        };
        lock(&self.notices)
            .limits
            .close(self.now(), target.life, retry_in);
        Err(retry_in)
    }

    async fn ask_keeper(&self, address: SocketAddr, ask: PermitRequest) -> PermitDecision {
        let id = ask.id;
        let frame = PermitFrame::Request(ask);
        for limit in ANSWER_LIMITS {
            let answer = self.permits.expect(id);
            self.permits.send(address, &frame);
            if let Ok(Ok(decision)) = timeout(limit, answer).await {
                return decision;
            }
        }
        self.permits.forget(id);
        counter!("badgerferry_limit_questions_lost_total").increment(1);
        tracing::info!(keeper = %address, "a question for a limited server got no answer");
        PermitDecision::NotOwner
    }

    /// Decides on a call to a server whose calls this box gives out.
    fn decide(&self, life: ServerIncarnation, shares: usize, patience: Duration) -> PermitDecision {
        let now = self.now();
        // Its limit may be over by a newer answer than the asking box knows of.
        let Some(limit) = lock(&self.notices).limits.limit(life) else {
            return PermitDecision::Granted { after: 0 };
        };
        let taken = lock(&self.quotas).take(now, life, limit.divided_by(shares), patience);
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        match taken {
            Ok(wait) => PermitDecision::Granted {
                after: micros(wait),
            },
            Err(full) => PermitDecision::Full {
                retry_in: micros(full.retry_in),
            },
        }
    }

    /// Takes a datagram of another box; gives back the answer to it, if it asks for one.
    pub fn heard(&self, bytes: &[u8]) -> Option<PermitFrame> {
        match PermitFrame::decode(bytes) {
            Ok(PermitFrame::Request(ask)) => Some(PermitFrame::Response(self.answer(&ask))),
            Ok(PermitFrame::Charge(ask)) => {
                self.charged(&ask);
                None
            }
            Ok(PermitFrame::Response(answer)) => {
                self.permits.take(answer);
                None
            }
            Err(cause) => {
                counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                tracing::debug!(%cause, "a datagram was dropped");
                None
            }
        }
    }

    fn answer(&self, ask: &PermitRequest) -> PermitResponse {
        let id = ask.id;
        if let Some(decision) = lock(&self.quotas).cached_response(id) {
            return PermitResponse { id, decision };
        }
        self.take_limit(ask.limit_row);
        let patience = Duration::from_millis(ask.max_wait_ms.into());
        let decision = match self.keeper(&ask.hall) {
            QuotaOwner::Local { shares } => {
                self.decide(ask.limit_row.incarnation, shares, patience)
            }
            QuotaOwner::Remote(_) | QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        lock(&self.quotas).cache_response(id, decision);
        PermitResponse { id, decision }
    }

    fn charged(&self, ask: &PermitRequest) {
        self.take_limit(ask.limit_row);
        let now = self.now();
        let limit = lock(&self.notices).limits.limit(ask.limit_row.incarnation);
        if let (Some(limit), QuotaOwner::Local { shares }) = (limit, self.keeper(&ask.hall)) {
            lock(&self.quotas).charge(now, ask.limit_row.incarnation, limit.divided_by(shares));
        }
    }

    /// Takes what a server's answer to the call of this id says of it.
    pub fn answered(&self, id: &str, target: &Target, notice: &Notice, has_proof: bool) {
        log_unreadable(id, target, notice);
        let now = self.now();
        let changes = lock(&self.notices).record_response(now, target.life, notice, has_proof);
        self.log_changes(&changes, "an answer");
        if is_urgent(&changes) {
            self.parts.urgent_changed.notify_one();
            self.parts.hall_changed.notify_one();
        } else if !changes.shedding.is_empty() {
            self.parts.load_changed.notify_one();
        }
    }

    /// Takes what another box tells of servers.
    pub fn merge_rows(&self, rows: &NoticeRows, source: &str) {
        let changes = lock(&self.notices).merge_rows(self.now(), rows);
        self.log_changes(&changes, source);
        if is_urgent(&changes) {
            // Other halls are told by whoever speaks for this one.
            self.parts.hall_changed.notify_one();
        }
    }

    /// Takes the limit that a question tells of.
    fn take_limit(&self, row: LimitRow) {
        let rows = NoticeRows {
            limits: vec![row],
            ..NoticeRows::default()
        };
        self.merge_rows(&rows, "a question");
    }

    fn log_changes(&self, changes: &NoticeChanges, source: &str) {
        let limits = changes.limits.iter().filter(|change| change.announce_now);
        limits.for_each(|change| self.log(change, source));
        for (lives, message) in [
            (&changes.leaving, "server leaves"),
            (&changes.shedding, "server sheds load"),
            (&changes.recovered, "server takes calls again"),
        ] {
            for life in lives {
                let server = lock(&self.parts.tracker).name_of(*life);
                let server = server.map(tracing::field::display);
                let life = format!("{:016x}", life.0);
                tracing::info!(server, life, source, message);
            }
        }
    }

    fn log(&self, change: &LimitChange, source: &str) {
        let server = lock(&self.parts.tracker).name_of(change.incarnation);
        let server = server.map(tracing::field::display);
        let life = format!("{:016x}", change.incarnation.0);
        let before = change.before.map(CallRate::calls_per_second);
        if let Some(rate) = change.after {
            let limit = rate.calls_per_second();
            tracing::info!(server, life, limit, before, source, "server names a limit");
        } else {
            tracing::info!(
                server,
                life,
                before,
                source,
                "server names no limit any more"
            );
        }
    }
}

/// Whether other boxes are to know at once: each call there is one too many. Of a server that sheds
/// they hear with the next datagram.
fn is_urgent(changes: &NoticeChanges) -> bool {
    changes.limits.iter().any(|change| change.announce_now) || !changes.leaving.is_empty()
}

fn question(target: &Target, limit_row: LimitRow, patience: Duration) -> PermitRequest {
    PermitRequest {
        id: rand::random(),
        hall: target.hall.clone(),
        limit_row,
        max_wait_ms: patience.as_millis() as u32,
    }
}

/// A call was chosen for a server that takes none, and is chosen for another one.
fn held_back(entrant: &Entrant<'_>, availability: Availability) {
    let why = match availability {
        Availability::Leaving => "leaving",
        Availability::BackOff => "back_off",
        Availability::Open
        | Availability::Limited
        | Availability::Shedding
        | Availability::Closed => "closed",
    };
    counter!("badgerferry_calls_held_back_total", "why" => why).increment(1);
    tracing::info!(
        call = entrant.id,
        server = %entrant.target.name,
        why,
        "call held back from a server"
    );
}

/// Headers of a server that are there and can't be read.
fn log_unreadable(id: &str, target: &Target, notice: &Notice) {
    let unreadable = [
        ("server-limit", notice.limit == ParsedHeader::Unreadable),
        ("server-leaving", notice.leaving == ParsedHeader::Unreadable),
        (
            "retry-after",
            notice.retry_after == ParsedHeader::Unreadable,
        ),
    ];
    for (header, _) in unreadable.iter().filter(|(_, is_so)| *is_so) {
        counter!("badgerferry_headers_unreadable_total", "header" => *header).increment(1);
        tracing::info!(call = id, server = %target.name, header, "a server's header can't be read");
    }
}

/// A limited server was asked for: how long the call waits for its place, or when there is room.
fn log_asked(entrant: &Entrant<'_>, limit: CallRate, decision: Result<Duration, Duration>) {
    let (outcome, lines) = match decision {
        Ok(_) => ("granted", &GOOD_LINES),
        Err(_) => ("full", &LATE_LINES),
    };
    counter!("badgerferry_limited_calls_total", "outcome" => outcome).increment(1);
    if !lines.take() {
        return;
    }
    tracing::info!(
        call = entrant.id,
        server = %entrant.target.name,
        limit = limit.calls_per_second(),
        outcome,
        wait_ms = decision.ok().map(|wait| wait.as_millis() as u64),
        room_in_ms = decision.err().map(|retry_in| retry_in.as_millis() as u64),
        "limited server asked for"
    );
}
