//! Plays calls that end servers, and compares ways of bounding them.

use std::time::Duration;

use argh::FromArgs;
use badgerferry_testutils::crash_model;
use badgerferry_testutils::crash_model::Bound;
use badgerferry_testutils::crash_model::CrashCounts;
use badgerferry_testutils::crash_model::CrashPlan;
use badgerferry_testutils::crash_model::PartTiming;
use badgerferry_testutils::seeds::run_seeds;

/// Play calls that end the servers which run them, under each way of bounding them.
#[derive(FromArgs)]
#[argh(subcommand, name = "crashes")]
pub struct CrashArgs {
    /// boxes (6)
    #[argh(option, default = "6")]
    boxes: usize,
    /// boxes that hear no other one, but the store (0)
    #[argh(option, default = "0")]
    cut_off: usize,
    /// boxes that start anew in each second (0)
    #[argh(option, default = "0.0")]
    restarts: f64,
    /// servers (18)
    #[argh(option, default = "18")]
    servers: usize,
    /// callers whose call ends servers (2)
    #[argh(option, default = "2")]
    deadly: usize,
    /// milliseconds within which they first come (1000)
    #[argh(option, default = "1000")]
    within: u64,
    /// other calls in each second (40)
    #[argh(option, default = "40.0")]
    others: f64,
    /// equal calls of one caller in each second (0)
    #[argh(option, default = "0.0")]
    equal: f64,
    /// share of the servers that end by themselves, every four seconds (0)
    #[argh(option, default = "0.0")]
    waves: f64,
    /// milliseconds within which those end (0)
    #[argh(option, default = "0")]
    spread: u64,
    /// calls in each second with a part that ends servers (0)
    #[argh(option, default = "0.0")]
    deadly_parts: f64,
    /// when these end their servers: soon, before or late, by the beginning of the response (soon)
    #[argh(option, default = "\"soon\".to_owned()")]
    part_timing: String,
    /// first parts that calls share; with them, all calls are streams with parts (0)
    #[argh(option, default = "0")]
    first_parts: u64,
    /// seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// first seed (0)
    #[argh(option, default = "0")]
    from: u64,
    /// how many seeds (100)
    #[argh(option, default = "100")]
    seeds: u64,
}

const BOUNDS: [Bound; 6] = [
    Bound::None,
    Bound::EachBox,
    Bound::Owner,
    Bound::NewsAlone,
    Bound::WholeRequests,
    Bound::Shared,
];

/// Plays, and prints a row for each way of bounding.
pub fn play(args: &CrashArgs) {
    let plan = CrashPlan {
        boxes: args.boxes,
        cut_off: args.cut_off,
        restarts: args.restarts,
        servers: args.servers,
        deadly: args.deadly,
        deadly_within_ms: args.within,
        others: args.others,
        equal: args.equal,
        waves: args.waves,
        spread_ms: args.spread,
        deadly_parts: args.deadly_parts,
        part_timing: match args.part_timing.as_str() {
            "before" => PartTiming::Before,
            "late" => PartTiming::Late,
            _ => PartTiming::Soon,
        },
        first_parts: args.first_parts,
        lasts: Duration::from_secs(args.seconds),
    };
    println!(
        "bound         ended: mean  most | late sends | by parts: mean  most | late sends | others lost  refused | equal lost  refused"
    );
    for bound in BOUNDS {
        let seeds = args.from..args.from + args.seeds;
        let (results, _) = run_seeds(seeds, |seed| crash_model::run(&plan, bound, seed));
        let mut sum = CrashCounts::default();
        for counts in &results {
            sum.add(*counts);
        }
        let most = results.iter().map(|counts| counts.ended).max();
        let most_by_parts = results.iter().map(|counts| counts.part_ended).max();
        let mean = |count: usize| count as f64 / results.len().max(1) as f64;
        let share = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        println!(
            "{:13} {:11.2} {:5} | {:10.2} | {:14.2} {:5} | {:10.2} | {:11.4} {:8.4} | {:10.4} {:8.4}",
            format!("{bound:?}"),
            mean(sum.ended),
            most.unwrap_or_default(),
            mean(sum.late_sends),
            mean(sum.part_ended),
            most_by_parts.unwrap_or_default(),
            mean(sum.part_late_sends),
            share(sum.others_lost, sum.others),
            share(sum.others_refused, sum.others),
            share(sum.equal_lost, sum.equal),
            share(sum.equal_refused, sum.equal),
        );
    }
}
