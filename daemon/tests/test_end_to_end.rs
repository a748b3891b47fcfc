//! Requests from caller to server and back through the real processes.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::stderr;
use badgerferry_testutils::fleet::stdout;
use badgerferry_testutils::fleet::wait_until;
use serde_json::Value;

#[tokio::test]
async fn short_prompt_gets_equal_complete_and_streamed_responses() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;

    let complete = fleet.chat(0, "what crashed?", &[]).await?;
    let streamed = fleet.chat_streamed(1, "what crashed?").await?;

    let response: Value = complete.json()?;
    let text = response["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    assert_eq!(response["usage"]["completion_tokens"], 16, "{response}");
    assert_eq!(complete.headers["x-badgerferry-ran"], "yes");
    assert_eq!(
        streamed_text(&streamed.text()),
        text,
        "the streamed and the complete response differ"
    );
    assert!(streamed.text().ends_with("data: [DONE]\n\n"));
    Ok(())
}

#[tokio::test]
async fn prompt_larger_than_one_engine_is_served_by_a_group() -> anyhow::Result<()> {
    let engine_args = ["--memory", "4000", "--prefill-rate", "200000"];
    let plan = FleetPlan {
        engine_args: engine_args.map(str::to_owned).to_vec(),
        settings: vec![("routing.long_prompt_tokens", 1_000.into())],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let prompt = "x".repeat(4 * 8_500);

    let response = fleet.chat(0, &prompt, &[]).await?;

    let body: Value = response.json()?;
    assert_eq!(body["usage"]["completion_tokens"], 16, "{body}");
    let mut prefills = 0;
    for engine in 0..3 {
        prefills += fleet.holdings(engine).await?["prefills"]
            .as_u64()
            .unwrap_or(0);
    }
    assert_eq!(prefills, 3, "each of three engines prefills a share");
    wait_until("every engine has freed its memory", async || {
        let mut used = 0;
        for engine in 0..3 {
            used += fleet.memory_used(engine).await.unwrap_or(1);
        }
        used == 0
    })
    .await
}

#[tokio::test]
async fn service_call_is_forwarded() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;

    let response = fleet
        .notify(0, "alert-1", &[("x-badgerferry-not-repeatable", "true")])
        .await?;

    let body: Value = response.json()?;
    assert_eq!(body["path"], "/alerts");
    assert_eq!(fleet.service_runs("alert-1").await?, 1);
    Ok(())
}

#[tokio::test]
async fn settings_edit_takes_effect_on_both_boxes() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;

    let edit = fleet.cli(&["settings", "set", "texas", "request.max_output_tokens", "5"])?;
    let revision = stdout(&edit).trim().replace("revision ", "");
    let wait = fleet.cli(&["settings", "wait", &revision])?;

    assert!(edit.status.success(), "{}", stderr(&edit));
    assert!(wait.status.success(), "{}", stderr(&wait));
    for index in 0..2 {
        let response: Value = fleet.chat(index, "what crashed?", &[]).await?.json()?;
        assert_eq!(response["usage"]["completion_tokens"], 5, "{response}");
    }
    Ok(())
}

/// The text of a streamed response.
fn streamed_text(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|json| serde_json::from_str::<Value>(json).ok());
    let texts = events.filter_map(|event| {
        let text = event["choices"][0]["delta"]["content"].as_str();
        text.map(str::to_owned)
    });
    texts.collect()
}
