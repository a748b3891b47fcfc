//! Long prompts that wait at a box until engines can read them soon.
//!
//! Engines are sent little more than they can read at once, so the order is still open here.
//! Those that can be on time go first, the shortest reading before longer: most prompts are
//! on time so. One that is late already goes when nothing else waits, and is given up while
//! its caller can still come back.

use std::time::Duration;

use crate::time::Time;

/// How long after its objective a prompt waits on, as a multiple of that; then it is refused.
const LATE_PART_OF_OBJECTIVE: f64 = 1.0;
/// Time that reading and writing need at least; a prompt with less left is refused.
const LEAST_RUN: Duration = Duration::from_secs(2);

/// Identifies a waiting prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A prompt that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Reading, by one engine alone.
    pub read: Duration,
    /// When its first event is due to be on time.
    pub due: Time,
    /// Its objective, as a length of time.
    pub objective: Duration,
    /// When its answer must be whole.
    pub deadline: Time,
}

impl Waiting {
    /// When it is given up.
    pub fn given_up_at(&self) -> Time {
        let late = self.objective.mul_f64(LATE_PART_OF_OBJECTIVE);
        let last = self
            .deadline
            .as_micros()
            .saturating_sub(LEAST_RUN.as_micros() as u64);
        (self.due + late).min(Time::from_micros(last))
    }

    const fn rank(&self, now: Time) -> (bool, Duration) {
        let is_late = now.as_micros() > self.due.as_micros();
        (is_late, self.read)
    }
}

/// The waiting prompts of one box.
#[derive(Debug, Default)]
pub struct LongQueue {
    next: u64,
    rows: Vec<(Ticket, Waiting)>,
}

impl LongQueue {
    /// Lets a prompt wait.
    pub fn push(&mut self, waiting: Waiting) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.rows.push((ticket, waiting));
        ticket
    }

    /// Takes a prompt out.
    pub fn remove(&mut self, ticket: Ticket) {
        self.rows.retain(|(row, _)| *row != ticket);
    }

    /// Whether it is this prompt's turn.
    pub fn is_first(&self, now: Time, ticket: Ticket) -> bool {
        let first = self.rows.iter().min_by_key(|(row, waiting)| {
            let (is_late, read) = waiting.rank(now);
            (is_late, read, *row)
        });
        first.is_some_and(|(row, _)| *row == ticket)
    }

    /// Prompts that wait.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
