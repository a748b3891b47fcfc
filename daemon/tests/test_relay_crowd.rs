//! Most new connections at one box: the platform hands them to it for some seconds.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::server::Behaviour;

use crate::relay_fleet::CALL_INTERVAL;
use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;

const BOXES: usize = 4;
const SERVERS: usize = 6;
/// Number of concurrent callers. Each opens a new connection for each call.
const CALLERS: usize = 48;
/// Duration of each phase.
const PHASE: Duration = Duration::from_secs(3);

/// Calls from all callers for the duration of a phase, each caller at the box that `target` names.
/// Returns how many calls were served at the first attempt, and how many were sent.
async fn call_boxes(
    fleet: &Fleet,
    (method, path, headers): (&str, &str, &str),
    target: impl Fn(usize) -> usize,
) -> (usize, usize) {
    let until = Instant::now() + PHASE;
    let callers = (0..CALLERS).map(|caller| {
        let front = fleet.boxes[target(caller)].front();
        async move {
            let (mut served, mut sent) = (0, 0);
            while Instant::now() < until {
                let id = format!("call-{caller}-{sent}");
                let request = call(method, path, &id, headers, "a prompt");
                let answer = Caller::exchange(front, &request).await.unwrap_or_default();
                served += usize::from((answer.status, answer.is_complete) == (200, true));
                sent += 1;
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            (served, sent)
        }
    });
    let counts = futures::future::join_all(callers).await;
    let served = counts.iter().map(|(served, _)| served).sum();
    (served, counts.iter().map(|(_, sent)| sent).sum())
}

/// Checks that calls are served at one box at least three quarters as often as spread over all boxes.
async fn assert_served_at_one_box(fleet: &Fleet, request: (&str, &str, &str)) {
    let (served, sent) = call_boxes(fleet, request, |caller| caller % BOXES).await;
    let (crowd_served, crowd_sent) = call_boxes(fleet, request, |_caller| 0).await;

    assert!(served > 0, "{}", fleet.logs());
    assert!(
        4 * crowd_served * sent >= 3 * served * crowd_sent,
        "{crowd_served} of {crowd_sent} calls served at one box, {served} of {sent} before"
    );
}

/// Guards against a box that serves few of the calls that all callers send to it.
#[tokio::test]
async fn box_with_all_new_connections_serves_calls_and_streams() -> anyhow::Result<()> {
    let plain = Fleet::start(BOXES, SERVERS, "boards").await?;
    assert_served_at_one_box(&plain, ("GET", "/again/a", "")).await;
    assert_served_at_one_box(&plain, ("POST", "/stream/a", "")).await;

    let engines = Fleet::start(BOXES, SERVERS, "engines").await?;
    assert_served_at_one_box(&engines, ("POST", "/long/stream", SHORT_PROMPT)).await;
    Ok(())
}

/// Guards against permits of limited servers that are given out by equal shares of boxes.
#[tokio::test]
async fn box_with_all_new_connections_gets_the_calls_of_limited_servers() -> anyhow::Result<()> {
    let fleet = Fleet::start(BOXES, SERVERS, "boards").await?;
    for server in &fleet.servers {
        server.announce_limit(Some("60"));
    }

    assert_served_at_one_box(&fleet, ("GET", "/again/a", "")).await;
    Ok(())
}

/// Guards against retries that fail since the box has only its share of the fleet's retry budget.
#[tokio::test]
async fn box_with_all_new_connections_retries_failed_calls() -> anyhow::Result<()> {
    let fleet = Fleet::start(BOXES, SERVERS, "boards").await?;
    let failures: Vec<Behaviour> = (0..400)
        .map(|call| match call % 10 {
            0 => Behaviour::CloseUnanswered,
            _ => Behaviour::Serve,
        })
        .collect();
    for server in &fleet.servers {
        server.queue_behaviours(&failures.repeat(10));
    }

    assert_served_at_one_box(&fleet, ("GET", "/again/a", "")).await;
    Ok(())
}
