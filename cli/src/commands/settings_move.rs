//! `badgerferry settings move`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_tree::Change;

use crate::commands::settings::commit_changes;
use crate::exit::CommandResult;
use crate::session::Session;

/// Let a node inherit from another.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub struct SettingsMoveArgs {
    /// the node
    #[argh(positional)]
    node: String,
    /// its new parent
    #[argh(positional)]
    parent: String,
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

/// Commits an edit that changes the node's parent.
pub async fn cmd_settings_move(session: &Session, args: SettingsMoveArgs) -> CommandResult {
    let change = Change::Move {
        node: NodeName::new(args.node),
        parent: NodeName::new(args.parent),
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
