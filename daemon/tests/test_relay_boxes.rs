//! Boxes on the platform: what they know while the store misbehaves, and how they stop.

use std::net::IpAddr;
use std::time::Duration;

use badgerferry_lib::relay::state_pull::BoxAddresses;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_platform::store::Store as Client;
use badgerferry_platform::store::StoreError;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::World;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn again(id: &str, key: &str) -> String {
    call("GET", "/again/a", id, "", "").replace("key-1", key)
}

async fn status(relay: &RelayBox, key: &str) -> anyhow::Result<u16> {
    Ok(Caller::once(relay.front(), &again("id", key)).await?.status)
}

async fn wait_status(relay: &RelayBox, key: &str, wanted: u16) -> anyhow::Result<()> {
    for _ in 0..1_000 {
        if status(relay, key).await? == wanted {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("the status never becomes {wanted}; log:\n{}", relay.log())
}

#[tokio::test]
async fn a_box_without_routes_is_not_ready_and_promises_that_nothing_ran() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.set_mode(Mode::Silent);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_line(&["daemon started"]).await?;

    let answer = Caller::once(relay.front(), &again("id-1", "key-1")).await?;

    assert_eq!(answer.status, 503);
    assert!(!relay.is_ready().await);
    Ok(())
}

/// A call that comes before the first routes is served; so many servers of another service are listed
/// beside the one that it needs.
async fn serves_a_call_that_comes_first(others: usize) -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let server = Server::start("i-0", "boards", Duration::from_millis(20)).await?;
    store.put(&server.key(), &server.entry("ready"));
    for at in 0..others {
        let mut entry = server.entry("ready");
        entry["service"] = "others".into();
        store.put(&format!("servers/x-{at}"), &entry);
    }
    store.set_mode(Mode::Busy);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_line(&["store lost"]).await?;
    let mut caller = Caller::connect(relay.front()).await?;

    caller.send(&again("id-1", "key-1")).await?;
    store.set_mode(Mode::Serving);

    let answer = caller.answer().await?;
    assert_eq!(answer.status, 200, "{answer:?}; {}", relay.log());
    Ok(())
}

/// Found by a play: callers of boxes that had all just started were turned away, twice each.
#[tokio::test]
async fn a_call_that_comes_before_the_first_routes_waits_for_them() -> anyhow::Result<()> {
    serves_a_call_that_comes_first(0).await
}

/// Entries of many servers are read with the routes, and must be known before a call goes by those.
#[tokio::test]
async fn a_call_that_waits_for_the_first_routes_finds_the_servers_as_well() -> anyhow::Result<()> {
    serves_a_call_that_comes_first(4_000).await
}

#[tokio::test]
async fn new_routes_keys_and_servers_are_in_force_soon_after_the_store_took_them()
-> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.store.put_routes(&desired_state(9, &["key-2"]));

    wait_status(&world.relay, "key-2", 200).await?;

    assert_eq!(status(&world.relay, "key-1").await?, 401);
    Ok(())
}

#[tokio::test]
async fn an_older_version_never_comes_back_into_force() -> anyhow::Result<()> {
    let world = World::start(1).await?;
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
async fn a_state_that_cant_be_read_leaves_the_old_one_in_force() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world
        .store
        .put_routes(&serde_json::json!({"version": "none"}));
    world
        .relay
        .wait_line(&["can't be read", "op/config"])
        .await?;

    assert_eq!(status(&world.relay, "key-1").await?, 200);
    Ok(())
}

#[tokio::test]
async fn a_leaving_server_gets_no_new_calls() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    let leaving = &world.servers[0];
    world.store.put(&leaving.key(), &leaving.entry("draining"));
    world
        .relay
        .wait_line(&["server entry", "i-0", "\"leaving\":true"])
        .await?;
    let before = leaving.seen().len();

    for at in 0..10 {
        Caller::once(world.relay.front(), &again(&format!("id-{at}"), "key-1")).await?;
    }

    assert_eq!(leaving.seen().len(), before);
    Ok(())
}

#[tokio::test]
async fn every_way_the_store_fails_leaves_the_box_serving_and_it_catches_up() -> anyhow::Result<()>
{
    let world = World::start(1).await?;
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

/// Found by a hunt: a watch that began just before the store's return hung for four seconds.
#[tokio::test]
async fn a_silent_store_is_asked_again_by_short_calls() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.store.set_mode(Mode::Silent);
    world.relay.wait_line(&["store lost"]).await?;
    let before = world.store.calls();

    // A call that is let hang for long would keep this count from rising.
    wait_until(|| world.store.calls() >= before + 4).await?;
    world.store.set_mode(Mode::Serving);

    world.relay.wait_line(&["store regained"]).await
}

#[tokio::test]
async fn a_forgotten_history_is_read_anew() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.store.put_routes(&desired_state(5, &["key-5"]));
    world.store.forget_history();
    world.store.put_routes(&desired_state(6, &["key-6"]));
    world.store.forget_history();

    wait_status(&world.relay, "key-6", 200).await
}

#[tokio::test]
async fn a_box_that_the_store_turns_away_learns_of_a_revoked_key_from_a_neighbour()
-> anyhow::Result<()> {
    let world = World::start(1).await?;
    let other = RelayBox::start("box-2", world.store.address, &[])?;
    other.wait_ready().await?;
    world.relay.wait_line(&["box entry", "box-2"]).await?;
    // All of a loopback host's calls come from one address: the box is silenced by its own.
    world.store.put_routes(&desired_state(4, &["key-1"]));
    wait_until(|| world.relay.log().matches("routes in force").count() >= 2).await?;
    world.relay.signal("STOP")?;
    world.store.put_routes(&desired_state(5, &["key-2"]));
    wait_status(&other, "key-2", 200).await?;
    world.store.set_mode(Mode::Busy);
    world.relay.signal("CONT")?;

    wait_status(&world.relay, "key-1", 401).await?;

    // Lines are written by a thread of their own, a moment later.
    let source = "\"source\":\"neighbour\"";
    world.relay.wait_line(&["routes in force", source]).await
}

#[tokio::test]
async fn a_box_that_starts_while_the_store_is_away_takes_its_state_from_a_neighbour()
-> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.store.set_mode(Mode::Silent);

    let late = RelayBox::start("box-2", world.store.address, &[world.relay.ip])?;
    late.wait_ready().await?;

    assert_eq!(status(&late, "key-1").await?, 200);
    Ok(())
}

#[tokio::test]
async fn entries_that_lapse_with_the_store_do_not_stop_the_box_serving() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.store.set_mode(Mode::Silent);
    world.relay.wait_line(&["store lost"]).await?;
    world.store.remove("servers/i-0");
    world.store.set_mode(Mode::Serving);
    world.relay.wait_line(&["server entry gone", "i-0"]).await?;

    assert_eq!(status(&world.relay, "key-1").await?, 200);

    world
        .relay
        .wait_line(&["still missing after the hold"])
        .await?;
    wait_status(&world.relay, "key-1", 503).await
}

/// Found by a hunt: boxes that turned from the store to neighbours while it was away held entries
/// that ended later for ever.
#[tokio::test]
async fn boxes_that_follow_neighbours_after_an_outage_let_go_of_servers() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    let others = [
        RelayBox::start("box-2", world.store.address, &[])?,
        RelayBox::start("box-3", world.store.address, &[])?,
        RelayBox::start("box-4", world.store.address, &[])?,
    ];
    for other in &others {
        other.wait_ready().await?;
        world.relay.wait_line(&["box entry"]).await?;
    }
    world.store.set_mode(Mode::Silent);
    for other in &others {
        other.wait_line(&["store lost"]).await?;
    }
    world.store.set_mode(Mode::Serving);
    world.relay.wait_line(&["store regained"]).await?;
    // What is held after the outage has been let go by now.
    tokio::time::sleep(Duration::from_secs(4)).await;

    world.store.remove("servers/i-0");
    for other in &others {
        wait_unused(other, &world.servers[0]).await?;
    }
    Ok(())
}

/// Waits until a box sends none of twenty calls to this server.
async fn wait_unused(relay: &RelayBox, server: &Server) -> anyhow::Result<()> {
    for _ in 0..60 {
        let before = server.seen().len();
        for at in 0..20 {
            Caller::once(relay.front(), &again(&format!("id-{at}"), "key-1")).await?;
        }
        if server.seen().len() == before {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("{} is used on; log:\n{}", server.name, relay.log())
}

#[tokio::test]
async fn a_planned_stop_serves_what_is_open_and_what_still_arrives() -> anyhow::Result<()> {
    let mut world = World::start(1).await?;
    let mut open = Caller::connect(world.relay.front()).await?;
    let mut streaming = Caller::connect(world.relay.front()).await?;
    streaming
        .send(&call("POST", "/stream/a", "id-1", "", ""))
        .await?;

    world.relay.signal("TERM")?;
    world.relay.wait_line(&["planned stop begun"]).await?;
    open.send(&again("id-2", "key-1")).await?;
    let late = open.answer().await?;
    let whole = streaming.answer().await?;

    assert!(!world.relay.is_ready().await);
    assert_eq!(
        (late.status, late.header("connection")),
        (200, Some("close"))
    );
    assert!(whole.whole);
    let relay = &mut world.relay;
    wait_until(|| relay.ended().is_ok_and(|code| code == Some(0))).await
}

#[tokio::test]
async fn a_stop_ends_in_time_though_a_call_hangs() -> anyhow::Result<()> {
    let mut world = World::start(1).await?;
    world.servers[0].usually(Behaviour::Silent);
    let mut hangs = Caller::connect(world.relay.front()).await?;
    hangs.send(&again("id-1", "key-1")).await?;
    world.relay.wait_line(&["call routed"]).await?;

    world.relay.signal("TERM")?;

    let relay = &mut world.relay;
    wait_until(|| relay.ended().is_ok_and(|code| code == Some(0))).await
}

/// Found by a hunt: a prompt that waited for engines was cut without an answer.
#[tokio::test]
async fn a_prompt_that_waits_for_engines_is_refused_by_a_box_that_stops() -> anyhow::Result<()> {
    let mut world = World::start(1).await?;
    let engine = Server::start("e-0", "engines", Duration::from_millis(20)).await?;
    world.store.put(&engine.key(), &engine.entry("ready"));
    world.relay.wait_line(&["server entry", "e-0"]).await?;
    let mut waits = Caller::connect(world.relay.front()).await?;
    // More than the one engine holds, so it waits for others.
    let tokens = "Badgerferry-Token-Counts: 500000,100\r\n";
    let text = call("POST", "/long/a", "id-1", tokens, "").replace("Ms: 5000", "Ms: 20000");
    waits.send(&text).await?;

    world.relay.signal("TERM")?;
    let answer = waits.answer().await?;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("box_leaving"), "{}", answer.body);
    assert!(engine.seen().is_empty());
    let relay = &mut world.relay;
    wait_until(|| relay.ended().is_ok_and(|code| code == Some(0))).await
}

#[tokio::test]
async fn a_killed_box_comes_back_with_the_stores_state() -> anyhow::Result<()> {
    let mut world = World::start(1).await?;
    world.store.put_routes(&desired_state(5, &["key-5"]));

    world.relay.restart()?;
    world.relay.wait_ready().await?;

    assert_eq!(status(&world.relay, "key-5").await?, 200);
    Ok(())
}

#[tokio::test]
async fn a_box_enters_itself_once_for_all_its_lives() -> anyhow::Result<()> {
    let key = "badgerferry/boxes/box-1";
    let mut world = World::start(1).await?;
    let store = world.store.clone();
    wait_until(|| store.keys("badgerferry/boxes/") == [key]).await?;
    let entered_at = store.revision_of(key);

    world.relay.restart()?;
    world.relay.wait_ready().await?;
    // A store's answer that comes after the start shows that no write is under way.
    world.store.put_routes(&desired_state(5, &["key-5"]));
    wait_status(&world.relay, "key-5", 200).await?;

    assert_eq!(store.revision_of(key), entered_at);
    Ok(())
}

#[tokio::test]
async fn a_box_whose_entry_is_removed_enters_itself_again() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let store = world.store.clone();
    let key = "badgerferry/boxes/box-1";
    wait_until(|| store.revision_of(key) > 0).await?;

    store.remove(key);

    wait_until(|| store.revision_of(key) > 0).await
}

/// Answers one call with a list that comes in pieces, with a pause before each.
#[tokio::test]
async fn a_box_whose_entry_went_with_the_history_enters_itself_again() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let store = world.store.clone();
    let key = "badgerferry/boxes/box-1";
    wait_until(|| store.revision_of(key) > 0).await?;
    store.set_mode(Mode::Reset);
    world.relay.wait_line(&["store lost"]).await?;

    store.remove(key);
    store.forget_history();
    store.set_mode(Mode::Serving);

    wait_until(|| store.revision_of(key) > 0).await
}

async fn answer_in_pieces(listener: TcpListener, pause: Duration) -> anyhow::Result<()> {
    let (mut stream, _peer) = listener.accept().await?;
    let _ = stream.read(&mut [0; 4_096]).await?;
    let body = "{\"items\":[],\"has_more\":false,\"timestamp\":7}";
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await?;
    for piece in body.as_bytes().chunks(body.len().div_ceil(5)) {
        tokio::time::sleep(pause).await;
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Found by a play: boxes that read everything at once over one link gave up half-way.
#[tokio::test]
async fn a_store_whose_answer_keeps_coming_is_not_given_up() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let limit = Duration::from_secs(2);
    let mut client = Client::new(listener.local_addr()?, limit);
    let answers = tokio::spawn(answer_in_pieces(listener, limit / 4));

    let all = client.read_all().await?;

    assert_eq!(all.position.revision, 7);
    answers.await?
}

#[tokio::test]
async fn an_entry_that_was_written_again_is_not_removed() -> anyhow::Result<()> {
    let store = Store::start().await?;
    let key = "badgerferry/boxes/box-9";
    let mut client = Client::new(store.address, Duration::from_secs(5));
    let of = BoxAddresses {
        name: "box-9".to_owned(),
        hall: "hall-a".to_owned(),
        pull: "127.0.0.1:1".to_owned(),
        load: "127.0.0.1:2".to_owned(),
        processor: 250,
    };
    client.put_box(&of).await?;
    let position = || StorePosition {
        era: store.era(),
        revision: store.revision_of(key),
    };
    let first = position();
    client.put_box(&of).await?;

    let refused = client.remove_box("box-9", first).await;
    let is_kept = position() > first;
    client.remove_box("box-9", position()).await?;

    assert!(
        matches!(refused, Err(StoreError::NotDone(_))),
        "{refused:?}"
    );
    assert!(is_kept);
    assert_eq!(store.revision_of(key), 0);
    Ok(())
}

#[tokio::test]
async fn an_entry_whose_writing_got_no_answer_is_kept_all_the_same() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    store.lose_answers(1);
    let relay = RelayBox::start("box-1", store.address, &[])?;
    relay.wait_ready().await?;

    relay.wait_line(&["store lost", "no answer"]).await?;

    relay.wait_line(&["this box is entered"]).await?;
    wait_until(|| store.keys("badgerferry/boxes/") == ["badgerferry/boxes/box-1"]).await
}

#[tokio::test]
async fn a_hangup_reads_the_settings_file_again_and_cuts_nothing() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;

    world.relay.signal("HUP")?;
    world.relay.wait_line(&["settings file unchanged"]).await?;
    caller.send(&again("id-1", "key-1")).await?;

    assert_eq!(caller.answer().await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn figures_are_served_in_the_prometheus_format() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    status(&world.relay, "key-1").await?;
    let address = (IpAddr::from(world.relay.ip), 9_464).into();

    let page = Caller::once(address, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").await?;

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
async fn an_entry_that_another_writer_broke_names_no_server_and_the_others_hold()
-> anyhow::Result<()> {
    let world = World::start(2).await?;
    let broken = &world.servers[0];

    world.store.put(&broken.key(), &json!({"service": ["s"]}));
    let line = ["server entry can't be read", "i-0"];
    world.relay.wait_line(&line).await?;

    wait_unused(&world.relay, broken).await?;
    assert_eq!(status(&world.relay, "key-1").await?, 200);
    world.store.put(&broken.key(), &broken.entry("ready"));
    world
        .relay
        .wait_line(&["server entry", "i-0", "false"])
        .await?;
    Ok(())
}
