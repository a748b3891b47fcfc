//! `badgerferry status`

use argh::FromArgs;
use badgerferry_lib::platform_wire::BoxInfo;
use badgerferry_lib::status_wire::DaemonStatus;
use futures::future::join_all;
use serde::Serialize;

use crate::exit::CommandResult;
use crate::output::Format;
use crate::output::Table;
use crate::output::format_age;
use crate::session::Session;

/// Show boxes, backend servers, leases and revisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// ask only this box, at its address; needs no platform list
    #[argh(option, long = "box")]
    one_box: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// A box as the platform lists it, and its own status; `None` where there is none.
#[derive(Serialize)]
struct BoxRow {
    name: String,
    listed: Option<BoxInfo>,
    status: Option<DaemonStatus>,
}

/// Prints the state of the boxes, and the backend servers as each box sees them.
pub async fn cmd_status(session: &Session, args: StatusArgs) -> CommandResult {
    let rows = match &args.one_box {
        Some(address) => {
            let status = session.status_of(address).await;
            vec![BoxRow {
                name: status
                    .as_ref()
                    .map_or(address.clone(), |found| found.name.to_string()),
                listed: None,
                status,
            }]
        }
        None => listed_rows(session).await?,
    };
    Format::from_switch(args.json).print(&rows, || {
        format!("{}\n{}", boxes_table(&rows), servers_table(&rows))
    });
    Ok(())
}

async fn listed_rows(session: &Session) -> Result<Vec<BoxRow>, crate::exit::CommandError> {
    let boxes = session.boxes().await?;
    let statuses = join_all(boxes.iter().map(|info| session.status_of(&info.address))).await;
    let rows = boxes
        .into_iter()
        .zip(statuses)
        .map(|(info, status)| BoxRow {
            name: info.name.to_string(),
            listed: Some(info),
            status,
        });
    Ok(rows.collect())
}

fn box_state(row: &BoxRow) -> &'static str {
    let listed_leaving = row.listed.as_ref().is_some_and(|info| info.leaving);
    match &row.status {
        None => "no answer",
        Some(status) if status.stopping => "stopping",
        Some(_) if listed_leaving => "leaving",
        Some(status) if !status.ready => "not ready",
        Some(_) => "ready",
    }
}

fn boxes_table(rows: &[BoxRow]) -> String {
    let mut table = Table::new(&[
        "BOX",
        "HALL",
        "STATE",
        "REVISION",
        "CONFIRMED",
        "PLATFORM",
        "LEASE",
        "PEERS",
        "WAITING",
        "ACTIVE",
    ]);
    for row in rows {
        let Some(status) = &row.status else {
            let hall = row.listed.as_ref().map(|info| info.hall.to_string());
            let cells = [
                row.name.clone(),
                hall.unwrap_or_default(),
                box_state(row).to_owned(),
            ];
            table.push_row(cells);
            continue;
        };
        let lease = match &status.lease {
            Some(lease) if lease.in_force_here => format!("holds {}", lease.fence),
            Some(lease) => lease.holder.clone(),
            None => "-".to_owned(),
        };
        let live = status.peers.iter().filter(|peer| peer.live).count();
        table.push_row([
            row.name.clone(),
            status.hall.to_string(),
            box_state(row).to_owned(),
            revision_cell(status),
            format_age(status.settings.unconfirmed_ms),
            format_age(status.platform_silent_ms),
            lease,
            format!("{live}/{}", status.peers.len()),
            status.waiting.to_string(),
            status.active.to_string(),
        ]);
    }
    table.render()
}

fn revision_cell(status: &DaemonStatus) -> String {
    match &status.settings.fault {
        Some(_) => format!("{} (newer one unusable)", status.settings.revision),
        None => status.settings.revision.to_string(),
    }
}

fn servers_table(rows: &[BoxRow]) -> String {
    let mut table = Table::new(&[
        "SEEN BY",
        "SERVER",
        "HALL",
        "SERVES",
        "TAKES WORK",
        "REPORT",
        "QUEUED",
        "RUNNING",
        "MEMORY",
        "OWN",
    ]);
    for row in rows {
        for server in row.status.iter().flat_map(|status| &status.servers) {
            table.push_row([
                row.name.clone(),
                server.name.to_string(),
                server.hall.to_string(),
                server.serves.join(","),
                if server.takes_work { "yes" } else { "no" }.to_owned(),
                format_age(server.report_age_ms),
                server.queued_tokens.to_string(),
                server.running.to_string(),
                format!("{}/{}", server.memory_used, server.memory_total),
                server.in_flight.to_string(),
            ]);
        }
    }
    table.render()
}
