//! The plan of a seed, and how each fault is brought about.

use std::time::Duration;

use badgerferry_standin::server::Behaviour;
use badgerferry_standin::store::Mode;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Link;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The way to a server changes.
    ServerLink(usize, Link),
    /// The way to the store changes.
    StoreLink(Link),
    /// The store treats calls otherwise.
    StoreMode(Mode),
    /// The store carries out writes without answering.
    LoseAnswers(u32),
    /// The store forgets its history.
    ForgetHistory,
    /// The store comes back from a copy that it kept when the fault began, and what operators and
    /// servers wrote since is written again some time later.
    ReturnFromCopy,
    /// A server's entry lapses and comes back.
    Lapse(usize),
    /// A server says that it leaves, and comes back later.
    Leave(usize),
    /// A server says in its answers that it leaves, ends, and starts again under its name.
    SayLeaving(usize),
    /// A server turns all calls away and asks for a pause each time.
    Shed(usize),
    /// A server does this with its next calls.
    Misbehave(usize, Behaviour, usize),
    /// A box is killed and started again.
    Kill(usize),
    /// A box is stopped in order and started again.
    Terminate(usize),
    /// A box stands still.
    Freeze(usize),
    /// A box is told that its settings file changed.
    Hangup(usize),
    /// A new version of the routes.
    NewRoutes,
}

impl Fault {
    /// Whether a box forgets what it knew.
    pub const fn starts_a_box(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Terminate(_))
    }
}

/// A fault, when it comes and how long it lasts.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// From the beginning of the faults.
    pub at: Duration,
    /// What goes wrong.
    pub fault: Fault,
    /// How long.
    pub lasts: Duration,
}

/// Faults a second, on average.
const RATE: f64 = 3.0;
/// Besides, servers that say in their answers that they leave, or ask for pauses.
const NOTICE_RATE: f64 = 0.7;
/// Besides, returns of the store from a copy.
const RETURN_RATE: f64 = 0.3;

/// Draws a plan.
pub fn plan(rng: &mut ChaCha8Rng, length: Duration, boxes: usize, servers: usize) -> Vec<Planned> {
    let count = (length.as_secs_f64() * RATE).ceil() as usize;
    let mut rows: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at: length.mul_f64(rng.random()),
            fault: draw(rng, boxes, servers),
            lasts: Duration::from_millis(rng.random_range(100..2_500)),
        })
        .collect();
    // Drawn after the others, which stay what they are for a seed.
    let notices = (length.as_secs_f64() * NOTICE_RATE).ceil() as usize;
    rows.extend((0..notices).map(|_| Planned {
        at: length.mul_f64(rng.random()),
        fault: draw_notice(rng, servers),
        lasts: Duration::from_millis(rng.random_range(500..4_000)),
    }));
    let returns = (length.as_secs_f64() * RETURN_RATE).ceil() as usize;
    rows.extend((0..returns).map(|_| Planned {
        at: length.mul_f64(rng.random()),
        fault: Fault::ReturnFromCopy,
        lasts: Duration::from_millis(rng.random_range(100..3_000)),
    }));
    rows.sort_by_key(|row| row.at);
    rows
}

fn draw_notice(rng: &mut ChaCha8Rng, servers: usize) -> Fault {
    let server = rng.random_range(0..servers);
    if rng.random() {
        Fault::SayLeaving(server)
    } else {
        Fault::Shed(server)
    }
}

fn draw(rng: &mut ChaCha8Rng, boxes: usize, servers: usize) -> Fault {
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
