//! Which servers say how many calls they take, and since when.

use std::collections::HashMap;

use crate::relay::call_rate::CallRate;
use crate::relay::call_rate::LimitWord;
use crate::relay::work_key::ServerLife;

/// A server whose limit began, changed or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The server's life.
    pub life: ServerLife,
    /// What held before.
    pub before: Option<CallRate>,
    /// What holds now.
    pub now: Option<CallRate>,
}

/// Limits of servers by their lives.
#[derive(Debug, Default)]
pub struct ServerLimits {
    /// What each last said.
    words: HashMap<ServerLife, Option<CallRate>>,
}

impl ServerLimits {
    /// Takes what an answer of the server says.
    pub fn answered(&mut self, life: ServerLife, word: LimitWord) -> Option<LimitChange> {
        let now = match word {
            LimitWord::Limit(rate) => Some(rate),
            LimitWord::NoLimit if self.words.contains_key(&life) => None,
            LimitWord::NoLimit | LimitWord::Unreadable => return None,
        };
        let before = self.words.insert(life, now).flatten();
        (before != now).then_some(LimitChange { life, before, now })
    }
}
