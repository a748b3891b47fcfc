//! Retries while servers, or the forwarders in front of them, read nothing.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::proxy::Link;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use futures::future::try_join_all;

/// Calls of each test.
const CALLS: u32 = 60;
/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Fraction of the calls that servers lose.
const LOST_FRACTION: f64 = 0.4;
/// Time in which servers read what has arrived meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(700);
/// How long crashed servers refuse connections.
const DOWNTIME: Duration = Duration::from_secs(4);
/// Time in which a call that can't be served must be refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Makes calls one after the other, and waits for their responses.
async fn make_calls(
    cluster: &TestCluster,
    path: &str,
) -> anyhow::Result<Vec<(String, Duration, u16)>> {
    let front = cluster.relay.front();
    let calls = (0..CALLS).map(|index| async move {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let id = format!("call-{index}");
        let started_at = Instant::now();
        let response = Caller::exchange(front, &call("POST", path, &id, "", "prompt")).await?;
        anyhow::Ok((id, started_at.elapsed(), response.status))
    });
    try_join_all(calls).await
}

/// Number of calls that reached one of the servers after another server had read them.
fn repeats_at(silent: &[Server], others: &[Server]) -> usize {
    let elsewhere: Vec<_> = others.iter().flat_map(Server::received_calls).collect();
    let seen = silent.iter().flat_map(Server::received_calls);
    seen.filter(|call| elsewhere.iter().any(|other| other.id() == call.id()))
        .count()
}

/// Number of retries that reach servers which stand still while calls are made, `still` of twelve.
async fn retries_at_servers_that_stand_still(path: &str, still: usize) -> anyhow::Result<usize> {
    let cluster = TestCluster::start(12).await?;
    let (still, moving) = cluster.servers.split_at(still);
    for server in moving {
        server.cut_calls(LOST_FRACTION);
    }
    for server in still {
        server.suspend(true);
    }

    make_calls(&cluster, path).await?;
    for server in still {
        server.suspend(false);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    Ok(repeats_at(still, moving))
}

#[tokio::test]
async fn retries_avoid_idle_servers_that_stand_still() -> anyhow::Result<()> {
    let retries = retries_at_servers_that_stand_still("/again/a", 4).await?;

    assert_eq!(retries, 0, "retries to servers that stood still");
    Ok(())
}

#[tokio::test]
async fn retries_avoid_servers_while_most_stand_still() -> anyhow::Result<()> {
    let retries = retries_at_servers_that_stand_still("/stream/a", 9).await?;

    assert_eq!(retries, 0, "retries to servers that stood still");
    Ok(())
}

/// Makes calls while half of twelve servers stand still, one of which is known to be silent. Returns how many
/// calls the others of them read once they go on, and how many are answered with success.
async fn first_sends_at_servers_that_stand_still(path: &str) -> anyhow::Result<(usize, usize)> {
    let cluster = TestCluster::start(12).await?;
    let (still, _moving) = cluster.servers.split_at(6);
    still[0].suspend(true);
    make_calls(&cluster, path).await?;
    let silent = ["server does not respond", still[0].name.as_str()];
    cluster.relay.wait_for_log_line(&silent).await?;
    let read_before: usize = still[1..].iter().map(|of| of.received_calls().len()).sum();
    for server in still {
        server.suspend(true);
    }

    let responses = make_calls(&cluster, path).await?;
    for server in still {
        server.suspend(false);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    let read: usize = still[1..].iter().map(|of| of.received_calls().len()).sum();
    let served = responses.iter().filter(|(_, _, status)| *status == 200);
    Ok((read - read_before, served.count()))
}

#[tokio::test]
async fn calls_are_not_first_sent_to_servers_that_stand_still() -> anyhow::Result<()> {
    let (read_late, served) = first_sends_at_servers_that_stand_still("/again/a").await?;

    assert!(
        read_late <= 1,
        "{read_late} calls were read once servers went on"
    );
    assert_eq!(served, CALLS as usize, "calls that were answered");
    Ok(())
}

#[tokio::test]
async fn streams_are_not_first_sent_to_servers_that_stand_still() -> anyhow::Result<()> {
    let (read_late, served) = first_sends_at_servers_that_stand_still("/stream/a").await?;

    assert!(
        read_late <= 1,
        "{read_late} calls were read once servers went on"
    );
    assert_eq!(served, CALLS as usize, "calls that were answered");
    Ok(())
}

#[tokio::test]
async fn retries_avoid_forwarders_that_hold_bytes_back() -> anyhow::Result<()> {
    let cluster = TestCluster::start_forwarded(12).await?;
    let (silent, open) = cluster.servers.split_at(6);
    for server in open {
        server.cut_calls(LOST_FRACTION);
    }
    let held = &cluster.forwarders[..silent.len()];
    for forwarder in held {
        forwarder.set(Link::Silent);
    }

    make_calls(&cluster, "/again/a").await?;
    for forwarder in held {
        forwarder.set(Link::Open);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    assert_eq!(repeats_at(silent, open), 0, "retries that were held back");
    Ok(())
}

#[tokio::test]
async fn stream_that_has_begun_does_not_search_without_a_pause() -> anyhow::Result<()> {
    let cluster = TestCluster::start(2).await?;
    for server in &cluster.servers {
        let crash_rule = CrashRule::on_body("prompt", DOWNTIME, &cluster.store);
        let crash_rule = crash_rule.silent_for(CALL_INTERVAL);
        server.set_crash_rule(crash_rule.beginning_response());
    }
    cluster.servers[1].crash();

    let text = call("POST", "/stream/a", "id-1", "", "prompt");
    let response = Caller::exchange(cluster.relay.front(), &text).await?;

    let log = cluster.relay.log();
    let searches = log.matches("servers queried before a retry").count();
    assert!(!response.is_complete, "{response:?}");
    assert!(
        (2..60).contains(&searches),
        "{searches} searches; log:\n{log}"
    );
    Ok(())
}

#[tokio::test]
async fn declined_calls_are_refused_at_once_where_no_other_server_responds() -> anyhow::Result<()> {
    let cluster = TestCluster::start(3).await?;
    let (declining, still) = cluster.servers.split_at(1);
    declining[0].set_default_behaviour(Behaviour::Decline);
    for server in still {
        server.suspend(true);
    }

    let calls = make_calls(&cluster, "/again/a").await?;
    for server in still {
        server.suspend(false);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    let declined: Vec<_> = (declining[0].received_calls().iter())
        .map(|call| call.id().to_owned())
        .collect();
    let first_declined = calls.iter().filter(|(id, ..)| declined.contains(id));
    let late: Vec<_> = first_declined
        .clone()
        .filter(|(_, took, status)| *took > REFUSAL_TIME || *status != 503)
        .collect();
    assert!(first_declined.count() >= 5, "too few calls were declined");
    assert!(late.is_empty(), "{late:?}; log:\n{}", cluster.relay.log());
    assert_eq!(repeats_at(still, declining), 0, "retries to silent servers");
    Ok(())
}

#[tokio::test]
async fn reset_states_how_long_its_server_was_silent() -> anyhow::Result<()> {
    let cluster = TestCluster::start(1).await?;
    cluster.servers[0].pad_large_responses(1);
    let mut caller = Caller::connect(cluster.relay.front()).await?;
    caller
        .send(&call("POST", "/stream/large", "id-1", "", "prompt"))
        .await?;
    caller.read_some(64).await?;

    cluster.servers[0].suspend(true);
    tokio::time::sleep(SETTLING_TIME).await;
    caller.reset();

    let reset = ["connection reset: call ended before its response", "id-1"];
    cluster.relay.wait_for_log_line(&reset).await?;
    let log = cluster.relay.log();
    let line = log
        .lines()
        .find(|line| reset.iter().all(|part| line.contains(part)));
    let line: serde_json::Value = serde_json::from_str(line.unwrap_or_default())?;
    let silent_ms = line["server_silent_ms"].as_u64();
    assert!((500..2_000).contains(&silent_ms.unwrap_or(0)), "{line}");
    Ok(())
}
