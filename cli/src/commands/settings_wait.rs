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
use crate::output::format_age;
use crate::session::Session;

/// Interval between two polls of the boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

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

struct PolledBox {
    info: BoxInfo,
    status: Option<DaemonStatus>,
}

/// Polls the live boxes; after `timeout` the error lists those without the revision.
pub async fn cmd_settings_wait(
    session: &Session,
    timeout: Duration,
    args: SettingsWaitArgs,
) -> CommandResult {
    let wanted = Revision(args.revision);
    let start = Instant::now();
    loop {
        let polled = poll_boxes(session).await?;
        let behind: Vec<_> = polled
            .iter()
            .filter(|row| !has_revision(row, wanted))
            .collect();
        if behind.is_empty() {
            let in_force = InForce {
                revision: wanted,
                boxes: polled.len(),
            };
            Format::from_switch(args.json).print(&in_force, || {
                format!(
                    "revision {wanted} is in force on {} boxes
",
                    polled.len()
                )
            });
            return Ok(());
        }
        if start.elapsed() >= timeout {
            let lines: Vec<_> = behind
                .iter()
                .map(|row| describe_box(row, &polled))
                .collect();
            let message = format!(
                "revision {wanted} is not in force on {} of {} boxes:\n  {}",
                behind.len(),
                polled.len(),
                lines.join("\n  ")
            );
            return Err(CommandError::new(Failure::NotInForce, message)
                .hint("a box that is cut off takes it up as soon as it reaches a peer"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_boxes(session: &Session) -> Result<Vec<PolledBox>, CommandError> {
    let boxes = session.boxes().await?;
    let live: Vec<_> = boxes.into_iter().filter(|info| !info.leaving).collect();
    let statuses = join_all(live.iter().map(|info| session.status_of(&info.address))).await;
    let rows = live.into_iter().zip(statuses);
    Ok(rows
        .map(|(info, status)| PolledBox { info, status })
        .collect())
}

fn has_revision(row: &PolledBox, wanted: Revision) -> bool {
    let status = row.status.as_ref();
    status.is_some_and(|status| status.settings.revision >= wanted)
}

fn describe_box(row: &PolledBox, all: &[PolledBox]) -> String {
    let name = &row.info.name;
    if let Some(status) = &row.status {
        let age = format_age(status.settings.unconfirmed_ms);
        return format!(
            "{name}: revision {}, confirmed {age} ago",
            status.settings.revision
        );
    }
    let statuses = all.iter().filter_map(|other| other.status.as_ref());
    let peers = statuses.flat_map(|status| &status.peers);
    let latest = peers
        .filter(|peer| peer.name == *name)
        .max_by_key(|peer| peer.revision);
    match latest {
        Some(peer) => {
            let age = format_age(peer.silent_ms);
            format!(
                "{name}: no answer; a peer heard of revision {} {age} ago",
                peer.revision
            )
        }
        None => format!("{name}: no answer"),
    }
}
