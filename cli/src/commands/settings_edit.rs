//! `badgerferry settings edit`

use std::path::PathBuf;

use argh::FromArgs;

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
    let current = session.current().await?;
    let changes = current.tree.changes_to(&wanted);
    if changes.is_empty() {
        println!("nothing differs from revision {}", current.head.revision);
        return Ok(());
    }
    if !args.json {
        for change in &changes {
            println!("{}", change_line(change));
        }
    }
    commit_changes(
        session,
        changes,
        Some(current.head.revision.0),
        None,
        args.json,
    )
    .await
}
