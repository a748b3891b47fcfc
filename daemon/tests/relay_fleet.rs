//! Boxes before servers of one service, and callers that press at all of them.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Answer;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Store;

/// By then boxes that have just started know each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// From one call of a caller to its next.
pub const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Later than this a call counts as hanging: callers give five seconds.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// What callers of engines say of their prompts.
pub const SHORT_PROMPT: &str = "Badgerferry-Token-Counts: 1000,50\r\n";

/// Boxes before servers of one service.
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// The servers.
    pub servers: Vec<Server>,
    /// The boxes.
    pub boxes: Vec<RelayBox>,
}

impl Fleet {
    /// Starts all of it.
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

    /// Calls at all boxes for so long, one after the other at each; gives back what each was told and
    /// how long it took.
    pub async fn call_all(
        &self,
        path: &str,
        extra: &str,
        lasts: Duration,
    ) -> Vec<(Answer, Duration)> {
        let until = Instant::now() + lasts;
        let callers = self.boxes.iter().enumerate().map(async |(at, one)| {
            let mut told = Vec::new();
            for turn in 0.. {
                let began = Instant::now();
                if began >= until {
                    break;
                }
                let text = call(
                    "POST",
                    path,
                    &format!("call-{at}-{turn}"),
                    extra,
                    "a prompt",
                );
                // A connection that the box ends without an answer is one of status 0.
                let answer = Caller::once(one.front(), &text).await.unwrap_or_default();
                let took = began.elapsed();
                assert!(took < CALL_TIMEOUT, "{took:?}: {answer:?}; {}", self.logs());
                told.push((answer, took));
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            told
        });
        futures::future::join_all(callers).await.concat()
    }

    /// What all boxes logged.
    pub fn logs(&self) -> String {
        self.boxes.iter().map(RelayBox::log).collect()
    }
}

impl Fleet {
    /// The server that most calls reached: short calls are packed on few, and one that gets none
    /// would show nothing.
    pub fn busiest(&self) -> &Server {
        let busiest = self.servers.iter().max_by_key(|server| server.seen().len());
        busiest.expect("a server")
    }
}

/// Calls that were served.
pub fn count_served(told: &[(Answer, Duration)]) -> usize {
    told.iter()
        .filter(|(answer, _)| answer.status == 200)
        .count()
}
