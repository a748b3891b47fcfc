//! `badgerferry settings unset`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_tree::Change;

use crate::commands::settings::commit_changes;
use crate::exit::CommandResult;
use crate::session::Session;

/// Take an override back, so that the node inherits again.
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub struct SettingsUnsetArgs {
    /// the node
    #[argh(positional)]
    node: String,
    /// the key
    #[argh(positional)]
    key: String,
    /// revision that the edit is based on; the newest if not given
    #[argh(option)]
    base: Option<u64>,
    /// identifier of an earlier submission of this very edit
    #[argh(option)]
    edit_id: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Commits an edit that removes the override.
pub async fn cmd_settings_unset(session: &Session, args: SettingsUnsetArgs) -> CommandResult {
    let change = Change::Unset {
        node: NodeName::new(args.node),
        key: args.key,
    };
    commit_changes(
        session,
        vec![change],
        args.base,
        args.edit_id.as_deref(),
        args.json,
    )
    .await
}
