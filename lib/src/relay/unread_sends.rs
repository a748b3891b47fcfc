//! Sends whose connection ended before any response.
//!
//! The end of a connection takes nothing back that already waits at the server: a process that stands still
//! reads the call once it goes on, with the time that was left when it was sent. Such a send is unread
//! until its server is known to have run since, or to be gone.

use std::collections::HashMap;

use crate::ids::ServerName;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::time::Time;

/// Maximum number of unread sends. Any beyond that count as settled at once.
pub const MAX_UNREAD_SENDS: usize = 4_096;

/// One life of a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerProcess {
    /// Name of the server.
    pub name: ServerName,
    /// Which of its lives.
    pub incarnation: ServerIncarnation,
}

/// Whether a process that has unread sends is known to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessLiveness {
    /// It has last sent anything at this time, if at all.
    HeardAt(Option<Time>),
    /// It has exited: what it had not read is lost.
    Exited,
}

/// A send that its server can't read any more.
#[derive(Debug, PartialEq, Eq)]
pub struct SettledSend<T> {
    /// When its connection ended.
    pub ended_at: Time,
    /// What was kept of it.
    pub send: T,
}

#[derive(Debug)]
struct UnreadSend<T> {
    ended_at: Time,
    /// After this, the call has ended wherever it is read.
    until: Time,
    send: T,
}

/// Unread sends by process; `T` is what is kept until a send is settled.
#[derive(Debug)]
pub struct UnreadSends<T> {
    by_process: HashMap<ServerProcess, Vec<UnreadSend<T>>>,
    count: usize,
}

impl<T> Default for UnreadSends<T> {
    fn default() -> Self {
        Self {
            by_process: HashMap::new(),
            count: 0,
        }
    }
}

impl<T> UnreadSends<T> {
    /// Keeps a send whose connection ended at `ended_at`, until `until` at the latest. Returns whether it is
    /// the first of its process, which has to be watched from now on. The send is dropped if there are too
    /// many.
    pub fn keep(&mut self, process: &ServerProcess, ended_at: Time, until: Time, send: T) -> bool {
        if self.count >= MAX_UNREAD_SENDS {
            return false;
        }
        self.count += 1;
        let kept = UnreadSend {
            ended_at,
            until,
            send,
        };
        let sends = self.by_process.entry(process.clone()).or_default();
        sends.push(kept);
        sends.len() == 1
    }

    /// Removes the settled sends of a process, and returns them.
    pub fn remove_settled(
        &mut self,
        now: Time,
        process: &ServerProcess,
        liveness: ProcessLiveness,
    ) -> Vec<SettledSend<T>> {
        let Some(sends) = self.by_process.remove(process) else {
            return Vec::new();
        };
        let is_settled = |send: &UnreadSend<T>| match liveness {
            ProcessLiveness::Exited => true,
            ProcessLiveness::HeardAt(heard) => {
                now >= send.until || heard.is_some_and(|heard| heard >= send.ended_at)
            }
        };
        let (settled, unread): (Vec<_>, Vec<_>) = sends.into_iter().partition(is_settled);
        self.count -= settled.len();
        if !unread.is_empty() {
            self.by_process.insert(process.clone(), unread);
        }
        let settled = settled.into_iter().map(|settled| SettledSend {
            ended_at: settled.ended_at,
            send: settled.send,
        });
        settled.collect()
    }

    /// Whether a process has unread sends.
    pub fn has_unread(&self, process: &ServerProcess) -> bool {
        self.by_process.contains_key(process)
    }

    /// Number of unread sends.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}
