//! What callers saw, and the promises that it is held against.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::server::Server;

/// What was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run once.
    Once,
    /// May run again.
    Again,
    /// A stream that may be continued.
    Stream,
    /// The same, of servers that other calls end.
    Fragile,
    /// A stream whose request ends the servers that run it.
    Deadly,
}

/// One call and its end.
#[derive(Debug, Clone)]
pub struct Row {
    /// The caller's id.
    pub id: String,
    /// What was asked.
    pub kind: Kind,
    /// What came; none where there was no connection.
    pub answer: Option<RawResponse>,
    /// How long it took.
    pub took: Duration,
    /// How long the caller would wait.
    pub patience: Duration,
}

/// What a hang is: no end this long after the caller's own limit.
const HANG: Duration = Duration::from_secs(3);

/// Holds rows against the promises.
///
/// # Errors
///
/// The first promise that is broken.
pub fn check(rows: &[Row], servers: &[Server]) -> anyhow::Result<()> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let sent: BTreeSet<&str> = rows.iter().map(|row| row.id.as_str()).collect();
    for seen in servers.iter().flat_map(Server::received_calls) {
        let id = seen.id();
        let known = id.starts_with("recovery-") || sent.contains(id);
        let line = &seen.request_line;
        anyhow::ensure!(known, "a server got call {id}, which nobody sent: {line}");
        *runs.entry(id.to_owned()).or_default() += usize::from(seen.ran);
    }
    for row in rows {
        let ran = runs.get(&row.id).copied().unwrap_or_default();
        check_row(row, ran, servers[0].events)?;
    }
    Ok(())
}

/// Servers that one life of a box may let a piece of work end, where it hears no other box and the
/// store is away: then each box can only count by itself.
const MOST_LIVES: usize = 3;

/// A limit counts from so long after the server's first call, which is told that there is one.
const LIMIT_IN_FORCE: Duration = Duration::from_secs(3);
/// What a limit counts over.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Holds what a server got against the calls a second that it says it takes: in each window half as much
/// again and five calls may come, for boxes that end, start and freeze.
///
/// # Errors
///
/// More came.
pub fn check_limit(server: &Server, limit: f64) -> anyhow::Result<()> {
    let mut arrivals = server.arrivals();
    arrivals.sort_unstable();
    let Some(&first) = arrivals.first() else {
        return Ok(());
    };
    let from = arrivals.partition_point(|at| *at < first + LIMIT_IN_FORCE);
    let judged = &arrivals[from..];
    let most = (limit * LIMIT_WINDOW.as_secs_f64()).mul_add(1.5, 5.0) as usize;
    for (at, begin) in judged.iter().enumerate() {
        let got = judged[at..].partition_point(|other| *other < *begin + LIMIT_WINDOW);
        anyhow::ensure!(
            got <= most,
            "a server that takes {limit} a second got {got} in {LIMIT_WINDOW:?}, {most} at most may come"
        );
    }
    Ok(())
}

/// Requests that a box may send a server in a pause that it was asked for, by the rule.
const IN_A_PAUSE: usize = 2;

/// Holds what servers turned away against the pauses that they asked for: in any of that length each
/// caller may have a call on its way, and each life of a box two more.
///
/// # Errors
///
/// A server turned more away.
pub fn check_pauses(
    servers: &[Server],
    pause: Duration,
    callers: usize,
    box_lives: usize,
) -> anyhow::Result<()> {
    let most = callers + IN_A_PAUSE * box_lives;
    for server in servers {
        let seen = server.received_calls();
        let asked = seen.iter().filter(|seen| seen.sent_retry_after);
        let times: Vec<Instant> = asked.filter_map(|seen| seen.received_at).collect();
        for (at, begin) in times.iter().enumerate() {
            let got = times[at..].partition_point(|other| *other < *begin + pause);
            anyhow::ensure!(
                got <= most,
                "{} turned {got} calls away within a pause that it asked for, {most} at most may come",
                server.name
            );
        }
    }
    Ok(())
}

/// Holds the servers that ended under one piece of work against what so many lives of boxes may let end.
///
/// # Errors
///
/// More of them ended.
pub fn check_lives(servers: &[Server], box_lives: usize) -> anyhow::Result<()> {
    let lives: usize = servers.iter().map(Server::times_crashed).sum();
    let most = MOST_LIVES * box_lives;
    anyhow::ensure!(
        lives <= most,
        "{lives} lives of servers ended, {most} at most may"
    );
    Ok(())
}

/// Whether a piece of work has ended as many servers as hold it.
pub fn is_held(servers: &[Server]) -> bool {
    servers.iter().map(Server::times_crashed).sum::<usize>() >= MOST_LIVES
}

fn check_row(row: &Row, ran: usize, events: u64) -> anyhow::Result<()> {
    let id = &row.id;
    anyhow::ensure!(
        row.kind != Kind::Once || ran <= 1,
        "call {id} may run once and ran {ran} times"
    );
    anyhow::ensure!(
        row.took <= row.patience + HANG,
        "call {id} hung for {:?}",
        row.took
    );
    let Some(answer) = &row.answer else {
        return Ok(());
    };
    match (answer.status, row.kind) {
        (503 | 429 | 408 | 421, Kind::Once) => anyhow::ensure!(
            ran == 0,
            "call {id} was told that it has not run, and it ran {ran} times"
        ),
        (200, Kind::Stream | Kind::Fragile) => check_stream(id, answer, events)?,
        (200, Kind::Deadly) => anyhow::ensure!(!answer.is_complete, "call {id} can't be served"),
        (503, Kind::Fragile) => anyhow::ensure!(
            !answer.body.contains("ends_servers"),
            "call {id} is blamed for what another one did"
        ),
        (200, _) if answer.is_complete => anyhow::ensure!(
            answer.body.ends_with(&format!(" served {id}")),
            "call {id} got another answer: {}",
            answer.body
        ),
        (401 | 403 | 404, _) => anyhow::bail!("call {id} was denied: {}", answer.status),
        _ => {}
    }
    Ok(())
}

fn check_stream(id: &str, answer: &RawResponse, events: u64) -> anyhow::Result<()> {
    let rows: Vec<String> = (0..events)
        .map(|at| format!("id: {at}\ndata: piece {at}\n\n"))
        .collect();
    let all = rows.concat();
    let holds = all.starts_with(&answer.body) && (!answer.is_complete || answer.body == all);
    anyhow::ensure!(
        holds,
        "stream {id}, whole: {}: {:?}",
        answer.is_complete,
        answer.body
    );
    Ok(())
}
