//! Asks engines how they stand, and renews what this box holds there.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::engine::Engine;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::server_view::ServerInfo;
use badgerferry_lib::server_view::ServerKind;
use badgerferry_lib::server_view::ServerView;
use badgerferry_lib::time::Time;
use futures::future::join_all;

use crate::traffic::Traffic;
use crate::traffic::lock;

/// Shortest time between two reports of one engine.
const LEAST_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of one report with its HTTP around it, as measured on loopback.
const REPORT_BYTES: u64 = 550;
/// Bytes a second that this box spends on reports; half of control's whole budget.
const BYTES_PER_S: u64 = 1_000;
/// Renewals within the life of what is held, so that one may be lost.
const RENEWALS_PER_TTL: u32 = 3;
/// Younger work is never freed by a renewal; longer than any call's time limit.
const SPARE_YOUNGER: Duration = Duration::from_secs(5);

/// Asks until the process ends.
///
/// The hall's own engines are asked in each round, those of other halls one a round: work
/// goes there only if the hall's own can't take it, and for that an old report is enough.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut asked_all = BTreeSet::new();
    for round in 0_usize.. {
        let (own, others) = engines(traffic);
        let turn = others.get(round % others.len().max(1));
        let unknown = others
            .iter()
            .filter(|engine| !asked_all.contains(&engine.name));
        let mut asked: Vec<_> = own.iter().chain(turn).chain(unknown).collect();
        asked.dedup_by_key(|engine| engine.name.clone());
        join_all(asked.iter().map(|engine| ask(traffic, engine))).await;
        asked_all.extend(asked.iter().map(|engine| engine.name.clone()));
        tokio::time::sleep(interval(own.len() + usize::from(turn.is_some()))).await;
    }
}

/// Time between readings that keeps within the byte budget.
fn interval(engines: usize) -> Duration {
    let bytes = engines as u64 * REPORT_BYTES;
    Duration::from_millis(bytes * 1_000 / BYTES_PER_S).max(LEAST_INTERVAL)
}

/// The live engines of this data hall, and those of others.
fn engines(traffic: &Traffic) -> (Vec<ServerInfo>, Vec<ServerInfo>) {
    let dispatcher = traffic.dispatcher();
    let infos = dispatcher.servers().iter().map(ServerView::info);
    let engines = infos.filter(|info| info.kind == ServerKind::Engine && !info.leaving);
    engines
        .cloned()
        .partition(|info| info.hall == traffic.config.hall)
}

async fn ask(traffic: &Traffic, engine: &ServerInfo) {
    let asked_at = traffic.clock.now();
    let Ok(answer) = traffic.engine.report(&engine.address).await else {
        // Silence ages the report; the breaker judges by work, not by reports.
        return;
    };
    let age = Duration::from_millis(answer.age_ms);
    let taken_at = Time::from_micros(asked_at.as_micros().saturating_sub(age.as_micros() as u64));
    let mut dispatcher = traffic.dispatcher();
    dispatcher.on_report(&engine.name, answer.report, taken_at);
}

/// Renews until the process ends.
pub async fn renew_holdings(traffic: &Arc<Traffic>) {
    loop {
        let ttl = holding_ttl(traffic);
        let rows = take_holdings(traffic);
        let calls = rows
            .iter()
            .map(|(server, keep)| renew(traffic, server, keep, ttl));
        join_all(calls).await;
        tokio::time::sleep(ttl / RENEWALS_PER_TTL).await;
    }
}

fn holding_ttl(traffic: &Traffic) -> Duration {
    const BEFORE_SETTINGS: Duration = Duration::from_secs(15);
    let view = traffic.settings.load();
    view.as_ref()
        .map_or(BEFORE_SETTINGS, |view| view.routing.holding_ttl)
}

/// What is held by server. A server at which nothing is held any more is renewed for one
/// more life, which makes good whatever cancel or release was lost.
fn take_holdings(traffic: &Traffic) -> Vec<(ServerName, BTreeSet<AttemptId>)> {
    let mut holdings = lock(&traffic.holdings);
    let rows = holdings.by_server.iter();
    let rows = rows
        .map(|(server, row)| (server.clone(), row.attempts.clone()))
        .collect();
    for row in holdings.by_server.values_mut() {
        row.empty_renewals = if row.attempts.is_empty() {
            row.empty_renewals + 1
        } else {
            0
        };
    }
    holdings
        .by_server
        .retain(|_, row| row.empty_renewals <= RENEWALS_PER_TTL);
    rows
}

async fn renew(traffic: &Traffic, server: &ServerName, keep: &BTreeSet<AttemptId>, ttl: Duration) {
    let Some(address) = traffic.address_of(server) else {
        return;
    };
    let asked = RenewRequest {
        owner: traffic.owner.clone(),
        ttl_ms: ttl.as_millis() as u64,
        keep: keep.iter().copied().collect(),
        spare_younger_ms: SPARE_YOUNGER.as_millis() as u64,
    };
    if let Err(cause) = traffic.engine.renew(&address, &asked).await {
        tracing::debug!(server = %server, cause = %cause, "renewal failed");
    }
}
