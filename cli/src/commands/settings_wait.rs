//! `badgerferry settings wait`

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::platform_wire::BoxInfo;
use badgerferry_lib::status_wire::DaemonStatus;
use futures::future::join_all;
use serde::Serialize;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::output::Format;
use crate::output::ago;
use crate::session::Session;

/// Time between two looks at the boxes.
const LOOK: Duration = Duration::from_millis(200);

/// Wait until every live box has a revision in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct SettingsWaitArgs {
    /// the revision
    #[argh(positional)]
    revision: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct InForce {
    revision: Revision,
    boxes: usize,
}

struct Seen {
    info: BoxInfo,
    status: Option<DaemonStatus>,
}

/// Waits, and names the boxes that do not have it in time.
pub async fn cmd_settings_wait(
    session: &Session,
    patience: Duration,
    args: SettingsWaitArgs,
) -> CommandResult {
    let wanted = Revision(args.revision);
    let start = Instant::now();
    loop {
        let seen = look(session).await?;
        let behind: Vec<_> = seen.iter().filter(|row| !has(row, wanted)).collect();
        if behind.is_empty() {
            let in_force = InForce {
                revision: wanted,
                boxes: seen.len(),
            };
            Format::from_switch(args.json).print(&in_force, || {
                format!(
                    "revision {wanted} is in force on {} boxes
",
                    seen.len()
                )
            });
            return Ok(());
        }
        if start.elapsed() >= patience {
            let lines: Vec<_> = behind.iter().map(|row| line(row, &seen)).collect();
            let message = format!(
                "revision {wanted} is not in force on {} of {} boxes:\n  {}",
                behind.len(),
                seen.len(),
                lines.join("\n  ")
            );
            return Err(CommandError::new(Failure::NotInForce, message)
                .hint("a box that is cut off takes it up as soon as it reaches a peer"));
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn look(session: &Session) -> Result<Vec<Seen>, CommandError> {
    let boxes = session.boxes().await?;
    let live: Vec<_> = boxes.into_iter().filter(|info| !info.leaving).collect();
    let statuses = join_all(live.iter().map(|info| session.status_of(&info.address))).await;
    let rows = live.into_iter().zip(statuses);
    Ok(rows.map(|(info, status)| Seen { info, status }).collect())
}

fn has(row: &Seen, wanted: Revision) -> bool {
    let status = row.status.as_ref();
    status.is_some_and(|status| status.settings.revision >= wanted)
}

fn line(row: &Seen, all: &[Seen]) -> String {
    let name = &row.info.name;
    if let Some(status) = &row.status {
        let ago = ago(status.settings.unconfirmed_ms);
        return format!(
            "{name}: revision {}, confirmed {ago} ago",
            status.settings.revision
        );
    }
    let told = all.iter().filter_map(|other| other.status.as_ref());
    let peers = told.flat_map(|status| &status.peers);
    let known = peers
        .filter(|peer| peer.name == *name)
        .max_by_key(|peer| peer.revision);
    match known {
        Some(peer) => {
            let ago = ago(peer.silent_ms);
            format!(
                "{name}: no answer; a peer heard of revision {} {ago} ago",
                peer.revision
            )
        }
        None => format!("{name}: no answer"),
    }
}
