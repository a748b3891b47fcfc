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

/// Adds up the files' lines.
///
/// # Errors
///
/// No file is named, or one can't be read.
pub fn cmd_limits(args: &LimitsArgs) -> CommandResult {
    if args.files.is_empty() {
        let error = CommandError::new(Failure::Usage, "no log is named");
        return Err(error.hint("badgerferry limits FILE..."));
    }
    let mut uses = LimitSummary::default();
    for path in &args.files {
        log_files::read(path, |line| {
            let value = line.map(|line| line.value);
            // Most lines tell of something else.
            let line = value.and_then(|value| serde_json::from_value::<LimitLogLine>(value).ok());
            if let Some(line) = line {
                uses.add(line);
            }
        })?;
    }
    Format::from_switch(args.json).print(&uses, || text_of(&uses));
    Ok(())
}

fn text_of(uses: &LimitSummary) -> String {
    let (mut limited, mut others) = (
        Table::new(&["SERVER", "CALLS/S", "SINCE", "WENT", "FULL", "LONGEST WAIT"]),
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
    for (server, of) in &uses.servers {
        if of.since.is_some() || of.granted + of.full > 0 {
            let limit = of.limit.map(|limit| limit.to_string());
            limited.row([
                server.clone(),
                limit.unwrap_or_else(|| "over".to_owned()),
                or_dash(&of.since),
                of.granted.to_string(),
                of.full.to_string(),
                format!("{} ms", of.longest_wait_ms),
            ]);
        }
        if of.leaves_since.is_some() || of.shed + of.held_back > 0 {
            let pause = of.pause_ms.map(|pause| format!("{pause} ms"));
            others.row([
                server.clone(),
                or_dash(&of.leaves_since),
                of.shed.to_string(),
                or_dash(&of.shed_at),
                or_dash(&pause),
                of.held_back.to_string(),
            ]);
        }
    }
    let refused: u64 = uses.refused.values().sum();
    let by_outcome: Vec<String> = (uses.refused.iter())
        .map(|(outcome, calls)| format!(" {outcome} {calls}"))
        .collect();
    format!(
        "{}\n{}\ncalls refused, no server open: {refused}{}\nquestions without an answer: {}\n",
        limited.render(),
        others.render(),
        by_outcome.concat(),
        uses.unanswered
    )
}
