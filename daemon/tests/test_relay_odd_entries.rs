//! Entries in the store that no server has written.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;
use serde_json::Value;
use serde_json::json;

/// Time in which a box reads changed entries.
const FOLLOW_TIME: Duration = Duration::from_millis(500);

/// Entries that differ from a valid one in one field.
fn odd_fields(valid: &Value) -> Vec<Vec<u8>> {
    let long = "x".repeat(100_000);
    let changes = [
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("255.255.255.255:80")),
        ("address", json!("[::1]:80")),
        ("address", json!("no address")),
        ("slots", json!(u64::MAX)),
        ("slots", json!(-1)),
        ("slots", json!(0)),
        ("slots", json!(1.5)),
        ("born", json!(-1)),
        ("born", json!(u64::MAX)),
        ("cold_left_ms", json!(-1e300)),
        ("cold_left_ms", json!(1e308)),
        ("call_seq", json!(1e300)),
        ("zone", json!(long)),
        ("zone", json!("")),
        ("service", json!(long)),
        ("service", json!("")),
        ("service", json!(["boards"])),
        ("state", json!(null)),
        ("version", json!({"a": 1})),
    ];
    let differing = changes.map(|(field, value)| {
        let mut entry = valid.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    });
    let text = valid.to_string();
    let with_field =
        |field: &str| (text[..text.len() - 1].to_owned() + "," + field + "}").into_bytes();
    let nested = |depth| "[".repeat(depth) + &"]".repeat(depth);
    let mut entries = differing.to_vec();
    entries.extend([
        with_field(&format!("\"nested\": {}", nested(100_000))),
        with_field("\"number\": 1e400"),
        with_field(&format!("\"number\": {}", "9".repeat(10_000))),
        with_field("\"slots\": 1"),
        nested(100_000).into_bytes(),
        b"[".repeat(300_000),
        b"{\"a\":".repeat(100_000),
        b"1e400".to_vec(),
        b"null".to_vec(),
        Vec::new(),
        vec![0],
        vec![0xff; 1_000],
        text.as_bytes()[..text.len() / 2].to_vec(),
    ]);
    entries
}

/// Writes odd entries of servers under keys of their own.
fn add_odd_servers(cluster: &TestCluster) {
    let valid = cluster.servers[0].entry("ready");
    for (index, entry) in odd_fields(&valid).iter().enumerate() {
        let key = format!("servers/odd-{index}");
        cluster.store.put_bytes(&key, entry);
    }
}

/// Checks that the box serves calls, and follows the list to a new server.
async fn assert_follows(cluster: &mut TestCluster, name: &str) -> anyhow::Result<()> {
    let added = Server::start(name, "boards", Duration::from_millis(20)).await?;
    cluster.store.put(&added.key(), &added.entry("ready"));
    tokio::time::sleep(FOLLOW_TIME).await;

    for index in 0..60 {
        let text = call("GET", "/again/a", &format!("{name}-{index}"), "", "");
        let response = Caller::exchange(cluster.relay.front(), &text).await?;
        assert_eq!(response.status, 200, "{response:?}");
    }

    assert!(
        !added.received_calls().is_empty(),
        "the list is not followed; log:\n{}",
        cluster.relay.log()
    );
    assert_eq!(cluster.relay.exit_code()?, None, "the box has exited");
    cluster.store.remove(&added.key());
    Ok(())
}

#[tokio::test]
async fn odd_server_entries_neither_end_a_box_nor_hide_other_servers() -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(3).await?;
    add_odd_servers(&cluster);

    assert_follows(&mut cluster, "added").await
}

#[tokio::test]
async fn odd_entries_that_replace_the_one_of_a_server_last_until_it_writes_again()
-> anyhow::Result<()> {
    let mut cluster = TestCluster::start(3).await?;
    let replaced = cluster.servers[0].clone();
    let valid = replaced.entry("ready");

    for entry in odd_fields(&valid) {
        cluster.store.put_bytes(&replaced.key(), &entry);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_follows(&mut cluster, "added").await?;
    cluster.store.put(&replaced.key(), &valid);
    let before = replaced.received_calls().len();

    assert_follows(&mut cluster, "added-later").await?;
    assert!(replaced.received_calls().len() > before, "not used again");
    Ok(())
}

#[tokio::test]
async fn odd_values_under_keys_of_boxes_and_suspects_do_not_end_a_box() -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(3).await?;
    let entry = json!({"name": "odd", "hall": "hall-a", "pull": "127.0.0.1:99999",
        "load": "127.0.0.1:0"});

    for (index, value) in odd_fields(&entry).iter().enumerate() {
        for prefix in ["badgerferry/boxes/odd", "badgerferry/suspects/odd/held"] {
            cluster.store.put_bytes(&format!("{prefix}-{index}"), value);
        }
    }

    assert_follows(&mut cluster, "added").await
}

#[tokio::test]
async fn list_read_at_the_start_with_odd_entries_is_followed() -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(3).await?;
    add_odd_servers(&cluster);

    cluster.relay.restart()?;
    cluster.relay.wait_ready().await?;

    assert_follows(&mut cluster, "added").await
}

#[tokio::test]
async fn server_whose_entry_states_too_many_slots_does_not_take_all_calls() -> anyhow::Result<()> {
    let cluster = TestCluster::start(3).await?;
    for server in &cluster.servers {
        server.add_header("Badgerferry-Server-Load", "1,0,16");
    }
    let odd = &cluster.servers[0];
    let mut entry = odd.entry("ready");
    entry["slots"] = json!(u32::MAX);
    cluster.store.put(&odd.key(), &entry);
    tokio::time::sleep(FOLLOW_TIME).await;

    let front = cluster.relay.front();
    while odd.received_calls().is_empty() {
        Caller::exchange(front, &call("GET", "/again/a", "first", "", "")).await?;
    }
    let calls = (0..90).map(|index| async move {
        let text = call("GET", "/again/a", &format!("call-{index}"), "", "");
        Caller::exchange(front, &text).await
    });
    let responses = futures::future::try_join_all(calls).await?;

    assert!(responses.iter().all(|response| response.status == 200));
    let shares = cluster
        .servers
        .iter()
        .map(|server| server.received_calls().len());
    let shares: Vec<usize> = shares.collect();
    assert!(
        shares.iter().all(|calls| *calls >= 10),
        "calls by server: {shares:?}"
    );
    Ok(())
}
