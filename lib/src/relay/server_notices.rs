//! What servers say of the calls they take: limits, pauses, and that they leave.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::call_rate::CallRate;
use crate::relay::leaving_servers::LeavingServers;
use crate::relay::parsed_header::ParsedHeader;
use crate::relay::server_limits::LimitChange;
use crate::relay::server_limits::LimitRow;
use crate::relay::server_limits::ServerLimits;
use crate::relay::shedding_servers::ShedRow;
use crate::relay::shedding_servers::SheddingServers;
use crate::relay::work_key::ServerLife;
use crate::time::Time;

/// What one answer says of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The calls a second that it takes from all boxes together.
    pub limit: ParsedHeader<CallRate>,
    /// Whether it leaves: it finishes what it has and takes nothing new in this incarnation.
    pub leaving: ParsedHeader<bool>,
    /// How long it wants nothing from the box that it turned away.
    pub retry_after: ParsedHeader<Duration>,
}

/// What one box tells another of servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeRows {
    /// Those that name a limit, or did.
    pub limits: Vec<LimitRow>,
    /// Those that leave.
    pub leaving: Vec<ServerLife>,
    /// Those that turned the box away.
    pub shedding: Vec<ShedRow>,
}

/// What is new by a notice or by rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// Limits that began, changed or ended.
    pub limits: Vec<LimitChange>,
    /// Servers that leave.
    pub leaving: Vec<ServerLife>,
    /// Servers that shed load.
    pub shedding: Vec<ServerLife>,
    /// Servers that shed load and take calls again.
    pub recovered: Vec<ServerLife>,
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
    pub fn record_response(
        &mut self,
        now: Time,
        incarnation: ServerLife,
        notice: &Notice,
        has_proof: bool,
    ) -> NoticeChanges {
        let mut changes = NoticeChanges::default();
        if has_proof || notice.limit != ParsedHeader::Absent {
            let change = self.limits.record_response(now, incarnation, notice.limit);
            changes.limits.extend(change);
        }
        if notice.leaving == ParsedHeader::Value(true) && self.leaving.insert(now, incarnation) {
            changes.leaving.push(incarnation);
        }
        match notice.retry_after {
            ParsedHeader::Value(pause) if self.shedding.record_shed(now, incarnation, pause) => {
                changes.shedding.push(incarnation);
            }
            ParsedHeader::Absent if self.shedding.record_accepted(now, incarnation) => {
                changes.recovered.push(incarnation)
            }
            ParsedHeader::Value(_) | ParsedHeader::Absent | ParsedHeader::Unreadable => {}
        }
        changes
    }

    /// Takes what another box tells.
    pub fn merge_rows(&mut self, now: Time, rows: &NoticeRows) -> NoticeChanges {
        let leaving = rows.leaving.iter().copied();
        NoticeChanges {
            limits: self.limits.merge_rows(now, &rows.limits),
            leaving: leaving
                .filter(|incarnation| self.leaving.insert(now, *incarnation))
                .collect(),
            shedding: self.shedding.merge_rows(now, &rows.shedding),
            recovered: Vec::new(),
        }
    }

    /// Whether a server takes a call of this box now.
    pub fn availability(&self, now: Time, incarnation: ServerLife) -> Availability {
        if self.leaving.contains(incarnation) {
            return Availability::Leaving;
        }
        let limit = self.limits.availability(now, incarnation);
        limit.max(self.shedding.availability(now, incarnation))
    }

    /// The same for a call that another server has turned away or lost: it is not the one to try a server
    /// after its pause.
    pub fn availability_for_retry(&self, now: Time, incarnation: ServerLife) -> Availability {
        match self.availability(now, incarnation) {
            Availability::Open if self.shedding.awaits_probe(now, incarnation) => {
                Availability::Shedding
            }
            availability => availability,
        }
    }

    /// How long until a server takes a call of this box; `None` if it never does in this incarnation.
    pub fn available_in(&self, now: Time, incarnation: ServerLife) -> Option<Duration> {
        match self.availability(now, incarnation) {
            Availability::Open | Availability::Limited | Availability::Shedding => {
                Some(Duration::ZERO)
            }
            Availability::Closed | Availability::BackOff => {
                let closed_for = self.limits.closed_for(now, incarnation);
                Some(closed_for.max(self.shedding.pause_remaining(now, incarnation)))
            }
            Availability::Leaving => None,
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
