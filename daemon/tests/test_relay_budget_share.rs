//! Shares of the retry budget while boxes can't know how many they are.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::random_loopback_ip;
use badgerferry_standin::relay_box::settings;
use badgerferry_standin::relay_box::with_retry_slack;
use badgerferry_standin::retry_audit;
use badgerferry_standin::retry_audit::BudgetTerms;
use badgerferry_standin::retry_audit::SentCall;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use futures::future::join_all;

const BUDGET: BudgetTerms = BudgetTerms {
    window: Duration::from_secs(2),
    ratio: 0.2,
    slack: 40.0,
};
const BOXES: usize = 4;
/// Time in which boxes make calls that fail.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Interval between two calls of a box.
const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Time that a caller leaves to its call.
const PATIENCE: Duration = Duration::from_secs(5);

async fn start_servers(store: &Store) -> anyhow::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for index in 0..4 {
        let server = Server::start(&format!("i-{index}"), "boards", Duration::ZERO).await?;
        store.put(&server.key(), &server.entry("ready"));
        server.cut_calls(0.9);
        servers.push(server);
    }
    Ok(servers)
}

async fn start_box(index: usize, store: &Store) -> anyhow::Result<RelayBox> {
    let ip = random_loopback_ip();
    let text = settings(&format!("box-{index}"), ip, store.address, &[]);
    let text = with_retry_slack(&text, BUDGET.slack);
    let window = format!("budget_window_s = {}", BUDGET.window.as_secs());
    let text = text.replace("budget_window_s = 10", &window);
    let relay = RelayBox::start_with_settings(ip, &text)?;
    relay.wait_ready().await?;
    Ok(relay)
}

/// Makes calls at all boxes, most of which fail; returns them as they were sent.
async fn make_calls(boxes: &[RelayBox]) -> Vec<SentCall> {
    let sent = Mutex::new(Vec::new());
    let at_box = |relay: &RelayBox, index: usize| {
        let (front, sent) = (relay.front(), &sent);
        async move {
            let count = LOAD_TIME.as_millis() / CALL_INTERVAL.as_millis();
            let calls = (0..count as u32).map(|number| async move {
                tokio::time::sleep(CALL_INTERVAL * number).await;
                let id = format!("call-{index}-{number}");
                let text = call("POST", "/again/a", &id, "", &format!("prompt {id}"));
                let at = Instant::now();
                if let Ok(mut sent) = sent.lock() {
                    sent.push(SentCall {
                        id,
                        at,
                        deadline: PATIENCE,
                    });
                }
                // Most fail, as their servers cut them.
                let _ = Caller::exchange(front, &text).await;
            });
            join_all(calls).await;
        }
    };
    join_all(
        boxes
            .iter()
            .enumerate()
            .map(|(index, relay)| at_box(relay, index)),
    )
    .await;
    sent.into_inner().unwrap_or_default()
}

#[tokio::test]
async fn boxes_that_are_not_listed_yet_keep_the_retry_budget_together() -> anyhow::Result<()> {
    let store = Store::start().await?;
    store.put_routes(&desired_state(3, &["key-1"]));
    let servers = start_servers(&store).await?;
    store.set_mode(Mode::ReadOnly);
    let mut boxes = Vec::new();
    for index in 0..BOXES {
        boxes.push(start_box(index, &store).await?);
    }
    tokio::time::sleep(BUDGET.window).await;

    let sent = make_calls(&boxes).await;

    let logs = || boxes.iter().map(RelayBox::log).collect::<String>();
    let worst = retry_audit::worst_window(&sent, &servers, &BUDGET);
    let worst = worst.ok_or_else(|| anyhow::anyhow!("no retry; logs:\n{}", logs()))?;
    assert!(worst.fraction() <= 1.0, "{worst:?}; logs:\n{}", logs());
    store.set_mode(Mode::Serving);
    for relay in &boxes {
        relay
            .wait_for_log_line(&["share of the retry budget held"])
            .await?;
    }
    Ok(())
}
