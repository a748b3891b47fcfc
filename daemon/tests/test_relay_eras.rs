//! Boxes while the store comes back from a copy, at revisions that it gives out again.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::World;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;

/// How late a version may be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

async fn status(relay: &RelayBox, key: &str) -> anyhow::Result<u16> {
    let request = call("GET", "/again/a", "id", "", "").replace("key-1", key);
    Ok(Caller::once(relay.front(), &request).await?.status)
}

/// Waits until a key is good, no longer than a version may be late.
async fn wait_good(relay: &RelayBox, key: &str) -> anyhow::Result<()> {
    let waits = async {
        while status(relay, key).await? != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        anyhow::Ok(())
    };
    let Ok(waited) = tokio::time::timeout(IN_FORCE_WITHIN, waits).await else {
        anyhow::bail!("{key} is not good in time; log:\n{}", relay.log());
    };
    waited
}

/// Writes versions with a key named after each.
fn write_versions(store: &Store, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        store.put_routes(&desired_state(version, &[&format!("key-{version}")]));
    }
}

/// A store that is copied, goes on to version 9, is away, and comes back from the copy with version 3; the
/// operator writes version 9 again.
async fn come_back(store: &Store, boxes: &[&RelayBox]) -> anyhow::Result<()> {
    store.keep_copy();
    write_versions(store, 5..=9);
    for relay in boxes {
        wait_good(relay, "key-9").await?;
    }
    store.set_mode(Mode::Reset);
    for relay in boxes {
        relay.wait_line(&["store lost"]).await?;
    }
    store.return_from_copy();
    write_versions(store, 9..=9);
    store.set_mode(Mode::Serving);
    Ok(())
}

#[tokio::test]
async fn a_version_written_at_a_revision_given_out_again_is_in_force_in_time() -> anyhow::Result<()>
{
    let world = World::start(1).await?;
    come_back(&world.store, &[&world.relay]).await?;
    world.relay.wait_line(&["store regained"]).await?;

    write_versions(&world.store, 10..=10);

    wait_good(&world.relay, "key-10").await?;
    assert_eq!(status(&world.relay, "key-9").await?, 401);
    Ok(())
}

/// The counter passes what the box has seen before its next watch, so that gets no 410.
#[tokio::test]
async fn a_return_that_only_the_era_tells_hides_no_version() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let store = &world.store;
    store.keep_copy();
    write_versions(store, 5..=9);
    wait_good(&world.relay, "key-9").await?;
    let seen = store.revision();

    store.return_from_copy();
    write_versions(store, 9..=10);
    while store.revision() <= seen {
        store.put("other/key", &serde_json::json!(1));
    }

    wait_good(&world.relay, "key-10").await
}

#[tokio::test]
async fn a_version_is_in_force_at_boxes_behind_others_after_two_returns() -> anyhow::Result<()> {
    let world = World::start(1).await?;
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
    come_back(&world.store, &boxes).await?;
    world.store.return_from_copy();
    write_versions(&world.store, 9..=9);

    write_versions(&world.store, 10..=10);

    for relay in &boxes {
        wait_good(relay, "key-10").await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_return_between_two_pages_is_read_anew() -> anyhow::Result<()> {
    let store = Store::start().await?;
    write_versions(&store, 3..=3);
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.keep_copy();
    write_versions(&store, 4..=9);
    store.return_between_pages(1);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    wait_until(|| store.era() == 1).await?;

    write_versions(&store, 10..=10);

    wait_good(&relay, "key-10").await
}

#[tokio::test]
async fn a_box_whose_entry_was_lost_with_a_copy_enters_itself_again() -> anyhow::Result<()> {
    let key = "badgerferry/boxes/box-1";
    let store = Store::start().await?;
    write_versions(&store, 3..=3);
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    store.keep_copy();
    let relay = RelayBox::start("box-1", store.address, &[])?;
    wait_until(|| store.revision_of(key) > 0).await?;
    let seen = store.revision();

    store.return_from_copy();
    while store.revision() <= seen {
        store.put("other/key", &serde_json::json!(1));
    }

    wait_until(|| store.revision_of(key) > 0).await?;
    wait_good(&relay, "key-3").await
}

#[tokio::test]
async fn a_server_that_a_copy_lacks_is_used_until_it_is_listed_again() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let store = &world.store;
    store.remove("servers/i-0");
    store.keep_copy();
    store.put("servers/i-0", &world.servers[0].entry("ready"));
    wait_until(|| world.relay.log().contains("server entry gone")).await?;
    while status(&world.relay, "key-1").await? != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    store.return_from_copy();
    world
        .relay
        .wait_line(&["store read whole", "\"era\":1"])
        .await?;
    let before = status(&world.relay, "key-1").await?;
    store.put("servers/i-0", &world.servers[0].entry("ready"));
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_eq!((before, status(&world.relay, "key-1").await?), (200, 200));
    Ok(())
}

#[tokio::test]
async fn a_server_that_left_is_not_used_again_because_a_copy_says_it_lives() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    let (store, gone) = (&world.store, &world.servers[0]);
    store.keep_copy();
    store.put(&gone.key(), &gone.entry("draining"));
    world
        .relay
        .wait_line(&["server entry", "\"leaving\":true"])
        .await?;
    store.remove(&gone.key());
    world.relay.wait_line(&["server entry gone", "i-0"]).await?;

    store.return_from_copy();
    world
        .relay
        .wait_line(&["store read whole", "\"era\":1"])
        .await?;

    let before = gone.seen().len();
    for _ in 0..20 {
        assert_eq!(status(&world.relay, "key-1").await?, 200);
    }
    assert_eq!(gone.seen().len(), before);
    Ok(())
}
