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
struct WaitOutput {
    revision: Revision,
    boxes: usize,
}

/// A listed box and its status, `None` if it did not respond.
struct PolledBox {
    info: BoxInfo,
    status: Option<DaemonStatus>,
}

/// Polls the live boxes until all have the revision; after `timeout` the error lists those without
/// it.
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
            .filter(|polled_box| !has_revision(polled_box, wanted))
            .collect();
        if behind.is_empty() {
            let output = WaitOutput {
                revision: wanted,
                boxes: polled.len(),
            };
            Format::from_switch(args.json).print(&output, || {
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
                .map(|polled_box| describe_box(polled_box, &polled))
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

/// Reads the status of the live boxes: those that the platform lists and that are not leaving.
async fn poll_boxes(session: &Session) -> Result<Vec<PolledBox>, CommandError> {
    let boxes = session.boxes().await?;
    let live: Vec<_> = boxes.into_iter().filter(|info| !info.leaving).collect();
    let statuses = join_all(live.iter().map(|info| session.status_of(&info.address))).await;
    let rows = live.into_iter().zip(statuses);
    Ok(rows
        .map(|(info, status)| PolledBox { info, status })
        .collect())
}

fn has_revision(polled_box: &PolledBox, wanted: Revision) -> bool {
    let status = polled_box.status.as_ref();
    status.is_some_and(|status| status.settings.revision >= wanted)
}

/// Describes a box that lacks the revision, by its own status or, if it did not respond, by the
/// latest revision that a peer knows it to have.
fn describe_box(polled_box: &PolledBox, all: &[PolledBox]) -> String {
    let name = &polled_box.info.name;
    if let Some(status) = &polled_box.status {
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
