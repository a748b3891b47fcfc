//! `badgerferry explain`

use argh::FromArgs;
use badgerferry_lib::ids::NodeName;
use serde::Serialize;
use serde_json::Value;

use crate::commands::settings::find_node;
use crate::commands::settings::parse_key;
use crate::exit::CommandResult;
use crate::output::Format;
use crate::session::Session;

/// Say where a node's value comes from.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
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

#[derive(Serialize)]
struct Explanation {
    key: &'static str,
    value: Value,
    unit: &'static str,
    takes: String,
    help: &'static str,
    steps: Vec<Step>,
}

/// A node on the path from the given node towards the root.
#[derive(Serialize)]
struct Step {
    node: NodeName,
    set: Option<Value>,
}

/// Prints each node from the given one up to the one that sets the value.
pub async fn cmd_explain(session: &Session, args: ExplainArgs) -> CommandResult {
    let key = parse_key(&args.key)?;
    let tree = session.read_settings().await?.tree;
    let mut next = Some(find_node(&tree, &args.node)?);
    let setting = key.setting();
    let mut explanation = Explanation {
        key: key.as_str(),
        value: Value::Null,
        unit: setting.unit,
        takes: setting.domain.to_string(),
        help: setting.help,
        steps: Vec::new(),
    };
    if let Some(node) = &next {
        explanation.value = tree.effective(node, key);
    }
    while let Some(name) = next.take() {
        let Some(node) = tree.node(&name) else { break };
        let set = node.set.get(key.as_str()).cloned();
        let found = set.is_some();
        explanation.steps.push(Step { node: name, set });
        next = node.parent.clone().filter(|_| !found);
    }
    Format::from_switch(args.json).print(&explanation, || render_text(&explanation));
    Ok(())
}

fn render_text(explanation: &Explanation) -> String {
    let Explanation {
        key,
        value,
        unit,
        takes,
        help,
        steps,
    } = explanation;
    let mut text = format!("{key} = {value} {unit}\n  {help}\n  takes {takes}\n");
    for step in steps {
        let line = match &step.set {
            Some(value) => format!("  {} sets {value}\n", step.node),
            None => format!("  {} inherits\n", step.node),
        };
        text.push_str(&line);
    }
    if steps.iter().all(|step| step.set.is_none()) {
        text.push_str("  no node sets it: the default\n");
    }
    text
}
