//! Detection and avoidance of slow engines.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;

/// Delay of each event. The first one is late, because a short prompt has a far shorter estimate.
const LATE_EVENT_INTERVAL: Duration = Duration::from_millis(700);

async fn engines(count: usize) -> anyhow::Result<(TestCluster, Vec<Server>)> {
    crate::engines::world(count, LATE_EVENT_INTERVAL).await
}

async fn send_call(world: &TestCluster, id: &str) -> anyhow::Result<u16> {
    let tokens = "Badgerferry-Token-Counts: 1000,100\r\n";
    let text = call("POST", "/long/stream", id, tokens, "").replace("Ms: 5000", "Ms: 20000");
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&text).await?;
    Ok(caller.read_response().await?.status)
}

fn call_counts(engines: &[Server]) -> Vec<usize> {
    engines
        .iter()
        .map(|engine| engine.received_calls().len())
        .collect()
}

#[tokio::test]
async fn late_engine_that_reports_a_slow_pace_gets_no_more_calls() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.report_pace(5.0);
    }

    assert_eq!(send_call(&world, "id-1").await?, 200);
    world
        .relay
        .wait_for_log_line(&["engine pace reported"])
        .await?;
    let first = call_counts(&engines);
    assert_eq!(send_call(&world, "id-2").await?, 200);

    let slow = first.iter().position(|count| *count == 1);
    let slow = slow.expect("one engine took the first call");
    assert!(engines[slow].reports() > 0);
    assert_eq!(
        call_counts(&engines)[slow],
        1,
        "the second call went elsewhere"
    );
    Ok(())
}

#[tokio::test]
async fn late_engine_that_does_not_report_a_slow_pace_is_still_used() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;

    assert_eq!(send_call(&world, "id-1").await?, 200);
    world
        .relay
        .wait_for_log_line(&["engine pace reported"])
        .await?;
    let first = call_counts(&engines);
    assert_eq!(send_call(&world, "id-2").await?, 200);

    let doubled: Vec<usize> = first.iter().map(|count| count * 2).collect();
    assert_eq!(call_counts(&engines), doubled);
    Ok(())
}
