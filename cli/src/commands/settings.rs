//! `badgerferry settings`

use std::time::Duration;

use argh::FromArgs;
use badgerferry_lib::ids::EditId;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::settings_schema::Key;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::SettingsTree;
use serde::Serialize;

use crate::commands::settings_add::SettingsAddArgs;
use crate::commands::settings_add::cmd_settings_add;
use crate::commands::settings_check::SettingsCheckArgs;
use crate::commands::settings_check::cmd_settings_check;
use crate::commands::settings_diff::SettingsDiffArgs;
use crate::commands::settings_diff::cmd_settings_diff;
use crate::commands::settings_edit::SettingsEditArgs;
use crate::commands::settings_edit::cmd_settings_edit;
use crate::commands::settings_export::SettingsExportArgs;
use crate::commands::settings_export::cmd_settings_export;
use crate::commands::settings_get::SettingsGetArgs;
use crate::commands::settings_get::cmd_settings_get;
use crate::commands::settings_import::SettingsImportArgs;
use crate::commands::settings_import::cmd_settings_import;
use crate::commands::settings_keys::SettingsKeysArgs;
use crate::commands::settings_keys::cmd_settings_keys;
use crate::commands::settings_log::SettingsLogArgs;
use crate::commands::settings_log::cmd_settings_log;
use crate::commands::settings_move::SettingsMoveArgs;
use crate::commands::settings_move::cmd_settings_move;
use crate::commands::settings_remove::SettingsRemoveArgs;
use crate::commands::settings_remove::cmd_settings_remove;
use crate::commands::settings_set::SettingsSetArgs;
use crate::commands::settings_set::cmd_settings_set;
use crate::commands::settings_show::SettingsShowArgs;
use crate::commands::settings_show::cmd_settings_show;
use crate::commands::settings_unset::SettingsUnsetArgs;
use crate::commands::settings_unset::cmd_settings_unset;
use crate::commands::settings_wait::SettingsWaitArgs;
use crate::commands::settings_wait::cmd_settings_wait;
use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::output::Format;
use crate::session::Session;
use crate::session::Submission;

/// Read and edit the settings tree.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    #[argh(subcommand)]
    command: SettingsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SettingsCommand {
    Get(SettingsGetArgs),
    Show(SettingsShowArgs),
    Set(SettingsSetArgs),
    Unset(SettingsUnsetArgs),
    Add(SettingsAddArgs),
    Remove(SettingsRemoveArgs),
    Move(SettingsMoveArgs),
    Edit(SettingsEditArgs),
    Diff(SettingsDiffArgs),
    Log(SettingsLogArgs),
    Check(SettingsCheckArgs),
    Wait(SettingsWaitArgs),
    Export(SettingsExportArgs),
    Import(SettingsImportArgs),
    Keys(SettingsKeysArgs),
}

/// Runs one of the settings commands.
pub async fn cmd_settings(
    session: impl Fn() -> Result<Session, CommandError>,
    timeout: Duration,
    args: SettingsArgs,
) -> CommandResult {
    match args.command {
        SettingsCommand::Get(args) => cmd_settings_get(&session()?, args).await,
        SettingsCommand::Show(args) => cmd_settings_show(&session()?, args).await,
        SettingsCommand::Set(args) => cmd_settings_set(&session()?, args).await,
        SettingsCommand::Unset(args) => cmd_settings_unset(&session()?, args).await,
        SettingsCommand::Add(args) => cmd_settings_add(&session()?, args).await,
        SettingsCommand::Remove(args) => cmd_settings_remove(&session()?, args).await,
        SettingsCommand::Move(args) => cmd_settings_move(&session()?, args).await,
        SettingsCommand::Edit(args) => cmd_settings_edit(&session()?, args).await,
        SettingsCommand::Diff(args) => cmd_settings_diff(&session()?, args).await,
        SettingsCommand::Log(args) => cmd_settings_log(&session()?, args).await,
        SettingsCommand::Check(args) => cmd_settings_check(&args),
        SettingsCommand::Wait(args) => cmd_settings_wait(&session()?, timeout, args).await,
        SettingsCommand::Export(args) => cmd_settings_export(&session()?, args).await,
        SettingsCommand::Import(args) => cmd_settings_import(&session()?, args).await,
        SettingsCommand::Keys(args) => {
            cmd_settings_keys(&args);
            Ok(())
        }
    }
}

/// Parses the key of a setting; an error if the schema does not have it.
pub fn parse_key(text: &str) -> Result<Key, CommandError> {
    Key::parse(text).ok_or_else(|| {
        CommandError::new(Failure::Refused, format!("{text}: no such setting"))
            .hint("`badgerferry settings keys` lists them")
    })
}

/// Returns `name` as a node name; an error if the tree has no such node.
pub fn find_node(tree: &SettingsTree, name: &str) -> Result<NodeName, CommandError> {
    let name = NodeName::new(name);
    match tree.node(&name) {
        Some(_) => Ok(name),
        None => Err(
            CommandError::new(Failure::Refused, format!("{name}: no such node"))
                .hint("`badgerferry settings show` lists them"),
        ),
    }
}

/// Parses the value of `--edit-id`.
pub fn parse_edit_id(text: Option<&str>) -> Result<Option<EditId>, CommandError> {
    let parsed = text.map(str::parse).transpose();
    parsed.map_err(|cause| CommandError::new(Failure::Usage, format!("--edit-id: {cause}")))
}

/// JSON output of a committed edit.
#[derive(Serialize)]
struct CommitOutput {
    revision: Revision,
}

/// Commits changes as one edit and prints the resulting revision.
pub async fn commit_changes(
    session: &Session,
    changes: Vec<Change>,
    base: Option<u64>,
    edit_id: Option<&str>,
    json: bool,
) -> CommandResult {
    let id = parse_edit_id(edit_id)?;
    let base = match base {
        Some(base) => Revision(base),
        None => session.read_settings().await?.head.revision,
    };
    let submission = Submission { changes, base, id };
    let revision = session.commit(submission).await?;
    let output = CommitOutput { revision };
    Format::from_switch(json).print(&output, || format!("revision {revision}\n"));
    Ok(())
}
