//! `badgerferry settings diff`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_tree::Change;

use crate::commands::settings_check::read_tree;
use crate::exit::CommandResult;
use crate::output::Format;
use crate::session::Session;

/// Show what would change if a file's tree were put in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct SettingsDiffArgs {
    /// the file, as `settings show --json` prints it
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Prints the changes from the current tree to the file's tree.
pub async fn cmd_settings_diff(session: &Session, args: SettingsDiffArgs) -> CommandResult {
    let target = read_tree(&args.file)?;
    let current = session.read_settings().await?;
    let changes = current.tree.changes_to(&target);
    Format::from_switch(args.json).print(&changes, || {
        let lines: Vec<_> = changes.iter().map(describe_change).collect();
        lines.join(
            "
",
        ) + "
"
    });
    Ok(())
}

/// Describes a change in one line.
pub fn describe_change(change: &Change) -> String {
    match change {
        Change::Add { node, kind, parent } => {
            format!(
                "add {node} ({}) under {parent}",
                format!("{kind:?}").to_lowercase()
            )
        }
        Change::Remove { node } => format!("remove {node}"),
        Change::Move { node, parent } => format!("move {node} under {parent}"),
        Change::Set { node, key, value } => format!("set {node} {key} = {value}"),
        Change::Unset { node, key } => format!("unset {node} {key}"),
    }
}
