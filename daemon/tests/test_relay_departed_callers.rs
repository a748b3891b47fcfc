//! Servers of every kind stop soon after the caller of their call has left.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::departure_audit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::departure_audit::STOP_TIME;
use badgerferry_standin::disconnect::DisconnectDetection;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use futures::future::try_join_all;

use crate::departures::CALL_INTERVAL;
use crate::departures::CALLS;
use crate::departures::LONG_WORK;
use crate::departures::SETTLING_TIME;
use crate::departures::assert_servers_stop;
use crate::departures::make_call;
use crate::departures::patience;
use crate::departures::writes_events;
use crate::departures::writes_while_working;

#[tokio::test]
async fn streams_not_begun_end_at_servers_that_notice_failed_writes() -> anyhow::Result<()> {
    assert_servers_stop("/stream/a", false, writes_while_working).await
}

#[tokio::test]
async fn calls_end_at_servers_that_notice_failed_writes() -> anyhow::Result<()> {
    assert_servers_stop("/again/a", false, writes_while_working).await
}

#[tokio::test]
async fn streams_end_at_servers_that_notice_failed_writes_of_events() -> anyhow::Result<()> {
    let configure = |server: &Server| writes_events(server, Duration::from_millis(200));
    assert_servers_stop("/stream/large", true, configure).await
}

#[tokio::test]
async fn streams_end_at_servers_that_notice_failed_writes_of_rare_events() -> anyhow::Result<()> {
    let configure = |server: &Server| writes_events(server, STOP_TIME * 3 / 4);
    assert_servers_stop("/stream/large", true, configure).await
}

#[tokio::test]
async fn calls_end_at_servers_that_notice_only_errors_of_connections() -> anyhow::Result<()> {
    assert_servers_stop("/again/a", false, |server| {
        server.detect_disconnects(DisconnectDetection::ConnectionError);
        server.delay_heads(LONG_WORK, None);
    })
    .await
}

#[tokio::test]
async fn streams_end_at_servers_that_notice_only_errors_of_connections() -> anyhow::Result<()> {
    assert_servers_stop("/stream/a", true, |server| {
        server.detect_disconnects(DisconnectDetection::ConnectionError);
        server.slow_down(30.0);
    })
    .await
}

#[tokio::test]
async fn calls_end_at_servers_that_notice_only_failed_reads() -> anyhow::Result<()> {
    assert_servers_stop("/again/a", false, |server| {
        server.detect_disconnects(DisconnectDetection::FailedRead);
        server.delay_heads(LONG_WORK, None);
    })
    .await
}

#[tokio::test]
async fn streams_end_at_servers_that_notice_only_failed_reads() -> anyhow::Result<()> {
    assert_servers_stop("/stream/a", true, |server| {
        server.detect_disconnects(DisconnectDetection::FailedRead);
        server.slow_down(100.0);
    })
    .await
}

/// Lets callers leave while their response arrives, and returns how many of its servers go on.
async fn calls_that_go_on_while_responding(
    detection: DisconnectDetection,
) -> anyhow::Result<usize> {
    let cluster = TestCluster::start(4).await?;
    for server in &cluster.servers {
        server.detect_disconnects(detection);
        server.set_default_behaviour(Behaviour::HoldUnframed(1));
    }
    let front = cluster.relay.front();

    let calls = (0..CALLS).map(|index| async move {
        let id = format!("left-{index}");
        make_call(front, "/again/a", &id, false, patience(index)).await
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(SETTLING_TIME).await;

    let seen: Vec<_> = (cluster.servers.iter())
        .flat_map(Server::received_calls)
        .collect();
    anyhow::ensure!(seen.len() == CALLS as usize, "{} calls arrived", seen.len());
    let left_at = |id: &str| {
        departures
            .iter()
            .find(|left| left.id == id)
            .map(|left| left.at)
    };
    let goes_on = seen
        .iter()
        .filter(|call| match (call.ended_at, left_at(call.id())) {
            (Some(ended_at), Some(left_at)) => ended_at > left_at + STOP_TIME,
            _ => true,
        });
    Ok(goes_on.count())
}

#[tokio::test]
async fn calls_end_while_responding_at_servers_that_notice_only_failed_reads() -> anyhow::Result<()>
{
    let goes_on = calls_that_go_on_while_responding(DisconnectDetection::FailedRead).await?;

    assert_eq!(goes_on, 0, "calls go on");
    Ok(())
}

#[tokio::test]
async fn calls_end_while_responding_at_servers_that_notice_only_errors() -> anyhow::Result<()> {
    let goes_on = calls_that_go_on_while_responding(DisconnectDetection::ConnectionError).await?;

    assert_eq!(goes_on, 0, "calls go on");
    Ok(())
}

#[tokio::test]
async fn calls_end_at_servers_that_read_the_end_of_connections() -> anyhow::Result<()> {
    assert_servers_stop("/again/a", false, |server| {
        server.delay_heads(LONG_WORK, None);
    })
    .await
}

/// More calls than the box watches at a time.
const MANY_CALLS: u32 = 300;

#[tokio::test]
async fn calls_end_when_more_callers_leave_at_once_than_are_watched() -> anyhow::Result<()> {
    let cluster = TestCluster::start(4).await?;
    cluster.servers.iter().for_each(writes_while_working);
    let front = cluster.relay.front();

    let calls = (0..MANY_CALLS).map(|index| async move {
        let id = format!("left-{index}");
        make_call(front, "/again/a", &id, false, CALL_INTERVAL * 16).await
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(SETTLING_TIME).await;

    let found = departure_audit::audit(&departures, &cluster.servers, Duration::ZERO);
    assert!(
        found.runs >= MANY_CALLS as usize / 2,
        "too few runs: {found}"
    );
    assert!(!found.violates(), "{found}");
    Ok(())
}

/// Sends all of `text` and leaves; the call with this id counts.
async fn send_and_leave(
    front: SocketAddr,
    text: &str,
    id: String,
    patience: Duration,
) -> anyhow::Result<Departure> {
    let mut caller = Caller::connect(front).await?;
    caller.send(text).await?;
    tokio::time::sleep(patience).await;
    drop(caller);
    let at = Instant::now();
    Ok(Departure { id, at })
}

#[tokio::test]
async fn call_ends_though_a_second_request_is_buffered_when_its_caller_leaves() -> anyhow::Result<()>
{
    let cluster = TestCluster::start(4).await?;
    for server in &cluster.servers {
        server.delay_heads(LONG_WORK, None);
    }
    let front = cluster.relay.front();

    let calls = (0..CALLS).map(|index| async move {
        let text = |id: &str| call("POST", "/again/a", id, "", "prompt");
        let id = format!("left-{index}");
        let both = text(&id) + &text(&format!("next-{index}"));
        send_and_leave(front, &both, id, patience(index)).await
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(SETTLING_TIME).await;

    let found = departure_audit::audit(&departures, &cluster.servers, Duration::ZERO);
    assert!(found.runs >= CALLS as usize / 2, "too few runs: {found}");
    assert!(!found.violates(), "{found}");
    let seen = cluster.servers.iter().flat_map(Server::received_calls);
    let next = seen.filter(|call| call.id().starts_with("next")).count();
    assert_eq!(next, 0, "second requests sent after their caller left");
    Ok(())
}

#[tokio::test]
async fn stream_ends_when_a_caller_leaves_that_reads_nothing() -> anyhow::Result<()> {
    assert_servers_stop("/stream/large", true, |server| {
        server.pad_large_responses(256 << 10);
        server.slow_down(5.0);
    })
    .await
}

#[tokio::test]
async fn stream_is_not_resumed_for_a_caller_that_left() -> anyhow::Result<()> {
    let cluster = TestCluster::start(6).await?;
    for server in &cluster.servers {
        server.set_default_behaviour(Behaviour::BreakAfter(1));
    }
    let front = cluster.relay.front();

    let mut departures = Vec::new();
    for index in 0..CALLS {
        let (id, patience) = (format!("left-{index}"), Duration::from_millis(30));
        departures.push(make_call(front, "/stream/a", &id, true, patience).await?);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    // A call may be on its way as its caller leaves.
    let in_transit = Duration::from_millis(20);
    let seen: Vec<_> = (cluster.servers.iter())
        .flat_map(Server::received_calls)
        .collect();
    let late = departures.iter().filter(|departure| {
        let mut arrivals = seen.iter().filter(|call| call.id() == departure.id);
        arrivals.any(|call| {
            call.received_at
                .is_some_and(|at| at > departure.at + in_transit)
        })
    });
    assert_eq!(late.count(), 0, "resumed; log:\n{}", cluster.relay.log());
    Ok(())
}
