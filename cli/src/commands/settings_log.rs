//! `badgerferry settings log`

use argh::FromArgs;
use badgerferry_lib::settings_head::CommittedEdit;

use crate::commands::settings_diff::describe_change;
use crate::exit::CommandResult;
use crate::output::Format;
use crate::session::Session;

/// Print the latest edits, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub struct SettingsLogArgs {
    /// most edits to print (20)
    #[argh(option, default = "20")]
    limit: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Prints edits from the head, then from as many checkpoints as `--limit` needs.
pub async fn cmd_settings_log(session: &Session, args: SettingsLogArgs) -> CommandResult {
    let current = session.read_settings().await?;
    let mut edits: Vec<CommittedEdit> = current.head.edits;
    edits.reverse();
    let mut next_checkpoint = current.checkpoint;
    while let Some(checkpoint) = next_checkpoint.take().filter(|_| edits.len() < args.limit) {
        edits.extend(checkpoint.edits.into_iter().rev());
        if let Some(previous) = checkpoint.previous {
            next_checkpoint = session.checkpoint(&previous.key).await?;
        }
    }
    edits.truncate(args.limit);
    Format::from_switch(args.json).print(&edits, || edits.iter().map(describe_edit).collect());
    Ok(())
}

fn describe_edit(committed: &CommittedEdit) -> String {
    let edit = &committed.edit;
    let mut text = format!(
        "revision {}  edit {}  by {}\n",
        committed.revision, edit.id, edit.author
    );
    for change in &edit.changes {
        text.push_str("    ");
        text.push_str(&describe_change(change));
        text.push('\n');
    }
    text
}
