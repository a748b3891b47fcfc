//! Planned stops of any length: every call that a box has read gets an answer.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::caller_habit::CallerHabit;
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
/// Time for which the box keeps an idle connection, less the time that a body in parts takes.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);
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

    /// Sends calls of each kind at this time, on new connections and, while the box keeps idle ones, on one
    /// that is open from the beginning. Those whose connection the box refuses are left out.
    async fn call_all(&self, at: Duration) -> Vec<Exchanged> {
        let opened = [Some(at), (at < MAX_IDLE_TIME).then_some(Duration::ZERO)];
        let opened = opened.into_iter().flatten();
        let calls = opened.flat_map(|opened_at| {
            PATHS
                .iter()
                .enumerate()
                .map(move |(kind, path)| PlannedCall {
                    path,
                    id: format!("id-{}-{}-{kind}", at.as_millis(), opened_at.as_millis()),
                    habit: CallerHabit::PATIENT[(at.as_millis() / 100) as usize % 3],
                    opened_at,
                    at,
                })
        });
        let calls = join_all(calls.map(|call| call.exchange(&self.relay))).await;
        calls.into_iter().flatten().collect()
    }

    fn received(&self) -> BTreeSet<String> {
        let calls = self.servers.iter().flat_map(Server::received_calls);
        calls.map(|call| call.id().to_owned()).collect()
    }
}

/// A call, and when its connection is opened and it is sent.
struct PlannedCall<'a> {
    path: &'a str,
    id: String,
    habit: CallerHabit,
    opened_at: Duration,
    at: Duration,
}

impl PlannedCall<'_> {
    async fn exchange(self, relay: &RelayBox) -> Option<Exchanged> {
        let text = call("POST", self.path, &self.id, "", "a prompt");
        let text = text.replace("Ms: 5000", "Ms: 20000");
        tokio::time::sleep(self.opened_at).await;
        let mut caller = Caller::connect(relay.front()).await.ok()?;
        tokio::time::sleep(self.at.saturating_sub(self.opened_at)).await;
        let started_at = Instant::now();
        self.habit.send(&mut caller, &text).await.ok()?;
        let sent_at = Instant::now();
        let response = caller.read_response().await.unwrap_or_default();
        Some(Exchanged {
            id: self.id,
            sent_at,
            took: started_at.elapsed(),
            response,
        })
    }
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
    let answered = calls
        .iter()
        .flatten()
        .filter(|call| call.response.status != 0);
    let last_answer = answered.map(|call| call.sent_at + call.took).max();
    for Exchanged {
        id,
        sent_at,
        took,
        response,
    } in calls.iter().flatten()
    {
        let (status, body) = (response.status, &response.body);
        let is_answered = status != 0 && response.is_complete;
        let was_read = received.contains(id) || Some(*sent_at + READ_TIME) < last_answer;
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
    assert_eq!(calls.len(), 2 * PATHS.len(), "{log}");
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
