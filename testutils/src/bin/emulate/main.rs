//! Runs the library's decisions in virtual time: seeded runs with faults, and load.

mod crashes;
mod gossip;
mod limits;
mod relay;
mod retries;
mod shedding;

use std::fmt::Debug;
use std::time::Duration;

use argh::FromArgs;
use badgerferry_lib::routing::Policy;
use badgerferry_testutils::load;
use badgerferry_testutils::load::LoadPlan;
use badgerferry_testutils::load::LoadResult;
use badgerferry_testutils::load::POLICIES;
use badgerferry_testutils::seeded_leases;
use badgerferry_testutils::seeded_leases::LeaseCounts;
use badgerferry_testutils::seeded_requests;
use badgerferry_testutils::seeded_requests::RunCounts;
use badgerferry_testutils::seeded_settings;
use badgerferry_testutils::seeded_settings::SettingsCounts;
use badgerferry_testutils::seeds::run_seeds;
use badgerferry_testutils::world::WorldPlan;
use badgerferry_testutils::world::default_routing;

/// Runs the library's decisions in virtual time.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Seeds(SeedsArgs),
    Load(LoadArgs),
    Relay(relay::RelayArgs),
    Compare(relay::CompareArgs),
    Crashes(crashes::CrashArgs),
    Gossip(gossip::GossipArgs),
    Limits(limits::LimitArgs),
    Retries(retries::RetryArgs),
    Shedding(shedding::ShedArgs),
}

/// Run seeds with faults and assert the invariants.
#[derive(FromArgs)]
#[argh(subcommand, name = "seeds")]
struct SeedsArgs {
    /// what to run: requests, settings or leases
    #[argh(positional)]
    what: String,
    /// first seed (0)
    #[argh(option, default = "0")]
    from: u64,
    /// how many (1000)
    #[argh(option, default = "1000")]
    count: u64,
}

/// Runs seeds and prints what they came to; ends with 1 if one broke an invariant.
fn run_and_tell<T: Send + Default + Debug>(
    args: &SeedsArgs,
    run: impl Fn(u64) -> T + Sync,
    add: impl Fn(&mut T, T),
) {
    let (results, broken) = run_seeds(args.from..args.from + args.count, run);
    let runs = results.len() + broken.len();
    let mut counts = T::default();
    for result in results {
        add(&mut counts, result);
    }
    println!("{runs} runs of {}: {counts:?}", args.what);
    println!(
        "{} broke an invariant: {:?}",
        broken.len(),
        &broken[..broken.len().min(20)]
    );
    if !broken.is_empty() {
        std::process::exit(1);
    }
}

/// Measure load in virtual time, policies side by side.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch of the command line is one"
)]
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// boxes (6)
    #[argh(option, default = "6")]
    boxes: usize,
    /// engines (18)
    #[argh(option, default = "18")]
    engines: usize,
    /// data halls (3)
    #[argh(option, default = "3")]
    halls: usize,
    /// percent of the engines' capacity asked for (70)
    #[argh(option, default = "70")]
    load: u32,
    /// seconds in which requests arrive (600)
    #[argh(option, default = "600")]
    seconds: u64,
    /// age of a report when it arrives, in milliseconds (100)
    #[argh(option, default = "100")]
    lag_ms: u64,
    /// time between two reports of an engine, in milliseconds (250)
    #[argh(option, default = "250")]
    report_ms: u64,
    /// percent of the engines that die
    #[argh(option, default = "0")]
    dying: u32,
    /// workspaces of ten that press
    #[argh(option, default = "0")]
    pressing: usize,
    /// cut one data hall off in the middle
    #[argh(switch)]
    hall_cut: bool,
    /// let arrivals come in bursts
    #[argh(switch)]
    bursts: bool,
    /// print why requests did not end whole
    #[argh(switch)]
    reasons: bool,
    /// measure only the daemon's own policy and first come, first served
    #[argh(switch)]
    own: bool,
    /// most engines that long prompts may use, in percent; the setting's default if not given
    #[argh(option)]
    long_share: Option<u64>,
    /// servers drawn for one decision; the setting's default if not given
    #[argh(option)]
    samples: Option<usize>,
    /// the seed (1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn load_plan(args: &LoadArgs, policy: Policy, in_order: bool, with_long: bool) -> LoadPlan {
    let mut routing = default_routing();
    if let Some(percent) = args.long_share {
        routing.long_share_percent = percent;
    }
    if let Some(samples) = args.samples {
        routing.samples = samples;
    }
    LoadPlan {
        world: WorldPlan {
            routing,
            boxes: args.boxes,
            engines: args.engines,
            halls: args.halls,
            policy,
            report_every: Duration::from_millis(args.report_ms),
            report_lag: Duration::from_millis(args.lag_ms),
            in_order,
            ..WorldPlan::default()
        },
        load: f64::from(args.load) / 100.0,
        span: Duration::from_secs(args.seconds),
        with_long,
        bursts: args.bursts,
        pressing: args.pressing,
        dying: f64::from(args.dying) / 100.0,
        hall_cut: args.hall_cut,
        seed: args.seed,
    }
}

fn measure_load(args: &LoadArgs) {
    let mut rows: Vec<(String, Policy, bool)> = POLICIES
        .map(|policy| (policy.label().to_owned(), policy, false))
        .into();
    rows.push(("first-come".to_owned(), Policy::LeastReported, true));
    if args.own {
        rows.retain(|(_, policy, in_order)| *policy == Policy::Cost || *in_order);
    }
    println!(
        "{} engines, {} boxes, {} halls, load {}%, lag {} ms, seed {}",
        args.engines, args.boxes, args.halls, args.load, args.lag_ms, args.seed
    );
    println!(
        "{:15} {:>22} {:>22} {:>6} {:>16} {:>7} {:>7} {:>6} {:>5}",
        "policy",
        "1k p50/p95/p99 ms",
        "alone p50/p95/p99 ms",
        "ratio",
        "1M p50/max s",
        "done",
        "refused",
        "failed",
        "jain"
    );
    let lines = std::thread::scope(|scope| {
        let measured = rows.iter().map(|(name, policy, in_order)| {
            let with = scope.spawn(|| load::run(&load_plan(args, *policy, *in_order, true)));
            let alone = scope.spawn(|| load::run(&load_plan(args, *policy, *in_order, false)));
            (name, with, alone)
        });
        let handles: Vec<_> = measured.collect();
        let line = |(name, with, alone): (
            &String,
            std::thread::ScopedJoinHandle<'_, LoadResult>,
            std::thread::ScopedJoinHandle<'_, LoadResult>,
        )| {
            let with = with.join().expect("the run ended");
            let alone = alone.join().expect("the run ended");
            (load_line(name, &with, &alone), with.reasons)
        };
        handles.into_iter().map(line).collect::<Vec<_>>()
    });
    for (line, reasons) in lines {
        println!("{line}");
        if args.reasons {
            println!("    {reasons:?}");
        }
    }
}

fn load_line(name: &str, with: &LoadResult, alone: &LoadResult) -> String {
    let millis = |result: &LoadResult, band: &str, quantile: f64| {
        result.first_token[band].value_at_quantile(quantile) as f64 / 1_000.0
    };
    let three = |result: &LoadResult| {
        let at = |quantile| millis(result, "1k", quantile);
        format!("{:.0}/{:.0}/{:.0}", at(0.5), at(0.95), at(0.99))
    };
    let ratio = millis(with, "1k", 0.99) / millis(alone, "1k", 0.99);
    let million = &with.first_token["1M"];
    let started = format!(
        "{:.0}/{:.0} -{}",
        million.value_at_quantile(0.5) as f64 / 1e6,
        million.max() as f64 / 1e6,
        with.million_lost
    );
    format!(
        "{name:15} {:>22} {:>22} {ratio:>6.2} {started:>16} {:>7} {:>7} {:>6} {:>5.3}",
        three(with),
        three(alone),
        with.done,
        with.refused,
        with.failed,
        with.jain
    )
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let args = match args.command {
        Command::Seeds(args) => args,
        Command::Load(args) => {
            measure_load(&args);
            return Ok(());
        }
        Command::Relay(args) => return relay::play(&args),
        Command::Compare(args) => return relay::compare(&args),
        Command::Crashes(args) => {
            crashes::play(&args);
            return Ok(());
        }
        Command::Gossip(args) => {
            gossip::play(&args);
            return Ok(());
        }
        Command::Limits(args) => {
            limits::play(&args);
            return Ok(());
        }
        Command::Retries(args) => {
            retries::play(&args);
            return Ok(());
        }
        Command::Shedding(args) => {
            shedding::play(&args);
            return Ok(());
        }
    };
    match args.what.as_str() {
        "leases" => run_and_tell(&args, seeded_leases::run, LeaseCounts::add),
        "settings" => run_and_tell(&args, seeded_settings::run, SettingsCounts::add),
        _ => run_and_tell(&args, seeded_requests::run, RunCounts::add),
    }
    Ok(())
}
