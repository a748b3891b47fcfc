//! Memory reservations for a prompt that needs the memory of several engines, made at all of them
//! or at none.
//!
//! A reservation has a short TTL and is renewed while it is in use, so that reservations of a
//! failed box expire soon. It is released on every exit path. An engine may carry out an order late
//! if its response was lost, also after the release; such a reservation expires by its TTL.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_platform::orders;
use badgerferry_platform::orders::ReservationResult;
use badgerferry_platform::orders::ServerQuery;
use badgerferry_platform::settings_file::BoxSettings;
use futures::future::join_all;
use http::StatusCode;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::listed_server::ListedServer;
use crate::relay::server_gate::Admitted;
use crate::relay::server_query;
use crate::relay::state::Relay;

/// Time until a reservation expires without renewal; memory held longer counts as leaked.
const RESERVATION_TTL: Duration = Duration::from_secs(3);
/// Interval between renewals; a reservation in use survives the loss of two.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to release memory at an engine that does not respond.
const RELEASE_ATTEMPTS: u32 = 3;

/// Time until a reservation expires without renewal, as far as the settings allow.
pub fn reservation_ttl(settings: &BoxSettings) -> Duration {
    RESERVATION_TTL.min(settings.max_reservation_time)
}

/// Memory reserved at several engines; renewed until dropped, then released.
#[derive(Debug)]
pub struct Reservations {
    id: String,
    relay: Arc<Relay>,
    engines: Arc<Vec<(ListedServer, u64)>>,
    renewal: AbortHandle,
}

impl Reservations {
    /// Reserves the given number of tokens at every engine, or at none.
    ///
    /// # Errors
    ///
    /// Addresses of the engines that did not reserve the memory, each with the cause.
    pub async fn reserve(
        call: &Arc<Call>,
        requested: Vec<(ListedServer, u64)>,
    ) -> Result<Self, Vec<(String, ReserveError)>> {
        // No order is sent, so that none has to be released either.
        let is_evacuated =
            |(engine, _): &&(ListedServer, u64)| call.relay.gate.is_evacuated(&engine.target.hall);
        let evacuated = requested.iter().filter(is_evacuated);
        let evacuated: Vec<_> = evacuated
            .map(|(engine, _)| (engine.address.clone(), ReserveError::Evacuated))
            .collect();
        if !evacuated.is_empty() {
            tracing::info!(
                call = call.id(),
                engines = evacuated.len(),
                "memory reservation not requested: engines in an evacuated hall"
            );
            return Err(evacuated);
        }
        let id = format!("{:016x}", rand::random::<u64>());
        let ttl = reservation_ttl(&call.relay.settings);
        let relay = &call.relay;
        let engines = Arc::new(requested);
        // Created before the orders are sent, so that its drop releases the memory on every exit
        // path, including cancellation when the caller disconnects.
        let reserved = Self {
            renewal: tokio::spawn(renew(
                Arc::clone(relay),
                id.clone(),
                Arc::clone(&engines),
                ttl,
            ))
            .abort_handle(),
            relay: Arc::clone(relay),
            id,
            engines,
        };
        let orders = reserved.engines.iter().map(async |(engine, tokens)| {
            let admitted = relay.gate.admit_order(&engine.target).ok()?;
            send_order(
                relay,
                engine,
                orders::reserve(&reserved.id, *tokens, ttl),
                admitted,
            )
            .await
        });
        let statuses = join_all(orders).await;
        let refused = statuses.into_iter().zip(reserved.engines.iter());
        let refused: Vec<(String, ReserveError)> = refused
            .filter_map(|(status, (engine, _))| {
                Some((engine.address.clone(), reserve_error(status)?))
            })
            .collect();
        tracing::info!(
            call = call.id(),
            reservation = reserved.id,
            engines = reserved.engines.len(),
            refused = refused.len(),
            first_refused = refused.first().map(|(address, _)| address),
            why = refused.first().map(|(_, why)| format!("{why:?}")),
            "memory reservation requested"
        );
        if refused.is_empty() {
            Ok(reserved)
        } else {
            Err(refused)
        }
    }

    /// Reservation id, the same at every engine.
    pub fn id(&self) -> &str {
        &self.id
    }
}

/// Why an engine reserved no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveError {
    /// Not enough free memory at the moment.
    NoRoom,
    /// The engine accepts no reservations, or none of this size.
    Refused,
    /// The data hall of the engine is evacuated.
    Evacuated,
    /// The engine did not respond, or the request was not admitted to it.
    Silent,
}

fn reserve_error(status: Option<StatusCode>) -> Option<ReserveError> {
    match status.map(orders::reservation_result) {
        Some(ReservationResult::Held) => None,
        Some(ReservationResult::NoRoom) => Some(ReserveError::NoRoom),
        Some(ReservationResult::Refused) => Some(ReserveError::Refused),
        None => Some(ReserveError::Silent),
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        self.renewal.abort();
        let (relay, id) = (Arc::clone(&self.relay), self.id.clone());
        let engines = Arc::clone(&self.engines);
        tokio::spawn(async move {
            let releases = engines
                .iter()
                .map(|(engine, _)| release(&relay, engine, &id));
            join_all(releases).await;
        });
    }
}

async fn renew(
    relay: Arc<Relay>,
    id: String,
    engines: Arc<Vec<(ListedServer, u64)>>,
    ttl: Duration,
) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        let orders = engines.iter().map(|(engine, tokens)| {
            charge_and_send(&relay, engine, orders::reserve(&id, *tokens, ttl))
        });
        for ((engine, _), status) in engines.iter().zip(join_all(orders).await) {
            if status.is_none() {
                let address = &engine.address;
                tracing::warn!(reservation = id, address, "reservation renewal unanswered");
            }
        }
    }
}

async fn release(relay: &Relay, engine: &ListedServer, id: &str) {
    for _ in 0..RELEASE_ATTEMPTS {
        let status = charge_and_send(relay, engine, orders::release(id)).await;
        if status.is_some() {
            return;
        }
    }
    tracing::warn!(
        reservation = id,
        address = engine.address,
        "reservation release unanswered; memory stays reserved until it expires"
    );
}

/// Sends a renewal or a release, charged to the engine's quota but never delayed by it: a delayed
/// release would leave memory reserved, and a delayed renewal would lose memory that is in use.
async fn charge_and_send(
    relay: &Relay,
    engine: &ListedServer,
    call: ServerQuery,
) -> Option<StatusCode> {
    send_order(relay, engine, call, relay.gate.charge(&engine.target)).await
}

/// Sends an order on a connection of its own; `None` if there is no response.
async fn send_order(
    relay: &Relay,
    engine: &ListedServer,
    call: ServerQuery,
    admitted: Admitted,
) -> Option<StatusCode> {
    let address = &engine.address;
    match timeout(
        ORDER_TIMEOUT,
        server_query::exchange(&engine.destination(relay), call, admitted),
    )
    .await
    {
        Ok(Ok(response)) => Some(response.status()),
        Ok(Err(cause)) => {
            tracing::info!(address, cause = format!("{cause:#}"), "engine order failed");
            None
        }
        Err(_elapsed) => {
            tracing::info!(address, "engine order timed out");
            None
        }
    }
}
