//! `badgerferry settings import`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_snapshot::SettingsSnapshot;

use crate::commands::settings_check::read_file;
use crate::commands::settings_edit::apply_tree;
use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::session::Session;

/// Put a backup's tree in force again, as a new revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
pub struct SettingsImportArgs {
    /// the file that `settings export` wrote
    #[argh(positional)]
    file: PathBuf,
    /// only show what would change
    #[argh(switch)]
    dry_run: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Commits the changes from the current tree to the backup's tree.
pub async fn cmd_settings_import(session: &Session, args: SettingsImportArgs) -> CommandResult {
    let text = read_file(&args.file)?;
    let snapshot = SettingsSnapshot::from_json(&text).map_err(|cause| {
        CommandError::new(
            Failure::Refused,
            format!("{}: {cause}", args.file.display()),
        )
        .hint("nothing was changed")
    })?;
    apply_tree(session, snapshot.tree(), args.dry_run, args.json).await
}
