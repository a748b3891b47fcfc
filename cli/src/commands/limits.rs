//! `badgerferry limits`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::relay::limit_uses::LimitLine;
use badgerferry_lib::relay::limit_uses::LimitUses;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::log_files;
use crate::output::Format;
use crate::output::Table;

/// Say which servers name a limit, and what became of the calls to them, from the boxes' logs.
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
    let mut uses = LimitUses::default();
    for path in &args.files {
        log_files::read(path, |line| {
            let value = line.map(|line| line.value);
            // Most lines tell of something else.
            let line = value.and_then(|value| serde_json::from_value::<LimitLine>(value).ok());
            if let Some(line) = line {
                uses.take(line);
            }
        })?;
    }
    Format::from_switch(args.json).print(&uses, || text_of(&uses));
    Ok(())
}

fn text_of(uses: &LimitUses) -> String {
    let mut table = Table::new(&["SERVER", "CALLS/S", "SINCE", "WENT", "FULL", "LONGEST WAIT"]);
    for (server, of) in &uses.servers {
        let limit = of
            .limit
            .map_or("over".to_owned(), |limit| limit.to_string());
        table.row([
            server.clone(),
            limit,
            of.since.clone().unwrap_or_else(|| "-".to_owned()),
            of.granted.to_string(),
            of.full.to_string(),
            format!("{} ms", of.longest_wait_ms),
        ]);
    }
    let LimitUses {
        unanswered,
        refused,
        ..
    } = uses;
    let all = table.render();
    format!(
        "{all}\ncalls refused, all servers closed: {refused}\nquestions without an answer: {unanswered}\n"
    )
}
