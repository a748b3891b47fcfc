//! Shows the whole system at work with stand-ins; `scripts/quickstart` runs it.

use std::time::Duration;

use anyhow::ensure;
use argh::FromArgs;
use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::MODEL;
use badgerferry_testutils::fleet::POOL;
use badgerferry_testutils::fleet::WORKSPACE_KEY;
use badgerferry_testutils::fleet::stderr;
use badgerferry_testutils::fleet::stdout;
use serde_json::Value;

/// Memory of each stand-in engine, in tokens.
const ENGINE_MEMORY: u64 = 20_000;
/// Tokens of the long prompt: more than twice one engine's memory.
const LONG_PROMPT_TOKENS: usize = 45_000;
const BYTES_PER_TOKEN: usize = 4;

/// Shows the whole system at work.
#[derive(FromArgs)]
struct Args {
    /// leave everything running until Ctrl-C
    #[argh(switch)]
    keep: bool,
}

fn plan() -> FleetPlan {
    let engine_args = [
        "--memory".to_owned(),
        ENGINE_MEMORY.to_string(),
        "--prefill-rate".to_owned(),
        "100000".to_owned(),
    ];
    FleetPlan {
        engines: 4,
        engine_args: engine_args.to_vec(),
        settings: vec![("routing.long_prompt_tokens", 5_000.into())],
        ..FleetPlan::default()
    }
}

fn step(number: u32, text: &str) {
    println!("\n[{number}] {text}");
}

async fn show_requests(fleet: &Fleet) -> anyhow::Result<()> {
    step(
        2,
        "A short prompt goes in at box-0; its answer comes out as a stream.",
    );
    let streamed = fleet
        .chat_streamed(0, "Group these crashes by their cause.")
        .await?;
    ensure!(
        streamed.text().ends_with("data: [DONE]\n\n"),
        "the stream has no end marker"
    );
    let events = streamed
        .text()
        .lines()
        .filter(|line| !line.is_empty())
        .count();
    println!("    {events} events, the last of them the end marker.");

    step(
        3,
        "A long prompt, more than twice one engine's memory, goes in at box-1.",
    );
    let prompt = "trace ".repeat(LONG_PROMPT_TOKENS * BYTES_PER_TOKEN / 6);
    let long = fleet.chat(1, &prompt, &[]).await?;
    let body: Value = long.json()?;
    ensure!(long.status.is_success(), "the long prompt failed: {body}");
    println!(
        "    {} prompt tokens over engines of {ENGINE_MEMORY} each; {} tokens came back whole.",
        LONG_PROMPT_TOKENS, body["usage"]["completion_tokens"]
    );

    step(
        4,
        "A call that may not be repeated goes to the plain service, twice with one key.",
    );
    let once = [
        ("x-badgerferry-not-repeatable", "true"),
        ("x-badgerferry-request-key", "alert-4711"),
    ];
    let first = fleet.notify(0, "alert-4711", &once).await?;
    let second = fleet.notify(1, "alert-4711", &once).await?;
    let runs = fleet.service_runs("alert-4711").await?;
    ensure!(
        first.status.is_success() && runs == 1,
        "it ran {runs} times"
    );
    println!(
        "    first: {}; second, by the other box: {}; it ran once.",
        first.status, second.status
    );
    Ok(())
}

async fn show_edit(fleet: &Fleet) -> anyhow::Result<()> {
    step(5, "An edit: answers of the region get shorter.");
    let edit = fleet.cli(&["settings", "set", "texas", "request.max_output_tokens", "5"])?;
    ensure!(edit.status.success(), "the edit failed: {}", stderr(&edit));
    let revision = stdout(&edit).trim().replace("revision ", "");
    let wait = fleet.cli(&["settings", "wait", &revision])?;
    ensure!(
        wait.status.success(),
        "it did not come into force: {}",
        stderr(&wait)
    );
    print!("    {}", stdout(&wait));
    for index in 0..2 {
        let body: Value = fleet
            .chat(index, "Group these crashes.", &[])
            .await?
            .json()?;
        let tokens = &body["usage"]["completion_tokens"];
        ensure!(*tokens == 5, "box-{index} answers {tokens} tokens");
        println!("    box-{index} answers {tokens} tokens now.");
    }
    let explain = fleet.cli(&["explain", "crashes/live", "request.max_output_tokens"])?;
    stdout(&explain)
        .lines()
        .for_each(|line| println!("    {line}"));
    Ok(())
}

fn print_lines(fleet: &Fleet) {
    let address = fleet.boxes[0].address;
    println!("\nRunning until Ctrl-C.");
    println!("  platform  {}", fleet.platform.address);
    for (index, daemon) in fleet.boxes.iter().enumerate() {
        println!("  box-{index}     {}", daemon.address);
    }
    println!("\nTry:");
    println!(
        "  curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer {WORKSPACE_KEY}' \\"
    );
    println!(
        "    -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "  curl http://{address}/services/{POOL}/alerts -H 'authorization: Bearer {WORKSPACE_KEY}' \\"
    );
    println!("    -H 'x-badgerferry-not-repeatable: true' -d '{{}}'");
    println!("  export BADGERFERRY_PLATFORM={}", fleet.platform.address);
    println!("  target/debug/badgerferry status");
    println!("  target/debug/badgerferry settings show");
    println!("  target/debug/badgerferry settings set crashes request.time_limit_ms 30000");
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    step(
        1,
        "Starting the platform, four engines, a plain service (stand-ins) and two daemons.",
    );
    let fleet = Fleet::start(&plan()).await?;
    println!(
        "    box-0 listens on {}, box-1 on {}.",
        fleet.boxes[0].address, fleet.boxes[1].address
    );
    show_requests(&fleet).await?;
    show_edit(&fleet).await?;
    if args.keep {
        print_lines(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    drop(fleet);
    // The programs are ended by now; give their ports a moment back to the system.
    tokio::time::sleep(Duration::from_millis(100)).await;
    println!("\nEverything that was started is stopped.");
    Ok(())
}
