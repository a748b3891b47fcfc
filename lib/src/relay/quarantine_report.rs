//! What boxes report to each other about quarantined and suspect requests and parts.

use std::cmp::Reverse;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::quarantine::Quarantine;
use crate::relay::quarantine::QuarantineChange;
use crate::relay::round_robin;
use crate::relay::signed_time::SignedTime;
use crate::relay::suspect_key::SuspectKey;
use crate::relay::suspect_record::Crash;
use crate::relay::suspect_record::CrashRow;
use crate::relay::suspect_record::CrashSpan;
use crate::relay::suspect_record::RUN_REPORT_TTL;
use crate::relay::suspect_record::SuspectRecord;
use crate::relay::suspect_record::SuspectStatus;
use crate::time::Time;

/// Maximum number of rows per datagram for records that changed recently or run here, at some 60
/// of its 1,400 bytes each.
const MAX_RECENT_ROWS: usize = 6;
/// Maximum number of rows per datagram for the other records, sent in rotation for boxes that
/// missed earlier reports.
const MAX_ROTATED_ROWS: usize = 1;
/// Maximum number of crashes per row: enough for a quarantine even if some of them were
/// simultaneous.
const MAX_CRASHES_PER_ROW: usize = 5;
/// Maximum number of rows for a box that has just started.
const MAX_INITIAL_ROWS: usize = 64;

/// What a box or hall reports to others about a request or part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The request or part.
    pub key: SuspectKey,
    /// Position of the part in its prompts, the highest one seen; 0 for a request.
    pub position: u8,
    /// Latest crashes that count.
    pub crashes: Vec<CrashRow>,
    /// Milliseconds since the first and the last crash of the latest quarantine, unless a
    /// successful run cleared it or it expired.
    pub quarantined: Option<(u32, u32)>,
    /// Milliseconds since an operator released it.
    pub released: Option<u32>,
    /// Milliseconds since its latest successful run.
    pub succeeded: Option<u32>,
    /// Whether the sender has a run in progress.
    pub running: bool,
}

/// Whose runs a report covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunScope {
    /// Runs of the sending box.
    Box,
    /// Runs of all boxes of the sender's hall, reported to another hall.
    Hall,
}

impl Quarantine {
    /// Merges rows reported by another box or hall, named `from`.
    pub fn merge_rows(
        &mut self,
        now: Time,
        scope: RunScope,
        from: &str,
        rows: &[QuarantineRow],
    ) -> Vec<QuarantineChange> {
        let changes = rows.iter().map(|row| self.merge_row(now, scope, from, row));
        changes.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn merge_row(
        &mut self,
        now: Time,
        scope: RunScope,
        from: &str,
        row: &QuarantineRow,
    ) -> Option<QuarantineChange> {
        let ago = |millis: u32| SignedTime::before_now(now, millis);
        let is_cleared = self.status(now, row.key) == SuspectStatus::Cleared;
        self.change(now, row.key, |record| {
            // The sender missed a successful run that this box knows of: report it again.
            let has_crashes = !row.crashes.is_empty() || row.quarantined.is_some();
            let is_behind = has_crashes && record.success > row.succeeded.map(ago);
            if is_behind && is_cleared {
                record.mark_changed(now);
            }
            record.position = record.position.max(row.position);
            for crash in &row.crashes {
                record.add_crash(Crash::from_row(now, *crash));
            }
            let quarantine = row.quarantined.map(|(first, last)| CrashSpan {
                first: ago(first),
                last: ago(last),
            });
            record.quarantine = record.quarantine.max(quarantine);
            record.released = record.released.max(row.released.map(ago));
            record.success = record.success.max(row.succeeded.map(ago));
            // A run stays in progress if the sender omits its row: a datagram holds only a few of
            // many rows.
            let running = match scope {
                RunScope::Box => &mut record.running_boxes,
                RunScope::Hall => &mut record.running_halls,
            };
            if row.running {
                running.insert(from.to_owned(), now);
            } else {
                running.remove(from);
            }
        })
    }

    /// Rows for the next datagram. First come records with a change that no datagram has reported
    /// yet, the ones with the most crashes first, then suspect ones that run here, then others that
    /// changed recently, and then one of the other records that are not cleared, in rotation.
    pub fn rows(&mut self, now: Time, scope: RunScope) -> Vec<QuarantineRow> {
        if self.records.is_empty() {
            return Vec::new();
        }
        self.drop_expired(now);
        self.update_explained(now);
        let runs = |key: &SuspectKey, record: &SuspectRecord| {
            self.runs_in(now, scope, *key, record)
                && self.status(now, *key) != SuspectStatus::Cleared
        };
        let is_recent = |key: &SuspectKey, record: &SuspectRecord| {
            runs(key, record) || now.since(record.changed) < RUN_REPORT_TTL
        };
        let (mut recent, mut rest): (Vec<_>, Vec<_>) =
            (self.records.iter()).partition::<Vec<_>, _>(|(key, record)| is_recent(key, record));
        rest.retain(|(key, _)| self.status(now, **key) != SuspectStatus::Cleared);
        recent.sort_by_cached_key(|(key, record)| {
            (
                record.reported[scope as usize],
                !runs(key, record),
                Reverse(self.crash_count(now, **key)),
                Reverse(key.kind()),
                now.since(record.changed),
            )
        });
        recent.truncate(MAX_RECENT_ROWS);
        let rotated =
            round_robin::next_in_rotation(&rest, self.rotation_cursor.as_ref(), MAX_ROTATED_ROWS);
        let selected = recent.iter().chain(&rotated);
        let rows: Vec<_> = selected
            .map(|(key, record)| self.row(now, scope, **key, record))
            .collect();
        self.rotation_cursor = rotated.last().map(|(key, _)| **key);
        for row in &rows {
            if let Some(record) = self.records.get_mut(&row.key) {
                record.reported[scope as usize] = true;
            }
        }
        rows
    }

    /// Whether a recent change has not been reported in this scope yet.
    pub fn has_unreported(&self, now: Time, scope: RunScope) -> bool {
        self.records.values().any(|record| {
            !record.reported[scope as usize] && now.since(record.changed) < RUN_REPORT_TTL
        })
    }

    /// Rows for a box that has just started: those with the most crashes.
    pub fn initial_rows(&self, now: Time) -> Vec<QuarantineRow> {
        let records = self.records.iter();
        let mut suspects: Vec<_> = records
            .filter(|(key, _)| {
                self.status(now, **key) != SuspectStatus::Cleared || self.counted(now, **key) > 0
            })
            .collect();
        suspects.sort_by_cached_key(|(key, _)| {
            Reverse((self.crash_count(now, **key), self.counted(now, **key)))
        });
        suspects.truncate(MAX_INITIAL_ROWS);
        let rows = suspects.into_iter();
        rows.map(|(key, record)| self.row(now, RunScope::Box, *key, record))
            .collect()
    }

    fn runs_in(&self, now: Time, scope: RunScope, key: SuspectKey, record: &SuspectRecord) -> bool {
        let runs_in_hall = scope == RunScope::Hall && record.runs_at_boxes(now);
        runs_in_hall || self.runs.contains_key(&key)
    }

    fn row(
        &self,
        now: Time,
        scope: RunScope,
        key: SuspectKey,
        record: &SuspectRecord,
    ) -> QuarantineRow {
        let counted: Vec<_> = record.counted_crashes(now, &self.explained).collect();
        let newest = counted.iter().rev().take(MAX_CRASHES_PER_ROW);
        QuarantineRow {
            key,
            position: record.position,
            crashes: newest.map(|crash| crash.row(now)).collect(),
            quarantined: (record
                .quarantine
                .filter(|_| record.quarantined_at(now).is_some()))
            .map(|span| (span.first.age_ms(now), span.last.age_ms(now))),
            released: record.released.map(|at| at.age_ms(now)),
            succeeded: record.success.map(|at| at.age_ms(now)),
            running: self.runs_in(now, scope, key, record),
        }
    }
}
