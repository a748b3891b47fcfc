//! `badgerferry settings set`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_tree::Change;
use serde_json::Value;

use crate::commands::settings::commit_changes;
use crate::exit::CommandResult;
use crate::session::Session;

/// Override a value at a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SettingsSetArgs {
    /// the node
    #[argh(positional)]
    node: String,
    /// the key
    #[argh(positional)]
    key: String,
    /// the value: JSON, or a plain word
    #[argh(positional)]
    value: String,
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

/// Commits an edit that sets the override.
pub async fn cmd_settings_set(session: &Session, args: SettingsSetArgs) -> CommandResult {
    let change = Change::Set {
        node: NodeName::new(args.node),
        key: args.key,
        value: parse_value(&args.value),
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

/// Parses a value as JSON; text that is not valid JSON becomes a string.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_not_json| Value::from(text))
}
