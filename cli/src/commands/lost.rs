//! `badgerferry lost`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::relay::lost_calls::CALL_END_MESSAGE;
use badgerferry_lib::relay::lost_calls::CallRecord;
use badgerferry_lib::relay::lost_calls::LostCalls;
use badgerferry_lib::relay::lost_calls::LostRow;
use badgerferry_lib::relay::lost_calls::PrefillRatios;
use badgerferry_lib::relay::served_shares::ServedShares;
use serde::Serialize;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::log_files;
use crate::log_files::LogLine;
use crate::output::Format;
use crate::output::Table;

/// Number of seconds to list: those with the most lost calls.
const WORST_SECONDS: usize = 5;
/// Length in bytes of a timestamp up to its second, as in 2026-03-07T04:57:50.
const SECOND_LEN: usize = 19;

/// Say why calls were late or not served, from the boxes' logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "lost")]
pub struct LostArgs {
    /// logs of boxes on the platform; lines of several boxes may be mixed
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct Report<'a> {
    sizes: Vec<SizeRow>,
    served: Vec<ServedRow<'a>>,
    lost: Vec<CauseRow<'a>>,
    worst_seconds: Vec<(&'a str, u64)>,
}

#[derive(Serialize)]
struct SizeRow {
    size: String,
    calls: u64,
    read_over_expected: Option<PrefillRatios>,
}

#[derive(Serialize)]
struct ServedRow<'a> {
    route: &'a str,
    #[serde(flatten)]
    shares: ServedShares,
}

#[derive(Serialize)]
struct CauseRow<'a> {
    size: String,
    cause: String,
    #[serde(flatten)]
    row: &'a LostRow,
}

/// Prints the latencies and losses of calls by size, route and cause, from the end-of-call lines.
pub fn cmd_lost(args: &LostArgs) -> CommandResult {
    if args.files.is_empty() {
        let error = CommandError::new(Failure::Usage, "no log is named");
        return Err(error.hint("badgerferry lost FILE..."));
    }
    let mut lost_calls = LostCalls::default();
    for path in &args.files {
        log_files::read(path, |line| {
            if let Some((second, record)) = line.as_ref().and_then(parse_call_end) {
                lost_calls.add(&second, &record);
            }
        })?;
    }
    let report = report(&lost_calls);
    Format::from_switch(args.json).print(&report, || render_text(&report));
    Ok(())
}

/// Parses an end-of-call line, with the second of its timestamp; `None` for any other line.
fn parse_call_end(line: &LogLine) -> Option<(String, CallRecord)> {
    let value = &line.value;
    if value.get("message")?.as_str()? != CALL_END_MESSAGE {
        return None;
    }
    let second = value.get("timestamp")?.as_str()?.get(..SECOND_LEN)?;
    let record = serde_json::from_value(value.clone()).ok()?;
    Some((second.to_owned(), record))
}

fn report(lost_calls: &LostCalls) -> Report<'_> {
    let prefill_ratios = lost_calls.prefill_ratios();
    let sizes = lost_calls.calls.iter().map(|(size, &calls)| SizeRow {
        size: size.to_string(),
        calls,
        read_over_expected: prefill_ratios.get(size).copied(),
    });
    let mut lost: Vec<CauseRow<'_>> = (lost_calls.lost.iter())
        .map(|((size, cause), row)| CauseRow {
            size: size.to_string(),
            cause: cause.to_string(),
            row,
        })
        .collect();
    lost.sort_by_key(|row| std::cmp::Reverse((row.row.tokens, row.row.calls)));
    let mut worst_seconds: Vec<(&str, u64)> = (lost_calls.seconds.iter())
        .map(|(second, &calls)| (second.as_str(), calls))
        .collect();
    worst_seconds.sort_by_key(|&(_, calls)| std::cmp::Reverse(calls));
    worst_seconds.truncate(WORST_SECONDS);
    let served = lost_calls.served_shares().into_iter();
    Report {
        sizes: sizes.collect(),
        served: served
            .map(|(route, shares)| ServedRow { route, shares })
            .collect(),
        lost,
        worst_seconds,
    }
}

fn render_text(report: &Report<'_>) -> String {
    let heading = ["SIZE", "CALLS", "READ/EXPECTED: MEDIAN", "P90", "WORST"];
    let mut sizes = Table::new(&heading);
    for row in &report.sizes {
        let format_ratio =
            |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
        let read = row.read_over_expected;
        sizes.push_row([
            row.size.clone(),
            row.calls.to_string(),
            format_ratio(read.map(|read| read.median)),
            format_ratio(read.map(|read| read.p90)),
            format_ratio(read.map(|read| read.worst)),
        ]);
    }
    let heading = [
        "ROUTE",
        "PROMPTS",
        "SERVED",
        "LARGEST TENTH",
        "FIFTH BENEATH",
    ];
    let mut served = Table::new(&heading);
    for ServedRow { route, shares } in &report.served {
        served.push_row([
            (*route).to_owned(),
            shares.prompts.to_string(),
            format!("{:.2}", shares.all),
            format!("{:.2}", shares.largest_tenth),
            format!("{:.2}", shares.fifth_beneath),
        ]);
    }
    let mut lost = Table::new(&["SIZE", "LOST", "TOKENS", "CAUSE", "LOOK AT"]);
    for CauseRow { size, cause, row } in &report.lost {
        lost.push_row([
            size.clone(),
            row.calls.to_string(),
            row.tokens.to_string(),
            cause.clone(),
            row.examples.join(" "),
        ]);
    }
    let mut seconds = Table::new(&["SECOND", "LOST"]);
    for (second, calls) in &report.worst_seconds {
        seconds.push_row([(*second).to_owned(), calls.to_string()]);
    }
    let tables = [sizes, served, lost, seconds];
    tables.map(|table| table.render()).join("\n")
}
