//! Servers behind the own door that send bytes without end, until their client closes.

use std::time::Duration;

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::chat_body;
use badgerferry_testutils::processes::peak_memory_kb;
use futures::future::join_all;
use serde_json::json;

/// Calls with an endless response at a time.
const CALLS: u32 = 40;
/// Memory that these responses may take together, in kilobytes: what the box file allows, twice while a
/// buffer grows, and the sockets.
const MAX_GROWTH_KB: u64 = 160 << 10;
/// Time limit of a request in these fleets, in milliseconds.
const TIME_LIMIT_MS: u64 = 6_000;

async fn one_box() -> anyhow::Result<Fleet> {
    let plan = FleetPlan {
        boxes: 1,
        engines: 2,
        settings: vec![("request.time_limit_ms", json!(TIME_LIMIT_MS))],
        ..FleetPlan::default()
    };
    Fleet::start(&plan).await
}

fn growth_kb(fleet: &Fleet, before: u64) -> anyhow::Result<u64> {
    Ok(peak_memory_kb(fleet.boxes[0].id())?.saturating_sub(before))
}

#[tokio::test]
async fn responses_of_a_service_without_end_do_not_exhaust_memory() -> anyhow::Result<()> {
    let fleet = one_box().await?;
    let faults = json!({"endless": true});
    fleet.set_faults(fleet.service.address, &faults).await?;
    let before = peak_memory_kb(fleet.boxes[0].id())?;

    let names: Vec<String> = (0..CALLS).map(|call| format!("endless-{call}")).collect();
    let endless = join_all(names.iter().map(|name| fleet.notify(0, name, &[])));
    let others = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.chat(0, "a prompt", &[]).await
    };
    let (endless, other) = tokio::join!(endless, others);

    assert_eq!(other?.status, 200, "{}", fleet.log(0)?);
    for answer in endless {
        assert!(answer?.status.is_server_error(), "{}", fleet.log(0)?);
    }
    let growth = growth_kb(&fleet, before)?;
    assert!(growth < MAX_GROWTH_KB, "memory grew by {growth} kB");
    Ok(())
}

#[tokio::test]
async fn streams_of_sound_frames_without_end_do_not_exhaust_memory() -> anyhow::Result<()> {
    let fleet = one_box().await?;
    for engine in &fleet.engines {
        let faults = json!({"endless": true});
        fleet.set_faults(engine.address, &faults).await?;
    }
    let before = peak_memory_kb(fleet.boxes[0].id())?;

    let body = chat_body("an answer", false);
    let endless = join_all((0..CALLS).map(|_| fleet.chat_body(0, &body, &[])));
    let (endless, other) = tokio::join!(endless, fleet.notify(0, "other", &[]));

    assert_eq!(other?.status, 200, "{}", fleet.log(0)?);
    for answer in endless {
        assert!(!answer?.status.is_success(), "{}", fleet.log(0)?);
    }
    let growth = growth_kb(&fleet, before)?;
    assert!(growth < MAX_GROWTH_KB, "memory grew by {growth} kB");
    Ok(())
}

#[tokio::test]
async fn reports_without_end_do_not_exhaust_memory() -> anyhow::Result<()> {
    let fleet = one_box().await?;
    let endless_report = json!({"endless_report": true});
    let before = peak_memory_kb(fleet.boxes[0].id())?;

    fleet
        .set_faults(fleet.engines[0].address, &endless_report)
        .await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = fleet.chat(0, "a prompt", &[]).await;

    assert_eq!(answer?.status, 200, "{}", fleet.log(0)?);
    let growth = growth_kb(&fleet, before)?;
    assert!(growth < 8 << 10, "memory grew by {growth} kB");
    Ok(())
}
