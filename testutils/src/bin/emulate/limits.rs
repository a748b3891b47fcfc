//! Plays a server that names a limit, and compares ways of sharing it.

use std::time::Duration;

use argh::FromArgs;
use badgerferry_testutils::limit_model;
use badgerferry_testutils::limit_model::LimitPlan;
use badgerferry_testutils::limit_model::Share;
use badgerferry_testutils::limit_model::Trouble;
use badgerferry_testutils::seeds::run_seeds;

/// Play a server that names a limit, under each way of sharing it, at several sizes and limits.
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitArgs {
    /// calls that need the server, as a multiple of its limit (3)
    #[argh(option, default = "3.0")]
    demand: f64,
    /// part of each second in which calls come (1)
    #[argh(option, default = "1.0")]
    busy: f64,
    /// part of the datagrams that is lost (0)
    #[argh(option, default = "0.0")]
    loss: f64,
    /// calm, cut, halls, alone, new, gone, first or cold (calm)
    #[argh(option, default = "Trouble::Calm", from_str_fn(trouble))]
    trouble: Trouble,
    /// seconds (60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// how many seeds (20)
    #[argh(option, default = "20")]
    seeds: u64,
}

fn trouble(text: &str) -> Result<Trouble, String> {
    match text {
        "calm" => Ok(Trouble::Calm),
        "cut" => Ok(Trouble::HalfCutOff),
        "halls" => Ok(Trouble::HallsCutOff),
        "new" => Ok(Trouble::HalfNew),
        "alone" => Ok(Trouble::KeeperCutOff),
        "first" => Ok(Trouble::KeeperGone),
        "cold" => Ok(Trouble::TurnsCold),
        "gone" => Ok(Trouble::KeepersGone),
        other => Err(format!("no trouble is called {other}")),
    }
}

const SHARES: [Share; 7] = [
    Share::None,
    Share::EachBox,
    Share::Even,
    Share::Turns,
    Share::Told,
    Share::Keeper,
    Share::ColdKeeper,
];
const BOXES: [usize; 4] = [6, 77, 295, 350];
const LIMITS: [f64; 4] = [0.2, 1.0, 10.0, 200.0];

/// Plays, and prints a row for each way, size and limit.
pub fn play(args: &LimitArgs) {
    println!("share    boxes  limit | over: mean   most | used: mean  least | datagrams/s");
    for share in SHARES {
        for (boxes, limit) in BOXES
            .into_iter()
            .flat_map(|boxes| LIMITS.map(|limit| (boxes, limit)))
        {
            let plan = LimitPlan {
                boxes,
                limit,
                demand: args.demand,
                busy: args.busy,
                loss: args.loss,
                trouble: args.trouble,
                lasts: Duration::from_secs(args.seconds),
            };
            let (results, _) =
                run_seeds(0..args.seeds, |seed| limit_model::run(&plan, share, seed));
            let count = results.len().max(1) as f64;
            let mean = |f: fn(&limit_model::LimitCounts) -> f64| {
                results.iter().map(f).sum::<f64>() / count
            };
            let most = results.iter().map(|of| of.over).fold(f64::MIN, f64::max);
            let least = results.iter().map(|of| of.used).fold(f64::MAX, f64::min);
            println!(
                "{:8} {boxes:5} {limit:6} | {:10.1} {most:6.1} | {:10.2} {least:6.2} | {:11.1}",
                format!("{share:?}"),
                mean(|of| of.over),
                mean(|of| of.used),
                mean(|of| of.datagrams),
            );
        }
    }
}
