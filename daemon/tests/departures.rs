//! Callers that leave before their response is complete, and the audit of their servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::departure_audit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::disconnect::DisconnectDetection;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;
use futures::future::try_join_all;

/// Calls of each test.
pub const CALLS: u32 = 40;
/// Interval between two calls.
pub const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which servers do what they do after the last caller has left.
pub const SETTLING_TIME: Duration = Duration::from_millis(700);
/// Time that servers take until they respond.
pub const LONG_WORK: Duration = Duration::from_secs(2);
/// Interval at which they write meanwhile.
const INTERIM_INTERVAL: Duration = Duration::from_millis(150);

/// Sends a call, and leaves after `patience`, or, if the response is to begin first, as long after that.
///
/// # Errors
///
/// The connection to the box failed.
pub async fn make_call(
    front: SocketAddr,
    path: &str,
    id: &str,
    awaits_response: bool,
    patience: Duration,
) -> anyhow::Result<Departure> {
    let mut caller = Caller::connect(front).await?;
    caller.send(&call("POST", path, id, "", "prompt")).await?;
    if awaits_response {
        caller.read_some(64).await?;
    }
    tokio::time::sleep(patience).await;
    drop(caller);
    Ok(Departure {
        id: id.to_owned(),
        at: Instant::now(),
    })
}

/// Patience of the caller with this number, spread evenly from 150 to 600 ms.
pub fn patience(index: u32) -> Duration {
    Duration::from_millis(150) + Duration::from_millis(450) * (index * 7 % CALLS) / CALLS
}

/// Lets callers leave, and checks that no server works on for them.
///
/// # Errors
///
/// The cluster failed to start, or a connection to the box failed.
pub async fn assert_servers_stop(
    path: &'static str,
    awaits_response: bool,
    configure: impl Fn(&Server),
) -> anyhow::Result<()> {
    let cluster = TestCluster::start(4).await?;
    let front = cluster.relay.front();
    cluster.servers.iter().for_each(configure);
    assert_servers_of_stop(&cluster, front, path, awaits_response).await
}

/// The same with a cluster whose box is reached at `front`.
///
/// # Errors
///
/// A connection to the box failed.
pub async fn assert_servers_of_stop(
    cluster: &TestCluster,
    front: SocketAddr,
    path: &'static str,
    awaits_response: bool,
) -> anyhow::Result<()> {
    let calls = (0..CALLS).map(|index| async move {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let id = format!("left-{index}");
        make_call(front, path, &id, awaits_response, patience(index)).await
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(SETTLING_TIME).await;

    let found = departure_audit::audit(&departures, &cluster.servers, Duration::ZERO);
    assert!(found.runs >= CALLS as usize / 2, "too few runs: {found}");
    assert!(
        !found.violates(),
        "{found}: {found:?}; log:\n{}",
        cluster.relay.log()
    );
    Ok(())
}

/// Writes while it works, and notices only a failed write.
pub fn writes_while_working(server: &Server) {
    server.detect_disconnects(DisconnectDetection::FailedWrite);
    server.delay_heads(LONG_WORK, Some(INTERIM_INTERVAL));
}

/// Writes an event of a long stream at this interval, and notices only a failed write.
pub fn writes_events(server: &Server, interval: Duration) {
    server.pad_large_responses(1);
    server.detect_disconnects(DisconnectDetection::FailedWrite);
    server.slow_down(interval.as_secs_f64() / server.pace.as_secs_f64());
}
