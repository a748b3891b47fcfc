//! Data halls that the operator evacuates and restores.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use serde_json::json;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// Duration of the load before a hall is evacuated.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time within which each hall must be in use.
const MAX_WARM_UP: Duration = Duration::from_secs(10);
/// Time in which an evacuation or a restore takes effect at every box.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// Exceeds the time for which servers are excluded after failures.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Time in which a call reaches the gate, where it waits for the rest of the pause of 0.9 s.
const ADMISSION_TIME: Duration = Duration::from_millis(300);
/// Time until a crashed server runs again; a box checks for its exit within this time.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// A prompt that needs the memory of three engines.
const LARGE_PROMPT: &str = "Badgerferry-Token-Counts: 250000,100\r\n";

fn evacuate(store: &Store, hall: &str) {
    store.put(&format!("op/evacuate/{hall}"), &json!({}));
}

fn restore(store: &Store, hall: &str) {
    store.remove(&format!("op/evacuate/{hall}"));
}

/// Requests of any kind that reached the servers at or after `since`.
fn arrivals_since(servers: &[Server], since: Instant) -> usize {
    let arrivals = servers.iter().flat_map(Server::arrivals);
    arrivals.filter(|at| *at >= since).count()
}

async fn assert_evacuated_hall_gets_nothing_until_it_is_restored(
    service: &str,
    path: &str,
    headers: &str,
) {
    let halls = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b"];
    let fleet = Fleet::start_in_halls(4, &halls, service)
        .await
        .expect("fleet starts");
    let in_hall_a = &fleet.servers[..3];
    let started_at = Instant::now();
    // Few calls may all go to the other hall by chance.
    let deadline = started_at + MAX_WARM_UP;
    while arrivals_since(in_hall_a, started_at) == 0 && Instant::now() < deadline {
        fleet.call_all(path, headers, WARM_UP).await;
    }
    let before = arrivals_since(in_hall_a, started_at);

    evacuate(&fleet.store, "hall-a");
    let effective_at = Instant::now() + PROPAGATION_TIME;
    let answers = fleet.call_all(path, headers, OBSERVATION_TIME).await;
    let during = arrivals_since(in_hall_a, effective_at);
    restore(&fleet.store, "hall-a");
    let effective_at = Instant::now() + PROPAGATION_TIME;
    let after_restore = fleet.call_all(path, headers, 2 * PROPAGATION_TIME).await;
    let after = arrivals_since(in_hall_a, effective_at);

    assert!(before > 0, "the hall is in use before its evacuation");
    assert_eq!(during, 0, "{}", fleet.logs());
    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
    assert!(after > 0, "the hall is used again; {}", fleet.logs());
    assert_eq!(count_served(&after_restore), after_restore.len());
}

#[tokio::test]
async fn evacuated_hall_gets_no_plain_calls_until_it_is_restored() {
    assert_evacuated_hall_gets_nothing_until_it_is_restored("boards", "/again/a", "").await;
}

#[tokio::test]
async fn evacuated_hall_gets_no_prompts_until_it_is_restored() {
    let (service, path) = ("engines", "/long/stream");
    assert_evacuated_hall_gets_nothing_until_it_is_restored(service, path, SHORT_PROMPT).await;
}

#[tokio::test]
async fn calls_are_refused_at_once_while_all_halls_are_evacuated() {
    let fleet = Fleet::start_in_halls(2, &["hall-a", "hall-b"], "boards")
        .await
        .expect("fleet starts");
    evacuate(&fleet.store, "hall-a");
    evacuate(&fleet.store, "hall-b");
    tokio::time::sleep(PROPAGATION_TIME).await;

    let refused = fleet.call_all("/again/a", "", WARM_UP).await;
    restore(&fleet.store, "hall-b");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let served = fleet.call_all("/again/a", "", WARM_UP).await;

    for (answer, took) in refused {
        assert_eq!(answer.status, 503, "{answer:?}; {}", fleet.logs());
        assert!(answer.body.contains("servers_evacuated"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(took < Duration::from_millis(500), "refused after {took:?}");
    }
    assert_eq!(count_served(&served), served.len(), "{}", fleet.logs());
    assert!(fleet.servers[0].received_calls().is_empty());
}

#[tokio::test]
async fn box_without_store_learns_of_an_evacuation_from_a_peer() -> anyhow::Result<()> {
    let fleet = Fleet::start_in_halls(2, &["hall-a", "hall-b"], "boards").await?;
    let [cut_off, peer] = &fleet.boxes[..] else {
        anyhow::bail!("the fleet has two boxes");
    };
    // All calls on the loopback interface have one source address, so the store can't reject only
    // this box. It is suspended between two watches, until the peer knows of the evacuation.
    evacuate(&fleet.store, "hall-x");
    cut_off.wait_for_log_line(&["hall evacuated"]).await?;
    cut_off.signal("STOP")?;
    evacuate(&fleet.store, "hall-a");
    peer.wait_for_log_line(&["hall evacuated", "hall-a\",\"servers"])
        .await?;
    fleet.store.set_mode(Mode::Busy);
    cut_off.signal("CONT")?;

    cut_off
        .wait_for_log_line(&[
            "hall evacuated",
            "hall-a\",\"servers",
            "\"source\":\"peer\"",
        ])
        .await?;
    let since = Instant::now();
    let answers = fleet.call_all("/again/a", "", WARM_UP).await;

    assert_eq!(arrivals_since(&fleet.servers[..1], since), 0);
    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
    Ok(())
}

#[tokio::test]
async fn box_started_during_store_outage_sends_nothing_to_an_evacuated_hall() -> anyhow::Result<()>
{
    let mut fleet = Fleet::start_in_halls(1, &["hall-a", "hall-b"], "boards").await?;
    evacuate(&fleet.store, "hall-a");
    fleet.boxes[0]
        .wait_for_log_line(&["hall evacuated"])
        .await?;
    fleet.store.set_mode(Mode::Silent);
    let late = RelayBox::start("box-late", fleet.store.address, &[fleet.boxes[0].ip])?;
    fleet.boxes.push(late);
    let since = Instant::now();

    let answers = fleet.call_all("/again/a", "", OBSERVATION_TIME).await;

    assert_eq!(arrivals_since(&fleet.servers[..1], since), 0);
    let log = fleet.logs();
    assert!(count_served(&answers) > answers.len() / 2, "{log}");
    Ok(())
}

/// A call that waits at the gate for the end of a pause is not sent once the hall is evacuated.
#[tokio::test]
async fn call_that_waits_for_a_paused_server_is_not_sent_after_an_evacuation() -> anyhow::Result<()>
{
    let fleet = Fleet::start_in_halls(1, &["hall-a"], "engines").await?;
    let engine = &fleet.servers[0];
    engine.shed(Some("0.9"));
    let relay_box = &fleet.boxes[0];
    let request = |id| call("POST", "/long/stream", id, SHORT_PROMPT, "a prompt");
    Caller::exchange(relay_box.front(), &request("shed")).await?;
    let mut waiting = Caller::connect(relay_box.front()).await?;
    waiting.send(&request("waiting")).await?;
    tokio::time::sleep(ADMISSION_TIME).await;

    evacuate(&fleet.store, "hall-a");
    let answer = waiting.read_response().await?;

    let log = relay_box.log();
    assert!(answer.body.contains("servers_evacuated"), "{answer:?}");
    let received = engine.received_calls();
    assert!(received.iter().all(|call| call.id() == "shed"), "{log}");
    relay_box
        .wait_for_log_line(&["call held back from a server", "evacuated"])
        .await
}

#[tokio::test]
async fn prompt_that_waits_for_memory_is_planned_in_another_hall() -> anyhow::Result<()> {
    let halls = ["hall-a"; 4].into_iter().chain(["hall-b"; 4]);
    let fleet = Fleet::start_in_halls(1, &halls.collect::<Vec<_>>(), "engines").await?;
    for engine in &fleet.servers {
        engine.refuse_reservations(usize::MAX);
    }
    let relay_box = &fleet.boxes[0];
    let request = call("POST", "/long/stream", "large", LARGE_PROMPT, "a prompt");
    let mut caller = Caller::connect(relay_box.front()).await?;
    caller
        .send(&request.replace("Ms: 5000", "Ms: 20000"))
        .await?;
    relay_box
        .wait_for_log_line(&["memory reservation requested"])
        .await?;

    evacuate(&fleet.store, "hall-a");
    relay_box.wait_for_log_line(&["hall evacuated"]).await?;
    let since = Instant::now();
    for engine in &fleet.servers {
        engine.refuse_reservations(0);
    }
    let answer = caller.read_response().await?;

    let reserved = fleet.servers[..4].iter().flat_map(Server::received_calls);
    assert_eq!(answer.status, 200, "{answer:?}; {}", relay_box.log());
    assert_eq!(reserved.count(), 0);
    assert!(arrivals_since(&fleet.servers[4..], since) > 0);
    Ok(())
}

fn order_ids(engine: &Server, operation: &str) -> Vec<String> {
    let orders = engine.orders();
    let orders = orders
        .iter()
        .filter(|order| order["operation"] == operation);
    orders.map(|order| order["id"].to_string()).collect()
}

fn have_released_all(engines: &[Server]) -> bool {
    engines.iter().all(|engine| {
        let released = order_ids(engine, "release");
        let reserved = order_ids(engine, "reserve");
        reserved.iter().all(|id| released.contains(id))
    })
}

/// The hall of a helper is evacuated while the engines reserve memory. Which engines serve a prompt
/// on an idle fleet depends only on their names, so that a first prompt shows those of the second.
#[tokio::test]
async fn prompt_whose_helper_is_evacuated_before_it_is_sent_is_planned_again() -> anyhow::Result<()>
{
    let fleet = Fleet::start_in_halls(1, &["hall-a"; 6], "engines").await?;
    let relay_box = &fleet.boxes[0];
    let request = |id| call("POST", "/long/stream", id, LARGE_PROMPT, "a prompt");
    let request = |id| request(id).replace("Ms: 5000", "Ms: 20000");
    Caller::exchange(relay_box.front(), &request("first")).await?;
    let helper = fleet
        .servers
        .iter()
        .find(|engine| !engine.orders().is_empty() && engine.received_calls().is_empty())
        .context("a helper reserved memory")?;
    let mut entry = helper.entry("ready");
    entry["zone"] = json!("hall-b");
    fleet.store.put(&helper.key(), &entry);
    wait_until(|| have_released_all(&fleet.servers)).await?;
    for engine in &fleet.servers {
        engine.hold_orders(true);
    }
    let mut caller = Caller::connect(relay_box.front()).await?;
    caller.send(&request("second")).await?;
    wait_until(|| order_ids(helper, "reserve").len() == 2).await?;

    evacuate(&fleet.store, "hall-b");
    relay_box.wait_for_log_line(&["hall evacuated"]).await?;
    for engine in &fleet.servers {
        engine.hold_orders(false);
    }
    let answer = caller.read_response().await?;

    let log = relay_box.log();
    assert_eq!(answer.status, 200, "{answer:?}; {log}");
    assert!(log.contains("call held back from a server"), "{log}");
    assert_eq!(order_ids(helper, "reserve").len(), 2, "{log}");
    let calls = fleet.servers.iter().flat_map(Server::received_calls);
    let calls: Vec<_> = calls.filter(|call| call.id() == "second").collect();
    let address = helper.address.to_string();
    let names_helper = |value: &String| value.contains(&address);
    assert_eq!(calls.len(), 1, "{log}");
    assert!(!calls[0].headers.values().any(names_helper), "{calls:?}");
    wait_until(|| have_released_all(&fleet.servers)).await
}

#[tokio::test]
async fn prompt_that_only_evacuated_engines_can_hold_is_refused_at_once() -> anyhow::Result<()> {
    let halls = ["hall-a", "hall-a", "hall-a", "hall-b"];
    let fleet = Fleet::start_in_halls(1, &halls, "engines").await?;
    let relay_box = &fleet.boxes[0];
    evacuate(&fleet.store, "hall-a");
    relay_box.wait_for_log_line(&["hall evacuated"]).await?;

    let request = call("POST", "/long/stream", "large", LARGE_PROMPT, "a prompt");
    let answer = Caller::exchange(relay_box.front(), &request);
    let answer = tokio::time::timeout(Duration::from_secs(1), answer).await??;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("servers_evacuated"), "{answer:?}");
    Ok(())
}

/// Evacuated halls are often shut down, so the exit of a server there is no crash.
#[tokio::test]
async fn server_that_exits_in_an_evacuated_hall_makes_no_request_suspect() -> anyhow::Result<()> {
    let fleet = Fleet::start_in_halls(1, &["hall-a"], "boards").await?;
    let (relay_box, server) = (&fleet.boxes[0], &fleet.servers[0]);
    server.set_default_behaviour(Behaviour::Silent);
    server.set_crash_rule(CrashRule::on_body("none", DOWN_TIME, &fleet.store));
    let mut caller = Caller::connect(relay_box.front()).await?;
    caller
        .send(&call("POST", "/again/a", "running", "", "a prompt"))
        .await?;
    wait_until(|| !server.received_calls().is_empty()).await?;
    evacuate(&fleet.store, "hall-a");
    relay_box.wait_for_log_line(&["hall evacuated"]).await?;

    server.crash();
    let answer = caller.read_response().await?;

    relay_box
        .wait_for_log_line(&["call ended", "running"])
        .await?;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!relay_box.log().contains("server crashed during a call"));
    Ok(())
}

#[tokio::test]
async fn evacuation_of_an_unknown_hall_is_logged_and_has_no_effect() -> anyhow::Result<()> {
    let fleet = Fleet::start_in_halls(1, &["hall-a"], "boards").await?;

    evacuate(&fleet.store, "hall-x");
    let relay_box = &fleet.boxes[0];
    relay_box
        .wait_for_log_line(&["evacuated hall has no servers", "hall-x"])
        .await?;
    let answers = fleet.call_all("/again/a", "", WARM_UP).await;

    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
    Ok(())
}
