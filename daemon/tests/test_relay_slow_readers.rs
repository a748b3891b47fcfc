//! Callers that don't read their responses, and servers that don't read request bodies.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::LARGE_STREAM_EVENTS;
use badgerferry_standin::server::Server;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Memory limit in the settings of the boxes.
const MEMORY_LIMIT_KB: u64 = 160 << 10;
/// Time limit of the routes: far longer than callers of a stream and servers may read nothing.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// How long a server may leave a body of the unary routes unread: their objective.
const BODY_PATIENCE: Duration = Duration::from_secs(2);
/// Events of a large stream that fill the room of a call at the box, but not the buffers of a
/// connection.
const UNREAD_EVENTS: u64 = 4;
/// Time in which an idle box would have ended its stop, but one that is busy may not have yet.
const READ_DURING_STOP: Duration = Duration::from_secs(4);
/// Larger than the buffers of a connection.
const LARGE_BODY_BYTES: usize = 12 << 20;
/// Body that a slow server reads within its patience.
const QUEUED_BODY_BYTES: usize = 4 << 20;

/// A cluster whose routes have a long time limit and accept large bodies.
async fn cluster(servers: usize) -> anyhow::Result<TestCluster> {
    let world = TestCluster::start(servers).await?;
    let mut state = desired_state(4, &["key-1"]);
    state["limits"]["max_body_bytes"] = (16 << 20).into();
    for route in state["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = (TIME_LIMIT.as_millis() as u64).into();
        if route["kind"] != "streaming" {
            route["goal_ms"] = (BODY_PATIENCE.as_millis() as u64).into();
        }
    }
    let mut paused = state["routes"][2].clone();
    paused["name"] = "paused".into();
    paused["path_prefix"] = "/stream/paused/".into();
    paused["gap_goal_ms"] = 2_000.into();
    let mut single = paused.clone();
    single["name"] = "single".into();
    single["path_prefix"] = "/stream/single/".into();
    single["resumable"] = false.into();
    if let Some(routes) = state["routes"].as_array_mut() {
        routes.extend([paused, single]);
    }
    world.store.put_routes(&state);
    let updated = ["route table updated", "\"version\":4"];
    world.relay.wait_for_log_line(&updated).await?;
    Ok(world)
}

fn patient_call(method: &str, path: &str, id: &str, body: &str) -> String {
    let limit = format!("Ms: {}", TIME_LIMIT.as_millis());
    call(method, path, id, "", body).replace("Ms: 5000", &limit)
}

async fn send_unread(world: &TestCluster, text: &str) -> anyhow::Result<Caller> {
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(text).await?;
    Ok(caller)
}

/// Sends a call, and waits until it is routed to a server.
async fn send_routed(
    world: &TestCluster,
    path: &str,
    id: &str,
    body: &str,
) -> anyhow::Result<Caller> {
    let caller = send_unread(world, &patient_call("POST", path, id, body)).await?;
    world.relay.wait_for_log_line(&["call routed", id]).await?;
    Ok(caller)
}

async fn add_server(world: &mut TestCluster) -> anyhow::Result<()> {
    let server = Server::start("i-1", "boards", Duration::from_millis(20)).await?;
    world.store.put(&server.key(), &server.entry("ready"));
    world.servers.push(server);
    world
        .relay
        .wait_for_log_line(&["server entry", "i-1"])
        .await
}

fn active_calls(server: &Server) -> usize {
    server.active_calls.load(Ordering::SeqCst)
}

#[tokio::test]
async fn stream_that_its_caller_leaves_unread_is_cut_without_blame() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.pad_large_responses(500_000);
    let started_at = Instant::now();

    let text = patient_call("POST", "/stream/large", "id-1", "prompt");
    let mut caller = send_unread(&world, &text).await?;
    let cut = ["caller cut: response unread", "id-1", "stalled"];
    world.relay.wait_for_log_line(&cut).await?;
    wait_until(|| active_calls(server) == 0).await?;
    let took = started_at.elapsed();
    let response = caller.read_response().await?;
    let next = patient_call("POST", "/stream/small", "id-2", "prompt");
    let next = Caller::exchange(world.relay.front(), &next).await?;

    assert!(took < TIME_LIMIT / 2, "{took:?}");
    assert!(!response.is_complete);
    assert_eq!((next.status, next.is_complete), (200, true));
    assert_eq!(
        server.received_calls().len(),
        2,
        "the cut call is not retried"
    );
    let log = world.relay.log();
    assert!(
        !log.contains("excluded") && !log.contains("response unusable"),
        "{log}"
    );
    Ok(())
}

#[tokio::test]
async fn stream_that_its_server_cut_unread_is_resumed_once_its_caller_reads() -> anyhow::Result<()>
{
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.pad_large_responses(500_000);
    server.cut_unread_streams(Duration::from_millis(1_200));

    // The gap limit of this route is long, so its callers may pause for longer than the server.
    let text = patient_call("POST", "/stream/paused/large", "id-1", "prompt");
    let mut caller = send_unread(&world, &text).await?;
    wait_until(|| active_calls(server) == 1).await?;
    wait_until(|| active_calls(server) == 0).await?;
    let pause = Duration::from_millis(1_500);
    tokio::time::sleep(pause).await;
    let log = world.relay.log();
    let response = caller.read_response().await?;

    assert!(!log.contains("paused stream resumed"), "{log}");
    assert_eq!((response.status, response.is_complete), (200, true));
    let lines = response.body.lines();
    let ids: Vec<u64> = lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert!(ids.iter().copied().eq(0..LARGE_STREAM_EVENTS), "{ids:?}");
    let calls = server.received_calls();
    assert_eq!(calls.len(), 2, "{}", world.relay.log());
    assert!(calls[1].headers.contains_key("last-event-id"));
    let log = world.relay.log();
    assert!(!log.contains("excluded"), "{log}");
    let resumed = ["paused stream resumed", "id-1"];
    world.relay.wait_for_log_line(&resumed).await?;
    let log = world.relay.log();
    let mut lines = log.lines().filter(|line| line.contains(resumed[0]));
    let line: serde_json::Value = serde_json::from_str(lines.next().unwrap_or_default())?;
    // The box is held back from shortly after the start of the call until the caller reads.
    let paused_ms = line["paused_ms"].as_u64().unwrap_or_default();
    assert!(u128::from(paused_ms) >= pause.as_millis(), "{line}");
    Ok(())
}

/// Address of a server that responds to one request, and refuses connections from then on.
async fn answers_once() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        drop(listener);
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await?;
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .await
    });
    Ok(address)
}

/// Guards against a retry that is reserved again after a refused connection and never given back.
#[tokio::test]
async fn paused_stream_whose_first_server_refuses_connections_takes_one_retry() -> anyhow::Result<()>
{
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.pad_large_responses(500_000);
    server.cut_unread_streams(Duration::from_millis(1_200));
    let text = patient_call("POST", "/stream/paused/large", "id-1", "prompt");
    let mut caller = send_unread(&world, &text).await?;
    wait_until(|| active_calls(server) == 1).await?;
    let entry = server.entry_at("ready", answers_once().await?);
    world.store.put("servers/i-1", &entry);
    let listed = ["server entry", "i-1"];
    world.relay.wait_for_log_line(&listed).await?;
    wait_until(|| active_calls(server) == 0).await?;

    let response = caller.read_response().await?;

    let log = world.relay.log();
    assert!(response.is_complete, "{log}");
    assert!(log.contains("attempt failed"), "{log}");
    let retries = log.matches("retry allowed").count();
    assert_eq!(retries, 1, "{log}");
    Ok(())
}

#[tokio::test]
async fn cut_stream_that_can_not_be_resumed_is_not_blamed_on_the_server() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.pad_large_responses(500_000);
    server.cut_unread_streams(Duration::from_millis(1_200));

    let text = patient_call("POST", "/stream/single/large", "id-1", "prompt");
    let mut caller = send_unread(&world, &text).await?;
    wait_until(|| active_calls(server) == 1).await?;
    wait_until(|| active_calls(server) == 0).await?;
    let response = caller.read_response().await?;

    assert_eq!((response.status, response.is_complete), (200, false));
    assert_eq!(server.received_calls().len(), 1, "{}", world.relay.log());
    assert!(!world.relay.log().contains("excluded"));
    let ended = ["call ended", "id-1", "caller_stalled"];
    world.relay.wait_for_log_line(&ended).await
}

/// Guards against an unframed stream that looks whole because its server cut it between two events.
#[tokio::test]
async fn unframed_stream_that_its_server_cut_unread_is_not_whole() -> anyhow::Result<()> {
    for (path, ids) in [
        ("/stream/paused/large", 0..LARGE_STREAM_EVENTS),
        ("/stream/single/large", 0..UNREAD_EVENTS),
    ] {
        let world = cluster(1).await?;
        let server = &world.servers[0];
        server.pad_large_responses(500_000);
        server.queue_behaviours(&[Behaviour::EndUnframed(UNREAD_EVENTS)]);

        let text = patient_call("POST", path, "id-1", "prompt");
        let mut caller = send_unread(&world, &text).await?;
        wait_until(|| active_calls(server) == 1).await?;
        wait_until(|| active_calls(server) == 0).await?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let response = caller.read_response().await?;

        assert_eq!(response.status, 200, "{path}");
        let is_resumable = ids.end == LARGE_STREAM_EVENTS;
        assert_eq!(response.is_complete, is_resumable, "{path}");
        let lines = response.body.lines();
        let received = lines.filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
        assert!(received.eq(ids), "{path}; {}", world.relay.log());
        let runs = server.received_calls().len();
        assert_eq!(runs, if is_resumable { 2 } else { 1 }, "{path}");
        assert!(!world.relay.log().contains("excluded"));
    }
    Ok(())
}

#[tokio::test]
async fn crash_of_a_server_whose_stream_is_left_unread_is_recorded() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.pad_large_responses(500_000);
    server.set_crash_rule(CrashRule {
        downtime: TIME_LIMIT,
        ..CrashRule::default()
    });

    let text = patient_call("POST", "/stream/paused/large", "id-1", "prompt");
    let mut caller = send_unread(&world, &text).await?;
    wait_until(|| active_calls(server) == 1).await?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    server.crash();
    wait_until(|| std::net::TcpStream::connect(server.address).is_err()).await?;
    caller.read_response().await?;

    let crashed = ["server crashed during a call", "id-1"];
    world.relay.wait_for_log_line(&crashed).await
}

#[tokio::test]
async fn stalled_callers_neither_exhaust_memory_nor_delay_others() -> anyhow::Result<()> {
    let world = cluster(2).await?;
    for server in &world.servers {
        server.pad_large_responses(4_000_000);
    }

    let mut stalled = Vec::new();
    for index in 0..80 {
        let text = patient_call("GET", "/again/large", &format!("stalled-{index}"), "");
        stalled.push(send_unread(&world, &text).await?);
    }
    // From now on, the room of the callers is used up, and large responses wait for it.
    let cut = ["caller cut: response unread", "evicted"];
    world.relay.wait_for_log_line(&cut).await?;
    let mut slowest = Duration::ZERO;
    for index in 0..40 {
        let text = patient_call("GET", "/again/small", &format!("id-{index}"), "");
        let started_at = Instant::now();
        let response = Caller::exchange(world.relay.front(), &text).await?;
        slowest = slowest.max(started_at.elapsed());
        assert_eq!(response.status, 200, "{response:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    assert!(slowest < TIME_LIMIT / 10, "{slowest:?}");
    let peak = world.relay.peak_memory_kb()?;
    assert!(peak < MEMORY_LIMIT_KB, "{peak} kB");
    Ok(())
}

#[tokio::test]
async fn evicted_caller_sees_an_incomplete_response() -> anyhow::Result<()> {
    let world = cluster(2).await?;
    for server in &world.servers {
        server.pad_large_responses(4_000_000);
    }

    let mut stalled = Vec::new();
    for index in 0..40 {
        let text = patient_call("GET", "/again/large", &format!("stalled-{index}"), "");
        stalled.push(send_unread(&world, &text).await?);
    }
    let cut = ["caller cut: response unread", "evicted"];
    world.relay.wait_for_log_line(&cut).await?;

    let mut incomplete = 0;
    for mut caller in stalled {
        let response = caller.read_response().await?;
        incomplete += usize::from(response.status == 200 && !response.is_complete);
    }
    assert!(incomplete > 0);
    Ok(())
}

/// Guards against a planned stop that cuts responses which callers are still reading.
#[tokio::test]
async fn planned_stop_waits_for_callers_that_still_read() -> anyhow::Result<()> {
    let mut world = cluster(1).await?;
    world.servers[0].pad_large_responses(3_000_000);
    let mut callers = Vec::new();
    for (index, path) in ["/again/large", "/once/large"].into_iter().enumerate() {
        let text = patient_call("POST", path, &format!("id-{index}"), "");
        callers.push(send_unread(&world, &text).await?);
    }
    let log = ["call ended", "answered"];
    world.relay.wait_for_log_line(&log).await?;
    wait_until(|| active_calls(&world.servers[0]) == 0).await?;

    world.relay.signal("TERM")?;
    tokio::time::sleep(READ_DURING_STOP).await;
    for mut caller in callers {
        let response = caller.read_response().await?;
        let is_served = (response.status, response.is_complete) == (200, true);
        assert!(is_served, "{}; {}", response.head, world.relay.log());
    }

    let mut has_exited = || world.relay.exit_code().is_ok_and(|code| code.is_some());
    let read_at = Instant::now();
    wait_until(&mut has_exited).await?;
    assert!(read_at.elapsed() < READ_DURING_STOP, "the box exits early");
    Ok(())
}

#[tokio::test]
async fn body_that_a_server_leaves_unread_is_cut_and_may_have_run() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    world.servers[0].ignore_bodies();
    let body = "x".repeat(LARGE_BODY_BYTES);

    let text = patient_call("POST", "/once/a", "id-1", &body);
    let response = Caller::exchange(world.relay.front(), &text).await?;

    assert_eq!(response.status, 502);
    assert!(
        response.body.contains("\"may_have_run\":true"),
        "{response:?}"
    );
    let cut = ["request body unread", "id-1", "stalled"];
    world.relay.wait_for_log_line(&cut).await
}

#[tokio::test]
async fn repeatable_call_with_an_unread_body_is_served_elsewhere() -> anyhow::Result<()> {
    let mut world = cluster(1).await?;
    world.servers[0].ignore_bodies();
    let body = "x".repeat(LARGE_BODY_BYTES);

    let mut caller = send_routed(&world, "/again/a", "id-1", &body).await?;
    add_server(&mut world).await?;
    let response = caller.read_response().await?;

    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body, "i-1 served id-1");
    let cut = ["request body unread", "id-1", "stalled"];
    world.relay.wait_for_log_line(&cut).await
}

#[tokio::test]
async fn second_large_body_waits_for_the_first_then_goes_elsewhere() -> anyhow::Result<()> {
    let mut world = cluster(1).await?;
    world.servers[0].read_bodies_slowly(Duration::from_millis(20));
    let body = "x".repeat(LARGE_BODY_BYTES);

    let mut first = send_routed(&world, "/once/a", "id-1", &body).await?;
    let started_at = Instant::now();
    let mut second = send_routed(&world, "/once/a", "id-2", &body).await?;
    add_server(&mut world).await?;
    let (second, first) = tokio::join!(second.read_response(), async {
        let response = first.read_response().await;
        (response, started_at.elapsed())
    });

    let (first, first_took) = first;
    let (first, second) = (first?, second?);
    assert_eq!(
        (first.status, first.body.as_str()),
        (200, "i-0 served id-1")
    );
    assert_eq!(
        (second.status, second.body.as_str()),
        (200, "i-1 served id-2")
    );
    assert!(first_took > BODY_PATIENCE, "{first_took:?}");
    assert_eq!(world.servers[0].received_calls().len(), 1);
    let waited = ["request body unread", "id-2", "earlier_bodies"];
    world.relay.wait_for_log_line(&waited).await
}

/// Guards against calls that reach a server long after it said that it leaves, because they waited
/// until it had read earlier bodies.
#[tokio::test]
async fn call_that_waited_for_earlier_bodies_is_not_sent_to_a_leaving_server() -> anyhow::Result<()>
{
    let mut world = cluster(1).await?;
    world.servers[0].read_bodies_slowly(Duration::from_millis(20));
    let body = "x".repeat(QUEUED_BODY_BYTES);

    let mut first = send_routed(&world, "/once/a", "id-1", &body).await?;
    let mut second = send_routed(&world, "/once/a", "id-2", &body).await?;
    add_server(&mut world).await?;
    let leaving = &world.servers[0];
    world.store.put(&leaving.key(), &leaving.entry("draining"));
    let (first, second) = (first.read_response().await?, second.read_response().await?);

    let log = world.relay.log();
    assert_eq!(first.body, "i-0 served id-1", "{first:?}; {log}");
    assert_eq!(second.body, "i-1 served id-2", "{second:?}; {log}");
    assert_eq!(world.servers[0].received_calls().len(), 1, "{log}");
    Ok(())
}

/// Guards against servers that work past the deadline of a call that waited.
#[tokio::test]
async fn call_that_waited_for_earlier_bodies_states_the_time_that_is_left() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    let server = &world.servers[0];
    server.read_bodies_slowly(Duration::from_millis(20));
    let body = "x".repeat(QUEUED_BODY_BYTES);

    let mut first = send_routed(&world, "/once/a", "id-1", &body).await?;
    let sent_at = Instant::now();
    let mut second = send_routed(&world, "/once/a", "id-2", &body).await?;
    first.read_response().await?;
    // The second call reaches the server after this.
    let waited = sent_at.elapsed() / 2;
    second.read_response().await?;

    let calls = server.received_calls();
    let stated = calls[1].headers["badgerferry-deadline-ms"].parse()?;
    let total = Duration::from_millis(stated) + waited;
    assert!(total < TIME_LIMIT, "{stated}, {waited:?}");
    Ok(())
}

#[tokio::test]
async fn window_of_a_server_falls_back_once_it_leaves_a_body_unread() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    let server = &world.servers[0];
    // Two of them fit into the largest window.
    let body = "x".repeat(LARGE_BODY_BYTES / 3);

    let read = patient_call("POST", "/once/a", "read", &body);
    let read = Caller::exchange(world.relay.front(), &read).await?;
    server.ignore_bodies();
    let unread = patient_call("POST", "/once/a", "unread", &body);
    let unread = Caller::exchange(world.relay.front(), &unread).await?;
    server.read_bodies_slowly(Duration::from_millis(60));
    let _first = send_routed(&world, "/once/a", "id-1", &body).await?;
    let _second = send_routed(&world, "/once/a", "id-2", &body).await?;

    assert_eq!((read.status, unread.status), (200, 502));
    let waited = ["request body unread", "id-2", "earlier_bodies"];
    world.relay.wait_for_log_line(&waited).await
}

#[tokio::test]
async fn bodies_beyond_the_memory_of_the_box_are_refused_unrun() -> anyhow::Result<()> {
    let world = cluster(1).await?;
    world.servers[0].ignore_bodies();
    let body = "x".repeat(LARGE_BODY_BYTES);

    let calls = (0..12).map(|index| {
        let text = patient_call("POST", "/once/a", &format!("id-{index}"), &body);
        let front = world.relay.front();
        async move { Caller::exchange(front, &text).await }
    });
    let responses = futures::future::join_all(calls).await;

    let responses: Vec<_> = responses.into_iter().collect::<anyhow::Result<_>>()?;
    let refused = responses
        .iter()
        .filter(|response| response.body.contains("memory_full"));
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty(), "{responses:?}");
    for response in refused {
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some());
    }
    let peak = world.relay.peak_memory_kb()?;
    assert!(peak < MEMORY_LIMIT_KB, "{peak} kB");
    Ok(())
}
