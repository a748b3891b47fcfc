//! Plays servers that shed load, and compares ways of taking the pauses that they ask for.

use std::time::Duration;

use argh::FromArgs;
use badgerferry_testutils::seeds::run_seeds;
use badgerferry_testutils::shed_model;
use badgerferry_testutils::shed_model::ShedCounts;
use badgerferry_testutils::shed_model::ShedPlan;
use badgerferry_testutils::shed_model::Way;

/// Play servers that shed load, under each way of taking their pauses, at several sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "shedding")]
pub struct ShedArgs {
    /// part of the servers that shed (0.1)
    #[argh(option, default = "0.1")]
    shedding: f64,
    /// part of their calls that these turn away (1)
    #[argh(option, default = "1.0")]
    part: f64,
    /// seconds for which they want no call (3)
    #[argh(option, default = "3.0")]
    pause: f64,
    /// calls, as a part of what all servers could run (0.1)
    #[argh(option, default = "0.1")]
    load: f64,
    /// part of the datagrams that is lost (0)
    #[argh(option, default = "0.0")]
    loss: f64,
    /// seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// how many seeds (4)
    #[argh(option, default = "4")]
    seeds: u64,
}

const WAYS: [Way; 4] = [Way::Ignored, Way::Alone, Way::ToldAsCost, Way::Shared];
/// Boxes and servers.
const SIZES: [(usize, usize); 4] = [(6, 18), (77, 60), (295, 150), (350, 300)];

/// Plays, and prints a row for each size and way.
pub fn play(args: &ShedArgs) {
    println!("boxes servers way        | served: mean  least | shed/s  in pauses/s  run by them/s");
    for (boxes, servers) in SIZES {
        let shedding = (servers as f64 * args.shedding).ceil() as usize;
        let plan = ShedPlan {
            boxes,
            servers,
            shedding: shedding.min(servers),
            part: args.part,
            pause: Duration::from_secs_f64(args.pause),
            load: args.load,
            loss: args.loss,
            lasts: Duration::from_secs(args.seconds),
        };
        for way in WAYS {
            let (results, _) = run_seeds(0..args.seeds, |seed| shed_model::run(&plan, way, seed));
            let count = results.len().max(1) as f64;
            let mean = |f: fn(&ShedCounts) -> f64| results.iter().map(f).sum::<f64>() / count;
            let parts = results.iter().map(ShedCounts::served_part);
            let a_second = args.seconds.max(1) as f64;
            println!(
                "{boxes:5} {servers:7} {:10} | {:12.4} {:6.4} | {:6.1} {:12.2} {:14.1}",
                format!("{way:?}"),
                mean(ShedCounts::served_part),
                parts.fold(f64::MAX, f64::min),
                mean(|of| of.shed as f64) / a_second,
                mean(|of| of.in_pauses as f64) / a_second,
                mean(|of| of.run_by_shedding as f64) / a_second,
            );
        }
    }
}
