//! Plays the retry budget of fleets of several sizes.

use std::time::Duration;

use argh::FromArgs;
use badgerferry_lib::relay::retry_window::RetryBudgetRule;
use badgerferry_testutils::retry_model;
use badgerferry_testutils::retry_model::RetryPlan;
use badgerferry_testutils::seeds::run_seeds;

/// Play the retry budget: how much of it is used, and how many of the needed retries are allowed.
#[derive(FromArgs)]
#[argh(subcommand, name = "retries")]
pub struct RetryArgs {
    /// how many seeds (8)
    #[argh(option, default = "8")]
    seeds: u64,
    /// calls a second (100)
    #[argh(option, default = "100.0")]
    calls_per_s: f64,
}

/// A situation by name, and what it changes in the plan.
type Situation = (&'static str, fn(&mut RetryPlan));

const SITUATIONS: [Situation; 7] = [
    ("servers crash at once", |plan| plan.failing = (0.01, 0.6)),
    ("0.3 of runs fail", |plan| plan.failing = (0.3, 0.3)),
    ("0.7 of runs fail", |plan| plan.failing = (0.7, 0.7)),
    ("all killed every 20 s, 0.3 fail", |plan| {
        plan.failing = (0.3, 0.3);
        plan.kills = Some(Duration::from_secs(20));
    }),
    ("all killed every 9 s, 0.7 fail", |plan| {
        plan.failing = (0.7, 0.7);
        plan.kills = Some(Duration::from_secs(9));
    }),
    ("all killed every 2.5 s, 0.7 fail", |plan| {
        plan.failing = (0.7, 0.7);
        plan.kills = Some(Duration::from_millis(2_500));
    }),
    ("restarts in turn, 2.5 s a round, 0.7 fail", |plan| {
        plan.failing = (0.7, 0.7);
        plan.restarts = Some(Duration::from_millis(2_500));
    }),
];

/// Prints a table.
pub fn play(args: &RetryArgs) {
    println!("situation | boxes | needed retries allowed | largest part of the budget used");
    for (name, change) in SITUATIONS {
        for boxes in [6, 26, 77, 350] {
            let mut plan = plan(boxes, args.calls_per_s);
            change(&mut plan);
            let (counts, _broken) = run_seeds(0..args.seeds, |seed| retry_model::run(&plan, seed));
            let needed: u64 = counts.iter().map(|counts| counts.needed).sum();
            let allowed: u64 = counts.iter().map(|counts| counts.allowed).sum();
            let allowed = allowed as f64 / needed.max(1) as f64;
            let used = counts.iter().map(|counts| counts.worst_use);
            let used = used.fold(0.0, f64::max);
            println!("{name} | {boxes} | {allowed:.3} | {used:.2}");
        }
    }
}

fn plan(boxes: usize, calls_per_s: f64) -> RetryPlan {
    RetryPlan {
        boxes,
        halls: 3,
        budget: RetryBudgetRule {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 206.0,
        },
        calls_per_s,
        failing: (0.0, 0.0),
        owner_changes: None,
        restarts: None,
        kills: None,
        added: 0,
        halls_cut: false,
        lasts: Duration::from_mins(2),
    }
}
