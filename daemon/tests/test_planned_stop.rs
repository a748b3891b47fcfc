//! Planned stops of boxes whose requests outlast them.

use std::time::Duration;
use std::time::Instant;

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::chat_body;
use badgerferry_testutils::fleet::wait_until;
use serde_json::json;

/// Seconds until the platform kills a box that it has told to stop.
const STOP_SECONDS: u64 = 3;
/// Time that the service takes for a call, which is longer.
const SLOW_MS: u64 = 20_000;

/// One box, engines that take a second for each token, and a slow service.
async fn slow_fleet() -> anyhow::Result<Fleet> {
    let plan = FleetPlan {
        boxes: 1,
        engine_args: ["--iteration-ms", "1000"].map(str::to_owned).to_vec(),
        stop_seconds: Some(STOP_SECONDS),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let slow = json!({"slow_ms": SLOW_MS});
    fleet.set_faults(fleet.service.address, &slow).await?;
    Ok(fleet)
}

#[tokio::test]
async fn planned_stop_answers_requests_that_outlast_it() -> anyhow::Result<()> {
    let mut fleet = slow_fleet().await?;
    let streamed = chat_body("a long answer", true);
    let whole = chat_body("a long answer", false);

    let stop = async {
        wait_until("all requests are in flight", async || {
            let log = fleet.log(0).unwrap_or_default();
            log.matches("routing decision").count() == 4
        })
        .await?;
        fleet.boxes[0].signal("TERM")?;
        anyhow::Ok(Instant::now())
    };
    let repeatable = [("x-badgerferry-not-repeatable", "false")];
    let (streamed, whole, once, again, signalled_at) = tokio::join!(
        fleet.chat_body(0, &streamed, &[]),
        fleet.chat_body(0, &whole, &[]),
        fleet.notify(0, "once", &[]),
        fleet.notify(0, "again", &repeatable),
        stop
    );

    let took = signalled_at?.elapsed();
    let log = fleet.log(0)?;
    assert!(
        took < Duration::from_secs(STOP_SECONDS),
        "took {took:?}; {log}"
    );
    let streamed = streamed?;
    assert_eq!(streamed.status, 200, "{log}");
    assert!(
        streamed.text().contains("box_stopping"),
        "{}",
        streamed.text()
    );
    for answer in [whole?, once?, again?] {
        assert_eq!(answer.status, 502, "{log}");
        assert!(answer.text().contains("box_stopping"), "{}", answer.text());
    }
    let daemon = &mut fleet.boxes[0];
    while daemon.ended()?.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
