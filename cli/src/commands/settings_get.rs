//! `badgerferry settings get`

use argh::FromArgs;

use crate::commands::settings::find_node;
use crate::commands::settings::parse_key;
use crate::exit::CommandResult;
use crate::output::Format;
use crate::session::Session;

/// Print the value in force at a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct SettingsGetArgs {
    /// the node
    #[argh(positional)]
    node: String,
    /// the key
    #[argh(positional)]
    key: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Prints the effective value of a setting at a node.
pub async fn cmd_settings_get(session: &Session, args: SettingsGetArgs) -> CommandResult {
    let key = parse_key(&args.key)?;
    let current = session.read_settings().await?;
    let node = find_node(&current.tree, &args.node)?;
    let value = current.tree.effective(&node, key);
    Format::from_switch(args.json).print(&value, || format!("{value}\n"));
    Ok(())
}
