//! `badgerferry limits`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::relay::limit_summary::LimitLogLine;
use badgerferry_lib::relay::limit_summary::LimitSummary;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::log_files;
use crate::output::Format;
use crate::output::Table;

/// Say which servers name a limit, shed load or leave, and what became of the calls to them, from the
/// boxes' logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitsArgs {
    /// logs of boxes on the platform; lines of several boxes may be mixed
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Prints the servers that are limited, and those that leave or shed load, with their calls.
///
/// # Errors
///
/// Returns an error if no file is given or one can't be read.
pub fn cmd_limits(args: &LimitsArgs) -> CommandResult {
    if args.files.is_empty() {
        let error = CommandError::new(Failure::Usage, "no log is named");
        return Err(error.hint("badgerferry limits FILE..."));
    }
    let mut summary = LimitSummary::default();
    for path in &args.files {
        log_files::read(path, |line| {
            let value = line.map(|line| line.value);
            // Lines that are not about limits fail to deserialize and are skipped.
            let line = value.and_then(|value| serde_json::from_value::<LimitLogLine>(value).ok());
            if let Some(line) = line {
                summary.add(line);
            }
        })?;
    }
    Format::from_switch(args.json).print(&summary, || render_text(&summary));
    Ok(())
}

fn render_text(summary: &LimitSummary) -> String {
    let (mut limited, mut leaving_or_shedding) = (
        Table::new(&[
            "SERVER",
            "CALLS/S",
            "SINCE",
            "COLD CALLS/S",
            "COLD AT",
            "WENT",
            "FULL",
            "LONGEST WAIT",
        ]),
        Table::new(&[
            "SERVER",
            "LEAVES SINCE",
            "SHED",
            "LAST",
            "PAUSE",
            "HELD BACK",
        ]),
    );
    let or_dash = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
    for (server, usage) in &summary.servers {
        let is_limited = usage.since.is_some() || usage.cold_at.is_some();
        if is_limited || usage.granted + usage.full > 0 {
            let limit = usage.limit.map(|limit| limit.to_string());
            let no_limit = if usage.since.is_some() { "over" } else { "-" };
            let cold_rate = usage.cold_rate.map(|rate| rate.to_string());
            limited.push_row([
                server.clone(),
                limit.unwrap_or_else(|| no_limit.to_owned()),
                or_dash(&usage.since),
                or_dash(&cold_rate),
                or_dash(&usage.cold_at),
                usage.granted.to_string(),
                usage.full.to_string(),
                format!("{} ms", usage.longest_wait_ms),
            ]);
        }
        if usage.leaves_since.is_some() || usage.shed + usage.held_back > 0 {
            let pause = usage.pause_ms.map(|pause| format!("{pause} ms"));
            leaving_or_shedding.push_row([
                server.clone(),
                or_dash(&usage.leaves_since),
                usage.shed.to_string(),
                or_dash(&usage.shed_at),
                or_dash(&pause),
                usage.held_back.to_string(),
            ]);
        }
    }
    let refused: u64 = summary.refused.values().sum();
    let by_outcome: Vec<String> = (summary.refused.iter())
        .map(|(outcome, calls)| format!(" {outcome} {calls}"))
        .collect();
    format!(
        "{}\n{}\ncalls refused, no server open: {refused}{}\nquestions without an answer: {}\n",
        limited.render(),
        leaving_or_shedding.render(),
        by_outcome.concat(),
        summary.unanswered
    )
}
