//! State of boxes, and what they learn from the store and from each other while the store fails.

use std::net::IpAddr;
use std::time::Duration;

use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_platform::store::Freshness;
use badgerferry_platform::store::Store as Client;
use badgerferry_platform::store::StoreError;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Desired states written in succession, and the bytes of each: together more than a response of the
/// store may have.
const LARGE_STATES: u64 = 20;
const LARGE_STATE_BYTES: usize = 300_000;

fn idempotent_call(id: &str, key: &str) -> String {
    call("GET", "/again/a", id, "", "").replace("key-1", key)
}

async fn status(relay: &RelayBox, key: &str) -> anyhow::Result<u16> {
    Ok(Caller::exchange(relay.front(), &idempotent_call("id", key))
        .await?
        .status)
}

async fn wait_status(relay: &RelayBox, key: &str, wanted: u16) -> anyhow::Result<()> {
    for _ in 0..1_000 {
        if status(relay, key).await? == wanted {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("status did not become {wanted}; log:\n{}", relay.log())
}

#[tokio::test]
async fn box_without_routes_is_not_ready_and_answers_503() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.set_mode(Mode::Silent);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_for_log_line(&["daemon started"]).await?;

    let answer = Caller::exchange(relay.front(), &idempotent_call("id-1", "key-1")).await?;

    assert_eq!(answer.status, 503);
    assert!(!relay.is_ready().await);
    Ok(())
}

/// Checks that a call that arrives before the first routes is served. The store also lists `others`
/// servers of another service.
async fn check_call_before_first_routes(others: usize) -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    for index in 0..others {
        let mut entry = server.entry("ready");
        entry["service"] = "others".into();
        store.put(&format!("servers/x-{index}"), &entry);
    }
    store.set_mode(Mode::Busy);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_for_log_line(&["store unavailable"]).await?;
    let mut caller = Caller::connect(relay.front()).await?;

    caller.send(&idempotent_call("id-1", "key-1")).await?;
    store.set_mode(Mode::Serving);

    let answer = caller.read_response().await?;
    assert_eq!(answer.status, 200, "{answer:?}; {}", relay.log());
    Ok(())
}

/// Guards against calls that are refused because the box has just started and has no routes yet.
#[tokio::test]
async fn call_before_the_first_routes_waits_for_them() -> anyhow::Result<()> {
    check_call_before_first_routes(0).await
}

/// Guards against routes that take effect before the servers that were read with them. Many servers
/// take longer to apply.
#[tokio::test]
async fn call_before_the_first_routes_waits_for_many_servers() -> anyhow::Result<()> {
    check_call_before_first_routes(4_000).await
}

#[tokio::test]
async fn new_route_table_takes_effect() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.put_routes(&desired_state(9, &["key-2"]));

    wait_status(&world.relay, "key-2", 200).await?;

    assert_eq!(status(&world.relay, "key-1").await?, 401);
    Ok(())
}

/// Guards against a box that keeps the old state that its first read may return.
#[tokio::test]
async fn box_whose_first_read_is_old_follows_the_changes_since() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.hold_old_reads();
    store.put_routes(&desired_state(9, &["key-2"]));

    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_ready().await?;

    wait_status(&relay, "key-2", 200).await?;
    assert_eq!(status(&relay, "key-1").await?, 401);
    Ok(())
}

/// Guards against a box that misses a change because a page of its first read is older than the page
/// before.
#[tokio::test]
async fn box_whose_first_read_has_pages_of_different_age_misses_no_change() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.hold_old_later_pages(1);
    store.put(&server.key(), &server.entry("ready"));

    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_ready().await?;

    wait_status(&relay, "key-1", 200).await
}

/// Guards against a box that keeps an old route table because the changes since do not fit into a
/// response.
#[tokio::test]
async fn box_reads_in_full_if_the_changes_since_its_first_read_are_too_large() -> anyhow::Result<()>
{
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.hold_old_reads();
    let large_name = "r".repeat(LARGE_STATE_BYTES);
    for version in 4..4 + LARGE_STATES {
        let mut state = desired_state(version, &["key-2"]);
        state["routes"][4]["name"] = large_name.as_str().into();
        store.put_routes(&state);
    }

    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_ready().await?;

    wait_status(&relay, "key-2", 200).await?;
    assert_eq!(status(&relay, "key-1").await?, 401);
    Ok(())
}

#[tokio::test]
async fn older_route_table_version_is_ignored() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.put_routes(&desired_state(9, &["key-2"]));
    wait_status(&world.relay, "key-2", 200).await?;

    world.store.put_routes(&desired_state(8, &["key-1"]));
    world
        .store
        .put_routes(&desired_state(10, &["key-2", "key-3"]));
    wait_status(&world.relay, "key-3", 200).await?;

    assert_eq!(status(&world.relay, "key-1").await?, 401);
    Ok(())
}

#[tokio::test]
async fn malformed_route_table_is_ignored() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world
        .store
        .put_routes(&serde_json::json!({"version": "none"}));
    world
        .relay
        .wait_for_log_line(&["store value unreadable", "op/config"])
        .await?;

    assert_eq!(status(&world.relay, "key-1").await?, 200);
    Ok(())
}

#[tokio::test]
async fn server_marked_as_leaving_in_the_store_gets_no_new_calls() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let leaving = &world.servers[0];
    world.store.put(&leaving.key(), &leaving.entry("draining"));
    world
        .relay
        .wait_for_log_line(&["server entry", "i-0", "\"leaving\":true"])
        .await?;
    let before = leaving.received_calls().len();

    for index in 0..10 {
        Caller::exchange(
            world.relay.front(),
            &idempotent_call(&format!("id-{index}"), "key-1"),
        )
        .await?;
    }

    assert_eq!(leaving.received_calls().len(), before);
    Ok(())
}

#[tokio::test]
async fn box_serves_during_store_failures_and_catches_up() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let modes = [Mode::Busy, Mode::TooMany, Mode::Reset, Mode::Silent];
    for (version, mode) in (20..).zip(modes) {
        world.store.set_mode(mode);
        assert_eq!(status(&world.relay, "key-1").await?, 200, "{mode:?}");
        let key = format!("key-{version}");

        world
            .store
            .put_routes(&desired_state(version, &["key-1", &key]));
        world.store.set_mode(Mode::Serving);

        wait_status(&world.relay, &key, 200).await?;
    }
    Ok(())
}

/// Guards against a watch with a long time-out that starts just before the store recovers and
/// delays updates by four seconds.
#[tokio::test]
async fn silent_store_is_polled_with_short_timeouts() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.set_mode(Mode::Silent);
    world
        .relay
        .wait_for_log_line(&["store unavailable"])
        .await?;
    let before = world.store.calls();

    // The count would not rise in time if each call had a long time-out.
    wait_until(|| world.store.calls() >= before + 4).await?;
    world.store.set_mode(Mode::Serving);

    world
        .relay
        .wait_for_log_line(&["store available again"])
        .await
}

#[tokio::test]
async fn expired_store_history_causes_a_full_read() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.put_routes(&desired_state(5, &["key-5"]));
    world.store.compact_history();
    world.store.put_routes(&desired_state(6, &["key-6"]));
    world.store.compact_history();

    wait_status(&world.relay, "key-6", 200).await
}

#[tokio::test]
async fn box_without_store_learns_of_a_revoked_key_from_a_peer() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let other = RelayBox::start("box-2", world.store.address, &[])?;
    other.wait_ready().await?;
    world
        .relay
        .wait_for_log_line(&["box entry", "box-2"])
        .await?;
    // All calls on the loopback interface have one source address, so the store can't reject only
    // this box. The box is suspended until the other one has the new key.
    world.store.put_routes(&desired_state(4, &["key-1"]));
    wait_until(|| world.relay.log().matches("route table updated").count() >= 2).await?;
    world.relay.signal("STOP")?;
    world.store.put_routes(&desired_state(5, &["key-2"]));
    wait_status(&other, "key-2", 200).await?;
    world.store.set_mode(Mode::Busy);
    world.relay.signal("CONT")?;

    wait_status(&world.relay, "key-1", 401).await?;

    // A separate thread writes the log lines, slightly later.
    let source = "\"source\":\"neighbour\"";
    world
        .relay
        .wait_for_log_line(&["route table updated", source])
        .await
}

#[tokio::test]
async fn box_started_during_store_outage_pulls_state_from_a_peer() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.set_mode(Mode::Silent);

    let late = RelayBox::start("box-2", world.store.address, &[world.relay.ip])?;
    late.wait_ready().await?;

    assert_eq!(status(&late, "key-1").await?, 200);
    Ok(())
}

#[tokio::test]
async fn server_entries_lost_in_a_store_outage_are_held_for_a_time() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.store.set_mode(Mode::Silent);
    world
        .relay
        .wait_for_log_line(&["store unavailable"])
        .await?;
    world.store.remove("servers/i-0");
    world.store.set_mode(Mode::Serving);
    world
        .relay
        .wait_for_log_line(&["server entry removed", "i-0"])
        .await?;

    assert_eq!(status(&world.relay, "key-1").await?, 200);

    world
        .relay
        .wait_for_log_line(&["still missing after the hold"])
        .await?;
    wait_status(&world.relay, "key-1", 503).await
}

/// Guards against boxes that switch from the store to peers during an outage, and then hold forever
/// the entries that are removed after it.
#[tokio::test]
async fn boxes_that_follow_peers_after_an_outage_drop_removed_servers() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let others = [
        RelayBox::start("box-2", world.store.address, &[])?,
        RelayBox::start("box-3", world.store.address, &[])?,
        RelayBox::start("box-4", world.store.address, &[])?,
    ];
    for other in &others {
        other.wait_ready().await?;
        world.relay.wait_for_log_line(&["box entry"]).await?;
    }
    world.store.set_mode(Mode::Silent);
    for other in &others {
        other.wait_for_log_line(&["store unavailable"]).await?;
    }
    world.store.set_mode(Mode::Serving);
    world
        .relay
        .wait_for_log_line(&["store available again"])
        .await?;
    // In this time, entries held after the outage expire.
    tokio::time::sleep(Duration::from_secs(4)).await;

    world.store.remove("servers/i-0");
    for other in &others {
        wait_unused(other, &world.servers[0]).await?;
    }
    Ok(())
}

/// Waits until none of twenty calls to a box reaches the server.
async fn wait_unused(relay: &RelayBox, server: &Server) -> anyhow::Result<()> {
    for _ in 0..60 {
        let before = server.received_calls().len();
        for index in 0..20 {
            Caller::exchange(
                relay.front(),
                &idempotent_call(&format!("id-{index}"), "key-1"),
            )
            .await?;
        }
        if server.received_calls().len() == before {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("{} is still in use; log:\n{}", server.name, relay.log())
}

#[tokio::test]
async fn restarted_box_reads_the_current_state_from_the_store() -> anyhow::Result<()> {
    let mut world = TestCluster::start(1).await?;
    world.store.put_routes(&desired_state(5, &["key-5"]));

    world.relay.restart()?;
    world.relay.wait_ready().await?;

    assert_eq!(status(&world.relay, "key-5").await?, 200);
    Ok(())
}

#[tokio::test]
async fn restarted_box_does_not_write_its_entry_again() -> anyhow::Result<()> {
    let key = "badgerferry/boxes/box-1";
    let mut world = TestCluster::start(1).await?;
    let store = world.store.clone();
    wait_until(|| store.keys("badgerferry/boxes/") == [key]).await?;
    let registered_at = store.revision_of(key);

    world.relay.restart()?;
    world.relay.wait_ready().await?;
    // A response of the store after the start shows that no write is in progress.
    world.store.put_routes(&desired_state(5, &["key-5"]));
    wait_status(&world.relay, "key-5", 200).await?;

    assert_eq!(store.revision_of(key), registered_at);
    Ok(())
}

#[tokio::test]
async fn box_whose_entry_is_removed_registers_again() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let store = world.store.clone();
    let key = "badgerferry/boxes/box-1";
    wait_until(|| store.revision_of(key) > 0).await?;

    store.remove(key);

    wait_until(|| store.revision_of(key) > 0).await
}

/// Guards against a box that notices the removal of its entry only in a watch: if the history has
/// expired, only a full read shows it.
#[tokio::test]
async fn box_whose_entry_is_missing_from_a_full_read_registers_again() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let store = world.store.clone();
    let key = "badgerferry/boxes/box-1";
    wait_until(|| store.revision_of(key) > 0).await?;
    store.set_mode(Mode::Reset);
    world
        .relay
        .wait_for_log_line(&["store unavailable"])
        .await?;

    store.remove(key);
    store.compact_history();
    store.set_mode(Mode::Serving);

    wait_until(|| store.revision_of(key) > 0).await
}

/// Responds to one call with an empty list, sent in five pieces with a delay before each.
async fn respond_in_pieces(listener: TcpListener, delay: Duration) -> anyhow::Result<()> {
    let (mut stream, _peer) = listener.accept().await?;
    let _ = stream.read(&mut [0; 4_096]).await?;
    let body = "{\"items\":[],\"has_more\":false,\"timestamp\":7}";
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    for piece in body.as_bytes().chunks(body.len().div_ceil(5)) {
        tokio::time::sleep(delay).await;
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Guards against a time-out for the whole response: boxes that read the full store concurrently
/// over one link aborted half-way.
#[tokio::test]
async fn slow_store_response_that_makes_progress_does_not_time_out() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let timeout = Duration::from_secs(2);
    let mut client = Client::new(listener.local_addr()?, timeout);
    let response = tokio::spawn(respond_in_pieces(listener, timeout / 4));

    let all = client.read_all(Freshness::Latest).await?;

    assert_eq!(all.position.revision, 7);
    response.await?
}

#[tokio::test]
async fn box_entry_rewritten_since_is_not_removed() -> anyhow::Result<()> {
    let store = Store::start().await?;
    let key = "badgerferry/boxes/box-9";
    let mut client = Client::new(store.address, Duration::from_secs(5));
    let addresses = BoxAddresses {
        name: "box-9".to_owned(),
        hall: "hall-a".to_owned(),
        pull: "127.0.0.1:1".to_owned(),
        load: "127.0.0.1:2".to_owned(),
        processor: 250,
    };
    client.put_box(&addresses).await?;
    let position = || StorePosition {
        era: store.era(),
        revision: store.revision_of(key),
    };
    let first = position();
    client.put_box(&addresses).await?;

    let refused = client.remove_box("box-9", first).await;
    let is_kept = position() > first;
    client.remove_box("box-9", position()).await?;

    assert!(
        matches!(refused, Err(StoreError::NotApplied(_))),
        "{refused:?}"
    );
    assert!(is_kept);
    assert_eq!(store.revision_of(key), 0);
    Ok(())
}

#[tokio::test]
async fn box_registers_although_the_store_response_is_lost() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    store.drop_responses(1);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_ready().await?;

    relay
        .wait_for_log_line(&["store unavailable", "no usable response"])
        .await?;

    relay.wait_for_log_line(&["this box is registered"]).await?;
    wait_until(|| store.keys("badgerferry/boxes/") == ["badgerferry/boxes/box-1"]).await
}

#[tokio::test]
async fn metrics_are_served_in_the_prometheus_format() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    status(&world.relay, "key-1").await?;
    let address = (IpAddr::from(world.relay.ip), 9_464).into();

    let page = Caller::exchange(address, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").await?;

    assert_eq!(page.status, 200);
    assert!(
        page.body
            .contains("badgerferry_calls_total{outcome=\"answered\"} 1"),
        "{}",
        page.body
    );
    assert!(
        page.body.contains("badgerferry_routes_version 3"),
        "{}",
        page.body
    );
    Ok(())
}

#[tokio::test]
async fn malformed_server_entry_disables_only_that_server() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let broken = &world.servers[0];

    world.store.put(&broken.key(), &json!({"service": ["s"]}));
    let line = ["server entry unreadable", "i-0"];
    world.relay.wait_for_log_line(&line).await?;

    wait_unused(&world.relay, broken).await?;
    assert_eq!(status(&world.relay, "key-1").await?, 200);
    world.store.put(&broken.key(), &broken.entry("ready"));
    world
        .relay
        .wait_for_log_line(&["server entry", "i-0", "false"])
        .await?;
    Ok(())
}
