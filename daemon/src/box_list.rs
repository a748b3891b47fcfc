//! Polls the platform's list of boxes and backend servers.
//!
//! The list lags. A server that reports itself as leaving gets no new requests, whatever the
//! list says. A box that the list marks as leaving fails its readiness check at once, refuses
//! new requests shortly after, and accepts requests again if the list removes the mark.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_edges::platform::Platform;
use badgerferry_lib::backoff::Backoff;
use badgerferry_lib::platform_wire::BoxList;
use badgerferry_lib::time::Time;

use crate::stop::BALANCER_DETECTION_TIME;
use crate::traffic::Traffic;
use crate::traffic::lock;

/// Polling interval; 350 daemons make 175 calls per second.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the list until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut backoff = Backoff::default();
    let mut leaving_since = None;
    loop {
        let pause = match traffic.platform.boxes().await {
            Ok(list) => {
                traffic.record_platform_response();
                backoff.reset();
                apply_list(traffic, &list, &mut leaving_since);
                POLL_INTERVAL
            }
            Err(_no_response) => backoff.next(&mut rand::rng()),
        };
        tokio::time::sleep(pause).await;
    }
}

fn apply_list(traffic: &Traffic, list: &BoxList, leaving_since: &mut Option<Time>) {
    let serving = {
        let mut membership = lock(&traffic.membership);
        membership.on_list(list);
        membership.serving_boxes(traffic.clock.now())
    };
    {
        let mut dispatcher = traffic.dispatcher();
        dispatcher.set_servers(&list.servers);
        dispatcher.set_boxes(serving);
    }
    let own = list
        .boxes
        .iter()
        .find(|info| info.name == traffic.config.name);
    set_leaving(traffic, own.is_some_and(|own| own.leaving), leaving_since);
}

fn set_leaving(traffic: &Traffic, is_leaving: bool, leaving_since: &mut Option<Time>) {
    if traffic.stop_signalled.load(Ordering::SeqCst) {
        return;
    }
    let now = traffic.clock.now();
    if is_leaving && leaving_since.is_none() {
        tracing::info!("box marked as leaving in the platform's list");
    }
    *leaving_since = is_leaving.then_some(leaving_since.unwrap_or(now));
    traffic.leaving.store(is_leaving, Ordering::SeqCst);
    let refuses_requests =
        leaving_since.is_some_and(|since| now.since(since) >= BALANCER_DETECTION_TIME);
    traffic.dispatcher().set_stopping(refuses_requests);
}
