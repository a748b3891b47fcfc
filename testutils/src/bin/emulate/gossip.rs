//! Plays the gossip of halls of several sizes, in a mesh and through hubs.

use std::time::Duration;

use argh::FromArgs;
use badgerferry_testutils::gossip_model;
use badgerferry_testutils::gossip_model::GossipCounts;
use badgerferry_testutils::gossip_model::GossipPlan;
use badgerferry_testutils::gossip_model::Loss;
use badgerferry_testutils::gossip_model::Way;
use badgerferry_testutils::seeds::run_seeds;

/// Play the gossip of a data hall at several sizes, in a mesh and through hubs.
#[derive(FromArgs)]
#[argh(subcommand, name = "gossip")]
pub struct GossipArgs {
    /// boxes of the hall; several by commas (20,59,100,200,400,800)
    #[argh(option, default = "\"20,59,100,200,400,800\".to_owned()")]
    boxes: String,
    /// calls a second at each box (0.155)
    #[argh(option, default = "0.155")]
    calls: f64,
    /// part of the datagrams that is lost (0)
    #[argh(option, default = "0.0")]
    loss: f64,
    /// boxes start together and learn of each other
    #[argh(switch)]
    cold_start: bool,
    /// highest-ranked boxes that fail in the middle (0)
    #[argh(option, default = "0")]
    failing: usize,
    /// seconds (12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// how many seeds (3)
    #[argh(option, default = "3")]
    seeds: u64,
}

/// Plays, and prints a row for each size and way.
pub fn play(args: &GossipArgs) {
    println!(
        "way   boxes | received/s: mean most | sent/s: mean  most | KB/s: mean  most | age ms: p50   p99  most | unknown  silent | blind s  joined s"
    );
    let sizes = args.boxes.split(',').filter_map(|size| size.parse().ok());
    for boxes in sizes {
        for way in [Way::Mesh, Way::Hubs] {
            let plan = GossipPlan {
                boxes,
                way,
                calls_per_s: args.calls * boxes as f64,
                loss: Loss::Random(args.loss),
                cold_start: args.cold_start,
                failing: args.failing,
                lasts: Duration::from_secs(args.seconds),
            };
            let (results, _) = run_seeds(0..args.seeds, |seed| gossip_model::run(&plan, seed));
            let mean = |of: fn(&GossipCounts) -> f64| {
                results.iter().map(of).sum::<f64>() / results.len().max(1) as f64
            };
            println!(
                "{:5} {boxes:5} | {:16.0} {:4.0} | {:12.0} {:5.0} | {:10.1} {:5.1} | {:11.1} {:5.0} {:5.0} | {:7.4} {:7.4} | {:7.2} {:9.2}",
                format!("{way:?}"),
                mean(|of| of.received.0),
                mean(|of| of.received.1),
                mean(|of| of.sent.0),
                mean(|of| of.sent.1),
                mean(|of| of.bytes.0) / 1e3,
                mean(|of| of.bytes.1) / 1e3,
                mean(|of| of.age_ms[0]),
                mean(|of| of.age_ms[1]),
                mean(|of| of.age_ms[2]),
                mean(|of| of.unknown),
                mean(|of| of.false_silence),
                mean(|of| of.longest_blind.as_secs_f64()),
                mean(|of| of.joined.as_secs_f64()),
            );
        }
    }
}
