//! `badgerferry settings remove`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_tree::Change;

use crate::commands::settings::commit_changes;
use crate::exit::CommandResult;
use crate::session::Session;

/// Remove a node from which no other inherits.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct SettingsRemoveArgs {
    /// the node
    #[argh(positional)]
    node: String,
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

/// Commits an edit that removes the node.
pub async fn cmd_settings_remove(session: &Session, args: SettingsRemoveArgs) -> CommandResult {
    let change = Change::Remove {
        node: NodeName::new(args.node),
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
