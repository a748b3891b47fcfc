//! Soak test of the real daemon: starts boxes as processes on this machine, injects faults from
//! outside, and checks invariants on what callers and servers observe.
//!
//! A seed determines the fault plan: kind, target, start and duration of each fault. Faults overlap
//! and follow one another closely. The timing of the processes does not depend on the seed, so a
//! seed may fail in some of its runs only.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::sheet_troubles::Severity;
use argh::FromArgs;

mod callers;
mod faults;
mod ledger;
mod retry_budget;
mod run;
mod sheet_boxes;
mod sheet_callers;
mod sheet_links;
mod sheet_report;
mod sheet_run;
mod sheet_settings;
mod sheet_troubles;

/// Seeds that failed before, one a line, each followed by its cause. They run before all others.
const REGRESSIONS: &str = include_str!("../regressions.txt");

const DEFAULT_BOXES: usize = 3;

/// Soak the daemon under seeded faults.
#[derive(FromArgs)]
struct Args {
    /// seeds to run beside the regressions (3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// first seed; fresh ones are drawn where it is not given
    #[argh(option)]
    first: Option<u64>,
    /// seconds of faults in each run (6)
    #[argh(option, default = "6")]
    seconds: u64,
    /// boxes in each run (3)
    #[argh(option)]
    boxes: Option<usize>,
    /// servers in each run (4)
    #[argh(option, default = "4")]
    servers: usize,
    /// give each box links of its own to the servers, and cut those of some boxes
    #[argh(switch)]
    server_cuts: bool,
    /// restart boxes in series while servers cut calls, and audit the retries; draws the size of the
    /// fleet unless --boxes is given
    #[argh(switch)]
    retries: bool,
    /// play the deployment of this site file at its whole size, and audit every retry rule
    #[argh(option)]
    sheet: Option<PathBuf>,
    /// what befalls the deployment: usual (default), most-servers-still, silent-crashes, late-declines,
    /// departures, part-crashes, store-faults, churn, settings
    #[argh(option, default = "Severity::Usual", from_str_fn(parse_severity))]
    severity: Severity,
    /// folder for the logs of all runs of a sheet (those that fail: the temporary folder)
    #[argh(option)]
    logs: Option<PathBuf>,
    /// a rule of a sheet that is known to be violated, by its name in reports; may be repeated. It is printed
    /// all the same
    #[argh(option)]
    tolerate: Vec<String>,
    /// a seed to pass over, since it is known to fail; may be repeated
    #[argh(option)]
    pass_over: Vec<u64>,
    /// leave out the regressions
    #[argh(switch)]
    no_regressions: bool,
}

fn parse_severity(name: &str) -> Result<Severity, String> {
    match name {
        "usual" => Ok(Severity::Usual),
        "most-servers-still" => Ok(Severity::MostServersStill),
        "silent-crashes" => Ok(Severity::SilentCrashes),
        "late-declines" => Ok(Severity::LateDeclines),
        "part-crashes" => Ok(Severity::PartCrashes),
        "departures" => Ok(Severity::Departures),
        "store-faults" => Ok(Severity::StoreFaults),
        "churn" => Ok(Severity::Churn),
        "settings" => Ok(Severity::Settings),
        _ => Err(format!("unknown severity {name}")),
    }
}

fn regressions() -> Vec<u64> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect()
}

async fn wait_for_stop_signal(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let first = args
        .first
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut seeds = if args.no_regressions || args.retries || args.sheet.is_some() {
        Vec::new()
    } else {
        regressions()
    };
    seeds.extend(first..first + args.seeds);
    seeds.retain(|seed| !args.pass_over.contains(seed));
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        println!("signals can't be taken, and boxes would be left behind");
        return ExitCode::FAILURE;
    };
    let mut failed = 0;
    for seed in &seeds {
        let fault_duration = Duration::from_secs(args.seconds);
        let size = run::Size {
            boxes: args.boxes.unwrap_or(DEFAULT_BOXES),
            servers: args.servers,
            fault_duration,
            cuts_servers: args.server_cuts,
        };
        let run = async {
            if let Some(sheet) = &args.sheet {
                let plan = sheet_run::Plan {
                    sheet,
                    severity: args.severity,
                    lasts: fault_duration,
                    logs: args.logs.as_deref(),
                    tolerated: &args.tolerate,
                };
                let report = sheet_run::run(*seed, &plan).await?;
                Ok(report.to_string())
            } else if args.retries {
                let summary = retry_budget::run(*seed, args.boxes, fault_duration).await?;
                Ok::<_, anyhow::Error>(summary.to_string())
            } else {
                Ok(run::run(*seed, size).await?.to_string())
            }
        };
        // On a signal the run is dropped, which kills its boxes. Orphaned boxes would keep polling
        // their store at an address that a server of another run may get.
        let result = tokio::select! {
            result = run => result,
            () = wait_for_stop_signal(&mut term, &mut interrupt) => {
                println!("seed {seed}: stopped; its boxes are ended");
                return ExitCode::FAILURE;
            }
        };
        match result {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(cause) => {
                failed += 1;
                println!("seed {seed}: FAILED: {cause:#}");
            }
        }
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    ExitCode::from(u8::from(failed > 0))
}
