//! Calls relayed by a box: the responses to callers and the requests that servers receive.

use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::lost_calls::CALL_END_MESSAGE;
use badgerferry_lib::relay::lost_calls::CallRecord;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;

fn non_repeatable_call(id: &str) -> String {
    call("POST", "/once/a?b=c", id, "X-Own: kept\r\n", "the body")
}

fn repeatable_call(id: &str) -> String {
    call("GET", "/again/a", id, "", "")
}

fn stream_call(id: &str) -> String {
    call("POST", "/stream/a", id, "", "prompt")
}

fn events(ids: std::ops::Range<u64>) -> String {
    let rows: Vec<String> = ids
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    rows.concat()
}

#[tokio::test]
async fn call_is_forwarded_unchanged_except_for_headers_of_the_box() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let forged = "Badgerferry-Tenant: forged\r\nBadgerferry-Target-Instance: forged\r\n";
    let text = call("POST", "/once/a?b=c", "id-1", forged, "the body");

    let response = Caller::exchange(world.relay.front(), &text).await?;

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, "i-0 served id-1");
    assert_eq!(response.header("badgerferry-response-seal"), Some("seal"));
    let seen = &world.servers[0].received_calls()[0];
    assert_eq!(seen.request_line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.id(), "id-1");
    assert_eq!(seen.headers["badgerferry-tenant"], "workspace-1");
    assert_eq!(seen.headers["badgerferry-target-instance"], "i-0");
    assert!(!seen.headers.contains_key("authorization"));
    let left: u64 = seen.headers["badgerferry-deadline-ms"].parse()?;
    assert!(
        left <= 4_000,
        "deadline exceeds the time limit of the route: {left} ms"
    );
    Ok(())
}

#[tokio::test]
async fn unknown_routes_and_keys_are_denied() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let unknown_route = call("GET", "/nowhere/", "id-1", "", "");
    let unknown_key = repeatable_call("id-2").replace("key-1", "key-2");

    let no_route = Caller::exchange(world.relay.front(), &unknown_route).await?;
    let no_key = Caller::exchange(world.relay.front(), &unknown_key).await?;

    assert_eq!((no_route.status, no_key.status), (404, 401));
    assert_eq!(world.received_calls(), 0);
    Ok(())
}

#[tokio::test]
async fn declined_call_is_sent_to_another_server() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.queue_behaviours(&[Behaviour::Decline]));
    world.servers[1].set_default_behaviour(Behaviour::Serve);

    // Each server declines one call: the first call is refused by both, the second one is served.
    let refused = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;
    let served = Caller::exchange(world.relay.front(), &non_repeatable_call("id-2")).await?;

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(served.status, 200);
    Ok(())
}

#[tokio::test]
async fn non_repeatable_call_goes_on_from_full_servers_to_one_with_room() -> anyhow::Result<()> {
    let world = TestCluster::start(4).await?;
    for server in &world.servers[..3] {
        server.set_default_behaviour(Behaviour::Decline);
    }

    for call in 0..4 {
        let id = format!("id-{call}");
        let served = Caller::exchange(world.relay.front(), &non_repeatable_call(&id)).await?;
        assert_eq!(served.status, 200, "{served:?}");
    }

    let ran = world.servers.iter().flat_map(Server::received_calls);
    assert_eq!(ran.filter(|call| call.ran).count(), 4);
    Ok(())
}

#[tokio::test]
async fn call_that_all_queues_would_delay_beyond_its_deadline_is_rejected_at_once()
-> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.servers[0].add_header("Badgerferry-Server-Load", "1,0,16");

    let served = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;
    world.servers[0].add_header("Badgerferry-Server-Load", "16,400000,16");
    let sent_anyway = Caller::exchange(world.relay.front(), &non_repeatable_call("id-2")).await?;
    let rejected = Caller::exchange(world.relay.front(), &non_repeatable_call("id-3")).await?;

    assert_eq!((served.status, sent_anyway.status), (200, 200));
    assert_eq!(rejected.status, 503, "{rejected:?}");
    assert!(
        rejected.body.contains("would_miss_deadline") && rejected.header("retry-after").is_some(),
        "{rejected:?}"
    );
    assert_eq!(world.received_calls(), 2);
    Ok(())
}

#[tokio::test]
async fn lost_non_repeatable_call_reaches_one_server_and_may_have_run() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.set_default_behaviour(Behaviour::CloseUnanswered));

    let response = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;

    assert_eq!(response.status, 502);
    assert_eq!(world.received_calls(), 1);
    Ok(())
}

#[tokio::test]
async fn lost_repeatable_call_is_served_by_another_server() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    world.servers[0].set_default_behaviour(Behaviour::CloseInBody);

    for index in 0..6 {
        let response = Caller::exchange(
            world.relay.front(),
            &repeatable_call(&format!("id-{index}")),
        )
        .await?;

        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{response:?}"
        );
        assert!(response.body.starts_with("i-1 served"));
    }
    Ok(())
}

#[tokio::test]
async fn response_of_another_call_or_without_proof_is_not_forwarded() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    for behaviour in [Behaviour::ForeignId, Behaviour::NoProof, Behaviour::Garbage] {
        world
            .servers
            .iter()
            .for_each(|server| server.set_default_behaviour(behaviour));

        let response = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;

        assert_eq!(response.status, 502, "{behaviour:?}");
    }
    Ok(())
}

#[tokio::test]
async fn surplus_response_is_not_used_for_the_next_call() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.servers[0].set_default_behaviour(Behaviour::AnswerTwice);
    let mut caller = Caller::connect(world.relay.front()).await?;

    for index in 0..5 {
        let id = format!("id-{index}");
        caller.send(&repeatable_call(&id)).await?;
        let response = caller.read_response().await?;

        let own = format!("i-0 served {id}");
        assert!(
            response.status != 200 || response.body == own,
            "{response:?}"
        );
    }
    Ok(())
}

#[tokio::test]
async fn call_misdirected_to_another_server_is_retried() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    world.servers[0].set_default_behaviour(Behaviour::Misdirect);

    for index in 0..4 {
        let response = Caller::exchange(
            world.relay.front(),
            &non_repeatable_call(&format!("id-{index}")),
        )
        .await?;

        assert_eq!(response.status, 200, "{response:?}");
    }
    Ok(())
}

#[tokio::test]
async fn response_without_length_is_complete_when_the_connection_closes_cleanly()
-> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.servers[0].set_default_behaviour(Behaviour::Unframed);

    let response = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, "i-0 served id-1");
    Ok(())
}

#[tokio::test]
async fn server_error_is_forwarded_with_status_and_proof() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.servers[0].set_default_behaviour(Behaviour::Fail);

    let response = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;

    assert_eq!(response.status, 500);
    assert_eq!(response.header("badgerferry-response-seal"), Some("seal"));
    assert_eq!(response.body, "i-0 served id-1");
    Ok(())
}

#[tokio::test]
async fn unanswered_call_fails_at_the_time_limit_of_its_route() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    world.servers[0].set_default_behaviour(Behaviour::Silent);

    let response = Caller::exchange(world.relay.front(), &non_repeatable_call("id-1")).await?;

    assert_eq!(response.status, 504);
    let server = &world.servers[0];
    wait_until(|| server.active_calls.load(Ordering::SeqCst) == 0).await
}

#[tokio::test]
async fn stream_broken_inside_an_event_resumes_on_another_server_in_the_same_response()
-> anyhow::Result<()> {
    let world = TestCluster::start(3).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.queue_behaviours(&[Behaviour::BreakAfter(2)]));

    let response = Caller::exchange(world.relay.front(), &stream_call("id-1")).await?;

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, events(0..5));
    let last_event_ids: Vec<Option<String>> = (world.servers.iter())
        .flat_map(badgerferry_standin::server::Server::received_calls)
        .map(|seen| seen.headers.get("last-event-id").cloned())
        .collect();
    assert_eq!(
        last_event_ids.iter().flatten().count(),
        last_event_ids.len() - 1,
        "{last_event_ids:?}"
    );
    Ok(())
}

#[tokio::test]
async fn stream_that_no_server_can_resume_is_aborted() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.set_default_behaviour(Behaviour::BreakAfter(1)));

    let response = Caller::exchange(world.relay.front(), &stream_call("id-1")).await?;

    assert_eq!((response.status, response.is_complete), (200, false));
    assert!(
        events(0..5).starts_with(&response.body),
        "{}",
        response.body
    );
    Ok(())
}

/// Guards against aborting a stream that was silent for a second when no other server could resume
/// it.
#[tokio::test]
async fn silent_stream_that_no_server_can_resume_is_not_aborted() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let path = "/stream/a";
    let text = call("POST", path, "id-1", "", "").replace("5000", "3500");
    world.servers[0].set_default_behaviour(Behaviour::SilentAfter(1));
    let started_at = std::time::Instant::now();

    let response = Caller::exchange(world.relay.front(), &text).await?;

    // The stream ends at the caller's deadline, however many attempts were made before.
    assert!(!response.is_complete);
    assert!(
        started_at.elapsed() >= Duration::from_millis(3_400),
        "{:?}",
        started_at.elapsed()
    );
    Ok(())
}

#[tokio::test]
async fn server_stops_when_the_caller_disconnects() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let server = &world.servers[0];
    server.set_default_behaviour(Behaviour::Silent);
    for text in [repeatable_call("id-1"), stream_call("id-2")] {
        let mut caller = Caller::connect(world.relay.front()).await?;
        caller.send(&text).await?;
        wait_until(|| server.active_calls.load(Ordering::SeqCst) > 0).await?;

        drop(caller);

        wait_until(|| server.active_calls.load(Ordering::SeqCst) == 0).await?;
    }
    Ok(())
}

#[tokio::test]
async fn server_stops_when_the_caller_disconnects_during_a_stream() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let server = &world.servers[0];
    server.set_default_behaviour(Behaviour::SilentAfter(2));
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&stream_call("id-1")).await?;
    world
        .relay
        .wait_for_log_line(&["stream begins", "id-1"])
        .await?;

    drop(caller);

    wait_until(|| server.active_calls.load(Ordering::SeqCst) == 0).await
}

#[tokio::test]
async fn malformed_requests_are_rejected_and_reach_no_server() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let head = "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-1\r\n";
    let long = "x".repeat(70_000);
    let cases = [
        (
            "two lengths",
            format!("{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        ),
        (
            "an invalid length",
            format!("{head}Content-Length: x\r\n\r\n"),
        ),
        (
            "an invalid chunk",
            format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
        ),
        (
            "a head that is too long",
            format!("{head}X-Long: {long}\r\n\r\n"),
        ),
        (
            "a body that is too long",
            format!("{head}Content-Length: 70000\r\n\r\n{long}"),
        ),
        ("no HTTP", "hello there\r\n\r\n".to_owned()),
        (
            "an invalid deadline",
            format!("{head}Badgerferry-Deadline-Ms: soon\r\n\r\n"),
        ),
    ];
    for (what, text) in cases {
        let mut caller = Caller::connect(world.relay.front()).await?;
        // The box may close the connection before the whole request is sent.
        let _ = caller.send(&text).await;
        let response = caller.read_response().await?;

        assert!(
            matches!(response.status, 0 | 400 | 413 | 431),
            "{what}: {response:?}"
        );
    }
    assert_eq!(world.received_calls(), 0);
    Ok(())
}

#[tokio::test]
async fn incomplete_request_body_times_out() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;
    let text = non_repeatable_call("id-1").replace("Content-Length: 8", "Content-Length: 9");
    caller.send(&text).await?;

    let response = caller.read_response().await?;

    assert_eq!(response.status, 408);
    assert_eq!(world.received_calls(), 0);
    Ok(())
}

#[tokio::test]
async fn incomplete_heads_and_idle_connections_are_closed() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let mut slow = Caller::connect(world.relay.front()).await?;
    let mut idle = Caller::connect(world.relay.front()).await?;
    slow.send("GET /again/a HTTP/1.1\r\nHost:").await?;

    assert!(slow.wait_for_close().await?);
    assert!(idle.wait_for_close().await?);
    Ok(())
}

#[tokio::test]
async fn pipelined_calls_are_answered_in_order() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller
        .send(&format!(
            "{}{}",
            repeatable_call("id-1"),
            repeatable_call("id-2")
        ))
        .await?;

    let (first, second) = (caller.read_response().await?, caller.read_response().await?);

    assert!(first.body.ends_with("served id-1"), "{first:?}");
    assert!(second.body.ends_with("served id-2"), "{second:?}");
    Ok(())
}

#[tokio::test]
async fn chunked_body_reaches_the_server_complete() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let text = "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-1\r\n\
                Badgerferry-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";

    let response = Caller::exchange(world.relay.front(), text).await?;

    assert_eq!(response.status, 200);
    assert_eq!(world.servers[0].received_calls()[0].body, b"abcdefg");
    Ok(())
}

/// Guards against call-end lines that `badgerferry lost` can't parse; it reads them as
/// `CallRecord`.
#[tokio::test]
async fn call_end_line_contains_the_latencies_of_the_call() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    Caller::exchange(world.relay.front(), &stream_call("id-1")).await?;
    Caller::exchange(world.relay.front(), &repeatable_call("id-2")).await?;
    world
        .relay
        .wait_for_log_line(&[CALL_END_MESSAGE, "id-1"])
        .await?;
    world
        .relay
        .wait_for_log_line(&[CALL_END_MESSAGE, "id-2"])
        .await?;

    let log = world.relay.log();
    let line = |id: &str| -> anyhow::Result<CallRecord> {
        let is_call_end = |line: &&str| line.contains(CALL_END_MESSAGE) && line.contains(id);
        let line = log.lines().find(is_call_end).unwrap_or_default();
        Ok(serde_json::from_str(line)?)
    };
    let (streamed, plain) = (line("id-1")?, line("id-2")?);

    assert_eq!(streamed.outcome, "answered");
    assert!(streamed.first_event_ms.is_some() && streamed.expected_ms.is_some());
    assert!(streamed.longest_pause_ms.is_some() && streamed.pause_limit_ms.is_some());
    assert!(plain.first_event_ms.is_none() && plain.objective_ms > 0);
    Ok(())
}

#[tokio::test]
async fn unknown_response_header_is_logged_once() {
    let world = TestCluster::start(1).await.expect("world starts");
    world.servers[0].add_header("Server-Mood", "tired");
    for index in 0..3 {
        let text = call("POST", "/again/a", &format!("call-{index}"), "", "");
        let response = Caller::exchange(world.relay.front(), &text).await;
        let response = response.expect("response");
        assert_eq!(
            response.header("server-mood"),
            Some("tired"),
            "{response:?}"
        );
    }

    let line = "unknown response header";
    let count = || world.relay.log().matches(line).count();
    wait_until(|| count() > 0).await.expect("log line");
    assert_eq!(count(), 1);
    assert!(world.relay.log().contains("server-mood"));
}

#[tokio::test]
async fn prompt_that_no_engines_can_hold_is_rejected_at_once() -> anyhow::Result<()> {
    let world = TestCluster::start(1).await?;
    let engine = Server::start("e-0", "engines", Duration::from_millis(20)).await?;
    world.store.put(&engine.key(), &engine.entry("ready"));
    world
        .relay
        .wait_for_log_line(&["server entry", "e-0"])
        .await?;
    let mut caller = Caller::connect(world.relay.front()).await?;
    let tokens = "Badgerferry-Token-Counts: 500000,100\r\n";

    caller
        .send(&call("POST", "/long/a", "id-1", tokens, ""))
        .await?;
    let answer = tokio::time::timeout(Duration::from_secs(1), caller.read_response()).await??;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("prompt_too_long"), "{}", answer.body);
    assert!(answer.header("retry-after").is_some());
    assert!(engine.received_calls().is_empty());
    Ok(())
}
