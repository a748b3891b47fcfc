//! `badgerferry settings edit`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_tree::SettingsTree;

use crate::commands::settings::commit_changes;
use crate::commands::settings_check::read_tree;
use crate::commands::settings_diff::change_line;
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

/// Commits what differs.
pub async fn cmd_settings_edit(session: &Session, args: SettingsEditArgs) -> CommandResult {
    let wanted = read_tree(&args.file)?;
    put_in_force(session, &wanted, false, args.json).await
}

/// Shows what differs from a wanted tree and, unless it is a dry run, commits it as one edit.
pub async fn put_in_force(
    session: &Session,
    wanted: &SettingsTree,
    dry_run: bool,
    json: bool,
) -> CommandResult {
    let current = session.current().await?;
    let base = current.head.revision;
    let changes = current.tree.changes_to(wanted);
    if changes.is_empty() {
        println!("nothing differs from revision {base}");
        return Ok(());
    }
    if !json {
        for change in &changes {
            println!("{}", change_line(change));
        }
    }
    if dry_run {
        return Ok(());
    }
    commit_changes(session, changes, Some(base.0), None, json).await
}
