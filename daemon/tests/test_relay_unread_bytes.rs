//! Ends of connections behind bytes that nobody reads: calls end with their callers all the same.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use badgerferry_edges::watched_stream::closed_by_peer;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::carriers::CarryRequest;
use badgerferry_lib::relay::carriers::CarryResponse;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::caller_habit::CallerHabit;
use badgerferry_standin::departure_audit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::proxy::Link;
use badgerferry_standin::proxy::Proxy;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;
use futures::future::try_join_all;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::departures::CALL_INTERVAL;
use crate::departures::CALLS;
use crate::departures::LONG_WORK;
use crate::departures::SETTLING_TIME;
use crate::departures::patience;
use crate::departures::writes_events;

/// Interval between the events of streams.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a slow forwarder takes in each direction.
const FORWARDING_DELAY: Duration = Duration::from_millis(60);

/// Sends a call in this manner, and leaves after `patience`.
async fn make_call(
    front: SocketAddr,
    path: &str,
    id: String,
    habit: CallerHabit,
    patience: Duration,
) -> anyhow::Result<Departure> {
    let mut caller = Caller::connect(front).await?;
    let text = call("POST", path, &id, "", "a prompt in two parts");
    habit.send(&mut caller, &text).await?;
    tokio::time::sleep(patience).await;
    habit.leave(caller).await;
    let at = Instant::now();
    Ok(Departure { id, at })
}

/// Lets callers with this habit leave, and checks that no server works on for them and that none gets
/// their further requests.
async fn assert_calls_end(
    cluster: &TestCluster,
    front: SocketAddr,
    path: &str,
    habit: CallerHabit,
) -> anyhow::Result<()> {
    let calls = (0..CALLS).map(|index| async move {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let id = format!("left-{index}");
        make_call(front, path, id, habit, patience(index)).await
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(SETTLING_TIME).await;

    let found = departure_audit::audit(&departures, &cluster.servers, Duration::ZERO);
    assert!(
        found.runs >= CALLS as usize / 2,
        "{habit:?}: too few runs: {found}"
    );
    let log = || cluster.relay.log();
    assert!(!found.violates(), "{habit:?}: {found}; log:\n{}", log());
    let seen = cluster.servers.iter().flat_map(Server::received_calls);
    let further = seen.filter(|call| call.id().starts_with("further"));
    assert_eq!(further.count(), 0, "{habit:?}: further requests sent");
    Ok(())
}

async fn start_with_long_work() -> anyhow::Result<TestCluster> {
    let cluster = TestCluster::start(4).await?;
    for server in &cluster.servers {
        server.delay_heads(LONG_WORK, None);
    }
    Ok(cluster)
}

#[tokio::test]
async fn call_ends_though_a_further_request_in_segments_is_unread() -> anyhow::Result<()> {
    let cluster = start_with_long_work().await?;
    let front = cluster.relay.front();

    assert_calls_end(
        &cluster,
        front,
        "/again/a",
        CallerHabit::PipelinesInSegments,
    )
    .await
}

#[tokio::test]
async fn call_ends_though_bytes_beyond_its_stated_length_are_unread() -> anyhow::Result<()> {
    let cluster = start_with_long_work().await?;
    let front = cluster.relay.front();

    assert_calls_end(&cluster, front, "/again/a", CallerHabit::ExceedsLength).await
}

#[tokio::test]
async fn call_ends_though_unread_segments_precede_a_reset() -> anyhow::Result<()> {
    let cluster = start_with_long_work().await?;
    let front = cluster.relay.front();

    assert_calls_end(&cluster, front, "/again/a", CallerHabit::Resets).await
}

#[tokio::test]
async fn calls_end_whose_bodies_arrive_in_chunks_or_parts() -> anyhow::Result<()> {
    for habit in [CallerHabit::Chunks, CallerHabit::SendsInParts] {
        let cluster = start_with_long_work().await?;
        let front = cluster.relay.front();

        assert_calls_end(&cluster, front, "/again/a", habit).await?;
    }
    Ok(())
}

#[tokio::test]
async fn call_ends_though_a_forwarder_passes_on_unread_segments() -> anyhow::Result<()> {
    for link in [Link::Open, Link::Delayed(FORWARDING_DELAY)] {
        let cluster = start_with_long_work().await?;
        let forwarder = Proxy::start(cluster.relay.front()).await?;
        forwarder.set(link);

        let habit = CallerHabit::PipelinesInSegments;
        assert_calls_end(&cluster, forwarder.address, "/again/a", habit).await?;
    }
    Ok(())
}

#[tokio::test]
async fn begun_stream_ends_though_a_further_request_in_segments_is_unread() -> anyhow::Result<()> {
    let cluster = TestCluster::start_forwarded(4).await?;
    for server in &cluster.servers {
        writes_events(server, EVENT_INTERVAL);
    }
    let front = cluster.relay.front();

    let habit = CallerHabit::PipelinesInSegments;
    assert_calls_end(&cluster, front, "/stream/large", habit).await
}

#[tokio::test]
async fn further_request_in_segments_is_served_after_the_first() -> anyhow::Result<()> {
    let cluster = TestCluster::start(2).await?;
    for server in &cluster.servers {
        server.delay_heads(SETTLING_TIME, None);
    }
    let mut caller = Caller::connect(cluster.relay.front()).await?;
    let text = call("POST", "/again/a", "first", "", "prompt");

    CallerHabit::PipelinesInSegments
        .send(&mut caller, &text)
        .await?;
    let first = caller.read_response().await?;
    let second = caller.read_response().await?;

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(
        second.header("badgerferry-attempt-id"),
        Some("further-first")
    );
    Ok(())
}

#[tokio::test]
async fn leaving_of_each_caller_is_logged_once() -> anyhow::Result<()> {
    for habit in CallerHabit::ALL {
        let cluster = start_with_long_work().await?;
        let front = cluster.relay.front();

        let calls = (0..CALLS).map(|index| async move {
            let id = format!("left-{index}");
            make_call(front, "/again/a", id, habit, patience(index)).await
        });
        let departures = try_join_all(calls).await?;
        tokio::time::sleep(SETTLING_TIME).await;

        let log = cluster.relay.log();
        for Departure { id, .. } in departures {
            let name = format!("\"call\":\"{id}\"");
            let lines = log
                .lines()
                .filter(|line| line.contains("caller left") && line.contains(&name));
            let lines: Vec<_> = lines.collect();
            assert_eq!(lines.len(), 1, "{habit:?} {id}; log:\n{log}");
            assert!(lines[0].contains("\"commit\""), "{}", lines[0]);
        }
    }
    Ok(())
}

#[tokio::test]
async fn start_line_states_version_and_commit() -> anyhow::Result<()> {
    let cluster = TestCluster::start(1).await?;

    let log = cluster.relay.log();
    let line = log.lines().find(|line| line.contains("daemon started"));

    let line: serde_json::Value = serde_json::from_str(line.unwrap_or_default())?;
    assert_eq!(line["version"], env!("CARGO_PKG_VERSION"));
    for field in ["commit", "sources"] {
        assert!(line[field].as_str().is_some_and(|text| !text.is_empty()));
    }
    Ok(())
}

/// Interval between two requests for a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the buffers of an unread connection are full.
const FILLING_TIME: Duration = Duration::from_millis(300);

/// Asks a box to connect to a server, as a peer does whose own path is cut, until the box knows the server.
async fn connect_through(carrier: &RelayBox, server: &str) -> anyhow::Result<TcpStream> {
    loop {
        match request_connection(carrier, server).await? {
            (CarryResponse::Connected, stream) => return Ok(stream),
            (CarryResponse::Unknown, _) => tokio::time::sleep(POLL_INTERVAL).await,
            (other, _) => anyhow::bail!("{other:?}"),
        }
    }
}

async fn request_connection(
    carrier: &RelayBox,
    server: &str,
) -> anyhow::Result<(CarryResponse, TcpStream)> {
    let mut stream = TcpStream::connect(carrier.load()).await?;
    let request = CarryRequest {
        version: FRAME_VERSION,
        from: "box-2".to_owned(),
        server: ServerName::new(server),
        call: "call-1".to_owned(),
    };
    let bytes = postcard::to_stdvec(&request)?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    let mut response = vec![0; stream.read_u32().await? as usize];
    stream.read_exact(&mut response).await?;
    Ok((postcard::from_bytes(&response)?, stream))
}

#[tokio::test]
async fn carried_connection_is_reset_though_its_server_reads_nothing() -> anyhow::Result<()> {
    let cluster = TestCluster::start(1).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let entry = cluster.servers[0].entry_at("ready", listener.local_addr()?);
    cluster.store.put("servers/i-unread", &entry);
    let mut peer = connect_through(&cluster.relay, "i-unread").await?;
    let (server, _) = listener.accept().await?;

    let endless = vec![b'x'; 1 << 20];
    while let Ok(written) = timeout(FILLING_TIME, peer.write_all(&endless)).await {
        written?;
    }
    SockRef::from(&peer).set_linger(Some(Duration::ZERO))?;
    drop(peer);

    let closed = timeout(departure_audit::STOP_TIME, closed_by_peer(&server)).await;
    assert!(closed.is_ok(), "still open; log:\n{}", cluster.relay.log());
    Ok(())
}

#[tokio::test]
async fn end_of_input_ends_a_call_whatever_precedes_it() -> anyhow::Result<()> {
    for habit in CallerHabit::ALL {
        let cluster = start_with_long_work().await?;
        let mut caller = Caller::connect(cluster.relay.front()).await?;
        let text = call("POST", "/again/a", "left", "", "a prompt in two parts");

        habit.send(&mut caller, &text).await?;
        caller.finish_sending().await?;
        let closed = timeout(departure_audit::STOP_TIME, caller.wait_for_close()).await;

        assert!(closed.is_ok(), "{habit:?}: still open");
    }
    Ok(())
}
