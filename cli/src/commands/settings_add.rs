//! `badgerferry settings add`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::NodeKind;

use crate::exit::CommandError;
use crate::exit::Failure;

use crate::commands::settings::commit_changes;
use crate::exit::CommandResult;
use crate::session::Session;

/// Add a node that inherits everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct SettingsAddArgs {
    /// the node
    #[argh(positional)]
    node: String,
    /// what it stands for: region, hall, workspace or class
    #[argh(option)]
    kind: String,
    /// where it inherits from (fleet)
    #[argh(option, default = "String::from(\"fleet\")")]
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

/// Commits an edit that adds the node.
pub async fn cmd_settings_add(session: &Session, args: SettingsAddArgs) -> CommandResult {
    let change = Change::Add {
        node: NodeName::new(args.node),
        kind: parse_kind(&args.kind)?,
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

fn parse_kind(text: &str) -> Result<NodeKind, CommandError> {
    match text {
        "region" => Ok(NodeKind::Region),
        "hall" => Ok(NodeKind::Hall),
        "workspace" => Ok(NodeKind::Workspace),
        "class" => Ok(NodeKind::Class),
        other => Err(CommandError::new(
            Failure::Usage,
            format!("--kind takes region, hall, workspace or class, not {other:?}"),
        )),
    }
}
