//! `badgerferry settings get`

use argh::FromArgs;

use crate::commands::settings::key_of;
use crate::commands::settings::node_of;
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

/// Prints the value.
pub async fn cmd_settings_get(session: &Session, args: SettingsGetArgs) -> CommandResult {
    let key = key_of(&args.key)?;
    let current = session.current().await?;
    let node = node_of(&current.tree, &args.node)?;
    let value = current.tree.effective(&node, key);
    Format::from_switch(args.json).print(&value, || format!("{value}\n"));
    Ok(())
}
