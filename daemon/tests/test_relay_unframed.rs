//! Responses with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Behaviour;

/// Time from a crash of a server to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Number of servers.
const SERVERS: usize = 4;

/// Starts a cluster whose servers handle calls in this way, and stay down for a while after a crash.
async fn start(behaviour: Behaviour) -> anyhow::Result<TestCluster> {
    let cluster = TestCluster::start(SERVERS).await?;
    for server in &cluster.servers {
        server.set_crash_rule(CrashRule::on_body("", RESTART_DELAY, &cluster.store));
        server.set_default_behaviour(behaviour);
    }
    Ok(cluster)
}

/// Sends a call. Only its first attempt meets the behaviour that the cluster was started with.
async fn exchange(cluster: &TestCluster, method: &str, path: &str) -> anyhow::Result<RawResponse> {
    let servers = &cluster.servers;
    let serve_from_second_attempt = async {
        while servers
            .iter()
            .all(|server| server.received_calls().is_empty())
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        for server in servers {
            server.set_default_behaviour(Behaviour::Serve);
        }
        std::future::pending::<()>().await;
    };
    let request = call(method, path, "call-1", "", "prompt");
    tokio::select! {
        answer = Caller::exchange(cluster.relay.front(), &request) => answer,
        () = serve_from_second_attempt => unreachable!("it never ends"),
    }
}

fn event_ids(answer: &RawResponse) -> Vec<&str> {
    let lines = answer.body.lines();
    lines.filter_map(|line| line.strip_prefix("id: ")).collect()
}

fn assert_whole_stream(answer: &RawResponse, cluster: &TestCluster) {
    let is_served = (answer.status, answer.is_complete) == (200, true);
    assert!(is_served, "{answer:?}; {}", cluster.relay.log());
    assert_eq!(event_ids(answer), ["0", "1", "2", "3", "4"], "{answer:?}");
}

#[tokio::test]
async fn unframed_responses_of_live_servers_are_forwarded_whole() -> anyhow::Result<()> {
    let cluster = start(Behaviour::Unframed).await?;
    let single = exchange(&cluster, "GET", "/again/a").await?;

    let cluster = start(Behaviour::Unframed).await?;
    let stream = exchange(&cluster, "POST", "/stream/a").await?;

    assert_eq!((single.status, single.is_complete), (200, true));
    assert!(single.body.ends_with("served call-1"), "{single:?}");
    assert_whole_stream(&stream, &cluster);
    Ok(())
}

/// Guards against a stream that looks whole because its server crashed between two events.
#[tokio::test]
async fn unframed_stream_cut_between_events_is_resumed() -> anyhow::Result<()> {
    for events in [0, 1, 3] {
        let cluster = start(Behaviour::CrashUnframed(events)).await?;

        let answer = exchange(&cluster, "POST", "/stream/a").await?;

        assert_whole_stream(&answer, &cluster);
    }
    Ok(())
}

/// Guards against a response that looks whole because its server crashed.
#[tokio::test]
async fn unframed_response_cut_by_a_crash_is_not_forwarded() -> anyhow::Result<()> {
    let cluster = start(Behaviour::CrashUnframed(0)).await?;
    let repeatable = exchange(&cluster, "GET", "/again/a").await?;

    let cluster = start(Behaviour::CrashUnframed(0)).await?;
    let non_repeatable = exchange(&cluster, "POST", "/once/a").await?;

    assert_eq!((repeatable.status, repeatable.is_complete), (200, true));
    assert!(repeatable.body.ends_with("served call-1"), "{repeatable:?}");
    assert_eq!(non_repeatable.status, 502, "{non_repeatable:?}");
    Ok(())
}

#[tokio::test]
async fn unframed_stream_cut_inside_an_event_is_resumed() -> anyhow::Result<()> {
    let cluster = start(Behaviour::BreakUnframed(2)).await?;

    let answer = exchange(&cluster, "POST", "/stream/a").await?;

    assert_whole_stream(&answer, &cluster);
    Ok(())
}
