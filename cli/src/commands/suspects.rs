//! `badgerferry suspects`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_platform::store::Freshness;
use badgerferry_platform::store::Store;
use badgerferry_platform::store::StoreError;
use badgerferry_platform::store_change::Change;
use serde::Serialize;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::output::Format;
use crate::output::Table;

/// Show requests, and parts of prompts, that crash the servers which run them, as the platform's
/// store holds them, or release one.
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
pub struct SuspectsArgs {
    /// let one run of this request or part decide: its key, as boxes log it
    #[argh(option)]
    release: Option<SuspectKey>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The quarantine state of a request or part, as stored.
#[derive(Debug, Default, Serialize)]
struct SuspectRow {
    work: String,
    /// Number of server incarnations that crashed while they ran it.
    lives_ended: usize,
    /// Whether it is quarantined.
    held: bool,
    /// Whether an operator has released it.
    released: bool,
}

/// Lists the suspected requests and parts, or releases one; `store` is the address of the platform's store.
///
/// # Errors
///
/// Returns an error if the store does not respond or refuses.
pub async fn cmd_suspects(
    store: SocketAddr,
    timeout: Duration,
    args: SuspectsArgs,
) -> CommandResult {
    let mut store = Store::new(store, timeout);
    if let Some(key) = args.release {
        let released = store.put_suspects(&[(key, StoredFact::Released)]).await;
        released.map_err(|cause| store_error("release the work", &cause))?;
        println!("{key} released: one run of it decides");
        return Ok(());
    }
    let all = store.read_all(Freshness::Latest).await;
    let all = all.map_err(|cause| store_error("read the store", &cause))?;
    let rows = rows(&all.items);
    Format::from_switch(args.json).print(&rows, || render_text(&rows));
    Ok(())
}

fn store_error(operation: &str, cause: &StoreError) -> CommandError {
    let kind = match cause {
        StoreError::NotApplied(_) | StoreError::HistoryExpired | StoreError::NewEra(_) => {
            Failure::Refused
        }
        StoreError::NoResponse(_) | StoreError::TooLarge => Failure::NoAnswer,
    };
    CommandError::new(kind, format!("failed to {operation}: {cause}"))
        .hint("--platform is the address of the platform's store here")
}

fn rows(items: &[Change]) -> Vec<SuspectRow> {
    let mut rows: BTreeMap<SuspectKey, SuspectRow> = BTreeMap::new();
    for item in items {
        let Change::Suspect { key, fact } = item else {
            continue;
        };
        let row = rows.entry(*key).or_default();
        row.work = key.to_string();
        match fact {
            StoredFact::Crashed(_) => row.lives_ended += 1,
            StoredFact::Quarantined => row.held = true,
            StoredFact::Released => row.released = true,
        }
    }
    rows.into_values().collect()
}

fn render_text(rows: &[SuspectRow]) -> String {
    let mut table = Table::new(&["WORK", "SERVERS ENDED", "HELD", "RELEASED"]);
    let yes_or_dash = |flag: bool| if flag { "yes" } else { "-" }.to_owned();
    for row in rows {
        let (held, released) = (yes_or_dash(row.held), yes_or_dash(row.released));
        table.push_row([
            row.work.clone(),
            row.lives_ended.to_string(),
            held,
            released,
        ]);
    }
    table.render()
}
