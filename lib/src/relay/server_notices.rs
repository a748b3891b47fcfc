//! What servers say of the calls they take: limits, and that they leave.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::call_rate::CallRate;
use crate::relay::leaving_servers::LeavingServers;
use crate::relay::server_limits::LimitChange;
use crate::relay::server_limits::LimitRow;
use crate::relay::server_limits::ServerLimits;
use crate::relay::standing::Standing;
use crate::relay::stated::Stated;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// What one answer says of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The calls a second that it takes from all boxes together.
    pub limit: Stated<CallRate>,
    /// Whether it leaves: it finishes what it has and takes nothing new in this life.
    pub leaving: Stated<bool>,
    /// How long it wants nothing from the box that it turned away.
    pub retry_after: Stated<Duration>,
}

/// What one box tells another of servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeRows {
    /// Those that name a limit, or did.
    pub limits: Vec<LimitRow>,
    /// Those that leave.
    pub leaving: Vec<ServerLife>,
}

/// What is new by a notice or by rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// Limits that began, changed or ended.
    pub limits: Vec<LimitChange>,
    /// Servers that leave.
    pub leaving: Vec<ServerLife>,
}

/// What servers said, by their lives.
#[derive(Debug, Default)]
pub struct ServerNotices {
    /// Servers that say how many calls they take.
    pub limits: ServerLimits,
    /// Servers that leave.
    pub leaving: LeavingServers,
}

impl ServerNotices {
    /// Takes what an answer of the server says, which came now. An answer without the server's proof of
    /// it may lack a limit for other reasons than that there is none.
    pub fn answered(
        &mut self,
        now: Time,
        life: ServerLife,
        notice: &Notice,
        has_proof: bool,
    ) -> NoticeChanges {
        let mut changes = NoticeChanges::default();
        if has_proof || notice.limit != Stated::Absent {
            let change = self.limits.answered(now, life, notice.limit);
            changes.limits.extend(change);
        }
        if notice.leaving == Stated::Value(true) && self.leaving.note(now, life) {
            changes.leaving.push(life);
        }
        changes
    }

    /// Takes what another box tells.
    pub fn take_rows(&mut self, now: Time, rows: &NoticeRows) -> NoticeChanges {
        let leaving = rows.leaving.iter().copied();
        NoticeChanges {
            limits: self.limits.take_rows(now, &rows.limits),
            leaving: leaving
                .filter(|life| self.leaving.note(now, *life))
                .collect(),
        }
    }

    /// Whether a server takes a call of this box now.
    pub fn standing(&self, now: Time, life: ServerLife) -> Standing {
        if self.leaving.holds(life) {
            return Standing::Leaving;
        }
        self.limits.standing(now, life)
    }

    /// How long until a server takes a call of this box; `None` if it never does in this life.
    pub fn opens_in(&self, now: Time, life: ServerLife) -> Option<Duration> {
        match self.standing(now, life) {
            Standing::Open | Standing::Limited => Some(Duration::ZERO),
            Standing::Closed => Some(self.limits.closed_for(now, life)),
            Standing::Leaving => None,
        }
    }

    /// What to tell other boxes now.
    pub fn rows(&mut self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.rows(now),
            leaving: self.leaving.rows(now),
        }
    }

    /// Everything, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.all_rows(now),
            leaving: self.leaving.all_rows(),
        }
    }
}
