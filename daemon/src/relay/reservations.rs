//! Memory set aside at several engines for one prompt: all of it or none.
//!
//! A reservation is held briefly and renewed while it is used, so that what a dead box leaves
//! behind lapses soon. It is given back on every way out; an order whose answer was lost may
//! still be carried out later, and lapses by its own hold time.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_platform::orders;
use badgerferry_platform::orders::EngineCall;
use badgerferry_platform::orders::Reserved;
use futures::future::join_all;
use http::StatusCode;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::relay::call::Call;
use crate::relay::engine_call;
use crate::relay::engines::Engine;
use crate::relay::server_gate::Admitted;
use crate::relay::state::Relay;

/// How long memory is set aside without renewal; what lapses later counts as leaked.
const HOLD: Duration = Duration::from_secs(3);
/// Between renewals; two may be lost before memory lapses under a call.
const RENEW: Duration = Duration::from_secs(1);
/// Longest wait for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// Times that memory is given back where the engine does not answer.
const RELEASE_TRIES: u32 = 3;

/// Memory held until dropped.
#[derive(Debug)]
pub struct Reservations {
    id: String,
    relay: Arc<Relay>,
    engines: Arc<Vec<(Engine, u64)>>,
    renewal: AbortHandle,
}

impl Reservations {
    /// Sets memory aside at each address, or nowhere.
    ///
    /// # Errors
    ///
    /// Which engines did not set it aside, and why.
    pub async fn make(
        call: &Arc<Call>,
        wanted: Vec<(Engine, u64)>,
    ) -> Result<Self, Vec<(String, NotReserved)>> {
        let id = format!("{:016x}", rand::random::<u64>());
        let hold = HOLD.min(call.relay.settings.longest_hold);
        let relay = &call.relay;
        let engines = Arc::new(wanted);
        // Dropped on any way out, also when the caller leaves meanwhile.
        let reserved = Self {
            renewal: tokio::spawn(renew(
                Arc::clone(relay),
                id.clone(),
                Arc::clone(&engines),
                hold,
            ))
            .abort_handle(),
            relay: Arc::clone(relay),
            id,
            engines,
        };
        let orders = reserved.engines.iter().map(async |(engine, tokens)| {
            let admitted = relay.gate.admit_order(&engine.target).ok()?;
            give(
                engine,
                orders::reserve(&reserved.id, *tokens, hold),
                admitted,
            )
            .await
        });
        let answers = join_all(orders).await;
        let refused = answers.into_iter().zip(reserved.engines.iter());
        let refused: Vec<(String, NotReserved)> = refused
            .filter_map(|(answer, (engine, _))| {
                Some((engine.address.clone(), not_reserved(answer)?))
            })
            .collect();
        tracing::info!(
            call = call.id(),
            reservation = reserved.id,
            engines = reserved.engines.len(),
            refused = refused.len(),
            first_refused = refused.first().map(|(address, _)| address),
            why = refused.first().map(|(_, why)| format!("{why:?}")),
            "memory asked for"
        );
        if refused.is_empty() {
            Ok(reserved)
        } else {
            Err(refused)
        }
    }

    /// Its id, the same at each engine.
    pub fn id(&self) -> &str {
        &self.id
    }
}

/// Why an engine set no memory aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReserved {
    /// It has no room now.
    NoRoom,
    /// It takes no reservations, or none so large.
    Refused,
    /// It did not answer.
    Silent,
}

fn not_reserved(answer: Option<StatusCode>) -> Option<NotReserved> {
    match answer.map(orders::read_reserved) {
        Some(Reserved::Held) => None,
        Some(Reserved::NoRoom) => Some(NotReserved::NoRoom),
        Some(Reserved::Impossible) => Some(NotReserved::Refused),
        None => Some(NotReserved::Silent),
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

async fn renew(relay: Arc<Relay>, id: String, engines: Arc<Vec<(Engine, u64)>>, hold: Duration) {
    loop {
        tokio::time::sleep(RENEW).await;
        let orders = engines
            .iter()
            .map(|(engine, tokens)| order(&relay, engine, orders::reserve(&id, *tokens, hold)));
        for ((engine, _), answer) in engines.iter().zip(join_all(orders).await) {
            if answer.is_none() {
                let address = &engine.address;
                tracing::warn!(reservation = id, address, "a renewal got no answer");
            }
        }
    }
}

async fn release(relay: &Relay, engine: &Engine, id: &str) {
    for _ in 0..RELEASE_TRIES {
        let answer = order(relay, engine, orders::release(id)).await;
        if answer.is_some() {
            return;
        }
    }
    tracing::warn!(
        reservation = id,
        address = engine.address,
        "memory lapses by itself: no answer to its release"
    );
}

/// Renews or gives back. A limited engine counts it: held back, it would leave memory set aside, or
/// lose it under a prompt.
async fn order(relay: &Relay, engine: &Engine, call: EngineCall) -> Option<StatusCode> {
    give(engine, call, relay.gate.charge(&engine.target)).await
}

/// Gives an order on a connection of its own; no answer gives nothing.
async fn give(engine: &Engine, call: EngineCall, admitted: Admitted) -> Option<StatusCode> {
    let address = &engine.address;
    match timeout(ORDER_LIMIT, engine_call::exchange(address, call, admitted)).await {
        Ok(Ok((status, _))) => Some(status),
        Ok(Err(cause)) => {
            tracing::info!(
                address,
                cause = format!("{cause:#}"),
                "an order got no answer"
            );
            None
        }
        Err(_elapsed) => {
            tracing::info!(address, "an order got no answer in time");
            None
        }
    }
}
