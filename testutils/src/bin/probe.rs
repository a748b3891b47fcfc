//! Measures the real programs on this machine: the whole path's cost, and control's.
//!
//! Figures are for the machine they were taken on; what carries over is their ratio and
//! their slope.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use badgerferry_lib::engine_wire::GenerateRequest;
use badgerferry_lib::engine_wire::Owner;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::BoxName;
use badgerferry_lib::ids::Incarnation;
use badgerferry_lib::ids::ModelName;
use badgerferry_testutils::fixtures::rng;
use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::MODEL;
use badgerferry_testutils::fleet::stdout;
use hdrhistogram::Histogram;
use serde_json::Value;

/// Measures the real programs.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Path(PathArgs),
    Control(ControlArgs),
}

/// Whole-path cost against calling the stand-in engine directly.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
struct PathArgs {
    /// calls each way (300)
    #[argh(option, default = "300")]
    calls: u32,
}

/// Control's cost for each idle daemon, and the time until an edit is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct ControlArgs {
    /// daemons (6)
    #[argh(option, default = "6")]
    boxes: usize,
    /// stand-in engines (3)
    #[argh(option, default = "3")]
    engines: usize,
    /// seconds to measure (30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// edits to time (10)
    #[argh(option, default = "10")]
    edits: u64,
}

async fn measure_path(args: &PathArgs) -> anyhow::Result<()> {
    // An engine that answers at once, so that what is measured is the path.
    let engine_args = ["--iteration-ms", "0", "--prefill-rate", "1000000000"];
    let plan = FleetPlan {
        boxes: 1,
        engines: 1,
        engine_args: engine_args.map(str::to_owned).to_vec(),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    let mut rng = rng(1);
    let ticks_before = processor_ticks(fleet.boxes[0].id())?;
    for _ in 0..args.calls {
        let asked = GenerateRequest {
            attempt: AttemptId::draw(&mut rng),
            owner: Owner {
                name: BoxName::new("probe"),
                incarnation: Incarnation::draw(&mut rng),
            },
            model: ModelName::new(MODEL),
            prompt: "user: what crashed?\n".to_owned(),
            prompt_tokens: 5,
            max_tokens: 16,
            rank: 1,
            offset: 0,
            emitted: String::new(),
            group: None,
        };
        let start = Instant::now();
        fleet
            .caller
            .post(fleet.engines[0].address, "/v1/generate", &asked)
            .await?;
        direct.record(start.elapsed().as_micros() as u64)?;
        let start = Instant::now();
        let answer = fleet.chat_streamed(0, "what crashed?").await?;
        through.record(start.elapsed().as_micros() as u64)?;
        anyhow::ensure!(
            answer.text().ends_with("data: [DONE]\n\n"),
            "{}",
            answer.text()
        );
    }
    println!("16 tokens, {} calls each way, in turn", args.calls);
    for (name, histogram) in [("direct", &direct), ("through badgerferryd", &through)] {
        println!(
            "{name:22} p50 {:6} us  p95 {:6} us  p99 {:6} us",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.95),
            histogram.value_at_quantile(0.99)
        );
    }
    let ratio = through.value_at_quantile(0.5) as f64 / direct.value_at_quantile(0.5) as f64;
    println!("ratio of the medians {ratio:.2}");
    let ticks = processor_ticks(fleet.boxes[0].id())? - ticks_before;
    let per_call = ticks as f64 * 10_000.0 / f64::from(args.calls);
    println!("the daemon's processor time {per_call:.0} us a call of 16 tokens");
    Ok(())
}

/// Processor time of a process so far, in clock ticks of 10 ms.
fn processor_ticks(id: u32) -> anyhow::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    Ok(fields[11].parse::<u64>()? + fields[12].parse::<u64>()?)
}

/// A line of a process's status, in its own unit.
fn status_line(id: u32, name: &str) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|rest| rest.split_whitespace().next());
    Ok(value.unwrap_or("0").parse()?)
}

/// Bytes of exchanges with peers, both ways.
async fn peer_bytes(fleet: &Fleet, index: usize) -> anyhow::Result<f64> {
    let metrics = fleet
        .caller
        .get(fleet.boxes[index].address, "/metrics")
        .await?
        .text();
    let rows = metrics
        .lines()
        .filter(|line| line.starts_with("badgerferry_peer_bytes_total{"));
    let values = rows.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

async fn platform_calls(fleet: &Fleet) -> anyhow::Result<(f64, f64)> {
    let calls: Value = fleet
        .caller
        .get(fleet.platform.address, "/standin/calls")
        .await?
        .json()?;
    let of = |name: &str| calls[name].as_f64().unwrap_or_default();
    Ok((of("reads"), of("writes")))
}

async fn measure_control(args: &ControlArgs) -> anyhow::Result<()> {
    let plan = FleetPlan {
        boxes: args.boxes,
        engines: args.engines,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let ids: Vec<u32> = fleet
        .boxes
        .iter()
        .map(badgerferry_testutils::processes::Process::id)
        .collect();
    let ticks = |ids: &[u32]| {
        ids.iter()
            .map(|id| processor_ticks(*id))
            .sum::<anyhow::Result<u64>>()
    };
    let before = ticks(&ids)?;
    let bytes_before = peer_bytes(&fleet, 0).await?;
    let (reads_before, writes_before) = platform_calls(&fleet).await?;
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    let seconds = args.seconds as f64;
    let boxes = args.boxes as f64;
    let processor = (ticks(&ids)? - before) as f64 / 100.0 / seconds / boxes;
    let bytes = (peer_bytes(&fleet, 0).await? - bytes_before) / seconds;
    let (reads, writes) = platform_calls(&fleet).await?;
    let memory: u64 = ids
        .iter()
        .map(|id| status_line(*id, "VmRSS:"))
        .sum::<anyhow::Result<u64>>()?;
    println!(
        "{} daemons, {} engines, {} s idle",
        args.boxes, args.engines, args.seconds
    );
    println!("  processor   {:.3}% of a core each", processor * 100.0);
    println!(
        "  memory      {:.1} MB each",
        memory as f64 / 1024.0 / boxes
    );
    println!("  threads     {} each", status_line(ids[0], "Threads:")?);
    println!("  peer bytes  {bytes:.0} B/s both ways, messages without TCP");
    println!(
        "  platform    {:.2} reads/s, {:.2} writes/s each",
        (reads - reads_before) / seconds / boxes,
        (writes - writes_before) / seconds / boxes
    );
    measure_edits(&fleet, args.edits).await
}

async fn measure_edits(fleet: &Fleet, edits: u64) -> anyhow::Result<()> {
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..edits {
        let weight = (20 + number).to_string();
        let edit = fleet.cli(&["settings", "set", "crashes", "workspace.weight", &weight])?;
        let accepted = Instant::now();
        let revision: u64 = stdout(&edit).trim().replace("revision ", "").parse()?;
        loop {
            let statuses = (0..fleet.boxes.len()).map(|index| fleet.status(index));
            let all = futures::future::try_join_all(statuses).await?;
            if all
                .iter()
                .all(|status| status.settings.revision.0 >= revision)
            {
                break;
            }
        }
        times.record(accepted.elapsed().as_millis() as u64)?;
    }
    println!(
        "  an edit is in force everywhere after p50 {} ms, max {} ms ({edits} edits)",
        times.value_at_quantile(0.5),
        times.max()
    );
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Path(args) => measure_path(&args).await,
        Command::Control(args) => measure_control(&args).await,
    }
}
