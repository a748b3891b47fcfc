//! Servers that announce in their responses that they are leaving, while the store doesn't say so.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// Duration of the load before a server announces that it is leaving.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time in which the first box that receives the notice informs all others.
const PROPAGATION_TIME: Duration = Duration::from_millis(250);
/// Exceeds the time for which a box relies on what other boxes infer about a server.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// Counts calls that arrived after all boxes had to be informed. The response to the first call
/// after `since` is the first notice.
fn late_calls(server: &Server, since: Instant) -> usize {
    let times = server
        .received_calls()
        .into_iter()
        .filter_map(|seen| seen.received_at);
    let times: Vec<Instant> = times.filter(|at| *at >= since).collect();
    let informed_at = times.first().map(|first| *first + PROPAGATION_TIME);
    times.iter().filter(|at| Some(**at) > informed_at).count()
}

async fn assert_leaving_server_gets_no_late_calls(
    boxes: usize,
    service: &str,
    path: &str,
    headers: &str,
) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("fleet starts");
    fleet.call_all(path, headers, WARM_UP).await;
    fleet.store.set_mode(Mode::Silent);
    let leaving = fleet.busiest();
    leaving.announce_leaving(Some("1"));
    let since = Instant::now();

    let answers = fleet.call_all(path, headers, OBSERVATION_TIME).await;

    let late = late_calls(leaving, since);
    assert_eq!(
        late,
        0,
        "calls to a leaving server; logs:\n{}",
        fleet.logs()
    );
    assert_eq!(
        count_served(&answers),
        answers.len(),
        "other servers can serve all calls"
    );
}

#[tokio::test]
async fn leaving_server_gets_no_calls_from_one_box() {
    assert_leaving_server_gets_no_late_calls(1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn leaving_server_gets_no_calls_from_four_boxes() {
    assert_leaving_server_gets_no_late_calls(4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn leaving_engine_gets_no_calls_from_four_boxes() {
    assert_leaving_server_gets_no_late_calls(4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn calls_are_refused_at_once_when_all_servers_are_leaving() {
    let fleet = Fleet::start(2, 3, "boards").await.expect("fleet starts");
    fleet.store.set_mode(Mode::Silent);
    for server in &fleet.servers {
        server.announce_leaving(Some("1"));
    }
    fleet.call_all("/again/a", "", WARM_UP).await;

    let answers = fleet.call_all("/again/a", "", WARM_UP).await;

    for (answer, took) in answers {
        assert_eq!(answer.status, 503, "{answer:?}; {}", fleet.logs());
        assert!(answer.body.contains("servers_leaving"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(
            took < Duration::from_millis(500),
            "refused after {took:?}; {}",
            fleet.logs()
        );
    }
}

#[tokio::test]
async fn stream_on_a_leaving_server_completes() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("fleet starts");
    fleet.servers[0].announce_leaving(Some("1"));
    let request = call("POST", "/stream/a", "stream", "", "a prompt");

    let answer = Caller::exchange(fleet.boxes[0].front(), &request).await;

    let answer = answer.expect("box responds");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_complete, "{answer:?}");
}

#[tokio::test]
async fn restarted_server_of_the_same_name_gets_calls() {
    let fleet = Fleet::start(2, 1, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    server.set_crash_rule(CrashRule::on_body(
        "",
        Duration::from_millis(300),
        &fleet.store,
    ));
    server.announce_leaving(Some("1"));
    fleet.call_all("/again/a", "", WARM_UP).await;

    server.crash();

    for relay_box in &fleet.boxes {
        let mut attempts = 0;
        let mut status = 0;
        while status != 200 && attempts < 200 {
            attempts += 1;
            let request = call("POST", "/again/a", &format!("again-{attempts}"), "", "");
            let answer = Caller::exchange(relay_box.front(), &request)
                .await
                .unwrap_or_default();
            status = answer.status;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(status, 200, "{}", relay_box.log());
    }
}

#[tokio::test]
async fn box_started_during_store_outage_learns_leaving_servers() {
    let mut fleet = Fleet::start(1, 3, "boards").await.expect("fleet starts");
    let leaving = fleet.servers[0].clone();
    leaving.announce_leaving(Some("1"));
    while !leaving.received_calls().iter().any(|seen| seen.ran) {
        fleet.call_all("/again/a", "", WARM_UP).await;
    }
    fleet.store.set_mode(Mode::Silent);
    let seeds = [fleet.boxes[0].ip];
    let late = RelayBox::start("box-late", fleet.store.address, &seeds).expect("box starts");
    late.wait_ready().await.expect("box has routes");
    fleet.boxes = vec![late];
    let since = Instant::now();

    let answers = fleet.call_all("/again/a", "", OBSERVATION_TIME).await;

    let times = leaving
        .received_calls()
        .into_iter()
        .filter_map(|seen| seen.received_at);
    assert_eq!(
        times.filter(|at| *at >= since).count(),
        0,
        "{}",
        fleet.logs()
    );
    assert_eq!(count_served(&answers), answers.len());
}

#[tokio::test]
async fn malformed_leaving_header_is_ignored() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("fleet starts");
    for malformed in ["0", "", "yes", "11"] {
        fleet.servers[0].announce_leaving(Some(malformed));

        let answers = fleet.call_all("/again/a", "", WARM_UP).await;

        assert_eq!(
            count_served(&answers),
            answers.len(),
            "{malformed:?}: {}",
            fleet.logs()
        );
    }
    let line = "unreadable header in server response";
    wait_until(|| fleet.boxes[0].log().contains(line))
        .await
        .expect("log line appears");
}

/// Guards against a notice that is attributed to the expected server though another one responds at
/// its address.
#[tokio::test]
async fn leaving_header_of_another_server_is_ignored() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("fleet starts");
    for server in &fleet.servers {
        server.announce_leaving(Some("1"));
        server.queue_behaviours(&[Behaviour::ForeignId]);
    }
    let request = call("POST", "/again/a", "first", "", "");
    // These responses are unusable; the test checks that the servers are used afterwards.
    let _ = Caller::exchange(fleet.boxes[0].front(), &request).await;
    for server in &fleet.servers {
        server.announce_leaving(None);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let answers = fleet.call_all("/again/a", "", WARM_UP).await;

    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
}

/// Guards against an entry by another writer that is taken for a new incarnation of its server.
#[tokio::test]
async fn entry_without_all_fields_does_not_undo_what_a_leaving_server_said() -> anyhow::Result<()> {
    for missing in [
        &["version", "cold_left_ms", "call_seq", "born"][..],
        &["born"],
    ] {
        let fleet = Fleet::start(1, 2, "boards").await?;
        let leaving = &fleet.servers[0];
        let mut entry = leaving.entry("ready");
        entry["born"] = 7.into();
        fleet.store.put(&leaving.key(), &entry);
        let written = ["server entry", "i-0", "\"born\":7"];
        fleet.boxes[0].wait_for_log_line(&written).await?;
        leaving.announce_leaving(Some("1"));
        while !leaving.received_calls().iter().any(|seen| seen.ran) {
            fleet.call_all("/again/a", "", WARM_UP).await;
        }

        let fields = entry.as_object_mut().expect("an entry is an object");
        fields.retain(|name, _| !missing.contains(&name.as_str()));
        fleet.store.put(&leaving.key(), &entry);
        tokio::time::sleep(PROPAGATION_TIME * 2).await;
        let before = leaving.received_calls().len();
        fleet.call_all("/again/a", "", WARM_UP * 2).await;

        let received = leaving.received_calls().len();
        assert_eq!(received, before, "without {missing:?}; {}", fleet.logs());
    }
    Ok(())
}
