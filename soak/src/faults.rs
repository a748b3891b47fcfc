//! Draws the fault plan of a seed.

use std::time::Duration;

use badgerferry_standin::server::Behaviour;
use badgerferry_standin::store::Mode;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::run::Size;

use badgerferry_standin::proxy::Link;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The link to a server changes.
    ServerLink(usize, Link),
    /// The links of one box to all servers change.
    BoxLinks(usize, Link),
    /// The link to the store changes.
    StoreLink(Link),
    /// The store switches to another response mode.
    StoreMode(Mode),
    /// The store applies writes but drops their responses; the field counts them.
    LoseAnswers(u32),
    /// The store compacts its history.
    ForgetHistory,
    /// The store is restored from a backup taken when the fault began; the writes of operators and
    /// servers since then are replayed some time later.
    ReturnFromCopy,
    /// A server's entry disappears from the store, as if it had expired, and is published again.
    Lapse(usize),
    /// A server is marked as draining in the store, and as ready again later.
    Leave(usize),
    /// A server announces in its responses that it leaves, stops, and restarts under its name.
    SayLeaving(usize),
    /// A server rejects its calls and asks for a pause in each response.
    Shed(usize),
    /// A server misbehaves in this way on its next calls; the last field counts them.
    Misbehave(usize, Behaviour, usize),
    /// A box is killed (SIGKILL) and started again.
    Kill(usize),
    /// A box is stopped gracefully (SIGTERM) and started again.
    Terminate(usize),
    /// A box is suspended (SIGSTOP) and resumed.
    Freeze(usize),
    /// A box gets SIGHUP, which announces a changed settings file.
    Hangup(usize),
    /// A new version of the routes is published.
    NewRoutes,
}

impl Fault {
    /// Whether the fault restarts a box, which then loses its state in memory.
    pub const fn restarts_box(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Terminate(_))
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// Start, from the beginning of the fault phase.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
    /// Time until the fault is undone; faults that are not undone ignore it.
    pub lasts: Duration,
}

/// Faults per second, without notices and restores.
const FAULTS_PER_SECOND: f64 = 3.0;
/// Additional faults per second in which a server announces that it leaves or asks for pauses.
const NOTICES_PER_SECOND: f64 = 0.7;
/// Additional restores of the store from a backup per second.
const RESTORES_PER_SECOND: f64 = 0.3;

/// Additional cuts between a box and all servers per second.
const SERVER_CUTS_PER_SECOND: f64 = 0.7;

/// Draws a plan, sorted by start. Any change to the order of draws changes the plan of every seed.
pub fn plan(rng: &mut ChaCha8Rng, size: Size) -> Vec<Planned> {
    let Size {
        boxes,
        servers,
        fault_duration: length,
        cuts_servers,
    } = size;
    let count = (length.as_secs_f64() * FAULTS_PER_SECOND).ceil() as usize;
    let mut plan: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at: length.mul_f64(rng.random()),
            fault: draw_fault(rng, boxes, servers),
            lasts: Duration::from_millis(rng.random_range(100..2_500)),
        })
        .collect();
    // Notices and restores are drawn last, so that the other faults of a seed stay the same.
    let notices = (length.as_secs_f64() * NOTICES_PER_SECOND).ceil() as usize;
    plan.extend((0..notices).map(|_| Planned {
        at: length.mul_f64(rng.random()),
        fault: draw_notice(rng, servers),
        lasts: Duration::from_millis(rng.random_range(500..4_000)),
    }));
    let restores = (length.as_secs_f64() * RESTORES_PER_SECOND).ceil() as usize;
    plan.extend((0..restores).map(|_| Planned {
        at: length.mul_f64(rng.random()),
        fault: Fault::ReturnFromCopy,
        lasts: Duration::from_millis(rng.random_range(100..3_000)),
    }));
    let cuts = (length.as_secs_f64() * SERVER_CUTS_PER_SECOND).ceil() as usize;
    let cuts = if cuts_servers { cuts } else { 0 };
    plan.extend((0..cuts).map(|_| Planned {
        at: length.mul_f64(rng.random()),
        fault: Fault::BoxLinks(rng.random_range(0..boxes), draw_cut(rng)),
        lasts: Duration::from_millis(rng.random_range(100..4_000)),
    }));
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn draw_notice(rng: &mut ChaCha8Rng, servers: usize) -> Fault {
    let server = rng.random_range(0..servers);
    if rng.random() {
        Fault::SayLeaving(server)
    } else {
        Fault::Shed(server)
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, boxes: usize, servers: usize) -> Fault {
    let a_box = rng.random_range(0..boxes);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..15) {
        0 | 1 => Fault::ServerLink(server, draw_link(rng)),
        2 => Fault::StoreLink(draw_link(rng)),
        3 => Fault::StoreMode(
            [Mode::Busy, Mode::TooMany, Mode::Reset, Mode::Silent][rng.random_range(0..4)],
        ),
        4 => Fault::LoseAnswers(rng.random_range(1..4)),
        5 => Fault::ForgetHistory,
        6 => Fault::Lapse(server),
        7 => Fault::Leave(server),
        8 | 9 => Fault::Misbehave(server, draw_behaviour(rng), rng.random_range(1..20)),
        10 => Fault::Kill(a_box),
        11 => Fault::Terminate(a_box),
        12 => Fault::Freeze(a_box),
        13 => Fault::Hangup(a_box),
        _ => Fault::NewRoutes,
    }
}

fn draw_link(rng: &mut ChaCha8Rng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Delayed(Duration::from_millis(rng.random_range(5..400))),
        1 => Link::Reset,
        2 => Link::CutThere,
        3 => Link::CutBack,
        _ => Link::Silent,
    }
}

fn draw_cut(rng: &mut ChaCha8Rng) -> Link {
    [Link::Dropped, Link::Refused, Link::NewRefused][rng.random_range(0..3)]
}

fn draw_behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    let after = rng.random_range(0..4);
    let all = [
        Behaviour::Decline,
        Behaviour::Misdirect,
        Behaviour::Fail,
        Behaviour::CloseUnanswered,
        Behaviour::CloseInBody,
        Behaviour::BreakAfter(after),
        Behaviour::SilentAfter(after),
        Behaviour::ForeignId,
        Behaviour::NoProof,
        Behaviour::AnswerTwice,
        Behaviour::Unframed,
        Behaviour::Garbage,
        Behaviour::Silent,
    ];
    all[rng.random_range(0..all.len())]
}
