//! Plays scenarios of the platform's engines, and compares two builds or policies by their results.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use argh::FromArgs;
use badgerferry_lib::relay::gossip_topology::GossipScope;
use badgerferry_lib::relay::served_shares::ServedShares;
use badgerferry_testutils::relay_model;
use badgerferry_testutils::relay_model::DayResult;
use badgerferry_testutils::relay_model::Scenario;
use badgerferry_testutils::seeds::run_seeds;

/// Play a scenario of boxes before model engines; results as JSON lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// the scenario file
    #[argh(positional)]
    scenario: String,
    /// first seed (0)
    #[argh(option, default = "0")]
    from: u64,
    /// how many seeds (24)
    #[argh(option, default = "24")]
    seeds: u64,
    /// whom boxes tell of their work: fleet (all boxes) or hall
    #[argh(option, default = "String::from(\"fleet\")")]
    scope: String,
    /// print each call of the first seed in place of results
    #[argh(switch)]
    calls: bool,
    /// print a table of served shares in place of results, with a row for each of these factors
    /// (comma-separated) by which the rate of the longest prompts is multiplied
    #[argh(option)]
    loads: Option<String>,
    /// factor by which the spread of the lengths of the longest prompts is multiplied (1)
    #[argh(option, default = "1.0")]
    spread: f64,
}

/// Compare two files of results, seed by seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// results of the old policy
    #[argh(positional)]
    old: String,
    /// results of the new policy
    #[argh(positional)]
    new: String,
}

/// Plays.
///
/// # Errors
///
/// The scenario can't be read, or a seed panicked.
pub fn play(args: &RelayArgs) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&args.scenario)
        .with_context(|| format!("failed to read {}", args.scenario))?;
    let scenario = Scenario::parse(&text).with_context(|| args.scenario.clone())?;
    let scenario = scenario.with_long_prompts(1.0, args.spread);
    let scope = match args.scope.as_str() {
        "fleet" => GossipScope::Fleet,
        "hall" => GossipScope::Hall,
        other => anyhow::bail!("--scope: fleet or hall is expected, not {other}"),
    };
    if args.calls {
        let (_, calls) = relay_model::run(&scenario, Some(scope), args.from);
        for call in calls {
            println!("{}", serde_json::to_string(&call)?);
        }
        return Ok(());
    }
    if let Some(loads) = &args.loads {
        return print_shares_by_load(args, &scenario, scope, loads);
    }
    let results = run_days(args, &scenario, scope)?;
    for result in &results {
        println!("{}", serde_json::to_string(result)?);
    }
    for (name, figure) in figures(&scenario, &results) {
        eprintln!("{name:40} {figure:.4}");
    }
    Ok(())
}

/// Results of all seeds, in their order.
fn run_days(
    args: &RelayArgs,
    scenario: &Scenario,
    scope: GossipScope,
) -> anyhow::Result<Vec<DayResult>> {
    let seeds = args.from..args.from + args.seeds;
    let one = |seed| relay_model::run(scenario, Some(scope), seed).0;
    let (mut results, broken) = run_seeds(seeds, one);
    anyhow::ensure!(broken.is_empty(), "these seeds panicked: {broken:?}");
    results.sort_by_key(|result| result.seed);
    Ok(results)
}

/// Prints served shares of the two groups of large prompts, by kind and load.
fn print_shares_by_load(
    args: &RelayArgs,
    scenario: &Scenario,
    scope: GossipScope,
    loads: &str,
) -> anyhow::Result<()> {
    println!(
        "{:8} {:5} {:>5} {:>6} {:>6}  {:22} fifth beneath",
        "kind", "load", "days", "worth", "served", "largest tenth"
    );
    println!(
        "{:38}  {:22} starved, worst, median",
        "", "starved, worst, median"
    );
    for load in loads.split(',') {
        let load: f64 = load.parse().context("--loads: numbers are expected")?;
        let loaded = scenario.clone().with_long_prompts(load, 1.0);
        let results = run_days(args, &loaded, scope)?;
        for (at, kind) in loaded.kinds.iter().enumerate() {
            let served = mean(results.iter().map(|row| row.served[at].all));
            let worth = mean(results.iter().map(|row| row.worth));
            let groups = SIZE_GROUPS.map(|(_, ratio)| {
                let [starved, worst, median] = relative_shares(&results, at, ratio);
                format!("{starved:5} {worst:7.2} {median:7.2}")
            });
            println!(
                "{:8} {load:<5} {:5} {worth:6.3} {served:6.3}  {:22} {}",
                kind.name,
                results.len(),
                groups[0],
                groups[1]
            );
        }
    }
    Ok(())
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    sum / f64::from(count.max(1))
}

fn figures(scenario: &Scenario, results: &[DayResult]) -> Vec<(String, f64)> {
    let mut figures = vec![
        (
            "worth".to_owned(),
            mean(results.iter().map(|row| row.worth)),
        ),
        (
            "worst seconds".to_owned(),
            mean(results.iter().map(|row| row.worst_seconds)),
        ),
        (
            "engines busy".to_owned(),
            mean(results.iter().map(|row| row.engines_busy)),
        ),
        (
            "over estimate, median".to_owned(),
            mean(results.iter().map(|row| row.over_estimate[0])),
        ),
        (
            "over estimate, 9 in 10".to_owned(),
            mean(results.iter().map(|row| row.over_estimate[1])),
        ),
    ];
    let reports = mean(results.iter().map(|row| row.reports as f64));
    figures.push(("reports of engines".to_owned(), reports));
    let weakest = |row: &DayResult| {
        let kinds = row.by_kind.iter().chain(&row.largest);
        kinds.copied().fold(1.0, f64::min)
    };
    let weakest = mean(results.iter().map(weakest));
    figures.push(("weakest kind or size".to_owned(), weakest));
    for (at, kind) in scenario.kinds.iter().enumerate() {
        let mut add = |what: &str, of: &dyn Fn(&DayResult) -> f64| {
            let figure = mean(results.iter().map(of));
            figures.push((format!("{} {what}", kind.name), figure));
        };
        add("on time", &|row| row.on_time[at]);
        add("largest tenth on time", &|row| row.largest_on_time[at]);
        add("served", &|row| row.served[at].all);
        add("largest tenth served", &|row| row.served[at].largest_tenth);
        add("fifth beneath served", &|row| row.served[at].fifth_beneath);
        add("refused", &|row| row.refused[at] as f64);
        figures.extend(starved_days(&kind.name, results, at));
    }
    figures
}

/// Served share of the largest prompts against all of their kind, beneath which they count as starved.
const STARVED_UNDER: f64 = 0.5;

/// Served share of a group of a kind's prompts, as a part of that of all.
type ServedRatio = fn(&ServedShares) -> f64;

const SIZE_GROUPS: [(&str, ServedRatio); 2] = [
    ("largest tenth", ServedShares::relative_largest_tenth),
    ("fifth beneath", ServedShares::relative_fifth_beneath),
];

/// Number of days that starve a group of a kind's prompts, and its ratio on the worst and the median
/// day.
fn relative_shares(results: &[DayResult], kind: usize, ratio: ServedRatio) -> [f64; 3] {
    let mut days: Vec<f64> = results.iter().map(|row| ratio(&row.served[kind])).collect();
    days.sort_by(f64::total_cmp);
    let starved = days.iter().filter(|day| **day < STARVED_UNDER).count();
    let at = |index: usize| days.get(index).copied().unwrap_or_default();
    [starved as f64, at(0), at(days.len() / 2)]
}

/// Share of the days that starve the largest prompts of a kind, and the worst and the median day.
fn starved_days(name: &str, results: &[DayResult], kind: usize) -> Vec<(String, f64)> {
    let group = |(group, ratio): (&str, ServedRatio)| {
        let [starved, worst, median] = relative_shares(results, kind, ratio);
        [
            ("days starved", starved / results.len().max(1) as f64),
            ("of all, worst day", worst),
            ("of all, median day", median),
        ]
        .map(|(what, figure)| (format!("{name} {group}, {what}"), figure))
    };
    SIZE_GROUPS.into_iter().flat_map(group).collect()
}

/// Compares.
///
/// # Errors
///
/// A file can't be read, or they have no seed in common.
pub fn compare(args: &CompareArgs) -> anyhow::Result<()> {
    let (old, new) = (read(&args.old)?, read(&args.new)?);
    let paired: Vec<(&DayResult, &DayResult)> = old
        .iter()
        .filter_map(|(seed, old)| Some((old, new.get(seed)?)))
        .collect();
    anyhow::ensure!(
        paired.len() > 1,
        "the files have fewer than two seeds in common"
    );
    tell_difference("worth", &paired, |row| row.worth);
    tell_difference("worst seconds", &paired, |row| row.worst_seconds);
    let kinds = paired[0].0.by_kind.len();
    for kind in 0..kinds {
        tell_difference(&format!("kind {kind}"), &paired, |row| row.by_kind[kind]);
        let largest = |row: &DayResult| row.served[kind].largest_tenth;
        tell_difference(&format!("kind {kind}, largest"), &paired, largest);
    }
    Ok(())
}

fn read(path: &str) -> anyhow::Result<BTreeMap<u64, DayResult>> {
    let text = std::fs::read_to_string(Path::new(path))
        .with_context(|| format!("failed to read {path}"))?;
    let row = |line: &str| -> anyhow::Result<(u64, DayResult)> {
        let result: DayResult = serde_json::from_str(line)?;
        Ok((result.seed, result))
    };
    text.lines().map(row).collect()
}

fn tell_difference(
    name: &str,
    paired: &[(&DayResult, &DayResult)],
    of: impl Fn(&DayResult) -> f64,
) {
    let differences: Vec<f64> = paired.iter().map(|(old, new)| of(new) - of(old)).collect();
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences.iter().map(|one| (one - mean).powi(2));
    let error = (squares.sum::<f64>() / (count - 1.0) / count).sqrt();
    let old = paired.iter().map(|(old, _)| of(old)).sum::<f64>() / count;
    println!("{name:16} {old:.4} {mean:+.4} (standard error {error:.4}, {count} seeds)");
}
