//! `badgerferry settings export`

use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_snapshot::SettingsSnapshot;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::session::Session;

/// Write the tree and its revision to a file, for a backup.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
pub struct SettingsExportArgs {
    /// the file to write
    #[argh(positional)]
    file: PathBuf,
}

/// Writes a snapshot of the tree to the file.
pub async fn cmd_settings_export(session: &Session, args: SettingsExportArgs) -> CommandResult {
    let current = session.read_settings().await?;
    let snapshot = SettingsSnapshot::new(current.head.revision, current.tree);
    std::fs::write(&args.file, snapshot.to_json()).map_err(|cause| {
        let message = format!("failed to write {}: {cause}", args.file.display());
        CommandError::new(Failure::Refused, message)
    })?;
    println!(
        "revision {} written to {}",
        current.head.revision,
        args.file.display()
    );
    Ok(())
}
