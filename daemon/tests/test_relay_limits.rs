//! Servers that state a limit of calls per second from all boxes together.

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

/// Time after which a newly stated limit must be enforced.
const ENFORCEMENT_DELAY: Duration = Duration::from_secs(1);
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Number of requests by which the limit may be exceeded in a window.
const ALLOWED_EXCESS: f64 = 2.0;

/// Maximum number of requests in any window that starts at `from` or later.
fn max_in_window(server: &Server, from: Instant) -> usize {
    let arrivals = server.arrivals();
    let from = arrivals.partition_point(|at| *at < from);
    let later = &arrivals[from..];
    let within = |at: usize| later[at..].partition_point(|other| *other < later[at] + WINDOW);
    (0..later.len()).map(within).max().unwrap_or_default()
}

fn max_allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() + ALLOWED_EXCESS) as usize
}

async fn assert_limit_of_one_server_holds(boxes: usize, service: &str, path: &str, headers: &str) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("fleet starts");
    fleet.call_all(path, headers, ENFORCEMENT_DELAY).await;
    let busiest = fleet.busiest();
    busiest.announce_limit(Some("1"));
    fleet.call_all(path, headers, ENFORCEMENT_DELAY).await;
    let from = Instant::now();

    let answers = fleet.call_all(path, headers, Duration::from_secs(6)).await;

    let max_arrivals = max_in_window(busiest, from);
    assert!(
        max_arrivals <= max_allowed(1.0),
        "{max_arrivals} requests in 4 s; logs:\n{}",
        fleet.logs()
    );
    assert_eq!(
        count_served(&answers),
        answers.len(),
        "other servers can serve all calls"
    );
}

#[tokio::test]
async fn limit_holds_for_one_box() {
    assert_limit_of_one_server_holds(1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn limit_holds_for_four_boxes_together() {
    assert_limit_of_one_server_holds(4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn engine_limit_holds_for_four_boxes_together() {
    assert_limit_of_one_server_holds(4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn limited_servers_are_used_fully_and_excess_calls_are_refused_at_once() {
    let limit = 4.0;
    let fleet = Fleet::start(4, 3, "boards").await.expect("fleet starts");
    for server in &fleet.servers {
        server.announce_limit(Some("4"));
    }
    fleet.call_all("/again/a", "", ENFORCEMENT_DELAY * 2).await;
    let from = Instant::now();
    let duration = Duration::from_secs(8);

    let answers = fleet.call_all("/again/a", "", duration).await;

    for server in &fleet.servers {
        let max_arrivals = max_in_window(server, from);
        assert!(
            max_arrivals <= max_allowed(limit),
            "{max_arrivals} in 4 s; {}",
            fleet.logs()
        );
    }
    let capacity = limit * fleet.servers.len() as f64 * duration.as_secs_f64();
    let served = count_served(&answers);
    assert!(
        served as f64 >= 0.9 * capacity,
        "{served} of {capacity} served"
    );
    let refused = answers.iter().filter(|(answer, _)| answer.status != 200);
    for (answer, took) in refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("servers_limited"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(*took < Duration::from_secs(1), "refused after {took:?}");
    }
}

#[tokio::test]
async fn lifted_limit_ends_at_all_boxes() {
    let fleet = Fleet::start(3, 1, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    server.announce_limit(Some("2"));
    fleet.call_all("/again/a", "", ENFORCEMENT_DELAY).await;
    server.announce_limit(None);

    for relay_box in &fleet.boxes {
        let limit_lifted = async || {
            fleet
                .call_all("/again/a", "", Duration::from_millis(100))
                .await;
            relay_box.log().contains("server names no limit any more")
        };
        let mut is_lifted = false;
        for _ in 0..50 {
            is_lifted = is_lifted || limit_lifted().await;
        }
        assert!(is_lifted, "{}", relay_box.log());
    }
    let answers = fleet.call_all("/again/a", "", Duration::from_secs(1)).await;

    assert_eq!(count_served(&answers), answers.len(), "{}", fleet.logs());
}

#[tokio::test]
async fn malformed_limit_is_ignored() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    for malformed in ["", "-1", "NaN", "much"] {
        server.announce_limit(Some(malformed));

        let answers = fleet
            .call_all("/again/a", "", Duration::from_millis(300))
            .await;

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

/// Guards against truncated streams: a stream that its server breaks off has to resume if quota is
/// available within a second, although first attempts of other calls use up the quota.
#[tokio::test]
async fn started_stream_waits_for_quota_of_a_limited_server() {
    let fleet = Fleet::start(2, 1, "boards").await.expect("fleet starts");
    let server = &fleet.servers[0];
    server.announce_limit(Some("3"));
    fleet.call_all("/again/a", "", ENFORCEMENT_DELAY).await;
    let front = fleet.boxes[0].front();
    let duration = Duration::from_secs(8);
    let until = Instant::now() + duration;
    let streams = async {
        let mut started = Vec::new();
        server.set_default_behaviour(Behaviour::BreakAfter(3));
        for index in 0.. {
            let request = call(
                "POST",
                "/stream/a",
                &format!("stream-{index}"),
                "",
                "a prompt",
            );
            let sent_at = Instant::now();
            let answer = Caller::exchange(front, &request).await.unwrap_or_default();
            let took = sent_at.elapsed();
            assert!(
                took < CALL_TIMEOUT,
                "{took:?}: {answer:?}; {}",
                fleet.logs()
            );
            if answer.status == 200 {
                started.push(answer);
            }
            if started.len() == 4 || Instant::now() >= until {
                break;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        started
    };

    let (started, _others) = tokio::join!(streams, fleet.call_all("/again/a", "", duration));

    assert!(!started.is_empty(), "no stream began; {}", fleet.logs());
    for answer in started {
        assert!(answer.is_complete, "{answer:?}; {}", fleet.logs());
    }
}
