//! Servers that name the calls a second which they take from all boxes together.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;

use crate::relay_fleet::CALL_INTERVAL;
use crate::relay_fleet::CALL_TIMEOUT;
use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// A limit must be in force so long after it was first named.
const IN_FORCE: Duration = Duration::from_secs(1);
/// What a limit counts over.
const WINDOW: Duration = Duration::from_secs(4);
/// How many more than the limit allows a server may get in a window.
const SLACK: f64 = 2.0;

/// Most requests that came within a window that begins then or later.
fn most_in_window(server: &Server, from: Instant) -> usize {
    let arrivals = server.arrivals();
    let from = arrivals.partition_point(|at| *at < from);
    let later = &arrivals[from..];
    let within = |at: usize| later[at..].partition_point(|other| *other < later[at] + WINDOW);
    (0..later.len()).map(within).max().unwrap_or_default()
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() + SLACK) as usize
}

async fn one_of_six_is_limited(boxes: usize, service: &str, path: &str, extra: &str) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("a fleet");
    fleet.call_all(path, extra, IN_FORCE).await;
    let busiest = fleet.busiest();
    busiest.name_limit(Some("1"));
    fleet.call_all(path, extra, IN_FORCE).await;
    let from = Instant::now();

    let told = fleet.call_all(path, extra, Duration::from_secs(6)).await;

    let most = most_in_window(busiest, from);
    assert!(
        most <= allowed(1.0),
        "{most} requests in 4 s; logs:\n{}",
        fleet.logs()
    );
    assert_eq!(count_served(&told), told.len(), "no call needs that server");
}

#[tokio::test]
async fn a_server_gets_no_more_calls_than_it_says_from_one_box() {
    one_of_six_is_limited(1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn a_server_gets_no_more_calls_than_it_says_from_four_boxes_together() {
    one_of_six_is_limited(4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn an_engine_gets_no_more_calls_than_it_says_from_four_boxes_together() {
    one_of_six_is_limited(4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn where_all_servers_are_limited_they_get_what_they_take_and_callers_hear_so_at_once() {
    let limit = 4.0;
    let fleet = Fleet::start(4, 3, "boards").await.expect("a fleet");
    for server in &fleet.servers {
        server.name_limit(Some("4"));
    }
    fleet.call_all("/again/a", "", IN_FORCE * 2).await;
    let from = Instant::now();
    let lasts = Duration::from_secs(8);

    let told = fleet.call_all("/again/a", "", lasts).await;

    for server in &fleet.servers {
        let most = most_in_window(server, from);
        assert!(most <= allowed(limit), "{most} in 4 s; {}", fleet.logs());
    }
    let usable = limit * fleet.servers.len() as f64 * lasts.as_secs_f64();
    let count_served = count_served(&told);
    assert!(
        count_served as f64 >= 0.9 * usable,
        "{count_served} of {usable} served"
    );
    let refused = told.iter().filter(|(answer, _)| answer.status != 200);
    for (answer, took) in refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("servers_limited"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(*took < Duration::from_secs(1), "held for {took:?}");
    }
}

#[tokio::test]
async fn a_limit_ends_with_the_servers_word_at_all_boxes() {
    let fleet = Fleet::start(3, 1, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    server.name_limit(Some("2"));
    fleet.call_all("/again/a", "", IN_FORCE).await;
    server.name_limit(None);

    for one in &fleet.boxes {
        let free = async || {
            fleet
                .call_all("/again/a", "", Duration::from_millis(100))
                .await;
            one.log().contains("server names no limit any more")
        };
        let mut is_free = false;
        for _ in 0..50 {
            is_free = is_free || free().await;
        }
        assert!(is_free, "{}", one.log());
    }
    let told = fleet.call_all("/again/a", "", Duration::from_secs(1)).await;

    assert_eq!(count_served(&told), told.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn a_limit_that_can_not_be_read_limits_nothing_and_loses_nothing() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    for bad in ["", "-1", "NaN", "much"] {
        server.name_limit(Some(bad));

        let told = fleet
            .call_all("/again/a", "", Duration::from_millis(300))
            .await;

        assert_eq!(count_served(&told), told.len(), "{bad:?}: {}", fleet.logs());
    }
    let line = "a server's header can't be read";
    wait_until(|| fleet.boxes[0].log().contains(line))
        .await
        .expect("a line");
}

/// A stream whose server breaks off goes on where a place comes within a second, though first tries take
/// all there are.
#[tokio::test]
async fn a_stream_that_has_begun_waits_for_its_place_at_a_limited_server() {
    let fleet = Fleet::start(2, 1, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    server.name_limit(Some("3"));
    fleet.call_all("/again/a", "", IN_FORCE).await;
    let front = fleet.boxes[0].front();
    let lasts = Duration::from_secs(8);
    let until = Instant::now() + lasts;
    let streams = async {
        let mut begun = Vec::new();
        server.usually(Behaviour::BreakAfter(3));
        for at in 0.. {
            let text = call("POST", "/stream/a", &format!("stream-{at}"), "", "a prompt");
            let sent = Instant::now();
            let answer = Caller::once(front, &text).await.unwrap_or_default();
            let took = sent.elapsed();
            assert!(
                took < CALL_TIMEOUT,
                "{took:?}: {answer:?}; {}",
                fleet.logs()
            );
            if answer.status == 200 {
                begun.push(answer);
            }
            if begun.len() == 4 || Instant::now() >= until {
                break;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        begun
    };

    let (begun, _others) = tokio::join!(streams, fleet.call_all("/again/a", "", lasts));

    assert!(!begun.is_empty(), "no stream began; {}", fleet.logs());
    for answer in begun {
        assert!(answer.whole, "{answer:?}; {}", fleet.logs());
    }
}
