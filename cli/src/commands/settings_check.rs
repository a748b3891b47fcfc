//! `badgerferry settings check`

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use badgerferry_lib::settings_tree::SettingsTree;
use serde::Serialize;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::output::Format;

/// Check a tree in a file, without the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheckArgs {
    /// the file, as `settings show --json` prints it
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct CheckOutput {
    nodes: usize,
}

/// Validates the tree in the file.
pub fn cmd_settings_check(args: &SettingsCheckArgs) -> CommandResult {
    let tree = read_tree(&args.file)?;
    let output = CheckOutput {
        nodes: tree.nodes().len(),
    };
    Format::from_switch(args.json).print(&output, || {
        format!(
            "{}: good, {} nodes
",
            args.file.display(),
            output.nodes
        )
    });
    Ok(())
}

/// Reads a tree from a file; the error lists all validation errors.
pub fn read_tree(path: &Path) -> Result<SettingsTree, CommandError> {
    let text = read_file(path)?;
    let tree: SettingsTree = serde_json::from_str(&text).map_err(|cause| {
        CommandError::new(Failure::Refused, format!("{}: {cause}", path.display()))
            .hint("`badgerferry settings show --json` prints a tree in this form")
    })?;
    let errors: Vec<_> = tree
        .validation_errors()
        .iter()
        .map(ToString::to_string)
        .collect();
    if errors.is_empty() {
        return Ok(tree);
    }
    let message = format!(
        "{}: {} faults:\n  {}",
        path.display(),
        errors.len(),
        errors.join("\n  ")
    );
    Err(CommandError::new(Failure::Refused, message)
        .hint("`badgerferry settings keys` lists the settings"))
}

/// Reads a text file; the error names its path.
pub fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|cause| {
        CommandError::new(
            Failure::Refused,
            format!("failed to read {}: {cause}", path.display()),
        )
    })
}
