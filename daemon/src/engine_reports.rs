//! Polls the state reports of engines and renews this box's attempts and reservations there.

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

/// Minimum interval between two reports of one engine.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Size of one report exchange including HTTP headers, in bytes, on loopback.
const REPORT_BYTES: u64 = 550;
/// Bandwidth budget of this box for reports, in bytes per second; half of its budget for all control
/// traffic.
const REPORT_BYTES_PER_S: u64 = 1_000;
/// Renewals per TTL; more than one, so that nothing expires if a renewal is lost.
const RENEWALS_PER_TTL: u32 = 3;
/// Minimum age of an attempt or reservation that a renewal may free. Longer than the time limit of
/// any control call, so that a renewal sent before an attempt began can't free it on late arrival.
const RENEWAL_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Polls engines until the process ends.
///
/// Each round polls all engines of this hall, one engine of the other halls in rotation, and all
/// engines that were never polled. Requests go to other halls only if this hall has no capacity,
/// and for that an old report is sufficient.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut polled_before = BTreeSet::new();
    for round in 0_usize.. {
        let (own_hall, other_halls) = engines_by_hall(traffic);
        let rotating = other_halls.get(round % other_halls.len().max(1));
        let never_polled = other_halls
            .iter()
            .filter(|engine| !polled_before.contains(&engine.name));
        let mut polled: Vec<_> = own_hall
            .iter()
            .chain(rotating)
            .chain(never_polled)
            .collect();
        polled.dedup_by_key(|engine| engine.name.clone());
        join_all(polled.iter().map(|engine| poll(traffic, engine))).await;
        polled_before.extend(polled.iter().map(|engine| engine.name.clone()));
        tokio::time::sleep(poll_interval(
            own_hall.len() + usize::from(rotating.is_some()),
        ))
        .await;
    }
}

/// Returns the pause after a round that keeps the reports within the bandwidth budget.
fn poll_interval(engines: usize) -> Duration {
    let bytes = engines as u64 * REPORT_BYTES;
    Duration::from_millis(bytes * 1_000 / REPORT_BYTES_PER_S).max(MIN_POLL_INTERVAL)
}

/// Returns the engines of this hall and those of other halls, without those that are leaving.
fn engines_by_hall(traffic: &Traffic) -> (Vec<ServerInfo>, Vec<ServerInfo>) {
    let dispatcher = traffic.dispatcher();
    let servers = dispatcher.servers().iter().map(ServerView::info);
    let engines = servers.filter(|info| info.kind == ServerKind::Engine && !info.leaving);
    engines
        .cloned()
        .partition(|info| info.hall == traffic.config.hall)
}

async fn poll(traffic: &Traffic, engine: &ServerInfo) {
    let requested_at = traffic.clock.now();
    let Ok(response) = traffic.engine.report(&engine.address).await else {
        // The last report ages; circuit breakers count failures of requests, not of reports.
        return;
    };
    let age = Duration::from_millis(response.age_ms);
    let taken_at = Time::from_micros(
        requested_at
            .as_micros()
            .saturating_sub(age.as_micros() as u64),
    );
    let mut dispatcher = traffic.dispatcher();
    dispatcher.on_report(&engine.name, response.report, taken_at);
}

/// Renews attempts and reservations at engines until the process ends.
pub async fn renew_holdings(traffic: &Arc<Traffic>) {
    loop {
        let ttl = holding_ttl(traffic);
        let renewals = next_renewals(traffic);
        let calls = renewals
            .iter()
            .map(|(server, keep)| renew(traffic, server, keep, ttl));
        join_all(calls).await;
        tokio::time::sleep(ttl / RENEWALS_PER_TTL).await;
    }
}

fn holding_ttl(traffic: &Traffic) -> Duration {
    const DEFAULT_TTL: Duration = Duration::from_secs(15);
    let view = traffic.settings.load();
    view.as_ref()
        .map_or(DEFAULT_TTL, |view| view.routing.holding_ttl)
}

/// Returns the attempts to renew, by server. A server without any is still renewed for one TTL:
/// such an empty renewal frees what a lost cancel or release left behind.
fn next_renewals(traffic: &Traffic) -> Vec<(ServerName, BTreeSet<AttemptId>)> {
    let mut holdings = lock(&traffic.holdings);
    let renewals = holdings.by_server.iter();
    let renewals = renewals
        .map(|(server, holding)| (server.clone(), holding.attempts.clone()))
        .collect();
    for holding in holdings.by_server.values_mut() {
        holding.empty_renewals = if holding.attempts.is_empty() {
            holding.empty_renewals + 1
        } else {
            0
        };
    }
    holdings
        .by_server
        .retain(|_, holding| holding.empty_renewals <= RENEWALS_PER_TTL);
    renewals
}

async fn renew(traffic: &Traffic, server: &ServerName, keep: &BTreeSet<AttemptId>, ttl: Duration) {
    let Some(address) = traffic.address_of(server) else {
        return;
    };
    let request = RenewRequest {
        owner: traffic.owner.clone(),
        ttl_ms: ttl.as_millis() as u64,
        keep: keep.iter().copied().collect(),
        spare_younger_ms: RENEWAL_GRACE_PERIOD.as_millis() as u64,
    };
    if let Err(cause) = traffic.engine.renew(&address, &request).await {
        tracing::debug!(server = %server, cause = %cause, "renewal failed");
    }
}
