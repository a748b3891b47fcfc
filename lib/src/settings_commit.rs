//! Commits one edit by compare-and-swap and determines whether it took effect.
//!
//! The state machine reads the head, builds the next one and swaps it at the version it
//! read. A response may be lost after the swap took effect, or the swap may still be in
//! flight. Two properties resolve this. A swap at a version takes effect only while the
//! head is at that version, so once the head has moved, the swap either produced the next
//! revision or never takes effect. While the head has not moved, sending an identical swap
//! again is safe, because at most one of the two can match that version.
//!
//! When operators commit concurrently, a swap that finds another version is rebuilt on the new
//! head. If an edit committed after the operator's base touched the same part of the tree, this
//! one is rejected and the error names the other; otherwise both are committed.

use std::time::Duration;

use crate::ids::EditId;
use crate::ids::Revision;
use crate::settings_head::Checkpoint;
use crate::settings_head::CheckpointRef;
use crate::settings_head::CommittedEdit;
use crate::settings_head::Edit;
use crate::settings_head::Head;
use crate::settings_head::HeadError;
use crate::settings_head::MAX_VALUE_BYTES;
use crate::settings_head::decode;
use crate::settings_head::encode;
use crate::settings_tree::SettingsTree;
use crate::settings_tree::TreeError;
use crate::time::Time;

/// First delay after a missing response; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay: short for a waiting operator, long enough to keep the load low in an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of swap conflicts after which the edit is rejected; eight concurrent operators cause
/// fewer.
const MAX_SWAP_CONFLICTS: u32 = 64;

/// Version of a key at the platform; zero if the key does not exist.
pub type Version = u64;

/// A value read from the platform, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the key.
    pub version: Version,
    /// `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
}

/// The platform did not respond; a write may have taken effect nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// The platform's response to a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResponse {
    /// The swap took effect.
    Swapped,
    /// The key was at another version.
    Conflict,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitEvent {
    /// The operator submitted the edit.
    Start,
    /// A key was read.
    Read(Result<Versioned, NoAnswer>),
    /// A checkpoint was written, or is known to exist already.
    Written(Result<(), NoAnswer>),
    /// Result of the swap of the head.
    Swapped(Result<SwapResponse, NoAnswer>),
    /// The backoff delay is over.
    BackoffElapsed,
}

/// Next action of the caller; exactly one is outstanding at a time.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitAction {
    /// Read the head.
    ReadHead,
    /// Read the checkpoint under this key.
    ReadCheckpoint(String),
    /// Write a checkpoint under a key that is unused or holds the same bytes.
    WriteCheckpoint {
        /// Key of the checkpoint.
        key: String,
        /// Encoded checkpoint.
        value: Vec<u8>,
    },
    /// Swap the head by compare-and-swap.
    SwapHead {
        /// Version that the key must be at.
        expect: Version,
        /// Encoded new head.
        value: Vec<u8>,
    },
    /// Wait, then send [`CommitEvent::BackoffElapsed`].
    Backoff(Duration),
    /// The commit has ended.
    Done(CommitOutcome),
}

/// Result of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The edit is committed and part of every later revision.
    Accepted(Accepted),
    /// The edit is not committed and never will be.
    Rejected(Rejection),
    /// The platform did not respond before the deadline; submitting the same id again is safe.
    Unknown,
    /// The platform did not respond before the deadline, and no swap was sent.
    NotSent,
}

/// A committed edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// The revision that the edit produced.
    pub revision: Revision,
}

/// Why an edit was rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// An edit committed after the base of this one changed the same part of the tree.
    #[error(
        "conflict with revision {} by {}: it changed the same node or key",
        .0.revision, .0.edit.author
    )]
    Conflict(Box<CommittedEdit>),
    /// The edit is not valid for the tree.
    #[error(transparent)]
    Tree(#[from] TreeError),
    /// The tree, with the edits that a checkpoint stores beside it, would exceed the platform's
    /// size limit for one value.
    #[error(
        "settings tree too large: {bytes} bytes, the limit of the platform is {MAX_VALUE_BYTES}"
    )]
    TooLarge {
        /// Size of the encoded tree.
        bytes: usize,
    },
    /// The edit alone exceeds the limits of a head.
    #[error("the edit is too large for one revision; split it into smaller edits")]
    EditTooLarge,
    /// Too many swaps of this edit failed because other edits were committed first.
    #[error("other edits were committed first {MAX_SWAP_CONFLICTS} times; try again")]
    TooManyConflicts,
    /// The stored head or checkpoint is invalid.
    #[error("stored settings are invalid: {0}")]
    InvalidStored(#[from] HeadError),
    /// The base is older than the retained history.
    #[error("base revision {0} is older than the retained history; read the tree again")]
    BaseTooOld(Revision),
}

#[derive(Debug)]
struct SwapAttempt {
    expected: Version,
    revision: Revision,
    value: Vec<u8>,
}

#[derive(Debug)]
enum Step {
    ReadingHead,
    ReadingCheckpoint {
        purpose: CheckpointUse,
        head: Versioned,
    },
    WritingCheckpoint(SwapAttempt),
    SwappingHead,
    BackingOff,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CheckpointUse {
    SearchEdits,
    RebuildTree,
}

/// State machine that commits one edit.
#[derive(Debug)]
pub struct SettingsCommit {
    edit: Edit,
    base: Revision,
    deadline: Time,
    step: Step,
    last_swap: Option<SwapAttempt>,
    checkpoint: Option<(CheckpointRef, Checkpoint)>,
    searched: Vec<Checkpoint>,
    backoff: Duration,
    swap_conflicts: u32,
}

impl SettingsCommit {
    /// Commits an edit of the tree that the operator read at `base`. After `deadline`, the commit
    /// ends where it would otherwise back off.
    pub const fn new(edit: Edit, base: Revision, deadline: Time) -> Self {
        Self {
            edit,
            base,
            deadline,
            step: Step::ReadingHead,
            last_swap: None,
            checkpoint: None,
            searched: Vec::new(),
            backoff: INITIAL_BACKOFF,
            swap_conflicts: 0,
        }
    }

    /// Identifier of the edit; repeated submissions use the same one.
    pub const fn id(&self) -> EditId {
        self.edit.id
    }

    /// Handles an event and returns the next action.
    ///
    /// # Panics
    ///
    /// If a successful swap is handled although none was sent, which is a bug of this state
    /// machine.
    pub fn on(&mut self, now: Time, event: CommitEvent) -> CommitAction {
        let step = std::mem::replace(&mut self.step, Step::ReadingHead);
        match (step, event) {
            (Step::Ended, _) => {
                self.step = Step::Ended;
                CommitAction::Done(CommitOutcome::Unknown)
            }
            (
                Step::ReadingHead | Step::BackingOff,
                CommitEvent::Start | CommitEvent::BackoffElapsed,
            )
            | (Step::SwappingHead, CommitEvent::Swapped(Ok(SwapResponse::Conflict))) => {
                CommitAction::ReadHead
            }
            (Step::ReadingHead, CommitEvent::Read(Ok(found))) => self.on_head(now, found),
            (Step::ReadingCheckpoint { purpose, head }, CommitEvent::Read(Ok(found))) => {
                self.on_checkpoint(now, purpose, head, &found)
            }
            (Step::WritingCheckpoint(attempt), CommitEvent::Written(Ok(()))) => self.swap(attempt),
            (Step::SwappingHead, CommitEvent::Swapped(Ok(SwapResponse::Swapped))) => {
                let revision = self.last_swap.as_ref().map(|attempt| attempt.revision);
                let revision = revision.expect("a swap was sent");
                self.finish(CommitOutcome::Accepted(Accepted { revision }))
            }
            _ => self.back_off_or_end(now),
        }
    }

    fn finish(&mut self, outcome: CommitOutcome) -> CommitAction {
        self.step = Step::Ended;
        CommitAction::Done(outcome)
    }

    fn reject(&mut self, reason: impl Into<Rejection>) -> CommitAction {
        self.finish(CommitOutcome::Rejected(reason.into()))
    }

    fn back_off_or_end(&mut self, now: Time) -> CommitAction {
        if now >= self.deadline {
            return match self.last_swap {
                Some(_) => self.finish(CommitOutcome::Unknown),
                None => self.finish(CommitOutcome::NotSent),
            };
        }
        self.step = Step::BackingOff;
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        CommitAction::Backoff(backoff)
    }

    fn on_head(&mut self, now: Time, found: Versioned) -> CommitAction {
        if self
            .last_swap
            .as_ref()
            .is_some_and(|attempt| found.version < attempt.expected)
        {
            // The read is older than the one that the swap was built on: it does not show whether
            // the swap took effect.
            return self.back_off_or_end(now);
        }
        let head = match read_head(&found) {
            Ok(head) => head,
            Err(cause) => return self.reject(cause),
        };
        if let Some(committed) = head.find(self.edit.id) {
            let revision = committed.revision;
            return self.finish(CommitOutcome::Accepted(Accepted { revision }));
        }
        match &self.last_swap {
            Some(attempt) if attempt.expected == found.version => {
                // The head has not moved, so the lost swap may still arrive. Repeating it is safe.
                let action = CommitAction::SwapHead {
                    expect: attempt.expected,
                    value: attempt.value.clone(),
                };
                self.step = Step::SwappingHead;
                return action;
            }
            _ => {}
        }
        // A resubmitted edit may have been committed long ago: search the history back to its
        // base.
        let search_from = match &self.last_swap {
            Some(attempt) => Revision(attempt.revision.0 - 1),
            None => self.base,
        };
        let head_covers = head.base_revision() <= search_from;
        match (&head.checkpoint, head_covers) {
            (Some(reference), false) => {
                self.read_checkpoint(CheckpointUse::SearchEdits, found, reference.key.clone())
            }
            _ => self.build_head(found),
        }
    }

    fn read_checkpoint(
        &mut self,
        purpose: CheckpointUse,
        head: Versioned,
        key: String,
    ) -> CommitAction {
        self.step = Step::ReadingCheckpoint { purpose, head };
        CommitAction::ReadCheckpoint(key)
    }

    fn on_checkpoint(
        &mut self,
        now: Time,
        purpose: CheckpointUse,
        head: Versioned,
        found: &Versioned,
    ) -> CommitAction {
        let Some(bytes) = &found.value else {
            // The checkpoint of the head is pruned only after the head has moved on. A missing
            // older one means that the retained history does not reach back to the base.
            if self.searched.is_empty() {
                return self.back_off_or_end(now);
            }
            return self.reject(Rejection::BaseTooOld(self.base));
        };
        let checkpoint: Checkpoint = match decode(bytes) {
            Ok(checkpoint) => checkpoint,
            Err(cause) => return self.reject(cause),
        };
        match purpose {
            CheckpointUse::RebuildTree => {
                self.checkpoint = Some((checkpoint.reference(), checkpoint));
                self.build_head(head)
            }
            CheckpointUse::SearchEdits => self.search_checkpoint(head, checkpoint),
        }
    }

    fn search_checkpoint(&mut self, head: Versioned, checkpoint: Checkpoint) -> CommitAction {
        let own_edit = checkpoint
            .edits
            .iter()
            .find(|row| row.edit.id == self.edit.id);
        if let Some(committed) = own_edit {
            let revision = committed.revision;
            return self.finish(CommitOutcome::Accepted(Accepted { revision }));
        }
        let previous = checkpoint.previous.clone();
        let previous_revision = previous
            .as_ref()
            .map_or(Revision(0), |before| before.revision);
        let oldest_needed = match &self.last_swap {
            Some(attempt) => Revision(attempt.revision.0 - 1).min(self.base),
            None => self.base,
        };
        self.searched.push(checkpoint);
        match previous {
            Some(before) if previous_revision > oldest_needed => {
                self.read_checkpoint(CheckpointUse::SearchEdits, head, before.key)
            }
            _ => self.build_head(head),
        }
    }

    fn build_head(&mut self, found: Versioned) -> CommitAction {
        let head = match read_head(&found) {
            Ok(head) => head,
            Err(cause) => return self.reject(cause),
        };
        if let Some(committed) = self.find_conflict(&head) {
            return self.reject(Rejection::Conflict(Box::new(committed)));
        }
        if self.last_swap.take().is_some() {
            self.swap_conflicts += 1;
        }
        if self.swap_conflicts >= MAX_SWAP_CONFLICTS {
            return self.reject(Rejection::TooManyConflicts);
        }
        let checkpoint = match (&head.checkpoint, &self.checkpoint) {
            (None, _) => None,
            (Some(wanted), Some((cached, checkpoint))) if cached == wanted => Some(checkpoint),
            (Some(wanted), _) => {
                return self.read_checkpoint(CheckpointUse::RebuildTree, found, wanted.key.clone());
            }
        };
        let tree = match head.tree(checkpoint) {
            Ok(tree) => tree,
            Err(cause) => return self.reject(cause),
        };
        self.propose_head(found.version, head, &tree)
    }

    fn find_conflict(&self, head: &Head) -> Option<CommittedEdit> {
        self.searched
            .iter()
            .flat_map(|checkpoint| &checkpoint.edits)
            .chain(&head.edits)
            .find(|row| row.revision > self.base && row.edit.overlaps(&self.edit))
            .cloned()
    }

    fn propose_head(&mut self, version: Version, head: Head, tree: &SettingsTree) -> CommitAction {
        let next_tree = match tree.apply(&self.edit.changes) {
            Ok(next_tree) => next_tree,
            Err(cause) => return self.reject(cause),
        };
        let bytes = encode(&next_tree).len();
        if bytes + crate::settings_head::MAX_HEAD_EDIT_BYTES * 2 > MAX_VALUE_BYTES {
            return self.reject(Rejection::TooLarge { bytes });
        }
        if !Head::default().fits(&self.edit) {
            return self.reject(Rejection::EditTooLarge);
        }
        let revision = head.revision.next();
        let committed = CommittedEdit {
            revision,
            edit: self.edit.clone(),
        };
        if head.fits(&self.edit) {
            let mut next = head;
            next.revision = revision;
            next.edits.push(committed);
            let attempt = SwapAttempt {
                expected: version,
                revision,
                value: next.encode(),
            };
            return self.swap(attempt);
        }
        self.propose_checkpoint(version, head, tree, committed)
    }

    fn propose_checkpoint(
        &mut self,
        version: Version,
        head: Head,
        tree: &SettingsTree,
        committed: CommittedEdit,
    ) -> CommitAction {
        let checkpoint = Checkpoint {
            revision: head.revision,
            tree: tree.clone(),
            edits: head.edits,
            previous: head.checkpoint,
        };
        let reference = checkpoint.reference();
        let next = Head {
            revision: committed.revision,
            checkpoint: Some(reference.clone()),
            edits: vec![committed],
        };
        self.step = Step::WritingCheckpoint(SwapAttempt {
            expected: version,
            revision: next.revision,
            value: next.encode(),
        });
        CommitAction::WriteCheckpoint {
            key: reference.key,
            value: encode(&checkpoint),
        }
    }

    fn swap(&mut self, attempt: SwapAttempt) -> CommitAction {
        let action = CommitAction::SwapHead {
            expect: attempt.expected,
            value: attempt.value.clone(),
        };
        self.last_swap = Some(attempt);
        self.step = Step::SwappingHead;
        action
    }
}

/// Decodes the head that was read; a missing key is the initial head.
///
/// # Errors
///
/// The value is not a valid head.
pub fn read_head(found: &Versioned) -> Result<Head, HeadError> {
    match &found.value {
        Some(bytes) => Head::decode(bytes),
        None => Ok(Head::default()),
    }
}
