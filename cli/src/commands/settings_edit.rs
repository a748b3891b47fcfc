//! `badgerferry settings edit`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_tree::SettingsTree;

use crate::commands::settings::commit_changes;
use crate::commands::settings_check::read_tree;
use crate::commands::settings_diff::describe_change;
use crate::exit::CommandResult;
use crate::session::Session;

/// Put a file's tree in force, as one edit of what differs.
#[derive(FromArgs)]
#[argh(subcommand, name = "edit")]
pub struct SettingsEditArgs {
    /// the file, as `settings show --json` prints it
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Commits the changes from the current tree to the file's tree.
pub async fn cmd_settings_edit(session: &Session, args: SettingsEditArgs) -> CommandResult {
    let target = read_tree(&args.file)?;
    apply_tree(session, &target, false, args.json).await
}

/// Commits the changes from the current tree to `target` as one edit, unless `dry_run` is set.
///
/// Prints the changes first, unless the output is JSON.
pub async fn apply_tree(
    session: &Session,
    target: &SettingsTree,
    dry_run: bool,
    json: bool,
) -> CommandResult {
    let current = session.read_settings().await?;
    let base = current.head.revision;
    let changes = current.tree.changes_to(target);
    if changes.is_empty() {
        println!("nothing differs from revision {base}");
        return Ok(());
    }
    if !json {
        for change in &changes {
            println!("{}", describe_change(change));
        }
    }
    if dry_run {
        return Ok(());
    }
    commit_changes(session, changes, Some(base.0), None, json).await
}
