//! What the crash records say about a request or part: its status, the crashes that count, and the
//! runs in progress that concern it.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::relay::quarantine::Quarantine;
use crate::relay::request_fingerprint::ServerIncarnation;
use crate::relay::suspect_key::PartFingerprint;
use crate::relay::suspect_key::SuspectKey;
use crate::relay::suspect_record;
use crate::relay::suspect_record::Crash;
use crate::relay::suspect_record::QUARANTINE_MIN_CRASHES;
use crate::relay::suspect_record::QUARANTINE_PERIOD;
use crate::relay::suspect_record::SuspectStatus;
use crate::time::Time;

impl Quarantine {
    /// Status of a request or part.
    pub fn status(&self, now: Time, key: SuspectKey) -> SuspectStatus {
        let record = self.records.get(&key);
        let quarantined_at = record.and_then(|record| record.quarantined_at(now));
        match (record, quarantined_at) {
            (Some(record), Some(at))
                if at.age(now) < QUARANTINE_PERIOD && record.released < Some(at) =>
            {
                SuspectStatus::Quarantined
            }
            (_, Some(_)) => SuspectStatus::Suspect,
            (_, None) if self.other_workspaces(now, key) >= QUARANTINE_MIN_CRASHES => {
                SuspectStatus::Quarantined
            }
            (_, None) if self.crash_count(now, key) > 0 => SuspectStatus::Suspect,
            (_, None) => SuspectStatus::Cleared,
        }
    }

    /// Number of crashes that count; those of each other workspace count as one.
    pub(super) fn crash_count(&self, now: Time, key: SuspectKey) -> usize {
        let record = self.records.get(&key);
        let own = record.map_or(0, |record| record.crash_count(now, &self.explained));
        own + self.other_workspaces(now, key)
    }

    /// Number of crashes in other workspaces that count against a part: one of each workspace, and
    /// none that another one or the own workspace counts as well.
    pub(super) fn other_workspaces(&self, now: Time, key: SuspectKey) -> usize {
        let crashes = self.crashes_elsewhere(now, key);
        if crashes.is_empty() {
            return 0;
        }
        let record = self.records.get(&key).into_iter();
        let own = record.flat_map(|record| record.counted_crashes(now, &self.explained));
        let own: Vec<ServerIncarnation> = own.map(|crash| crash.incarnation).collect();
        let crashes = crashes.into_iter();
        suspect_record::count_separate(crashes.filter(|it| !own.contains(&it.incarnation)))
    }

    /// The last certain crash of each other workspace, in order of time. Only those count that came after
    /// the last successful run with the part in any workspace.
    fn crashes_elsewhere(&self, now: Time, key: SuspectKey) -> Vec<&Crash> {
        let Some(part) = same_part(key) else {
            return Vec::new();
        };
        let records = self.records.range(part);
        let success = records
            .clone()
            .filter_map(|(_, record)| record.success)
            .max();
        let others = records.filter(|(other, _)| **other != key);
        let last = others.filter_map(|(_, record)| {
            let crashes = record.certain_crashes(now, &self.explained);
            crashes.max_by_key(|crash| crash.at)
        });
        let mut crashes: Vec<&Crash> = last.filter(|crash| Some(crash.at) > success).collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Time since the last crash that counts.
    pub(super) fn since_last_crash(&self, now: Time, key: SuspectKey) -> Duration {
        let record = self.records.get(&key);
        let own = record.and_then(|record| record.last_crash(now, &self.explained));
        let elsewhere = self.crashes_elsewhere(now, key).into_iter();
        let last = own.into_iter().chain(elsewhere.map(|crash| crash.at)).max();
        last.map_or(Duration::MAX, |at| at.age(now))
    }

    pub(super) fn has_one_crash(&self, now: Time, key: SuspectKey) -> bool {
        let record = self.records.get(&key).into_iter();
        let own = record.flat_map(|record| record.counted_crashes(now, &self.explained));
        own.count() + self.other_workspaces(now, key) == 1
    }

    /// Keys whose runs concern a suspect key: those of the same part in all workspaces if their
    /// crashes count against it.
    fn related(&self, now: Time, key: SuspectKey) -> RangeInclusive<SuspectKey> {
        let part = same_part(key).filter(|_| !self.crashes_elsewhere(now, key).is_empty());
        part.unwrap_or(key..=key)
    }

    pub(super) fn runs_here(&self, now: Time, key: SuspectKey) -> u32 {
        let runs = self.runs.range(self.related(now, key));
        runs.map(|(_, runs)| runs).sum()
    }

    pub(super) fn runs_elsewhere(&self, now: Time, key: SuspectKey) -> bool {
        let mut records = self.records.range(self.related(now, key));
        records.any(|(_, record)| record.runs_elsewhere(now))
    }

    pub(super) fn runs_anywhere(&self, now: Time, key: SuspectKey) -> bool {
        self.runs_here(now, key) > 0 || self.runs_elsewhere(now, key)
    }
}

/// Keys of a part in all workspaces, or `None` for a request.
pub(super) fn same_part(key: SuspectKey) -> Option<RangeInclusive<SuspectKey>> {
    let SuspectKey::Part(part) = key else {
        return None;
    };
    let in_workspace = |workspace_digest| {
        SuspectKey::Part(PartFingerprint {
            workspace_digest,
            ..part
        })
    };
    Some(in_workspace(u32::MIN)..=in_workspace(u32::MAX))
}
