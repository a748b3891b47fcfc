//! Servers die, freeze, refuse and garble; what each caller gets is whole and true.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::wait_until;
use badgerferry_testutils::http::Answer;
use serde_json::Value;
use serde_json::json;

/// Requests until one is drawn to a dying engine; all but never more than a few.
const MOST_TRIES: usize = 100;

fn text_of(answer: &Answer) -> anyhow::Result<String> {
    let body: Value = answer.json()?;
    let text = body["choices"][0]["message"]["content"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}

async fn baseline(fleet: &Fleet, engines: usize) -> anyhow::Result<()> {
    wait_until("every engine is back at its baseline", async || {
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
async fn engine_killed_mid_stream_is_joined_by_another() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&FleetPlan::default()).await?;
    let whole = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
    for engine in &fleet.engines[..2] {
        let faults = json!({"die_after_tokens": 5});
        fleet.set_faults(engine.address, &faults).await?;
    }

    // Which engine a request goes to is drawn; two of the three die under it.
    let mut died = false;
    for _ in 0..MOST_TRIES {
        let joined = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
        assert_eq!(joined, whole, "joined without a lost or doubled token");
        for engine in &mut fleet.engines[..2] {
            died |= engine.ended()? == Some(3);
        }
        if died {
            break;
        }
    }

    assert!(died, "no engine died mid-stream");
    Ok(())
}

#[tokio::test]
async fn garbled_frames_never_reach_a_caller() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let whole = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;
    let faults = [
        json!({"cross": true}),
        json!({"double": true}),
        json!({"cross": true, "double": true}),
    ];

    for fault in &faults {
        for engine in &fleet.engines {
            fleet.set_faults(engine.address, fault).await?;
        }
        let answer = fleet.chat(1, "what crashed?", &[]).await?;
        assert_eq!(text_of(&answer)?, whole, "with {fault}");
    }
    Ok(())
}

#[tokio::test]
async fn stream_cut_short_or_with_a_gap_is_not_taken_for_whole() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let whole = text_of(&fleet.chat(0, "what crashed?", &[]).await?)?;

    for fault in [json!({"truncate_after": 3}), json!({"skip": true})] {
        for engine in &fleet.engines[..2] {
            fleet.set_faults(engine.address, &fault).await?;
        }
        let answer = fleet.chat(1, "what crashed?", &[]).await?;
        assert_eq!(text_of(&answer)?, whole, "with {fault}");
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
    baseline(&fleet, 3).await
}

#[tokio::test]
async fn killed_daemon_leaves_nothing_at_the_engines() -> anyhow::Result<()> {
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
    let asking = tokio::spawn(async move {
        let bearer = [("authorization", "Bearer demo-key")];
        let path = "/v1/chat/completions";
        caller
            .call(hyper::Method::POST, address, path, &bearer, body)
            .await
    });
    wait_until("a group is reserved", async || {
        fleet.memory_used(0).await.is_ok_and(|used| used > 0)
    })
    .await?;

    fleet.boxes[0].kill();

    assert!(
        asking.await?.is_err(),
        "the caller of a killed daemon gets no whole answer"
    );
    baseline(&fleet, 3).await
}

#[tokio::test]
async fn not_repeatable_call_to_a_dying_service_is_told_as_maybe_run() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let once = [("x-badgerferry-not-repeatable", "true")];
    fleet
        .set_faults(fleet.service.address, &json!({"refuse": true}))
        .await?;

    let refused = fleet.notify(0, "alert", &once).await?;
    let runs = fleet.service_runs("alert").await?;
    fleet
        .set_faults(fleet.service.address, &json!({"die_after_run": true}))
        .await?;
    let lost = fleet.notify(0, "alert", &once).await?;
    // A process that is ending still takes connections for a moment; a call lost there may have run.
    let address = fleet.service.address;
    wait_until("the service is gone", async || {
        tokio::net::TcpStream::connect(address).await.is_err()
    })
    .await?;
    let gone = fleet.notify(0, "alert", &once).await?;

    assert_eq!(
        refused.headers["x-badgerferry-ran"],
        "no",
        "{}",
        refused.text()
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(runs, 0, "refused as not run, and it ran");
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
async fn request_key_runs_once_though_the_claims_answer_is_lost() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let once = [
        ("x-badgerferry-not-repeatable", "true"),
        ("x-badgerferry-request-key", "k1"),
    ];
    fleet
        .set_faults(fleet.platform.address, &json!({"lose_write_answers": 1}))
        .await?;

    let first = fleet.notify(0, "alert", &once).await?;
    let second = fleet.notify(1, "alert", &once).await?;

    assert!(first.status.is_success(), "{}", first.text());
    assert_eq!(second.status, 409, "{}", second.text());
    assert_eq!(fleet.service_runs("alert").await?, 1);
    Ok(())
}

#[tokio::test]
async fn request_key_is_refused_not_run_while_the_platform_is_down() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let once = [
        ("x-badgerferry-not-repeatable", "true"),
        ("x-badgerferry-request-key", "k2"),
    ];
    fleet
        .set_faults(fleet.platform.address, &json!({"down": true}))
        .await?;

    let refused = fleet.notify(0, "alert", &once).await?;
    let unkeyed = fleet.notify(0, "other", &[]).await?;

    let body: Value = refused.json()?;
    assert_eq!(body["error"]["code"], "key_not_checked", "{body}");
    assert_eq!(fleet.service_runs("alert").await?, 0);
    assert!(
        unkeyed.status.is_success(),
        "serving goes on: {}",
        unkeyed.text()
    );
    Ok(())
}
