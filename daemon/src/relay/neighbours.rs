//! Datagrams between boxes, which tell the work at the engines and who has newer state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::cells;
use badgerferry_lib::relay::cells::FAR_PAUSE;
use badgerferry_lib::relay::cells::LEAST_FAR_PAUSE;
use badgerferry_lib::relay::cells::PAUSE_PER_BOX;
use badgerferry_lib::relay::cells::Scope;
use badgerferry_lib::relay::cells::Speaker;
use badgerferry_lib::relay::cells::WAITING_HEARTBEAT;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineUse;
use badgerferry_lib::relay::engine_pace::SaidBy;
use badgerferry_lib::relay::hall_reach::HEARTBEAT;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::MAX_DATAGRAM_BYTES;
use badgerferry_lib::relay::load_datagram::Teller;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::time::Time;
use badgerferry_platform::settings_file::BoxSettings;
use metrics::counter;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::relay::listener;
use crate::relay::permit_post::Outgoing;
use crate::relay::pulls;
use crate::relay::state::Relay;
use crate::relay::suspects;
use crate::traffic::lock;

/// Least time until a box passes the work of the same hall on again.
const PASS_ON_PAUSE: Duration = Duration::from_millis(10);
/// A box is behind when a neighbour had newer state for this long; the watch is faster mostly.
const BEHIND: Duration = Duration::from_millis(250);
/// Between two pulls: changes that come together are fetched by one.
const PULL_PAUSE: Duration = Duration::from_millis(150);

/// Sockets to other boxes.
#[derive(Debug)]
pub struct Links {
    load: UdpSocket,
    pull: TcpListener,
}

/// Opens the sockets.
///
/// # Errors
///
/// An address can't be used.
pub async fn bind(settings: &BoxSettings) -> anyhow::Result<Links> {
    let load = UdpSocket::bind(settings.load).await;
    let load = load.with_context(|| format!("failed to take datagrams on {}", settings.load))?;
    let pull = listener::listen(settings.pull)?;
    Ok(Links { load, pull })
}

/// Runs for ever.
pub async fn run(relay: &Arc<Relay>, links: Links) {
    let Links { load, pull } = links;
    tokio::join!(
        tell(relay, &load),
        hear(relay, &load),
        tell_far(relay, &load),
        send_permits(relay, &load),
        pulls::answer_pulls(relay, pull),
        pulls::pull_at_start(relay),
    );
}

async fn tell(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut sequence = 0;
    let mut scope = Scope::Fleet;
    let mut is_urgent = false;
    loop {
        let now = relay.clock.now();
        end_holds(relay);
        log_reach(relay);
        log_scope(relay, &mut scope);
        let rows = lock(&relay.loads).own_table(now);
        sequence += 1;
        let mut datagram = LoadDatagram {
            is_urgent,
            waits: lock(&relay.long_queue).head(now),
            ..datagram(relay, now, sequence, Teller::Box, rows)
        };
        let waits = datagram.waits;
        let others = others(relay);
        send_to_all(socket, &mut datagram, &others).await;
        let heartbeat = match waits {
            Some(_) => WAITING_HEARTBEAT,
            None => HEARTBEAT,
        };
        is_urgent = wait_to_tell(relay, PAUSE_PER_BOX * others.len() as u32, heartbeat).await;
        if is_urgent {
            relay.hall_changed.notify_one();
        }
    }
}

/// Sends questions for calls to limited servers, and answers to such.
async fn send_permits(relay: &Relay, socket: &UdpSocket) {
    let Some(mut outgoing) = relay.gate.permits.outgoing() else {
        return;
    };
    while let Some(Outgoing { to, bytes }) = outgoing.recv().await {
        if let Err(cause) = socket.send_to(&bytes, to).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%to, %cause, "a datagram could not be sent");
        }
    }
}

/// Tells other halls the work of this one, while each hall keeps to itself and this box speaks.
async fn tell_far(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut turn = 0;
    loop {
        let now = relay.clock.now();
        let (speaker, receivers) = far_receivers(relay, now, turn);
        if let Some(speaker) = speaker {
            turn += 1;
            let mut datagram = hall_datagram(relay, now, turn as u64);
            send_to_all(socket, &mut datagram, &receivers).await;
            if speaker == Speaker::First {
                tokio::time::sleep(LEAST_FAR_PAUSE).await;
                let pause = FAR_PAUSE.saturating_sub(LEAST_FAR_PAUSE);
                // Nothing changed in that time: what is known is told again.
                let _ = timeout(pause, relay.hall_changed.notified()).await;
                continue;
            }
        }
        tokio::time::sleep(FAR_PAUSE).await;
    }
}

/// Whether this box speaks for its hall, and to whom this time.
fn far_receivers(relay: &Relay, now: Time, turn: usize) -> (Option<Speaker>, Vec<SocketAddr>) {
    let own = &relay.settings;
    let followed = lock(&relay.followed);
    if followed.scope() == Scope::Fleet {
        return (None, Vec::new());
    }
    let lives = |name: &str| followed.heard.lives(now, name);
    let speaker = cells::speaker(&followed.boxes, &own.name, &own.hall, lives);
    let receivers = cells::receivers(&followed.boxes, &own.hall, turn).into_iter();
    let receivers = receivers.filter_map(|of| of.load.parse().ok());
    (speaker, receivers.collect())
}

/// The work of this box's hall, for the others.
fn hall_datagram(relay: &Relay, now: Time, sequence: u64) -> LoadDatagram {
    let rows = {
        let followed = lock(&relay.followed);
        let is_near = |name: &str| relay.is_near(&followed.boxes, name);
        lock(&relay.loads).hall_table(now, is_near)
    };
    let teller = Teller::Hall {
        hall: relay.settings.hall.clone(),
        passed_on: false,
    };
    LoadDatagram {
        waits: lock(&relay.long_queue).head_of_hall(now),
        ..datagram(relay, now, sequence, teller, rows)
    }
}

fn datagram(
    relay: &Relay,
    now: Time,
    sequence: u64,
    teller: Teller,
    rows: HashMap<EngineKey, EngineUse>,
) -> LoadDatagram {
    let (faults, departures) = {
        let mut book = lock(&relay.book);
        (book.faults(now), book.departures(now))
    };
    let (slow, runs_of) = match teller {
        Teller::Box => (lock(&relay.paces).own(now), RunScope::Box),
        Teller::Hall { .. } => (lock(&relay.paces).of_hall(now), RunScope::Hall),
    };
    let suspects = lock(&relay.quarantine).rows(now, runs_of);
    let notices = lock(&relay.gate.notices).rows(now);
    LoadDatagram {
        version: FRAME_VERSION,
        from: relay.settings.name.clone(),
        lifetime: relay.lifetime,
        sequence,
        teller,
        is_urgent: false,
        have: relay.known_state(),
        follows_store: relay.follows_store(),
        waits: None,
        faults,
        departures,
        slow,
        suspects,
        notices,
        rows: rows.into_iter().collect(),
    }
}

async fn send_to_all(socket: &UdpSocket, datagram: &mut LoadDatagram, to: &[SocketAddr]) {
    let left_out = datagram.fit();
    counter!("badgerferry_load_rows_left_out_total").increment(left_out as u64);
    let bytes = datagram.encode();
    for address in to {
        if let Err(cause) = socket.send_to(&bytes, address).await {
            counter!("badgerferry_datagrams_dropped_total", "why" => "not_sent").increment(1);
            tracing::debug!(%address, %cause, "a datagram could not be sent");
        }
    }
}

/// Waits until there is something to tell; true if that can't wait. Another change within the pause
/// is told after it.
async fn wait_to_tell(relay: &Relay, pause: Duration, heartbeat: Duration) -> bool {
    let changed = async {
        tokio::time::sleep(pause).await;
        let _ = timeout(heartbeat, relay.load_changed.notified()).await;
    };
    tokio::select! {
        () = changed => false,
        () = relay.urgent_changed.notified() => true,
    }
}

fn end_holds(relay: &Relay) {
    let now = relay.clock.now();
    let due = lock(&relay.followed).servers.next_tick();
    if due.is_some_and(|due| now >= due) {
        relay.change_servers(|servers| {
            servers.tick(now);
        });
        tracing::info!("server entries that did not come back are taken as gone");
    }
}

fn log_reach(relay: &Relay) {
    let now = relay.clock.now();
    for change in lock(&relay.book).take_reach_changes(now) {
        let heard_ms = change.heard_ago.as_millis() as u64;
        let answered_ms = change.answered_ago.as_millis() as u64;
        if change.is_silent {
            tracing::warn!(hall = %change.hall, heard_ms, answered_ms, "hall silent");
        } else {
            tracing::info!(hall = %change.hall, heard_ms, answered_ms, "hall heard again");
        }
    }
}

fn log_scope(relay: &Relay, last: &mut Scope) {
    let (scope, boxes) = {
        let followed = lock(&relay.followed);
        (followed.scope(), followed.boxes.len())
    };
    if scope != *last {
        tracing::info!(?scope, before = ?last, boxes, "boxes told of work change");
        *last = scope;
    }
}

/// The boxes that this one tells of its work.
fn others(relay: &Relay) -> Vec<SocketAddr> {
    let followed = lock(&relay.followed);
    let scope = followed.scope();
    let own = &relay.settings;
    let others = followed.boxes.values().filter(|of| of.name != own.name);
    others
        .filter(|of| scope.holds(&own.hall, &of.hall))
        .filter_map(|of| of.load.parse().ok())
        .collect()
}

async fn hear(relay: &Arc<Relay>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
    let mut behind: HashMap<String, Instant> = HashMap::new();
    let mut pulling: Option<JoinHandle<()>> = None;
    let mut passed_on = PassedOn::default();
    loop {
        let datagram = match socket.recv_from(&mut buf).await {
            Ok((len, from)) if PermitFrame::is_one(&buf[..len]) => {
                if let Some(answer) = relay.gate.heard(&buf[..len]) {
                    relay.gate.permits.send(from, &answer);
                }
                continue;
            }
            Ok((len, _from)) => LoadDatagram::decode(&buf[..len]),
            Err(cause) => {
                tracing::debug!(%cause, "no datagram could be taken");
                tokio::time::sleep(PAUSE_PER_BOX).await;
                continue;
            }
        };
        let mut datagram = match datagram {
            Ok(datagram) => datagram,
            Err(cause) => {
                counter!("badgerferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                tracing::debug!(%cause, "a datagram was dropped");
                continue;
            }
        };
        let now = relay.clock.now();
        take_rows(relay, now, &mut datagram);
        note_neighbour(relay, now, &datagram);
        suspects::heard(relay, now, &datagram);
        let teller = teller_name(&datagram);
        relay.gate.take_rows(&datagram.notices, teller);
        if passed_on.is_due(relay, now, &datagram) {
            pass_on(relay, socket, &datagram).await;
        }
        let have = relay.known_state();
        let is_newer = have.lacks(datagram.have);
        // Far news is pulled by the box that passes it on, the others pull from that one.
        let lacks_state = is_newer && !is_passed_on(&datagram);
        if !lacks_state && !pulls::wants_boxes(relay) {
            behind.clear();
            continue;
        }
        let since = *behind
            .entry(datagram.from.clone())
            .or_insert_with(Instant::now);
        let waits = if relay.must_follow_store() {
            BEHIND
        } else {
            Duration::ZERO
        };
        let pulls = pulling.as_ref().is_some_and(|task| !task.is_finished());
        if since.elapsed() >= waits && !pulls {
            behind.clear();
            // A pull that hangs must not keep datagrams from being heard.
            let relay = Arc::clone(relay);
            pulling = Some(tokio::spawn(async move {
                pulls::catch_up(&relay, datagram.from).await;
                tokio::time::sleep(PULL_PAUSE).await;
            }));
        }
    }
}

/// When the work of each other hall was last passed on in this one.
#[derive(Default)]
struct PassedOn {
    last: HashMap<HallName, Time>,
}

impl PassedOn {
    /// Whether a datagram is to be passed on now, which then counts as done.
    fn is_due(&mut self, relay: &Relay, now: Time, datagram: &LoadDatagram) -> bool {
        let Teller::Hall { hall, passed_on } = &datagram.teller else {
            return false;
        };
        let last = self.last.get(hall);
        let is_due = !passed_on
            && *hall != relay.settings.hall
            && last.is_none_or(|last| now.since(*last) >= PASS_ON_PAUSE);
        if is_due {
            self.last.insert(hall.clone(), now);
        }
        is_due
    }
}

/// Whose word a datagram is.
pub fn teller_name(datagram: &LoadDatagram) -> &str {
    match &datagram.teller {
        Teller::Box => &datagram.from,
        Teller::Hall { hall, .. } => hall.as_str(),
    }
}

const fn is_passed_on(datagram: &LoadDatagram) -> bool {
    matches!(
        datagram.teller,
        Teller::Hall {
            passed_on: true,
            ..
        }
    )
}

/// Gives a datagram of another hall to the boxes of this one.
async fn pass_on(relay: &Relay, socket: &UdpSocket, datagram: &LoadDatagram) {
    let mut datagram = datagram.clone();
    if let Teller::Hall { passed_on, .. } = &mut datagram.teller {
        *passed_on = true;
    }
    send_to_all(socket, &mut datagram, &others(relay)).await;
}

fn take_rows(relay: &Relay, now: Time, datagram: &mut LoadDatagram) {
    let (lifetime, sequence) = (datagram.lifetime, datagram.sequence);
    let from = &datagram.from;
    match &datagram.teller {
        Teller::Box => {
            let rows = std::mem::take(&mut datagram.rows);
            let is_newer = lock(&relay.loads).take_table(now, from, lifetime, sequence, rows);
            if is_newer {
                lock(&relay.long_queue).take_head(now, from, datagram.waits);
            }
            if datagram.is_urgent {
                relay.hall_changed.notify_one();
            }
        }
        // Its own hall's boxes are known by themselves.
        Teller::Hall { hall, .. } if *hall == relay.settings.hall => {}
        Teller::Hall { hall, .. } => {
            let rows = datagram.rows.clone();
            if lock(&relay.loads).take_hall_table(now, hall, lifetime, sequence, rows) {
                lock(&relay.long_queue).take_hall_head(now, hall, datagram.waits);
            }
        }
    }
}

/// Notes that the box was heard, and what it says of servers.
fn note_neighbour(relay: &Relay, now: Time, datagram: &LoadDatagram) {
    let hall = {
        let mut followed = lock(&relay.followed);
        if datagram.follows_store {
            followed.neighbour_at = Some(now);
        }
        followed.heard.hear(now, &datagram.from, datagram.have);
        let hall = followed.boxes.get(&datagram.from);
        let hall = hall.map(|of| HallName::new(&of.hall));
        followed.heard_unknown |= hall.is_none();
        hall
    };
    let Some(hall) = hall else {
        return;
    };
    let own = &relay.settings.hall;
    let said_by = if hall == *own {
        SaidBy::OwnHall
    } else {
        SaidBy::OtherHall
    };
    lock(&relay.paces).told(now, said_by, &datagram.slow);
    let mut book = lock(&relay.book);
    book.heard(now, own, &hall, &datagram.from);
    book.told_departures(now, &datagram.departures);
    let resting = book.told_faults(now, own, &hall, &datagram.faults);
    drop(book);
    for server in resting {
        tracing::info!(%server, from = datagram.from, "server at fault, by a neighbour");
    }
}
