//! Start, stop, removal and suspension of boxes, and loss of the platform.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::WORKSPACE_KEY;
use badgerferry_testutils::fleet::chat_body;
use badgerferry_testutils::fleet::stderr;
use badgerferry_testutils::fleet::wait_until;
use serde_json::Value;
use serde_json::json;

#[tokio::test]
async fn planned_stop_completes_requests_in_flight() -> anyhow::Result<()> {
    let engine_args = ["--iteration-ms", "300"];
    let plan = FleetPlan {
        engine_args: engine_args.map(str::to_owned).to_vec(),
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let caller = fleet.caller.clone();
    let address = fleet.boxes[0].address;
    let body = chat_body("a long answer", true).to_string();
    let call = tokio::spawn(async move {
        let bearer = format!("Bearer {WORKSPACE_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let path = "/v1/chat/completions";
        caller
            .call(hyper::Method::POST, address, path, &headers, body)
            .await
    });
    wait_until("the request is in flight at an engine", async || {
        fleet.status(0).await.is_ok_and(|status| status.active > 0)
    })
    .await?;

    fleet.boxes[0].signal("TERM")?;

    wait_until("readiness fails", async || {
        let ready = fleet.caller.get(address, "/readyz").await;
        ready.is_ok_and(|ready| ready.status == 503)
    })
    .await?;
    let response = call.await??;
    let log = fleet.log(0)?;
    assert!(log.contains("planned stop begun in_flight=1"), "{log}");
    assert!(
        response.text().ends_with("data: [DONE]\n\n"),
        "response incomplete: {}",
        response.text()
    );
    let daemon = &mut fleet.boxes[0];
    let mut code = daemon.ended()?;
    while code.is_none() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        code = daemon.ended()?;
    }
    assert_eq!(code, Some(0));
    Ok(())
}

#[tokio::test]
async fn box_marked_as_leaving_refuses_new_requests() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet.list.boxes[0].leaving = true;
    fleet.tell_list().await?;

    wait_until("new requests are refused", async || {
        let response = fleet.chat(0, "hello", &[]).await;
        response.is_ok_and(|response| response.status == 503)
    })
    .await?;
    let refused: Value = fleet.chat(0, "hello", &[]).await?.json()?;
    let other = fleet.chat(1, "hello", &[]).await?;
    fleet.list.boxes[0].leaving = false;
    fleet.tell_list().await?;

    assert_eq!(refused["error"]["code"], "box_leaving");
    assert!(other.status.is_success());
    wait_until(
        "the box accepts requests after the mark is removed",
        async || {
            let response = fleet.chat(0, "hello", &[]).await;
            response.is_ok_and(|response| response.status.is_success())
        },
    )
    .await
}

/// The platform's list lags: it still shows the engine as serving.
#[tokio::test]
async fn engine_that_reports_leaving_gets_no_new_requests() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;

    fleet
        .set_faults(fleet.engines[0].address, &json!({"leaving": true}))
        .await?;

    wait_until("the box knows that the engine is leaving", async || {
        let status = fleet.status(0).await;
        status.is_ok_and(|status| {
            status
                .servers
                .iter()
                .any(|server| server.name.as_str() == "engine-0" && !server.takes_work)
        })
    })
    .await?;
    let before = fleet.holdings(0).await?["generates"].clone();
    for _ in 0..10 {
        assert!(fleet.chat(0, "hello", &[]).await?.status.is_success());
    }
    assert_eq!(fleet.holdings(0).await?["generates"], before);
    Ok(())
}

#[tokio::test]
async fn box_started_without_platform_gets_settings_from_a_peer() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&FleetPlan::default()).await?;
    let output = fleet.cli(&["settings", "set", "texas", "request.max_output_tokens", "5"])?;
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(fleet.cli(&["settings", "wait", "2"])?.status.success());
    fleet
        .set_faults(fleet.platform.address, &json!({"down": true}))
        .await?;

    fleet.boxes[0].kill();
    fleet.boxes[0] = fleet.start_box(0)?;

    wait_until("the newest settings are in force", async || {
        let status = fleet.status(0).await;
        status.is_ok_and(|status| status.ready && status.settings.revision.0 == 2)
    })
    .await
}

#[tokio::test]
async fn boxes_started_without_platform_refuse_until_it_returns() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet
        .set_faults(fleet.platform.address, &json!({"down": true}))
        .await?;
    for daemon in &mut fleet.boxes {
        daemon.kill();
    }

    for index in 0..2 {
        fleet.boxes[index] = fleet.start_box(index)?;
    }
    let refused = fleet.chat(0, "hello", &[]).await?;
    fleet.set_faults(fleet.platform.address, &json!({})).await?;

    let body: Value = refused.json()?;
    assert_eq!(body["error"]["code"], "no_settings", "{body}");
    assert_eq!(body["error"]["ran"], "no");
    for index in 0..2 {
        fleet.wait_serving(index, 3).await?;
    }
    assert!(fleet.chat(0, "hello", &[]).await?.status.is_success());
    Ok(())
}

/// Guards against two lease holders after the first was suspended for longer than the TTL.
#[tokio::test]
async fn suspended_lease_holder_resumes_without_the_lease() -> anyhow::Result<()> {
    let plan = FleetPlan {
        settings: vec![
            ("lease.ttl_ms", 1_500.into()),
            ("placement.copies", json!({"llm-pool": 3})),
        ],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let find_holder = async |except: Option<usize>| {
        for index in (0..2).filter(|index| Some(*index) != except) {
            if let Ok(status) = fleet.status(index).await
                && let Some(lease) = status.lease.filter(|lease| lease.in_force_here)
            {
                return Some((index, lease.fence));
            }
        }
        None
    };
    wait_until("a box holds the lease", async || {
        find_holder(None).await.is_some()
    })
    .await?;
    let (first, old_fence) = find_holder(None).await.unwrap_or_default();

    fleet.boxes[first].signal("STOP")?;
    let acquired = wait_until("the other box holds the lease", async || {
        find_holder(Some(first)).await.is_some()
    })
    .await;
    fleet.boxes[first].signal("CONT")?;
    acquired?;

    let (second, new_fence) = find_holder(Some(first)).await.unwrap_or_default();
    assert!(
        second != first && new_fence > old_fence,
        "{new_fence} after {old_fence}"
    );
    wait_until("the resumed holder knows the new holder", async || {
        let status = fleet.status(first).await;
        status.is_ok_and(|status| {
            status
                .lease
                .is_some_and(|lease| !lease.in_force_here && lease.fence == new_fence)
        })
    })
    .await
}

#[tokio::test]
async fn each_desired_copy_is_loaded_once() -> anyhow::Result<()> {
    let plan = FleetPlan {
        settings: vec![
            ("lease.ttl_ms", 1_500.into()),
            ("placement.hysteresis_ms", 0.into()),
            ("placement.loads_per_min", 600.into()),
        ],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;

    let output = fleet.cli(&[
        "settings",
        "set",
        "fleet",
        "placement.copies",
        r#"{"judge@v2": 2}"#,
    ])?;

    assert!(output.status.success(), "{}", stderr(&output));
    wait_until("two engines have the model", async || {
        let Ok(status) = fleet.status(0).await else {
            return false;
        };
        let has_model = |server: &&badgerferry_lib::status_wire::ServerStatus| {
            server.serves.contains(&"judge@v2".to_owned())
        };
        status.servers.iter().filter(has_model).count() == 2
    })
    .await?;
    let log = fleet.log(0)? + &fleet.log(1)?;
    let loads = log.matches("action=Load").count();
    assert_eq!(
        loads, 2,
        "expected one load per copy:
{log}"
    );
    Ok(())
}

#[tokio::test]
async fn invalid_peer_frames_are_rejected() -> anyhow::Result<()> {
    use badgerferry_edges::peer::NngPeer;
    use badgerferry_edges::peer::Peer;
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let address = fleet.list.boxes[0].peer_address.clone();
    let untrusted_peer = NngPeer {
        timeout: std::time::Duration::from_millis(500),
        max_frame: 1_000_000,
    };
    let rng = &mut badgerferry_testutils::fixtures::rng(1);
    let row = badgerferry_lib::membership::BoxRow {
        name: badgerferry_lib::ids::BoxName::new("box-9"),
        hall: badgerferry_lib::ids::HallName::new("hall-a"),
        incarnation: badgerferry_lib::ids::Incarnation::draw(rng),
        generation: 1,
        heartbeat: 1,
        leaving: false,
        revision: badgerferry_lib::ids::Revision(99),
    };
    let message = badgerferry_lib::peer_wire::PeerMessage::Hello {
        from: row,
        rows: Vec::new(),
        demand: Vec::new(),
        wants_checkpoint: false,
    };
    let sealed = badgerferry_lib::peer_wire::seal(&[7; 32], &message);

    let responses = [sealed.as_slice(), b"nonsense".as_slice()]
        .map(|frame| untrusted_peer.exchange(&address, frame).is_ok());

    assert_eq!(responses, [false, false]);
    let metrics = fleet
        .caller
        .get(fleet.boxes[0].address, "/metrics")
        .await?
        .text();
    assert!(
        metrics.contains("badgerferry_bad_peer_frames_total{why=\"mac\"} 1"),
        "{metrics}"
    );
    assert!(
        metrics.contains("badgerferry_bad_peer_frames_total{why=\"shape\"} 1"),
        "{metrics}"
    );
    let peers = fleet.status(0).await?.peers;
    assert!(peers.iter().all(|peer| peer.name.as_str() != "box-9"));
    Ok(())
}

#[tokio::test]
async fn invalid_settings_leave_the_last_valid_revision_in_force() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let path = "/v1/kv?key=settings/head";
    let method = hyper::Method::PUT;

    fleet
        .caller
        .call(method, fleet.platform.address, path, &[], "nonsense")
        .await?;

    wait_until("status shows the error", async || {
        let status = fleet.status(0).await;
        status.is_ok_and(|status| status.settings.fault.is_some())
    })
    .await?;
    assert_eq!(fleet.status(0).await?.settings.revision.0, 1);
    assert!(fleet.chat(0, "hello", &[]).await?.status.is_success());
    Ok(())
}
