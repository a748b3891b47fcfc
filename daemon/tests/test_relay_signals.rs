//! Signals to a box: planned stops and reloads.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;

#[tokio::test]
async fn planned_stop_serves_open_and_new_calls() -> anyhow::Result<()> {
    let mut world = TestCluster::start(1).await?;
    let mut open = Caller::connect(world.relay.front()).await?;
    let mut streaming = Caller::connect(world.relay.front()).await?;
    streaming
        .send(&call("POST", "/stream/a", "id-1", "", ""))
        .await?;

    world.relay.signal("TERM")?;
    world
        .relay
        .wait_for_log_line(&["planned stop begun"])
        .await?;
    open.send(&call("GET", "/again/a", "id-2", "", "")).await?;
    let late = open.read_response().await?;
    let streamed = streaming.read_response().await?;

    assert!(!world.relay.is_ready().await);
    assert_eq!(
        (late.status, late.header("connection")),
        (200, Some("close"))
    );
    assert!(streamed.is_complete);
    let relay = &mut world.relay;
    wait_until(|| relay.exit_code().is_ok_and(|code| code == Some(0))).await
}

#[tokio::test]
async fn planned_stop_ends_in_time_with_a_hanging_call() -> anyhow::Result<()> {
    let mut world = TestCluster::start(1).await?;
    world.servers[0].set_default_behaviour(Behaviour::Silent);
    let mut hanging = Caller::connect(world.relay.front()).await?;
    hanging
        .send(&call("GET", "/again/a", "id-1", "", ""))
        .await?;
    world.relay.wait_for_log_line(&["call routed"]).await?;

    world.relay.signal("TERM")?;

    let relay = &mut world.relay;
    wait_until(|| relay.exit_code().is_ok_and(|code| code == Some(0))).await
}

/// Guards against a planned stop that closes the connection of a queued prompt without a response.
#[tokio::test]
async fn planned_stop_refuses_a_queued_prompt() -> anyhow::Result<()> {
    let mut world = TestCluster::start(1).await?;
    let engine = Server::start("e-0", "engines", Duration::from_millis(20)).await?;
    world.store.put(&engine.key(), &engine.entry("ready"));
    world
        .relay
        .wait_for_log_line(&["server entry", "e-0"])
        .await?;
    engine.set_default_behaviour(Behaviour::Silent);
    let long_call = |id| {
        let tokens = "Badgerferry-Token-Counts: 80000,100\r\n";
        call("POST", "/long/a", id, tokens, "").replace("Ms: 5000", "Ms: 20000")
    };
    // The only engine prefills one long prompt at a time, so the second one is queued.
    let mut running = Caller::connect(world.relay.front()).await?;
    running.send(&long_call("id-0")).await?;
    world
        .relay
        .wait_for_log_line(&["call routed", "id-0"])
        .await?;
    let mut queued = Caller::connect(world.relay.front()).await?;
    queued.send(&long_call("id-1")).await?;

    world.relay.signal("TERM")?;
    let answer = queued.read_response().await?;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("box_leaving"), "{}", answer.body);
    let received = engine.received_calls();
    assert!(received.iter().all(|call| call.id() == "id-0"));
    let relay = &mut world.relay;
    wait_until(|| relay.exit_code().is_ok_and(|code| code == Some(0))).await
}

#[tokio::test]
async fn hangup_signal_rereads_settings_and_keeps_connections() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;

    world.relay.signal("HUP")?;
    world
        .relay
        .wait_for_log_line(&["settings file unchanged"])
        .await?;
    caller
        .send(&call("GET", "/again/a", "id-1", "", ""))
        .await?;

    assert_eq!(caller.read_response().await?.status, 200);
    Ok(())
}
