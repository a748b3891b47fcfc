//! Memory reservations for prompts larger than one engine.

use std::time::Duration;
use std::time::Instant;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_platform::store::Store;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::LARGE_STREAM_EVENTS;
use badgerferry_standin::server::Server;

/// A box and engines of 100,000 tokens each, one of them reserved for short calls.
async fn engines(count: usize) -> anyhow::Result<(TestCluster, Vec<Server>)> {
    crate::engines::world(count, Duration::from_millis(5)).await
}

/// Sends a prompt that needs the memory of three engines.
async fn send_prompt(world: &TestCluster) -> anyhow::Result<RawResponse> {
    send_prompt_with_body(world, "").await
}

async fn send_prompt_with_body(world: &TestCluster, body: &str) -> anyhow::Result<RawResponse> {
    let tokens = "Badgerferry-Token-Counts: 250000,100\r\n";
    let text = call("POST", "/long/stream", "id-1", tokens, body);
    let text = text.replace("Ms: 5000", "Ms: 20000");
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&text).await?;
    caller.read_response().await
}

fn order_ids(engine: &Server, operation: &str) -> Vec<String> {
    let orders = engine.orders();
    let orders = orders
        .iter()
        .filter(|order| order["operation"] == operation);
    orders.map(|order| order["id"].to_string()).collect()
}

fn all_reservations_are_released(engines: &[Server]) -> bool {
    engines.iter().all(|engine| {
        let released = order_ids(engine, "release");
        let reserved = order_ids(engine, "reserve");
        reserved.iter().all(|id| released.contains(id))
    })
}

#[tokio::test]
async fn memory_is_released_when_the_call_ends() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;

    let response = send_prompt(&world).await?;

    assert_eq!(response.status, 200, "{response:?}");
    let reserving_engines = engines.iter().filter(|engine| !engine.orders().is_empty());
    assert_eq!(reserving_engines.count(), 3);
    wait_until(|| all_reservations_are_released(&engines)).await
}

#[tokio::test]
async fn prompt_is_queued_again_until_every_engine_reserves_memory() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.refuse_reservations(1);
    }

    let response = send_prompt(&world).await?;

    assert_eq!(response.status, 200, "{response:?}");
    let ran: usize = engines
        .iter()
        .map(|engine| engine.received_calls().len())
        .sum();
    assert_eq!(ran, 1);
    wait_until(|| all_reservations_are_released(&engines)).await
}

/// Guards against sending a request that was quarantined while it waited for engines: checked only
/// before a wait of 5 s, one was sent 0.6 s after its quarantine and crashed a fourth server.
async fn request_quarantined_in_the_queue_is_refused(body: &str) -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.refuse_reservations(usize::MAX);
    }
    let workspace = WorkspaceName::new("workspace-1");
    let fingerprint = RequestFingerprint::of(&FingerprintInput {
        method: "POST",
        host: "host.example",
        target: "/long/stream",
        workspace: Some(&workspace),
        body: body.as_bytes(),
    });
    let quarantine = async {
        world
            .relay
            .wait_for_log_line(&["memory reservation requested"])
            .await?;
        let mut store = Store::new(world.store.address, Duration::from_secs(1));
        store
            .put_suspects(&[(SuspectKey::Request(fingerprint), StoredFact::Quarantined)])
            .await?;
        world
            .relay
            .wait_for_log_line(&["\"message\":\"request is quarantined\""])
            .await?;
        for engine in &engines {
            engine.refuse_reservations(0);
        }
        anyhow::Ok(())
    };

    let (response, quarantined) = tokio::join!(send_prompt_with_body(&world, body), quarantine);

    quarantined?;
    let response = response?;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.contains("ends_servers"), "{response:?}");
    assert!(
        engines
            .iter()
            .all(|engine| engine.received_calls().is_empty())
    );
    wait_until(|| all_reservations_are_released(&engines)).await
}

#[tokio::test]
async fn queued_prompt_is_not_sent_after_its_request_is_quarantined() -> anyhow::Result<()> {
    request_quarantined_in_the_queue_is_refused("").await
}

/// Large bodies are not fingerprinted on arrival while no request is suspect. Such a call must be
/// fingerprinted and admitted again before it is sent.
#[tokio::test]
async fn queued_prompt_with_large_body_is_not_sent_after_its_request_is_quarantined()
-> anyhow::Result<()> {
    request_quarantined_in_the_queue_is_refused(&"word ".repeat(8_000)).await
}

/// Sends a prompt that needs the memory of three engines, and reads nothing of the large response.
async fn send_unread_prompt(world: &TestCluster) -> anyhow::Result<Caller> {
    let tokens = "Badgerferry-Token-Counts: 250000,100\r\n";
    let text = call("POST", "/long/stream/large", "id-1", tokens, "");
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&text.replace("Ms: 5000", "Ms: 20000")).await?;
    Ok(caller)
}

/// The callers of this route may pause for 40 s.
#[tokio::test]
async fn reservations_of_an_unread_stream_are_released_and_made_again() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.pad_large_responses(500_000);
        engine.cut_unread_streams(Duration::from_millis(1_200));
    }

    let started_at = Instant::now();
    let mut caller = send_unread_prompt(&world).await?;
    let reserved = || engines.iter().any(|engine| !engine.orders().is_empty());
    wait_until(reserved).await?;
    wait_until(|| all_reservations_are_released(&engines)).await?;
    let released_after = started_at.elapsed();
    let response = caller.read_response().await?;

    assert!(
        released_after < Duration::from_secs(10),
        "{released_after:?}"
    );
    assert_eq!((response.status, response.is_complete), (200, true));
    let events = response
        .body
        .lines()
        .filter(|line| line.starts_with("id: "));
    assert_eq!(events.count() as u64, LARGE_STREAM_EVENTS);
    wait_until(|| all_reservations_are_released(&engines)).await
}

#[tokio::test]
async fn reservations_are_released_when_a_stalled_caller_is_cut() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.pad_large_responses(500_000);
    }
    let mut state = desired_state(4, &["key-1"]);
    state["routes"][4]["goal_ms"] = 600.into();
    state["routes"][4]["gap_goal_ms"] = 100.into();
    world.store.put_routes(&state);
    let updated = ["route table updated", "\"version\":4"];
    world.relay.wait_for_log_line(&updated).await?;

    let mut caller = send_unread_prompt(&world).await?;
    let cut = ["caller cut: response unread", "id-1", "stalled"];
    world.relay.wait_for_log_line(&cut).await?;
    let cut_at = Instant::now();
    wait_until(|| all_reservations_are_released(&engines)).await?;

    assert!(
        cut_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        cut_at.elapsed()
    );
    assert!(!caller.read_response().await?.is_complete);
    Ok(())
}

#[tokio::test]
async fn reservations_are_released_while_a_caller_reads_too_slowly() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.pad_large_responses(500_000);
    }

    let started_at = Instant::now();
    let mut caller = send_unread_prompt(&world).await?;
    let reads = async {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            caller.read_some(64 << 10).await?;
        }
    };
    let released = ["attempt ended: stream unread, reservations released"];
    tokio::select! {
        result = world.relay.wait_for_log_line(&released) => result?,
        result = reads => return result,
    }

    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(8), "{took:?}");
    Ok(())
}

#[tokio::test]
async fn crash_of_an_engine_is_recorded_although_its_stream_is_unread() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.pad_large_responses(500_000);
        engine.set_crash_rule(CrashRule {
            downtime: Duration::from_secs(20),
            ..CrashRule::default()
        });
    }

    let _caller = send_unread_prompt(&world).await?;
    let running = || {
        engines
            .iter()
            .find(|engine| !engine.received_calls().is_empty())
    };
    wait_until(|| running().is_some()).await?;
    // Long enough for the box to be held back by its caller.
    tokio::time::sleep(Duration::from_secs(1)).await;
    running().inspect(|engine| engine.crash());

    let crashed = ["server crashed during a call", "id-1"];
    world.relay.wait_for_log_line(&crashed).await
}
