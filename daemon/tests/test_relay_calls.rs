//! Calls through a box on the platform: what the caller gets and what the servers see.

use std::sync::atomic::Ordering;
use std::time::Duration;

use badgerferry_lib::relay::lost_calls::CALL_END_MESSAGE;
use badgerferry_lib::relay::lost_calls::CallRecord;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::World;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;

fn once(id: &str) -> String {
    call("POST", "/once/a?b=c", id, "X-Own: kept\r\n", "the body")
}

fn again(id: &str) -> String {
    call("GET", "/again/a", id, "", "")
}

fn stream(id: &str) -> String {
    call("POST", "/stream/a", id, "", "prompt")
}

fn events(ids: std::ops::Range<u64>) -> String {
    let rows: Vec<String> = ids
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    rows.concat()
}

#[tokio::test]
async fn a_call_is_passed_on_unchanged_but_for_what_the_box_sets() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let forged = "Badgerferry-Tenant: forged\r\nBadgerferry-Target-Instance: forged\r\n";
    let text = call("POST", "/once/a?b=c", "id-1", forged, "the body");

    let answer = Caller::once(world.relay.front(), &text).await?;

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, "i-0 served id-1");
    assert_eq!(answer.header("badgerferry-response-seal"), Some("seal"));
    let seen = &world.servers[0].seen()[0];
    assert_eq!(seen.line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.id(), "id-1");
    assert_eq!(seen.headers["badgerferry-tenant"], "workspace-1");
    assert_eq!(seen.headers["badgerferry-target-instance"], "i-0");
    assert!(!seen.headers.contains_key("authorization"));
    let left: u64 = seen.headers["badgerferry-deadline-ms"].parse()?;
    assert!(
        left <= 4_000,
        "the route's limit is shorter than the caller's: {left}"
    );
    Ok(())
}

#[tokio::test]
async fn unknown_routes_and_keys_are_denied() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let nowhere = call("GET", "/nowhere/", "id-1", "", "");
    let stranger = again("id-2").replace("key-1", "key-2");

    let no_route = Caller::once(world.relay.front(), &nowhere).await?;
    let no_key = Caller::once(world.relay.front(), &stranger).await?;

    assert_eq!((no_route.status, no_key.status), (404, 401));
    assert_eq!(world.seen(), 0);
    Ok(())
}

#[tokio::test]
async fn a_declined_call_goes_to_another_server() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.next(&[Behaviour::Decline]));
    world.servers[1].usually(Behaviour::Serve);

    // Whichever server comes first declines, the other declines as well: then it is refused.
    let refused = Caller::once(world.relay.front(), &once("id-1")).await?;
    let served = Caller::once(world.relay.front(), &once("id-2")).await?;

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(served.status, 200);
    Ok(())
}

#[tokio::test]
async fn a_lost_call_that_may_not_be_repeated_reaches_one_server_and_gets_no_promise()
-> anyhow::Result<()> {
    let world = World::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.usually(Behaviour::CloseUnanswered));

    let answer = Caller::once(world.relay.front(), &once("id-1")).await?;

    assert_eq!(answer.status, 502);
    assert_eq!(world.seen(), 1);
    Ok(())
}

#[tokio::test]
async fn a_lost_call_that_may_be_repeated_is_served_elsewhere() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    world.servers[0].usually(Behaviour::CloseInBody);

    for at in 0..6 {
        let answer = Caller::once(world.relay.front(), &again(&format!("id-{at}"))).await?;

        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
        assert!(answer.body.starts_with("i-1 served"));
    }
    Ok(())
}

#[tokio::test]
async fn another_calls_answer_or_one_without_proof_never_reaches_the_caller() -> anyhow::Result<()>
{
    let world = World::start(2).await?;
    for behaviour in [Behaviour::ForeignId, Behaviour::NoProof, Behaviour::Garbage] {
        world
            .servers
            .iter()
            .for_each(|server| server.usually(behaviour));

        let answer = Caller::once(world.relay.front(), &once("id-1")).await?;

        assert_eq!(answer.status, 502, "{behaviour:?}");
    }
    Ok(())
}

#[tokio::test]
async fn an_answer_too_many_is_not_taken_for_the_next_calls() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.servers[0].usually(Behaviour::AnswerTwice);
    let mut caller = Caller::connect(world.relay.front()).await?;

    for at in 0..5 {
        let id = format!("id-{at}");
        caller.send(&again(&id)).await?;
        let answer = caller.answer().await?;

        let own = format!("i-0 served {id}");
        assert!(answer.status != 200 || answer.body == own, "{answer:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_server_with_another_name_at_the_address_runs_nothing() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    world.servers[0].usually(Behaviour::Misdirect);

    for at in 0..4 {
        let answer = Caller::once(world.relay.front(), &once(&format!("id-{at}"))).await?;

        assert_eq!(answer.status, 200, "{answer:?}");
    }
    Ok(())
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole_where_the_connection_ends_cleanly()
-> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.servers[0].usually(Behaviour::Unframed);

    let answer = Caller::once(world.relay.front(), &once("id-1")).await?;

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, "i-0 served id-1");
    Ok(())
}

#[tokio::test]
async fn a_servers_own_failure_reaches_the_caller_with_its_status_and_proof() -> anyhow::Result<()>
{
    let world = World::start(1).await?;
    world.servers[0].usually(Behaviour::Fail);

    let answer = Caller::once(world.relay.front(), &once("id-1")).await?;

    assert_eq!(answer.status, 500);
    assert_eq!(answer.header("badgerferry-response-seal"), Some("seal"));
    assert_eq!(answer.body, "i-0 served id-1");
    Ok(())
}

#[tokio::test]
async fn a_call_that_no_server_answers_fails_at_its_routes_limit() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    world.servers[0].usually(Behaviour::Silent);

    let answer = Caller::once(world.relay.front(), &once("id-1")).await?;

    assert_eq!(answer.status, 504);
    let server = &world.servers[0];
    wait_until(|| server.working.load(Ordering::SeqCst) == 0).await
}

#[tokio::test]
async fn a_stream_broken_inside_an_event_goes_on_elsewhere_in_the_same_answer() -> anyhow::Result<()>
{
    let world = World::start(3).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.next(&[Behaviour::BreakAfter(2)]));

    let answer = Caller::once(world.relay.front(), &stream("id-1")).await?;

    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, events(0..5));
    let resumed: Vec<Option<String>> = (world.servers.iter())
        .flat_map(badgerferry_standin::server::Server::seen)
        .map(|seen| seen.headers.get("last-event-id").cloned())
        .collect();
    assert_eq!(
        resumed.iter().flatten().count(),
        resumed.len() - 1,
        "{resumed:?}"
    );
    Ok(())
}

#[tokio::test]
async fn a_stream_that_can_go_on_nowhere_does_not_look_complete() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    world
        .servers
        .iter()
        .for_each(|server| server.usually(Behaviour::BreakAfter(1)));

    let answer = Caller::once(world.relay.front(), &stream("id-1")).await?;

    assert_eq!((answer.status, answer.whole), (200, false));
    assert!(events(0..5).starts_with(&answer.body), "{}", answer.body);
    Ok(())
}

/// Found by a hunt: a stream that was silent for a second was cut where it could not go on.
#[tokio::test]
async fn silence_alone_ends_no_stream_that_can_go_on_nowhere() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let path = "/stream/a";
    let text = call("POST", path, "id-1", "", "").replace("5000", "3500");
    world.servers[0].usually(Behaviour::SilentAfter(1));
    let begun = std::time::Instant::now();

    let answer = Caller::once(world.relay.front(), &text).await?;

    // The caller's own limit ends it, however often it was tried again meanwhile.
    assert!(!answer.whole);
    assert!(
        begun.elapsed() >= Duration::from_millis(3_400),
        "{:?}",
        begun.elapsed()
    );
    Ok(())
}

#[tokio::test]
async fn the_callers_leaving_ends_the_servers_work() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let server = &world.servers[0];
    server.usually(Behaviour::Silent);
    for text in [again("id-1"), stream("id-2")] {
        let mut caller = Caller::connect(world.relay.front()).await?;
        caller.send(&text).await?;
        wait_until(|| server.working.load(Ordering::SeqCst) > 0).await?;

        drop(caller);

        wait_until(|| server.working.load(Ordering::SeqCst) == 0).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_caller_that_leaves_in_mid_stream_ends_the_servers_work() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let server = &world.servers[0];
    server.usually(Behaviour::SilentAfter(2));
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&stream("id-1")).await?;
    world.relay.wait_line(&["stream begins", "id-1"]).await?;

    drop(caller);

    wait_until(|| server.working.load(Ordering::SeqCst) == 0).await
}

#[tokio::test]
async fn bad_bytes_get_a_clear_end_and_reach_no_server() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let head = "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-1\r\n";
    let long = "x".repeat(70_000);
    let cases = [
        (
            "two lengths",
            format!("{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        ),
        (
            "a length that is none",
            format!("{head}Content-Length: x\r\n\r\n"),
        ),
        (
            "a broken chunk",
            format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
        ),
        ("a head too long", format!("{head}X-Long: {long}\r\n\r\n")),
        (
            "a body too long",
            format!("{head}Content-Length: 70000\r\n\r\n{long}"),
        ),
        ("no protocol", "hello there\r\n\r\n".to_owned()),
        (
            "a bad deadline",
            format!("{head}Badgerferry-Deadline-Ms: soon\r\n\r\n"),
        ),
    ];
    for (what, text) in cases {
        let mut caller = Caller::connect(world.relay.front()).await?;
        // The box may close before all of it is sent.
        let _ = caller.send(&text).await;
        let answer = caller.answer().await?;

        assert!(
            matches!(answer.status, 0 | 400 | 413 | 431),
            "{what}: {answer:?}"
        );
    }
    assert_eq!(world.seen(), 0);
    Ok(())
}

#[tokio::test]
async fn a_body_that_stops_short_is_not_held_for_ever() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;
    let text = once("id-1").replace("Content-Length: 8", "Content-Length: 9");
    caller.send(&text).await?;

    let answer = caller.answer().await?;

    assert_eq!(answer.status, 408);
    assert_eq!(world.seen(), 0);
    Ok(())
}

#[tokio::test]
async fn a_head_that_never_ends_and_a_connection_at_rest_are_closed() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let mut slow = Caller::connect(world.relay.front()).await?;
    let mut idle = Caller::connect(world.relay.front()).await?;
    slow.send("GET /again/a HTTP/1.1\r\nHost:").await?;

    assert!(slow.closes().await?);
    assert!(idle.closes().await?);
    Ok(())
}

#[tokio::test]
async fn calls_sent_at_once_on_one_connection_are_answered_in_order() -> anyhow::Result<()> {
    let world = World::start(2).await?;
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller
        .send(&format!("{}{}", again("id-1"), again("id-2")))
        .await?;

    let (first, second) = (caller.answer().await?, caller.answer().await?);

    assert!(first.body.ends_with("served id-1"), "{first:?}");
    assert!(second.body.ends_with("served id-2"), "{second:?}");
    Ok(())
}

#[tokio::test]
async fn a_chunked_body_reaches_the_server_whole() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    let text = "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-1\r\n\
                Badgerferry-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";

    let answer = Caller::once(world.relay.front(), text).await?;

    assert_eq!(answer.status, 200);
    assert_eq!(world.servers[0].seen()[0].body, b"abcdefg");
    Ok(())
}

/// What the command line adds up to causes is what boxes write.
#[tokio::test]
async fn the_last_line_of_a_call_tells_what_decided_its_time() -> anyhow::Result<()> {
    let world = World::start(1).await?;
    Caller::once(world.relay.front(), &stream("id-1")).await?;
    Caller::once(world.relay.front(), &again("id-2")).await?;
    world.relay.wait_line(&[CALL_END_MESSAGE, "id-1"]).await?;
    world.relay.wait_line(&[CALL_END_MESSAGE, "id-2"]).await?;

    let log = world.relay.log();
    let line = |id: &str| -> anyhow::Result<CallRecord> {
        let is_last = |line: &&str| line.contains(CALL_END_MESSAGE) && line.contains(id);
        let line = log.lines().find(is_last).unwrap_or_default();
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
async fn a_header_that_nothing_reads_is_told_once() {
    let world = World::start(1).await.expect("a world");
    world.servers[0].add_header("Server-Mood", "tired");
    for at in 0..3 {
        let text = call("POST", "/again/a", &format!("call-{at}"), "", "");
        let answer = Caller::once(world.relay.front(), &text).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.header("server-mood"), Some("tired"), "{answer:?}");
    }

    let line = "a server's header is not known";
    let told = || world.relay.log().matches(line).count();
    wait_until(|| told() > 0).await.expect("a line");
    assert_eq!(told(), 1);
    assert!(world.relay.log().contains("server-mood"));
}
