//! Faults of servers and of the platform: callers get a complete and correct response, or an error
//! that states whether the request may have run.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::wait_until;
use badgerferry_testutils::http::Answer;
use serde_json::Value;
use serde_json::json;

/// Maximum number of requests until an engine that crashes is selected; usually a few suffice.
const MAX_REQUESTS: usize = 100;

fn text_of(response: &Answer) -> anyhow::Result<String> {
    let body: Value = response.json()?;
    let text = body["choices"][0]["message"]["content"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}

async fn wait_until_memory_is_free(fleet: &Fleet, engines: usize) -> anyhow::Result<()> {
    wait_until("every engine has freed its memory", async || {
        for engine in 0..engines {
            let used = fleet.memory_used(engine).await;
            if used.is_ok_and(|used| used > 0) {
                return false;
            }
        }
        true
    })
    .await
}

#[tokio::test]
async fn stream_of_a_crashed_engine_resumes_on_another() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&FleetPlan::default()).await?;
    let complete = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
    for engine in &fleet.engines[..2] {
        let faults = json!({"die_after_tokens": 5});
        fleet.set_faults(engine.address, &faults).await?;
    }

    // Engines are selected at random, and two of the three crash after five tokens.
    let mut has_crashed = false;
    for _ in 0..MAX_REQUESTS {
        let resumed = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
        assert_eq!(resumed, complete, "a token was lost or duplicated");
        for engine in &mut fleet.engines[..2] {
            has_crashed |= engine.ended()? == Some(3);
        }
        if has_crashed {
            break;
        }
    }

    assert!(has_crashed, "no engine crashed during a stream");
    Ok(())
}

#[tokio::test]
async fn foreign_and_duplicate_frames_are_not_forwarded() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let complete = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
    let faults = [
        json!({"cross": true}),
        json!({"double": true}),
        json!({"cross": true, "double": true}),
    ];

    for fault in &faults {
        for engine in &fleet.engines {
            fleet.set_faults(engine.address, fault).await?;
        }
        let response = fleet.chat(1, "what crashed?", &[]).await?;
        assert_eq!(text_of(&response)?, complete, "with {fault}");
    }
    Ok(())
}

#[tokio::test]
async fn truncated_or_gapped_stream_is_not_treated_as_complete() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let complete = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;

    for fault in [json!({"truncate_after": 3}), json!({"skip": true})] {
        for engine in &fleet.engines[..2] {
            fleet.set_faults(engine.address, &fault).await?;
        }
        let response = fleet.chat(1, "what crashed?", &[]).await?;
        assert_eq!(text_of(&response)?, complete, "with {fault}");
    }
    for engine in &fleet.engines {
        fleet
            .set_faults(engine.address, &json!({"truncate_after": 0}))
            .await?;
    }
    let failed = fleet.chat(0, "what crashed?", &[]).await?;
    assert_eq!(
        failed.headers["x-badgerferry-ran"],
        "maybe",
        "{}",
        failed.text()
    );
    wait_until_memory_is_free(&fleet, 3).await
}

#[tokio::test]
async fn engines_free_the_memory_of_a_killed_daemon() -> anyhow::Result<()> {
    let engine_args = ["--memory", "4000", "--prefill-rate", "1000"];
    let plan = FleetPlan {
        engine_args: engine_args.map(str::to_owned).to_vec(),
        settings: vec![
            ("routing.long_prompt_tokens", 1_000.into()),
            ("engine.holding_ttl_ms", 2_000.into()),
        ],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(&plan).await?;
    let caller = fleet.caller.clone();
    let address = fleet.boxes[0].address;
    let prompt = "x".repeat(4 * 8_500);
    let body = badgerferry_testutils::fleet::chat_body(&prompt, false).to_string();
    let pending_call = tokio::spawn(async move {
        let bearer = [("authorization", "Bearer demo-key")];
        let path = "/v1/chat/completions";
        caller
            .call(hyper::Method::POST, address, path, &bearer, body)
            .await
    });
    wait_until("memory is reserved for a group", async || {
        fleet.memory_used(0).await.is_ok_and(|used| used > 0)
    })
    .await?;

    fleet.boxes[0].kill();

    assert!(
        pending_call.await?.is_err(),
        "the caller of a killed daemon got a complete response"
    );
    wait_until_memory_is_free(&fleet, 3).await
}

#[tokio::test]
async fn non_repeatable_call_to_a_crashed_service_may_have_run() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let headers = [("x-badgerferry-not-repeatable", "true")];
    fleet
        .set_faults(fleet.service.address, &json!({"refuse": true}))
        .await?;

    let refused = fleet.notify(0, "alert", &headers).await?;
    let runs = fleet.service_runs("alert").await?;
    fleet
        .set_faults(fleet.service.address, &json!({"die_after_run": true}))
        .await?;
    let lost = fleet.notify(0, "alert", &headers).await?;
    // A process that is exiting still accepts connections for a moment, and a call lost then may
    // have run.
    let address = fleet.service.address;
    wait_until("the service refuses connections", async || {
        tokio::net::TcpStream::connect(address).await.is_err()
    })
    .await?;
    let gone = fleet.notify(0, "alert", &headers).await?;

    assert_eq!(
        refused.headers["x-badgerferry-ran"],
        "no",
        "{}",
        refused.text()
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(runs, 0, "the call was refused as not run, but ran");
    assert_eq!(
        lost.headers["x-badgerferry-ran"],
        "maybe",
        "{}",
        lost.text()
    );
    assert_eq!(
        gone.headers["x-badgerferry-ran"],
        "no",
        "no connection: {}",
        gone.text()
    );
    Ok(())
}

#[tokio::test]
async fn request_key_runs_once_if_the_response_to_its_claim_is_lost() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let headers = [
        ("x-badgerferry-not-repeatable", "true"),
        ("x-badgerferry-request-key", "k1"),
    ];
    fleet
        .set_faults(fleet.platform.address, &json!({"lose_write_answers": 1}))
        .await?;

    let first = fleet.notify(0, "alert", &headers).await?;
    let second = fleet.notify(1, "alert", &headers).await?;

    assert!(first.status.is_success(), "{}", first.text());
    assert_eq!(second.status, 409, "{}", second.text());
    assert_eq!(fleet.service_runs("alert").await?, 1);
    Ok(())
}

#[tokio::test]
async fn request_with_a_key_is_refused_while_the_platform_is_down() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let headers = [
        ("x-badgerferry-not-repeatable", "true"),
        ("x-badgerferry-request-key", "k2"),
    ];
    fleet
        .set_faults(fleet.platform.address, &json!({"down": true}))
        .await?;

    let refused = fleet.notify(0, "alert", &headers).await?;
    let unkeyed = fleet.notify(0, "other", &[]).await?;

    let body: Value = refused.json()?;
    assert_eq!(body["error"]["code"], "key_not_checked", "{body}");
    assert_eq!(fleet.service_runs("alert").await?, 0);
    assert!(
        unkeyed.status.is_success(),
        "a call without a key was not served: {}",
        unkeyed.text()
    );
    Ok(())
}
