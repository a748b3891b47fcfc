//! What servers say of the calls they take: limits, pauses, and that they leave.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::call_rate::CallRate;
use crate::relay::leaving_servers::LeavingServers;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::server_limits::LimitChange;
use crate::relay::server_limits::LimitRow;
use crate::relay::server_limits::ServerLimits;
use crate::relay::shedding_servers::ShedRow;
use crate::relay::shedding_servers::SheddingServers;
use crate::relay::standing::Standing;
use crate::relay::stated::Stated;
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
    pub leaving: Vec<ServerIncarnation>,
    /// Those that turned the box away.
    pub shedding: Vec<ShedRow>,
}

/// What is new by a notice or by rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// Limits that began, changed or ended.
    pub limits: Vec<LimitChange>,
    /// Servers that leave.
    pub leaving: Vec<ServerIncarnation>,
    /// Servers that shed load.
    pub shedding: Vec<ServerIncarnation>,
    /// Servers that shed load and take calls again.
    pub recovered: Vec<ServerIncarnation>,
}

/// What servers said, by their lives.
#[derive(Debug, Default)]
pub struct ServerNotices {
    /// Servers that say how many calls they take.
    pub limits: ServerLimits,
    /// Servers that leave.
    pub leaving: LeavingServers,
    /// Servers that shed load.
    pub shedding: SheddingServers,
}

impl ServerNotices {
    /// Takes what an answer of the server says, which came now. An answer without the server's proof of
    /// it may lack a limit for other reasons than that there is none.
    pub fn answered(
        &mut self,
        now: Time,
        life: ServerIncarnation,
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
        match notice.retry_after {
            Stated::Value(pause) if self.shedding.shed(now, life, pause) => {
                changes.shedding.push(life);
            }
            Stated::Absent if self.shedding.took(now, life) => changes.recovered.push(life),
            Stated::Value(_) | Stated::Absent | Stated::Unreadable => {}
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
            shedding: self.shedding.take_rows(now, &rows.shedding),
            recovered: Vec::new(),
        }
    }

    /// Whether a server takes a call of this box now.
    pub fn standing(&self, now: Time, life: ServerIncarnation) -> Standing {
        if self.leaving.holds(life) {
            return Standing::Leaving;
        }
        let limit = self.limits.standing(now, life);
        limit.max(self.shedding.standing(now, life))
    }

    /// The same for a call that another server has turned away or lost: it is not the one to try a server
    /// after its pause.
    pub fn standing_for_repeat(&self, now: Time, life: ServerIncarnation) -> Standing {
        match self.standing(now, life) {
            Standing::Open if self.shedding.awaits_trial(now, life) => Standing::Shedding,
            standing => standing,
        }
    }

    /// How long until a server takes a call of this box; `None` if it never does in this life.
    pub fn opens_in(&self, now: Time, life: ServerIncarnation) -> Option<Duration> {
        match self.standing(now, life) {
            Standing::Open | Standing::Limited | Standing::Shedding => Some(Duration::ZERO),
            Standing::Closed | Standing::BackOff => {
                let closed_for = self.limits.closed_for(now, life);
                Some(closed_for.max(self.shedding.left(now, life)))
            }
            Standing::Leaving => None,
        }
    }

    /// What to tell other boxes now.
    pub fn rows(&mut self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.rows(now),
            leaving: self.leaving.rows(now),
            shedding: self.shedding.rows(now),
        }
    }

    /// Everything, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.all_rows(now),
            leaving: self.leaving.all_rows(),
            shedding: self.shedding.rows(now),
        }
    }
}
