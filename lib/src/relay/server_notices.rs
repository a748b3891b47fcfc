//! Notices of servers about the calls they accept: call limits, requested pauses, leaving, and that
//! they are cold.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::availability::Availability;
use crate::relay::call_quota::ColdTolerance;
use crate::relay::call_quota::QuotaShares;
use crate::relay::call_quota::QuotaTerms;
use crate::relay::call_rate::CallRate;
use crate::relay::cold_servers::ColdChange;
use crate::relay::cold_servers::ColdRow;
use crate::relay::cold_servers::ColdServers;
use crate::relay::leaving_servers::LeavingServers;
use crate::relay::parsed_header::ParsedHeader;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::server_limits::LimitChange;
use crate::relay::server_limits::LimitRow;
use crate::relay::server_limits::ServerLimits;
use crate::relay::shedding_servers::ShedRow;
use crate::relay::shedding_servers::SheddingServers;
use crate::time::Time;

/// Notice in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Limit of calls per second from all boxes together.
    pub limit: ParsedHeader<CallRate>,
    /// Whether the server is leaving: it finishes its current work and accepts nothing new in this
    /// incarnation.
    pub leaving: ParsedHeader<bool>,
    /// Pause requested from the box whose call was rejected.
    pub retry_after: ParsedHeader<Duration>,
    /// How much longer the server is cold; zero if it is warm.
    pub cold_for: ParsedHeader<Duration>,
}

/// Notices as gossiped between boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeRows {
    /// Stated and lifted limits.
    pub limits: Vec<LimitRow>,
    /// Leaving servers.
    pub leaving: Vec<ServerIncarnation>,
    /// Pauses requested from the sending box.
    pub shedding: Vec<ShedRow>,
    /// Cold servers.
    pub cold: Vec<ColdRow>,
}

/// Changes caused by a notice or by gossiped rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// New, changed and lifted limits.
    pub limits: Vec<LimitChange>,
    /// Servers that started leaving.
    pub leaving: Vec<ServerIncarnation>,
    /// Servers that started to shed load.
    pub shedding: Vec<ServerIncarnation>,
    /// Servers that shed load before and accept calls again.
    pub recovered: Vec<ServerIncarnation>,
    /// Servers that became cold or warm.
    pub cold: Vec<ColdChange>,
}

/// Latest notices by server incarnation.
#[derive(Debug, Default)]
pub struct ServerNotices {
    /// Call limits.
    pub limits: ServerLimits,
    /// Leaving servers.
    pub leaving: LeavingServers,
    /// Servers that shed load.
    pub shedding: SheddingServers,
    /// Cold servers.
    pub cold: ColdServers,
}

impl ServerNotices {
    /// Records the notice in a response received now. A missing limit header lifts the limit only
    /// if the response proves that it comes from the server itself (`has_proof`): otherwise the
    /// header may be missing for other reasons.
    pub fn record_response(
        &mut self,
        now: Time,
        incarnation: ServerIncarnation,
        notice: &Notice,
        has_proof: bool,
    ) -> NoticeChanges {
        let mut changes = NoticeChanges::default();
        if has_proof || notice.limit != ParsedHeader::Absent {
            let change = self.limits.record_response(now, incarnation, notice.limit);
            changes.limits.extend(change);
        }
        let cold = self
            .cold
            .record_response(now, incarnation, notice.cold_for, has_proof);
        changes.cold.extend(cold);
        if notice.leaving == ParsedHeader::Value(true) && self.leaving.insert(now, incarnation) {
            changes.leaving.push(incarnation);
        }
        match notice.retry_after {
            ParsedHeader::Value(pause) if self.shedding.record_shed(now, incarnation, pause) => {
                changes.shedding.push(incarnation);
            }
            ParsedHeader::Absent if self.shedding.record_accepted(now, incarnation) => {
                changes.recovered.push(incarnation);
            }
            ParsedHeader::Value(_) | ParsedHeader::Absent | ParsedHeader::Unreadable => {}
        }
        changes
    }

    /// Merges notices gossiped by another box.
    pub fn merge_rows(&mut self, now: Time, rows: &NoticeRows) -> NoticeChanges {
        let leaving = rows.leaving.iter().copied();
        NoticeChanges {
            limits: self.limits.merge_rows(now, &rows.limits),
            leaving: leaving
                .filter(|incarnation| self.leaving.insert(now, *incarnation))
                .collect(),
            shedding: self.shedding.merge_rows(now, &rows.shedding),
            recovered: Vec::new(),
            cold: self.cold.merge_rows(now, &rows.cold),
        }
    }

    /// Calls per second that a server accepts from all boxes together: the lower of the limit that it
    /// states and, while it is cold, the cold rate of its service.
    pub fn limit(&self, now: Time, incarnation: ServerIncarnation) -> Option<CallRate> {
        let stated = self.limits.limit(incarnation);
        let cold = self.cold.limit(now, incarnation);
        stated.into_iter().chain(cold).min()
    }

    /// Terms on which an owner with these shares grants calls to a server: the stricter of
    /// those for the limit that it states and those for a cold server. `None` without a limit.
    pub fn quota_terms(
        &self,
        now: Time,
        incarnation: ServerIncarnation,
        shares: QuotaShares,
        tolerance: ColdTolerance,
    ) -> Option<QuotaTerms> {
        let stated = self.limits.limit(incarnation);
        let stated = stated.map(|limit| QuotaTerms::stated(limit, shares.stated));
        let cold = self.cold.limit(now, incarnation);
        let cold = cold.map(|limit| QuotaTerms::cold(limit, shares.cold, tolerance));
        let terms = stated.into_iter().chain(cold);
        terms.min_by_key(|terms| (terms.rate, terms.allows_bursts))
    }

    /// What the owner of a server's quota must know to grant its calls; `None` without a limit.
    pub fn quota_rows(&self, now: Time, incarnation: ServerIncarnation) -> Option<NoticeRows> {
        self.limit(now, incarnation)?;
        Some(NoticeRows {
            limits: Vec::from_iter(self.limits.row_of(now, incarnation)),
            cold: Vec::from_iter(self.cold.row_of(now, incarnation)),
            ..NoticeRows::default()
        })
    }

    /// Availability of a server to this box.
    pub fn availability(&self, now: Time, incarnation: ServerIncarnation) -> Availability {
        if self.leaving.contains(incarnation) {
            return Availability::Leaving;
        }
        let limit = self.limit(now, incarnation);
        let by_limit = self.limits.availability_at(now, incarnation, limit);
        by_limit.max(self.shedding.availability(now, incarnation))
    }

    /// Availability for a call that another server has already rejected or lost. Such a call does
    /// not probe a server after its pause.
    pub fn availability_for_retry(
        &self,
        now: Time,
        incarnation: ServerIncarnation,
    ) -> Availability {
        match self.availability(now, incarnation) {
            Availability::Open if self.shedding.awaits_probe(now, incarnation) => {
                Availability::Shedding
            }
            availability => availability,
        }
    }

    /// Time until a server accepts a call of this box, by its own notices; `None` if it is leaving.
    pub fn available_in(&self, now: Time, incarnation: ServerIncarnation) -> Option<Duration> {
        match self.availability(now, incarnation) {
            Availability::Open | Availability::Limited | Availability::Shedding => {
                Some(Duration::ZERO)
            }
            Availability::Closed | Availability::BackOff => {
                let closed_for = self.limits.closed_for(now, incarnation);
                Some(closed_for.max(self.shedding.pause_remaining(now, incarnation)))
            }
            Availability::Evacuated | Availability::Leaving => None,
        }
    }

    /// Notices for the next datagram to other boxes.
    pub fn rows(&mut self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.rows(now),
            leaving: self.leaving.rows(now),
            shedding: self.shedding.rows(now),
            cold: self.cold.rows(now),
        }
    }

    /// All notices, for a box that has just started.
    pub fn all_rows(&self, now: Time) -> NoticeRows {
        NoticeRows {
            limits: self.limits.all_rows(now),
            leaving: self.leaving.all_rows(),
            shedding: self.shedding.rows(now),
            cold: self.cold.all_rows(now),
        }
    }
}
