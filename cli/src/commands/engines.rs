//! `badgerferry engines`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::relay::engine_utilization::EngineEstimate;
use badgerferry_lib::relay::engine_utilization::EngineLine;
use badgerferry_lib::relay::engine_utilization::EngineLog;
use badgerferry_lib::relay::engine_utilization::EngineReport;
use badgerferry_lib::relay::engine_utilization::EngineUtilization;
use serde::Serialize;
use serde_json::Value;

use crate::engine_plot;
use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::log_files;
use crate::log_files::LogLine;
use crate::output::Format;
use crate::output::Table;

/// Number of engines to list: those whose time to the first event exceeds the estimate most.
const WORST_ENGINES: usize = 8;

/// Say what engines did while prompts waited, from the boxes' logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "engines")]
pub struct EnginesArgs {
    /// logs of boxes on the platform; lines of several boxes may be mixed
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON lines: one for each second, then one for all
    #[argh(switch)]
    json: bool,
    /// write a plot to this file, as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// Last line of the JSON output, over all seconds.
#[derive(Serialize)]
struct Summary<'a> {
    engines: usize,
    while_waiting: Option<EngineUtilization>,
    estimates: &'a [EngineEstimate],
    lines_skipped: u64,
}

/// Prints the utilization of the engines by second and the accuracy of their estimates.
pub fn cmd_engines(args: &EnginesArgs) -> CommandResult {
    if args.files.is_empty() {
        let error = CommandError::new(Failure::Usage, "no log is named");
        return Err(error.hint("badgerferry engines FILE..."));
    }
    let mut log = EngineLog::default();
    let mut skipped = 0;
    for path in &args.files {
        log_files::read(path, |line| match line.as_ref().map(parse_engine_line) {
            Some(Ok(Some((unix_ms, line)))) => log.record(unix_ms, line),
            Some(Ok(None)) => {}
            Some(Err(())) | None => skipped += 1,
        })?;
    }
    let report = log.report();
    if let Some(path) = &args.plot {
        let drawn = engine_plot::draw(path, &report);
        drawn.map_err(|cause| CommandError::new(Failure::Refused, format!("{cause:#}")))?;
    }
    match Format::from_switch(args.json) {
        Format::Json => print_json(&report, skipped),
        Format::Table => print!("{}", render_text(&report, skipped)),
    }
    Ok(())
}

/// Parses the log line of a call that was routed, streamed its first event or ended.
///
/// `Ok(None)` for other messages; an error if the message or a required field is missing or
/// malformed.
fn parse_engine_line(line: &LogLine) -> Result<Option<(u64, EngineLine)>, ()> {
    let Some(message) = line.value.get("message").and_then(Value::as_str) else {
        return Err(());
    };
    let call = || {
        let call = line.value.get("call").and_then(Value::as_str);
        call.map(str::to_owned).ok_or(())
    };
    let event = match message {
        "call routed" => {
            let routed = serde_json::from_value(line.value.clone());
            EngineLine::Routed(routed.map_err(|_malformed| ())?)
        }
        "stream begins" => EngineLine::FirstEvent { call: call()? },
        "call ended" => EngineLine::Ended { call: call()? },
        _ => return Ok(None),
    };
    Ok(Some((line.unix_ms.ok_or(())?, event)))
}

fn print_json(report: &EngineReport, lines_skipped: u64) {
    let print_line = |text: serde_json::Result<String>| {
        println!("{}", text.expect("plain data always encodes"));
    };
    for second in &report.seconds {
        print_line(serde_json::to_string(second));
    }
    print_line(serde_json::to_string(&Summary {
        engines: report.engines,
        while_waiting: report.while_waiting,
        estimates: &report.estimates,
        lines_skipped,
    }));
}

fn render_text(report: &EngineReport, skipped: u64) -> String {
    let share = |part: f64| format!("{part:.2}");
    let cells =
        |time: EngineUtilization| [time.reads, time.held, time.writes, time.unused].map(share);
    let mut seconds = Table::new(&["SECOND", "READS", "HELD", "WRITES", "UNUSED", "WAITING"]);
    for row in &report.seconds {
        let mut line = vec![row.second.to_string()];
        line.extend(cells(row.time));
        line.push(format!("{:.1}", row.waiting));
        seconds.push_row(line);
    }
    if let Some(time) = report.while_waiting {
        let mut line = vec!["waiting".to_owned()];
        line.extend(cells(time));
        seconds.push_row(line);
    }
    let mut engines = Table::new(&["ENGINE", "CALLS", "FIRST EVENT/EXPECTED: MEDIAN"]);
    for row in report.estimates.iter().take(WORST_ENGINES) {
        let ratio = format!("{:.2}", row.over_expected);
        engines.push_row([row.engine.clone(), row.calls.to_string(), ratio]);
    }
    let count = format!("{} engines; {skipped} lines skipped\n", report.engines);
    [seconds.render(), engines.render(), count].join("\n")
}
