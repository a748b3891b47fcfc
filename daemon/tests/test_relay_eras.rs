//! Restores of the store from a backup, after which it reuses revisions in a new era.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;

/// Maximum time until a new route table version takes effect.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(4);

async fn status(relay: &RelayBox, key: &str) -> anyhow::Result<u16> {
    let request = call("GET", "/again/a", "id", "", "").replace("key-1", key);
    Ok(Caller::exchange(relay.front(), &request).await?.status)
}

/// Waits until a key is accepted, for at most `MAX_UPDATE_TIME`.
async fn wait_accepted(relay: &RelayBox, key: &str) -> anyhow::Result<()> {
    let accepted = async {
        while status(relay, key).await? != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        anyhow::Ok(())
    };
    let Ok(result) = tokio::time::timeout(MAX_UPDATE_TIME, accepted).await else {
        anyhow::bail!("{key} not accepted in time; log:\n{}", relay.log());
    };
    result
}

/// Writes route tables of these versions, each with the single key `key-VERSION`.
fn write_versions(store: &Store, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        store.put_routes(&desired_state(version, &[&format!("key-{version}")]));
    }
}

/// Backs up the store, writes versions up to 9, makes it unavailable and restores the backup, which
/// has version 3. The operator then writes version 9 again.
async fn restore_store(store: &Store, boxes: &[&RelayBox]) -> anyhow::Result<()> {
    store.take_backup();
    write_versions(store, 5..=9);
    for relay in boxes {
        wait_accepted(relay, "key-9").await?;
    }
    store.set_mode(Mode::Reset);
    for relay in boxes {
        relay.wait_for_log_line(&["store unavailable"]).await?;
    }
    store.restore_backup();
    write_versions(store, 9..=9);
    store.set_mode(Mode::Serving);
    Ok(())
}

#[tokio::test]
async fn version_at_a_reused_revision_takes_effect_in_time() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    restore_store(&world.store, &[&world.relay]).await?;
    world
        .relay
        .wait_for_log_line(&["store available again"])
        .await?;

    write_versions(&world.store, 10..=10);

    wait_accepted(&world.relay, "key-10").await?;
    assert_eq!(status(&world.relay, "key-9").await?, 401);
    Ok(())
}

/// Guards against a missed restore: if the store's revision passes the box's before the next watch,
/// no status 410 reveals it, only the era.
#[tokio::test]
async fn restore_visible_only_by_era_hides_no_version() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let store = &world.store;
    store.take_backup();
    write_versions(store, 5..=9);
    wait_accepted(&world.relay, "key-9").await?;
    let seen = store.revision();

    store.restore_backup();
    write_versions(store, 9..=10);
    while store.revision() <= seen {
        store.put("other/key", &serde_json::json!(1));
    }

    wait_accepted(&world.relay, "key-10").await
}

#[tokio::test]
async fn version_takes_effect_at_all_boxes_after_two_restores() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let others = [
        RelayBox::start("box-2", world.store.address, &[])?,
        RelayBox::start("box-3", world.store.address, &[])?,
        RelayBox::start("box-4", world.store.address, &[])?,
    ];
    let mut boxes = vec![&world.relay];
    boxes.extend(&others);
    for relay in &boxes {
        relay.wait_ready().await?;
    }
    restore_store(&world.store, &boxes).await?;
    world.store.restore_backup();
    write_versions(&world.store, 9..=9);

    write_versions(&world.store, 10..=10);

    for relay in &boxes {
        wait_accepted(relay, "key-10").await?;
    }
    Ok(())
}

#[tokio::test]
async fn restore_between_two_pages_restarts_the_read() -> anyhow::Result<()> {
    let store = Store::start().await?;
    write_versions(&store, 3..=3);
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.take_backup();
    write_versions(&store, 4..=9);
    store.restore_between_pages(1);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    wait_until(|| store.era() == 1).await?;

    write_versions(&store, 10..=10);

    wait_accepted(&relay, "key-10").await
}

#[tokio::test]
async fn box_missing_from_a_restored_store_registers_again() -> anyhow::Result<()> {
    let key = "badgerferry/boxes/box-1";
    let store = Store::start().await?;
    write_versions(&store, 3..=3);
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.take_backup();
    let relay = RelayBox::start("box-1", store.address, &[])?;
    wait_until(|| store.revision_of(key) > 0).await?;
    let seen = store.revision();

    store.restore_backup();
    while store.revision() <= seen {
        store.put("other/key", &serde_json::json!(1));
    }

    wait_until(|| store.revision_of(key) > 0).await?;
    wait_accepted(&relay, "key-3").await
}

#[tokio::test]
async fn server_missing_from_a_restored_store_stays_in_use() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let store = &world.store;
    store.remove("servers/i-0");
    store.take_backup();
    store.put("servers/i-0", &world.servers[0].entry("ready"));
    wait_until(|| world.relay.log().contains("server entry removed")).await?;
    while status(&world.relay, "key-1").await? != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    store.restore_backup();
    world
        .relay
        .wait_for_log_line(&["store read in full", "\"era\":1"])
        .await?;
    let before = status(&world.relay, "key-1").await?;
    store.put("servers/i-0", &world.servers[0].entry("ready"));
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_eq!((before, status(&world.relay, "key-1").await?), (200, 200));
    Ok(())
}

#[tokio::test]
async fn departed_server_listed_by_a_restored_store_is_not_used() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let (store, gone) = (&world.store, &world.servers[0]);
    store.take_backup();
    store.put(&gone.key(), &gone.entry("draining"));
    world
        .relay
        .wait_for_log_line(&["server entry", "\"leaving\":true"])
        .await?;
    store.remove(&gone.key());
    world
        .relay
        .wait_for_log_line(&["server entry removed", "i-0"])
        .await?;

    store.restore_backup();
    world
        .relay
        .wait_for_log_line(&["store read in full", "\"era\":1"])
        .await?;

    let before = gone.received_calls().len();
    for _ in 0..20 {
        assert_eq!(status(&world.relay, "key-1").await?, 200);
    }
    assert_eq!(gone.received_calls().len(), before);
    Ok(())
}
