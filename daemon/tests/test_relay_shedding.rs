//! Servers that turn calls away and name a time for which they want none.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Seen;
use badgerferry_standin::server::Server;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// Calls before a server begins to shed.
const WARM_UP: Duration = Duration::from_millis(500);
/// How long servers ask for, in seconds and as a time.
const PAUSE_TEXT: &str = "2";
const PAUSE: Duration = Duration::from_secs(2);
/// Calls that were on their way when a server asked for a pause may still come so long after.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// Three pauses.
const WATCHED: Duration = Duration::from_secs(6);

/// The box that a call of [`Fleet::call_all`] came from.
fn box_of(seen: &Seen) -> Option<&str> {
    seen.id().split('-').nth(1)
}

/// Most calls of one box that came within a pause it had been asked for.
fn most_in_a_pause(server: &Server) -> usize {
    let seen = server.seen();
    let within = |declined: &Seen| {
        let asked = declined.at.expect("a time");
        let from_the_box = seen.iter().filter(|call| box_of(call) == box_of(declined));
        let times = from_the_box.filter_map(|call| call.at);
        times
            .filter(|at| *at > asked + ON_THEIR_WAY && *at < asked + PAUSE)
            .count()
    };
    let declined = seen.iter().filter(|call| !call.ran);
    declined.map(within).max().unwrap_or_default()
}

async fn some_of_six_shed(shedding: usize, boxes: usize, service: &str, path: &str, extra: &str) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("a fleet");
    fleet.call_all(path, extra, WARM_UP).await;
    let mut servers: Vec<&Server> = fleet.servers.iter().collect();
    servers.sort_by_key(|server| std::cmp::Reverse(server.seen().len()));
    servers.truncate(shedding);
    for server in &servers {
        server.shed(Some(PAUSE_TEXT));
    }

    let told = fleet.call_all(path, extra, WATCHED).await;

    for server in servers {
        let most = most_in_a_pause(server);
        assert_eq!(most, 0, "calls in a pause; logs:\n{}", fleet.logs());
    }
    assert_eq!(
        count_served(&told),
        told.len(),
        "no call needs these servers"
    );
}

#[tokio::test]
async fn a_server_that_sheds_gets_nothing_from_the_box_until_its_pause_is_over() {
    some_of_six_shed(1, 1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn two_servers_that_shed_get_nothing_from_four_boxes_in_their_pauses() {
    some_of_six_shed(2, 4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn two_engines_that_shed_get_nothing_from_four_boxes_in_their_pauses() {
    some_of_six_shed(2, 4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn where_all_servers_shed_callers_hear_so_at_once_and_are_served_again_later() {
    let fleet = Fleet::start(2, 3, "boards").await.expect("a fleet");
    for server in &fleet.servers {
        server.shed(Some(PAUSE_TEXT));
    }
    // By then each box has been turned away by each server.
    fleet.call_all("/again/a", "", ON_THEIR_WAY).await;

    let told = fleet.call_all("/again/a", "", Duration::from_secs(1)).await;

    for (answer, took) in &told {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("servers_shedding"), "{answer:?}");
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        assert!(wait.is_some_and(|wait: f64| wait > 0.2), "{answer:?}");
        assert!(*took < Duration::from_millis(500), "held for {took:?}");
    }
    for server in &fleet.servers {
        let most = most_in_a_pause(server);
        assert_eq!(most, 0, "calls in a pause; logs:\n{}", fleet.logs());
        server.shed(None);
    }
    tokio::time::sleep(PAUSE).await;
    let told = fleet.call_all("/again/a", "", WARM_UP).await;
    assert_eq!(count_served(&told), told.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn a_call_waits_for_a_server_whose_pause_ends_in_time() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    server.shed(Some("0.1"));
    let front = fleet.boxes[0].front();
    let text = |id: &str| call("POST", "/again/a", id, "", "a prompt");
    let first = Caller::once(front, &text("call-0-1")).await;
    assert_eq!(first.expect("an answer").status, 503);
    server.shed(None);

    let second = Caller::once(front, &text("call-0-2")).await;

    assert_eq!(second.expect("an answer").status, 200, "{}", fleet.logs());
    let seen = server.seen();
    let times: Vec<Instant> = seen.iter().filter_map(|seen| seen.at).collect();
    assert!(times[1] - times[0] >= Duration::from_millis(95));
}

#[tokio::test]
async fn after_a_pause_one_call_tries_the_server_first() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    server.shed(Some("0.5"));

    let told = fleet.call_all("/again/a", "", Duration::from_secs(4)).await;

    let declined = server.seen().len();
    assert!((2..=9).contains(&declined), "{declined} calls");
    assert_eq!(count_served(&told), told.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn a_pause_that_can_not_be_read_loses_nothing() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("a fleet");
    let odd = [
        "",
        "-1",
        "soon",
        "NaN",
        "0",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    for text in odd {
        fleet.servers[0].shed(Some(text));

        let told = fleet.call_all("/again/a", "", WARM_UP).await;

        assert_eq!(
            count_served(&told),
            told.len(),
            "{text:?}: {}",
            fleet.logs()
        );
    }
    let line = "a server's header can't be read";
    wait_until(|| fleet.boxes[0].log().contains(line))
        .await
        .expect("a line");
}

#[tokio::test]
async fn a_stream_that_breaks_off_does_not_go_on_at_a_server_that_sheds() {
    let fleet = Fleet::start(1, 3, "boards").await.expect("a fleet");
    let [shedding, others @ ..] = &fleet.servers[..] else {
        unreachable!("three servers")
    };
    shedding.shed(Some("30"));
    while shedding.seen().is_empty() {
        fleet.call_all("/again/a", "", WARM_UP).await;
    }
    let before = shedding.seen().len();
    others[0].usually(Behaviour::BreakAfter(2));
    for at in 0..10 {
        let text = call("POST", "/stream/a", &format!("stream-{at}"), "", "a prompt");

        let answer = Caller::once(fleet.boxes[0].front(), &text).await;

        let answer = answer.expect("an answer");
        assert!(answer.whole, "{answer:?}; {}", fleet.logs());
    }
    assert_eq!(shedding.seen().len(), before, "{}", fleet.logs());
}
