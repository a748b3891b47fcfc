//! `badgerferry settings show`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use badgerferry_lib::settings_schema::SETTINGS;
use badgerferry_lib::settings_tree::SettingsTree;
use serde::Serialize;
use serde_json::Value;

use crate::commands::settings::find_node;
use crate::exit::CommandResult;
use crate::output::Format;
use crate::output::Table;
use crate::session::Session;

/// Print the tree, or everything in force at one node.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct SettingsShowArgs {
    /// print everything in force at this node
    #[argh(option)]
    effective: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct EffectiveRow {
    key: &'static str,
    value: Value,
    unit: &'static str,
    from: String,
}

/// Prints the whole tree, or the effective values at one node.
pub async fn cmd_settings_show(session: &Session, args: SettingsShowArgs) -> CommandResult {
    let current = session.read_settings().await?;
    let format = Format::from_switch(args.json);
    match &args.effective {
        Some(node) => {
            let node = find_node(&current.tree, node)?;
            let rows = effective_rows(&current.tree, &node);
            format.print(&rows, || effective_table(&rows));
        }
        None => format.print(&current.tree, || {
            let revision = current.head.revision;
            format!("revision {revision}\n{}", tree_table(&current.tree))
        }),
    }
    Ok(())
}

fn effective_rows(tree: &SettingsTree, node: &NodeName) -> Vec<EffectiveRow> {
    let row = |setting: &badgerferry_lib::settings_schema::Setting| EffectiveRow {
        key: setting.key.as_str(),
        value: tree.effective(node, setting.key),
        unit: setting.unit,
        from: match tree.origin(node, setting.key) {
            Some((origin, _)) => origin.to_string(),
            None => "default".to_owned(),
        },
    };
    SETTINGS.iter().map(row).collect()
}

fn effective_table(rows: &[EffectiveRow]) -> String {
    let mut table = Table::new(&["KEY", "VALUE", "UNIT", "FROM"]);
    for row in rows {
        let value = row.value.to_string();
        table.push_row([
            row.key.to_owned(),
            value,
            row.unit.to_owned(),
            row.from.clone(),
        ]);
    }
    table.render()
}

fn tree_table(tree: &SettingsTree) -> String {
    let mut table = Table::new(&["NODE", "KIND", "INHERITS", "KEY", "VALUE"]);
    for (name, node) in tree.nodes() {
        let kind = format!("{:?}", node.kind).to_lowercase();
        let parent = node.parent.as_ref().map_or("-", NodeName::as_str);
        if node.set.is_empty() {
            table.push_row([name.to_string(), kind.clone(), parent.to_owned()]);
        }
        for (key, value) in &node.set {
            let cells = [name.as_str(), &kind, parent, key, &value.to_string()];
            table.push_row(cells.map(str::to_owned));
        }
    }
    table.render()
}
