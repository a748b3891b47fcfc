//! Servers that shed load: they reject calls and request a pause.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::ReceivedCall;
use badgerferry_standin::server::Server;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// Duration of the load before a server starts to shed.
const WARM_UP: Duration = Duration::from_millis(500);
/// Requested pause, as header value in seconds and as a duration.
const PAUSE_TEXT: &str = "2";
const PAUSE: Duration = Duration::from_secs(2);
/// Time in which calls that were in flight when a server requested a pause may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time for three pauses.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Box index in the ID of a call by [`Fleet::call_all`].
fn box_of(seen: &ReceivedCall) -> Option<&str> {
    seen.id().split('-').nth(1)
}

/// Maximum number of calls from one box during a pause that the server requested of it.
fn max_calls_in_pause(server: &Server) -> usize {
    let seen = server.received_calls();
    let within = |rejected: &ReceivedCall| {
        let rejected_at = rejected.received_at.expect("arrival time is recorded");
        let calls_of_box = seen.iter().filter(|call| box_of(call) == box_of(rejected));
        let times = calls_of_box.filter_map(|call| call.received_at);
        times
            .filter(|at| *at > rejected_at + IN_FLIGHT_TIME && *at < rejected_at + PAUSE)
            .count()
    };
    let rejected = seen.iter().filter(|call| !call.ran);
    rejected.map(within).max().unwrap_or_default()
}

async fn assert_no_calls_in_pauses(
    shedding: usize,
    boxes: usize,
    service: &str,
    path: &str,
    headers: &str,
) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("fleet starts");
    fleet.call_all(path, headers, WARM_UP).await;
    let mut servers: Vec<&Server> = fleet.servers.iter().collect();
    servers.sort_by_key(|server| std::cmp::Reverse(server.received_calls().len()));
    servers.truncate(shedding);
    for server in &servers {
        server.shed(Some(PAUSE_TEXT));
    }

    let answers = fleet.call_all(path, headers, OBSERVATION_TIME).await;

    for server in servers {
        let max_calls = max_calls_in_pause(server);
        assert_eq!(
            max_calls,
            0,
            "calls during a pause; logs:\n{}",
            fleet.logs()
        );
    }
    assert_eq!(
        count_served(&answers),
        answers.len(),
        "other servers can serve all calls"
    );
}

#[tokio::test]
async fn shedding_server_gets_no_calls_from_one_box_in_its_pause() {
    assert_no_calls_in_pauses(1, 1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn two_shedding_servers_get_no_calls_from_four_boxes_in_their_pauses() {
    assert_no_calls_in_pauses(2, 4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn two_shedding_engines_get_no_calls_from_four_boxes_in_their_pauses() {
    assert_no_calls_in_pauses(2, 4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn calls_are_refused_at_once_when_all_servers_shed_and_served_later() {
    let fleet = Fleet::start(2, 3, "boards").await.expect("fleet starts");
    for server in &fleet.servers {
        server.shed(Some(PAUSE_TEXT));
    }
    // Within this time each server rejects a call of each box.
    fleet.call_all("/again/a", "", IN_FLIGHT_TIME).await;

    let answers = fleet.call_all("/again/a", "", Duration::from_secs(1)).await;

    for (answer, took) in &answers {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("servers_shedding"), "{answer:?}");
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        assert!(wait.is_some_and(|wait: f64| wait > 0.2), "{answer:?}");
        assert!(*took < Duration::from_millis(500), "refused after {took:?}");
    }
    for server in &fleet.servers {
        let max_calls = max_calls_in_pause(server);
        assert_eq!(
            max_calls,
            0,
            "calls during a pause; logs:\n{}",
            fleet.logs()
        );
        server.shed(None);
    }
    tokio::time::sleep(PAUSE).await;
    let answers = fleet.call_all("/again/a", "", WARM_UP).await;
    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn call_waits_for_a_short_pause() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    server.shed(Some("0.1"));
    let front = fleet.boxes[0].front();
    let request = |id: &str| call("POST", "/again/a", id, "", "a prompt");
    let first = Caller::exchange(front, &request("call-0-1")).await;
    assert_eq!(first.expect("box responds").status, 503);
    server.shed(None);

    let second = Caller::exchange(front, &request("call-0-2")).await;

    assert_eq!(
        second.expect("box responds").status,
        200,
        "{}",
        fleet.logs()
    );
    let seen = server.received_calls();
    let times: Vec<Instant> = seen.iter().filter_map(|seen| seen.received_at).collect();
    assert!(times[1] - times[0] >= Duration::from_millis(95));
}

#[tokio::test]
async fn one_call_probes_the_server_after_a_pause() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    server.shed(Some("0.5"));

    let answers = fleet.call_all("/again/a", "", Duration::from_secs(4)).await;

    let rejected = server.received_calls().len();
    assert!(
        (2..=9).contains(&rejected),
        "{rejected} calls to the shedding server"
    );
    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn malformed_pause_loses_no_calls() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("fleet starts");
    let malformed = [
        "",
        "-1",
        "soon",
        "NaN",
        "0",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    for pause in malformed {
        fleet.servers[0].shed(Some(pause));

        let answers = fleet.call_all("/again/a", "", WARM_UP).await;

        assert_eq!(
            count_served(&answers),
            answers.len(),
            "{pause:?}: {}",
            fleet.logs()
        );
    }
    let line = "unreadable header in server response";
    wait_until(|| fleet.boxes[0].log().contains(line))
        .await
        .expect("log line appears");
}

#[tokio::test]
async fn broken_stream_does_not_resume_on_a_shedding_server() {
    let fleet = Fleet::start(1, 3, "boards").await.expect("fleet starts");
    let [shedding, others @ ..] = &fleet.servers[..] else {
        unreachable!("three servers")
    };
    shedding.shed(Some("30"));
    while shedding.received_calls().is_empty() {
        fleet.call_all("/again/a", "", WARM_UP).await;
    }
    let calls_before = shedding.received_calls().len();
    others[0].set_default_behaviour(Behaviour::BreakAfter(2));
    for index in 0..10 {
        let request = call(
            "POST",
            "/stream/a",
            &format!("stream-{index}"),
            "",
            "a prompt",
        );

        let answer = Caller::exchange(fleet.boxes[0].front(), &request).await;

        let answer = answer.expect("box responds");
        assert!(answer.is_complete, "{answer:?}; {}", fleet.logs());
    }
    assert_eq!(
        shedding.received_calls().len(),
        calls_before,
        "{}",
        fleet.logs()
    );
}

/// Guards against calls that count as rejected with a pause although they were meant for another
/// server.
#[tokio::test]
async fn misdirected_call_asks_for_no_pause() -> anyhow::Result<()> {
    let server = Server::start("i-0", "boards", Duration::ZERO).await?;
    server.shed(Some(PAUSE_TEXT));
    server.queue_behaviours(&[Behaviour::Misdirect]);

    for _ in 0..2 {
        let request = call("GET", "/again/a", "call", "", "");
        let response = Caller::exchange(server.address, &request).await?;

        let states_pause = response.header("retry-after").is_some();
        let calls = server.received_calls();
        let recorded = calls.last().map(|seen| seen.sent_retry_after);
        assert_eq!(recorded, Some(states_pause), "{response:?}");
    }
    Ok(())
}
