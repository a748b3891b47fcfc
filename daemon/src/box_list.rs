//! Reads the platform's list of boxes and backend servers.
//!
//! The list lags. A server that says itself that it is leaving gets no new work whatever
//! the list says; a box that the list calls leaving fails its readiness at once and
//! refuses new work soon after, and takes work again if the list takes it back.

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

/// Time between readings; 350 daemons make 175 calls a second.
const EVERY: Duration = Duration::from_secs(2);

/// Reads until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut backoff = Backoff::default();
    let mut leaving_since = None;
    loop {
        let pause = match traffic.platform.boxes().await {
            Ok(list) => {
                traffic.record_platform_response();
                backoff.reset();
                take(traffic, &list, &mut leaving_since);
                EVERY
            }
            Err(_silence) => backoff.next(&mut rand::rng()),
        };
        tokio::time::sleep(pause).await;
    }
}

fn take(traffic: &Traffic, list: &BoxList, leaving_since: &mut Option<Time>) {
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
        .find(|found| found.name == traffic.config.name);
    set_leaving(traffic, own.is_some_and(|own| own.leaving), leaving_since);
}

fn set_leaving(traffic: &Traffic, listed: bool, since: &mut Option<Time>) {
    if traffic.stop_signalled.load(Ordering::SeqCst) {
        return;
    }
    let now = traffic.clock.now();
    if listed && since.is_none() {
        tracing::info!("the platform's list says that this box is leaving");
    }
    *since = listed.then_some(since.unwrap_or(now));
    traffic.leaving.store(listed, Ordering::SeqCst);
    let refuses = since.is_some_and(|since| now.since(since) >= BALANCER_DETECTION_TIME);
    traffic.dispatcher().set_stopping(refuses);
}
