//! Responses with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::crashes::NewConnections;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use serde_json::json;

/// Time from a crash of a server to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Longer than any call.
const LONG_DOWNTIME: Duration = Duration::from_secs(30);
/// Longer than calls that can be repeated wait for the exit of their server.
const SLOW_EXIT_TIME: Duration = Duration::from_millis(500);
/// Time from a crash to a restart at the same address, and a longer one for which a box is suspended.
const SHORT_DOWNTIME: Duration = Duration::from_millis(200);
const SUSPENDED_TIME: Duration = Duration::from_millis(1_500);
/// Exceeds the time in which a server sends the first events of a stream.
const PART_TIME: Duration = Duration::from_millis(200);
/// Number of servers.
const SERVERS: usize = 4;

/// Starts a cluster whose servers handle calls in this way, and stay down for a while after a crash.
async fn start(behaviour: Behaviour) -> anyhow::Result<TestCluster> {
    let cluster = TestCluster::start(SERVERS).await?;
    for server in &cluster.servers {
        server.set_crash_rule(CrashRule::on_body("", RESTART_DELAY, &cluster.store));
        server.set_default_behaviour(behaviour);
    }
    Ok(cluster)
}

/// Sends a call. Only its first attempt meets the behaviour that the cluster was started with.
async fn exchange(cluster: &TestCluster, method: &str, path: &str) -> anyhow::Result<RawResponse> {
    let servers = &cluster.servers;
    let serve_from_second_attempt = async {
        while servers
            .iter()
            .all(|server| server.received_calls().is_empty())
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        for server in servers {
            server.set_default_behaviour(Behaviour::Serve);
        }
        std::future::pending::<()>().await;
    };
    let request = call(method, path, "call-1", "", "prompt");
    tokio::select! {
        answer = Caller::exchange(cluster.relay.front(), &request) => answer,
        () = serve_from_second_attempt => unreachable!("it never ends"),
    }
}

/// Why a server may exit without having crashed.
#[derive(Debug, Clone, Copy)]
enum Departure {
    /// Its entry says that it leaves.
    Leaving,
    /// Its entry is removed.
    Unlisted,
    /// Its data hall is evacuated.
    Evacuated,
}

const DEPARTURES: [Departure; 3] = [
    Departure::Leaving,
    Departure::Unlisted,
    Departure::Evacuated,
];

/// A call whose server has sent a part of an unframed response, and departs.
struct HeldCall {
    cluster: TestCluster,
    server: Server,
    caller: Caller,
}

impl HeldCall {
    /// Sends a call to a cluster whose servers are in halls of their own. The server departs before
    /// it sends the rest; the others serve.
    async fn start(method: &str, path: &str, departure: Departure) -> anyhow::Result<Self> {
        let held = Self::start_in_service(Behaviour::HoldUnframed(3), method, path).await?;
        held.depart(departure).await?;
        Ok(held)
    }

    /// The same, but the server stays in service.
    async fn start_in_service(
        behaviour: Behaviour,
        method: &str,
        path: &str,
    ) -> anyhow::Result<Self> {
        let cluster = start(behaviour).await?;
        for server in &cluster.servers {
            let mut entry = server.entry("ready");
            entry["zone"] = json!(format!("hall-{}", server.name));
            cluster.store.put(&server.key(), &entry);
            let hall = [server.name.as_str(), "server entry"];
            cluster.relay.wait_for_log_line(&hall).await?;
            server.set_crash_rule(CrashRule {
                downtime: LONG_DOWNTIME,
                ..CrashRule::default()
            });
        }
        let mut caller = Caller::connect(cluster.relay.front()).await?;
        caller
            .send(&call(method, path, "call-1", "", "prompt"))
            .await?;
        wait_until(|| cluster.received_calls() == 1).await?;
        let mut servers = cluster.servers.iter();
        let server = servers.find(|server| !server.received_calls().is_empty());
        let server = server.expect("a server received the call").clone();
        for other in &cluster.servers {
            other.set_default_behaviour(Behaviour::Serve);
        }
        // The first part of the response has reached the box by then.
        tokio::time::sleep(PART_TIME).await;
        Ok(Self {
            cluster,
            server,
            caller,
        })
    }

    async fn depart(&self, departure: Departure) -> anyhow::Result<()> {
        let (store, name) = (&self.cluster.store, self.server.name.as_str());
        let line = match departure {
            Departure::Leaving => {
                store.put(&self.server.key(), &self.server.entry("draining"));
                vec!["server entry", name, "\"leaving\":true"]
            }
            Departure::Unlisted => {
                store.remove(&self.server.key());
                vec!["server entry removed", name]
            }
            Departure::Evacuated => {
                store.put(&format!("op/evacuate/hall-{name}"), &json!({}));
                vec!["evacuat", name]
            }
        };
        self.cluster.relay.wait_for_log_line(&line).await
    }

    fn log(&self) -> String {
        self.cluster.relay.log()
    }
}

fn event_ids(answer: &RawResponse) -> Vec<&str> {
    let lines = answer.body.lines();
    lines.filter_map(|line| line.strip_prefix("id: ")).collect()
}

fn assert_whole_stream(answer: &RawResponse, cluster: &TestCluster) {
    let is_served = (answer.status, answer.is_complete) == (200, true);
    assert!(is_served, "{answer:?}; {}", cluster.relay.log());
    assert_eq!(event_ids(answer), ["0", "1", "2", "3", "4"], "{answer:?}");
}

#[tokio::test]
async fn unframed_responses_of_live_servers_are_forwarded_whole() -> anyhow::Result<()> {
    let cluster = start(Behaviour::Unframed).await?;
    let single = exchange(&cluster, "GET", "/again/a").await?;

    let cluster = start(Behaviour::Unframed).await?;
    let stream = exchange(&cluster, "POST", "/stream/a").await?;

    assert_eq!((single.status, single.is_complete), (200, true));
    assert!(single.body.ends_with("served call-1"), "{single:?}");
    assert_whole_stream(&stream, &cluster);
    Ok(())
}

/// Guards against a stream that looks whole because its server crashed between two events.
#[tokio::test]
async fn unframed_stream_cut_between_events_is_resumed() -> anyhow::Result<()> {
    for events in [0, 1, 3] {
        let cluster = start(Behaviour::CrashUnframed(events)).await?;

        let answer = exchange(&cluster, "POST", "/stream/a").await?;

        assert_whole_stream(&answer, &cluster);
    }
    Ok(())
}

/// Guards against a response that looks whole because its server crashed.
#[tokio::test]
async fn unframed_response_cut_by_a_crash_is_not_forwarded() -> anyhow::Result<()> {
    let cluster = start(Behaviour::CrashUnframed(0)).await?;
    let repeatable = exchange(&cluster, "GET", "/again/a").await?;

    let cluster = start(Behaviour::CrashUnframed(0)).await?;
    let non_repeatable = exchange(&cluster, "POST", "/once/a").await?;

    assert_eq!((repeatable.status, repeatable.is_complete), (200, true));
    assert!(repeatable.body.ends_with("served call-1"), "{repeatable:?}");
    assert_eq!(non_repeatable.status, 502, "{non_repeatable:?}");
    Ok(())
}

#[tokio::test]
async fn unframed_stream_cut_inside_an_event_is_resumed() -> anyhow::Result<()> {
    let cluster = start(Behaviour::BreakUnframed(2)).await?;

    let answer = exchange(&cluster, "POST", "/stream/a").await?;

    assert_whole_stream(&answer, &cluster);
    Ok(())
}

/// Guards against a response that looks whole because its server, which was departing, exited.
#[tokio::test]
async fn unframed_response_cut_by_the_exit_of_a_departing_server_is_repeated() -> anyhow::Result<()>
{
    for departure in DEPARTURES {
        let mut held = HeldCall::start("GET", "/again/a", departure).await?;

        held.server.crash();
        let answer = held.caller.read_response().await?;

        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert!(
            answer.body.ends_with("served call-1"),
            "{departure:?}: {answer:?}; {}",
            held.log()
        );
    }
    Ok(())
}

/// Guards against a stream that looks whole because its server, which was departing, exited.
#[tokio::test]
async fn unframed_stream_cut_by_the_exit_of_a_departing_server_is_resumed() -> anyhow::Result<()> {
    for departure in DEPARTURES {
        let mut held = HeldCall::start("POST", "/stream/a", departure).await?;

        held.server.crash();
        let answer = held.caller.read_response().await?;

        assert_whole_stream(&answer, &held.cluster);
    }
    Ok(())
}

/// Guards against a call that may run once and is sent again, or looks served, after its departing
/// server exited.
#[tokio::test]
async fn unframed_response_to_a_call_that_may_run_once_fails_if_its_departing_server_exits()
-> anyhow::Result<()> {
    for departure in DEPARTURES {
        let mut held = HeldCall::start("POST", "/once/a", departure).await?;

        held.server.crash();
        let answer = held.caller.read_response().await?;

        assert_eq!(answer.status, 502, "{departure:?}: {answer:?}");
        assert_eq!(held.cluster.received_calls(), 1, "{}", held.log());
    }
    Ok(())
}

/// Guards against crash records of servers that exit as announced.
#[tokio::test]
async fn exit_of_a_departing_server_is_no_crash() -> anyhow::Result<()> {
    for departure in DEPARTURES {
        let mut held = HeldCall::start("POST", "/stream/a", departure).await?;

        held.server.crash();
        held.caller.read_response().await?;

        let log = held.log();
        assert!(!log.contains("server crashed"), "{departure:?}: {log}");
        assert!(!log.contains("suspect"), "{departure:?}: {log}");
    }
    Ok(())
}

#[tokio::test]
async fn unframed_response_of_a_departing_server_that_runs_on_is_forwarded() -> anyhow::Result<()> {
    for departure in DEPARTURES {
        for (method, path) in [("GET", "/again/a"), ("POST", "/once/a")] {
            let mut held = HeldCall::start(method, path, departure).await?;

            held.server.release_responses();
            let answer = held.caller.read_response().await?;

            assert_eq!((answer.status, answer.is_complete), (200, true));
            assert!(answer.body.ends_with("served call-1"), "{answer:?}");
            assert_eq!(held.cluster.received_calls(), 1, "{}", held.log());
        }
        let mut held = HeldCall::start("POST", "/stream/a", departure).await?;

        held.server.release_responses();
        let answer = held.caller.read_response().await?;

        assert_whole_stream(&answer, &held.cluster);
        assert_eq!(held.cluster.received_calls(), 1, "{}", held.log());
    }
    Ok(())
}

/// Guards against a response that looks whole because its server, which is exiting, still listens.
#[tokio::test]
async fn unframed_response_of_a_server_that_exits_slowly_is_not_whole() -> anyhow::Result<()> {
    for (method, path, status) in [
        ("GET", "/again/a", 200),
        ("POST", "/stream/a", 200),
        ("POST", "/once/a", 502),
    ] {
        let cluster = start(Behaviour::CrashUnframed(2)).await?;
        for server in &cluster.servers {
            let crash_rule = CrashRule::on_body("", LONG_DOWNTIME, &cluster.store);
            let crash_rule = crash_rule.lingering(SLOW_EXIT_TIME);
            server.set_crash_rule(crash_rule.with_new_connections(NewConnections::Close));
        }

        let answer = exchange(&cluster, method, path).await?;

        let context = format!("{path}: {answer:?}; {}", cluster.relay.log());
        assert_eq!(answer.status, status, "{context}");
        match path {
            "/stream/a" => assert_whole_stream(&answer, &cluster),
            "/again/a" => assert!(answer.body.ends_with("served call-1"), "{context}"),
            _ => assert_eq!(cluster.received_calls(), 1, "{context}"),
        }
    }
    Ok(())
}

/// Guards against a call that may run once and fails because its server accepts no connections.
#[tokio::test]
async fn unframed_response_of_a_server_that_closes_new_connections_is_forwarded()
-> anyhow::Result<()> {
    for departure in DEPARTURES {
        let mut held = HeldCall::start("POST", "/once/a", departure).await?;

        held.server.close_new_connections();
        held.server.release_responses();
        let answer = held.caller.read_response().await?;

        let is_served = (answer.status, answer.is_complete) == (200, true);
        assert!(is_served, "{departure:?}: {answer:?}; {}", held.log());
        assert!(answer.body.ends_with("served call-1"), "{answer:?}");
        assert_eq!(held.cluster.received_calls(), 1, "{}", held.log());
    }
    Ok(())
}

/// Guards against an error response that looks whole because its server crashed.
#[tokio::test]
async fn unframed_error_cut_by_a_crash_is_not_forwarded() -> anyhow::Result<()> {
    let mut held = HeldCall::start_in_service(Behaviour::FailUnframed, "POST", "/once/a").await?;

    held.server.crash();
    let answer = held.caller.read_response().await?;

    assert_eq!(answer.status, 502, "{answer:?}; {}", held.log());
    let seal = answer.header("badgerferry-response-seal");
    assert_eq!(seal, None, "{answer:?}");
    assert_eq!(held.cluster.received_calls(), 1, "{}", held.log());
    Ok(())
}

#[tokio::test]
async fn unframed_error_of_a_running_server_is_forwarded_whole() -> anyhow::Result<()> {
    let mut held = HeldCall::start_in_service(Behaviour::FailUnframed, "POST", "/once/a").await?;

    held.server.release_responses();
    let answer = held.caller.read_response().await?;

    assert_eq!((answer.status, answer.is_complete), (500, true));
    assert!(answer.body.ends_with("served call-1"), "{answer:?}");
    Ok(())
}

/// Guards against a response that counts as framed by a transfer coding that does not delimit it.
#[tokio::test]
async fn response_whose_transfer_coding_is_not_chunked_ends_with_its_connection()
-> anyhow::Result<()> {
    let cluster = start(Behaviour::CrashUnframed(0)).await?;
    for server in &cluster.servers {
        server.add_header("Transfer-Encoding", "gzip");
    }

    let answer = exchange(&cluster, "POST", "/once/a").await?;

    let log = cluster.relay.log();
    assert_eq!(answer.status, 502, "{answer:?}; {log}");
    Ok(())
}

/// Guards against a call that fails although its response, which has no body, is whole.
#[tokio::test]
async fn response_without_a_body_is_whole_even_if_its_server_exits() -> anyhow::Result<()> {
    let cluster = start(Behaviour::NoContentThenCrash).await?;

    let answer = exchange(&cluster, "POST", "/once/a").await?;

    assert_eq!(answer.status, 204, "{answer:?}; {}", cluster.relay.log());
    Ok(())
}

/// Guards against a response that looks whole because its server was started again while the box was
/// suspended.
#[tokio::test]
async fn unframed_response_cut_while_the_box_is_suspended_is_not_whole() -> anyhow::Result<()> {
    for (method, path, status) in [
        ("GET", "/again/a", 200),
        ("POST", "/stream/a", 200),
        ("POST", "/once/a", 502),
    ] {
        let behaviour = Behaviour::HoldUnframed(3);
        let mut held = HeldCall::start_in_service(behaviour, method, path).await?;
        held.server.set_crash_rule(CrashRule {
            downtime: SHORT_DOWNTIME,
            ..CrashRule::default()
        });

        held.cluster.relay.signal("STOP")?;
        held.server.crash();
        tokio::time::sleep(SUSPENDED_TIME).await;
        held.cluster.relay.signal("CONT")?;
        let answer = held.caller.read_response().await?;

        let context = format!("{path}: {answer:?}; {}", held.log());
        assert_eq!(answer.status, status, "{context}");
        match path {
            "/stream/a" => assert_whole_stream(&answer, &held.cluster),
            "/again/a" => assert!(answer.body.ends_with("served call-1"), "{context}"),
            _ => assert_eq!(held.cluster.received_calls(), 1, "{context}"),
        }
    }
    Ok(())
}
