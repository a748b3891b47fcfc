//! Planned stops of any length: every call that a box has read gets an answer.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::random_loopback_ip;
use badgerferry_standin::relay_box::settings;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Store;
use futures::future::join_all;
use serde_json::json;

/// Interval between two calls of each kind.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a call that was sent has been read.
const READ_TIME: Duration = Duration::from_millis(100);
/// Time in which a call that can't be served must be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Paths of calls that may be repeated, calls that may not, and streams.
const PATHS: [&str; 3] = ["/again/a", "/once/a", "/stream/a"];

/// A box that the platform stops within this time, before servers that work for as long on each call.
struct StoppedBox {
    _store: Store,
    servers: Vec<Server>,
    relay: RelayBox,
}

/// A call that was sent, and its response.
struct Exchanged {
    id: String,
    sent_at: Instant,
    took: Duration,
    response: RawResponse,
}

impl StoppedBox {
    async fn start(stop_time: Duration, work: Duration) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        let mut state = desired_state(3, &["key-1"]);
        for route in state["routes"].as_array_mut().into_iter().flatten() {
            route["timeout_ms"] = json!(20_000);
        }
        store.put_routes(&state);
        let mut servers = Vec::new();
        for index in 0..4 {
            let name = format!("i-{index}");
            let server = Server::start(&name, "boards", Duration::from_millis(5)).await?;
            server.delay_heads(work, None);
            store.put(&server.key(), &server.entry("ready"));
            servers.push(server);
        }
        let ip = random_loopback_ip();
        let text = settings("box-1", ip, store.address, &[]);
        let grace = format!("grace_s = {}\n", stop_time.as_secs_f64());
        let relay = RelayBox::start_with_settings(ip, &text.replace("grace_s = 8\n", &grace))?;
        relay.wait_ready().await?;
        Ok(Self {
            _store: store,
            servers,
            relay,
        })
    }

    /// Sends calls of each kind at this time, on new connections. Those that the box refuses are left out.
    async fn call_all(&self, at: Duration) -> Vec<Exchanged> {
        tokio::time::sleep(at).await;
        let calls = PATHS.iter().enumerate().map(|(kind, path)| {
            let id = format!("id-{}-{kind}", at.as_millis());
            exchange(&self.relay, path, id)
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    fn received(&self) -> BTreeSet<String> {
        let calls = self.servers.iter().flat_map(Server::received_calls);
        calls.map(|call| call.id().to_owned()).collect()
    }
}

async fn exchange(relay: &RelayBox, path: &str, id: String) -> Option<Exchanged> {
    let text = call("POST", path, &id, "", "").replace("Ms: 5000", "Ms: 20000");
    let mut caller = Caller::connect(relay.front()).await.ok()?;
    let sent_at = Instant::now();
    caller.send(&text).await.ok()?;
    let response = caller.read_response().await.unwrap_or_default();
    Some(Exchanged {
        id,
        sent_at,
        took: sent_at.elapsed(),
        response,
    })
}

/// Stops the box while calls come throughout, each of which takes `work`.
async fn check_every_call_is_answered(stop_time: Duration, work: Duration) -> anyhow::Result<()> {
    let mut stopped = StoppedBox::start(stop_time, work).await?;
    let calls = (0..).map(|turn| CALL_INTERVAL * turn);
    let calls = calls.take_while(|at| *at < stop_time + READ_TIME);
    let stop = async {
        tokio::time::sleep(READ_TIME).await;
        stopped.relay.signal("TERM")?;
        anyhow::Ok(Instant::now())
    };

    let calls = join_all(calls.map(|at| stopped.call_all(at)));
    let (calls, signalled_at) = tokio::join!(calls, stop);
    let killed_at = signalled_at? + stop_time;
    let relay = &mut stopped.relay;
    wait_until(|| relay.exit_code().is_ok_and(|code| code == Some(0))).await?;

    let (received, log) = (stopped.received(), stopped.relay.log());
    for Exchanged {
        id,
        sent_at,
        took,
        response,
    } in calls.iter().flatten()
    {
        let (status, body) = (response.status, &response.body);
        let is_answered = status != 0 && response.is_complete;
        let was_read = received.contains(id) || *sent_at + stop_time / 4 < killed_at;
        assert!(
            is_answered || !was_read,
            "{id}: {status} after {took:?}; {log}"
        );
        assert!(*sent_at + *took < killed_at, "{id} took {took:?}; {log}");
        let is_refused = status == 503;
        assert!(!is_refused || !received.contains(id), "{id}: {body}; {log}");
    }
    Ok(())
}

#[tokio::test]
async fn planned_stop_of_eight_seconds_answers_calls_that_take_longer() -> anyhow::Result<()> {
    let (stop_time, work) = (Duration::from_secs(8), Duration::from_millis(5_500));
    check_every_call_is_answered(stop_time, work).await
}

#[tokio::test]
async fn planned_stop_of_three_seconds_answers_calls_in_flight() -> anyhow::Result<()> {
    let (stop_time, work) = (Duration::from_secs(3), Duration::from_millis(1_500));
    check_every_call_is_answered(stop_time, work).await
}

#[tokio::test]
async fn planned_stop_of_one_second_answers_calls_in_flight() -> anyhow::Result<()> {
    let (stop_time, work) = (Duration::from_secs(1), Duration::from_secs(3));
    check_every_call_is_answered(stop_time, work).await
}

#[tokio::test]
async fn planned_stop_refuses_calls_that_usually_take_longer_than_is_left() -> anyhow::Result<()> {
    let work = Duration::from_millis(1_500);
    let stopped = StoppedBox::start(Duration::from_secs(3), work).await?;
    stopped.call_all(Duration::ZERO).await;
    let learnt = stopped.received();

    stopped.relay.signal("TERM")?;
    let calls = stopped.call_all(Duration::from_millis(1_200)).await;

    let log = stopped.relay.log();
    assert_eq!(calls.len(), PATHS.len(), "{log}");
    for Exchanged {
        id, took, response, ..
    } in &calls
    {
        assert_eq!(response.status, 503, "{id}; {log}");
        assert!(response.header("retry-after").is_some(), "{id}; {log}");
        assert!(*took < REFUSAL_TIME, "{id} took {took:?}; {log}");
    }
    assert_eq!(stopped.received(), learnt, "refused calls were sent; {log}");
    Ok(())
}

#[tokio::test]
async fn planned_stop_answers_a_call_whose_body_is_incomplete() -> anyhow::Result<()> {
    let stopped = StoppedBox::start(Duration::from_secs(1), Duration::ZERO).await?;
    let text = call("POST", "/once/a", "id-1", "", "prompt");
    let mut caller = Caller::connect(stopped.relay.front()).await?;
    caller.send(&text[..text.len() - 1]).await?;

    stopped.relay.signal("TERM")?;
    let response = caller.read_response().await?;

    assert_eq!(response.status, 503, "{}", stopped.relay.log());
    Ok(())
}
