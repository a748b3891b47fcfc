//! A fleet of boxes with servers of one service, and callers that put load on all boxes.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Store;

/// Time after which boxes that have just started know each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Interval between the response to a caller's call and its next call.
pub const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// A call that takes longer counts as hanging: calls have a deadline of five seconds.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Header with the token counts of short prompts, for calls to engines.
pub const SHORT_PROMPT: &str = "Badgerferry-Token-Counts: 1000,50\r\n";

/// A store, servers of one service, and boxes.
pub struct Fleet {
    /// Store that all of them use.
    pub store: Store,
    /// Servers, named `i-0` and so on.
    pub servers: Vec<Server>,
    /// Boxes, named `box-0` and so on.
    pub boxes: Vec<RelayBox>,
}

impl Fleet {
    /// Starts a fleet and waits until its boxes know each other.
    pub async fn start(boxes: usize, servers: usize, service: &str) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        store.put_routes(&desired_state(3, &["key-1"]));
        let mut rows = Vec::new();
        for at in 0..servers {
            let name = format!("i-{at}");
            let server = Server::start(&name, service, Duration::from_millis(5)).await?;
            store.put(&server.key(), &server.entry("ready"));
            rows.push(server);
        }
        let mut fleet = Self {
            store: store.clone(),
            servers: rows,
            boxes: Vec::new(),
        };
        for at in 0..boxes {
            let one = RelayBox::start(&format!("box-{at}"), store.address, &[])?;
            one.wait_ready().await?;
            fleet.boxes.push(one);
        }
        tokio::time::sleep(DISCOVERY_TIME).await;
        Ok(fleet)
    }

    /// Calls all boxes concurrently for `duration`, each one sequentially. Returns each response
    /// and the time it took.
    pub async fn call_all(
        &self,
        path: &str,
        extra: &str,
        duration: Duration,
    ) -> Vec<(RawResponse, Duration)> {
        let until = Instant::now() + duration;
        let callers = self.boxes.iter().enumerate().map(async |(at, one)| {
            let mut responses = Vec::new();
            for turn in 0.. {
                let started_at = Instant::now();
                if started_at >= until {
                    break;
                }
                let text = call(
                    "POST",
                    path,
                    &format!("call-{at}-{turn}"),
                    extra,
                    "a prompt",
                );
                // A connection closed without a response counts as status 0.
                let answer = Caller::exchange(one.front(), &text)
                    .await
                    .unwrap_or_default();
                let took = started_at.elapsed();
                assert!(took < CALL_TIMEOUT, "{took:?}: {answer:?}; {}", self.logs());
                responses.push((answer, took));
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            responses
        });
        futures::future::join_all(callers).await.concat()
    }

    /// Logs of all boxes.
    pub fn logs(&self) -> String {
        self.boxes.iter().map(RelayBox::log).collect()
    }
}

impl Fleet {
    /// The server that received most calls. Short calls are packed on few servers, so a test on
    /// another one might check nothing.
    pub fn busiest(&self) -> &Server {
        let busiest = self
            .servers
            .iter()
            .max_by_key(|server| server.received_calls().len());
        busiest.expect("a server")
    }
}

/// Number of calls answered with status 200.
pub fn count_served(responses: &[(RawResponse, Duration)]) -> usize {
    responses
        .iter()
        .filter(|(answer, _)| answer.status == 200)
        .count()
}
