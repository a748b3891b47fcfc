//! The boxes and servers of the model.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use badgerferry_lib::relay::quarantine;
use badgerferry_lib::relay::quarantine::Quarantine;
use badgerferry_lib::relay::quarantine::QuarantineRow;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_lib::time::Time;

/// Halls, in which boxes lie in turn.
const HALLS: usize = 3;

fn name(at: usize) -> String {
    format!("box-{at:04}")
}

/// In which order boxes take turns; worked out once for each work, which many boxes ask about.
#[derive(Debug)]
pub(super) struct Ranks {
    names: Vec<String>,
    by_work: RefCell<HashMap<(SuspectKey, usize), usize>>,
}

impl Ranks {
    pub(super) fn new(boxes: usize) -> Self {
        Self {
            names: (0..boxes).map(name).collect(),
            by_work: RefCell::default(),
        }
    }

    pub(super) fn rank(&self, work: SuspectKey, at: usize) -> usize {
        let names = &self.names;
        let rank = || quarantine::rank(work, &names[at], names.iter().map(String::as_str));
        *self
            .by_work
            .borrow_mut()
            .entry((work, at))
            .or_insert_with(rank)
    }
}

/// A box: what it knows, and whom it hears.
#[derive(Debug)]
pub(super) struct CrashBox {
    pub(super) name: String,
    pub(super) hall: usize,
    pub(super) is_cut_off: bool,
    pub(super) known: Quarantine,
    /// When it last told the other halls.
    pub(super) last_far: Time,
    /// Whether its last datagram told of any work.
    told: bool,
}

impl CrashBox {
    pub(super) fn new(at: usize, is_cut_off: bool) -> Self {
        Self {
            name: name(at),
            hall: at % HALLS,
            is_cut_off,
            known: Quarantine::default(),
            last_far: Time::ZERO,
            told: false,
        }
    }

    /// Starts anew and knows nothing; its runs go on in the model, as their ends are not its own.
    pub(super) fn restart(&mut self) {
        self.known = Quarantine::default();
        self.told = false;
    }

    /// What it tells now; none where there is no news, not even that a run is over.
    pub(super) fn rows(&mut self, now: Time, of: RunScope) -> Option<Rc<Vec<QuarantineRow>>> {
        let rows = self.known.rows(now, of);
        let had_told = std::mem::replace(&mut self.told, !rows.is_empty());
        (had_told || self.told).then(|| Rc::new(rows))
    }
}

/// A server in one of its lives.
#[derive(Debug, Clone)]
pub(super) struct Server {
    pub(super) lives: bool,
    pub(super) life: u64,
    /// Calls that run there.
    pub(super) runs: Vec<usize>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            lives: true,
            life: 0,
            runs: Vec::new(),
        }
    }
}

impl Server {
    /// Ends its life; gives back the calls that ran.
    pub(super) fn end(&mut self) -> Vec<usize> {
        self.lives = false;
        std::mem::take(&mut self.runs)
    }

    pub(super) const fn start(&mut self) {
        self.lives = true;
        self.life += 1;
    }
}
