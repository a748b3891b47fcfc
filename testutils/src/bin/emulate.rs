//! Runs the library's decisions in virtual time: seeded runs with faults, and load.

use std::fmt::Debug;
use std::panic;

use argh::FromArgs;
use badgerferry_testutils::seeded_requests;
use badgerferry_testutils::seeded_requests::RunCounts;
use badgerferry_testutils::seeded_settings;
use badgerferry_testutils::seeded_settings::SettingsCounts;

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
}

/// Run seeds with faults and assert the invariants.
#[derive(FromArgs)]
#[argh(subcommand, name = "seeds")]
struct SeedsArgs {
    /// what to run: requests or settings
    #[argh(positional)]
    what: String,
    /// first seed (0)
    #[argh(option, default = "0")]
    from: u64,
    /// how many (1000)
    #[argh(option, default = "1000")]
    count: u64,
}

/// Runs seeds on every core and gives back those that broke an invariant.
fn run_all<T: Send>(args: &SeedsArgs, run: impl Fn(u64) -> T + Sync) -> (Vec<T>, Vec<u64>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let one = |thread: u64| {
        let mut results = Vec::new();
        let mut broken = Vec::new();
        let seeds = (args.from..args.from + args.count).filter(|seed| seed % threads == thread);
        for seed in seeds {
            match panic::catch_unwind(panic::AssertUnwindSafe(|| run(seed))) {
                Ok(result) => results.push(result),
                Err(_) => broken.push(seed),
            }
        }
        (results, broken)
    };
    std::thread::scope(|scope| {
        let one = &one;
        let handles: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || one(thread)))
            .collect();
        let mut all = (Vec::new(), Vec::new());
        for handle in handles {
            let (results, broken) = handle.join().expect("a broken run is caught");
            all.0.extend(results);
            all.1.extend(broken);
        }
        all
    })
}

/// Runs seeds and prints what they came to; ends with 1 if one broke an invariant.
fn run_and_tell<T: Send + Default + Debug>(
    args: &SeedsArgs,
    run: impl Fn(u64) -> T + Sync,
    add: impl Fn(&mut T, T),
) {
    let (results, broken) = run_all(args, run);
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

fn main() {
    let args: Args = argh::from_env();
    let Command::Seeds(args) = args.command;
    match args.what.as_str() {
        "settings" => run_and_tell(&args, seeded_settings::run, SettingsCounts::add),
        _ => run_and_tell(&args, seeded_requests::run, RunCounts::add),
    }
}
