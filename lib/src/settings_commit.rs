//! Commits one edit by compare-and-swap and learns for sure whether it is in.
//!
//! The machine reads the head, builds the next one and swaps it at the version it read.
//! An answer may be lost after the swap took effect, or the swap may still be on its
//! way. Two facts settle it. A swap at a version can only take effect while the head
//! stands at that version, so once the head has moved the swap either is the next
//! revision or never will be. And while the head has not moved, sending the very same
//! swap again does no harm, because at most one of them can find that version.
//!
//! Racing operators: a swap that finds another version is built anew. If an edit that
//! came in since the operator's base touched the same part of the tree, this one is
//! refused and names it; otherwise both go in.

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

/// First pause after an answer that did not come; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause, short against an operator's patience and long against an outage.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Swaps lost to other operators before the edit gives up; eight racing need fewer.
const MAX_LOST_RACES: u32 = 64;

/// A key's version at the platform; zero means that the key does not exist.
pub type Version = u64;

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the key.
    pub version: Version,
    /// The bytes; none if the key does not exist.
    pub value: Option<Vec<u8>>,
}

/// The platform did not answer; a write may have taken effect all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// What the platform said to a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResponse {
    /// It took effect.
    Swapped,
    /// The key stood at another version.
    Conflict,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitEvent {
    /// The operator submitted the edit.
    Start,
    /// A key was read.
    Read(Result<Versioned, NoAnswer>),
    /// A checkpoint was written, or certainly was there already.
    Written(Result<(), NoAnswer>),
    /// The head was swapped, or not.
    Swapped(Result<SwapResponse, NoAnswer>),
    /// A pause ended.
    BackoffElapsed,
}

/// What to do next; exactly one at a time.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitAction {
    /// Read the head.
    ReadHead,
    /// Read a checkpoint.
    ReadCheckpoint(String),
    /// Write a checkpoint under a key that is fresh or holds the same bytes.
    WriteCheckpoint {
        /// The key.
        key: String,
        /// The bytes.
        value: Vec<u8>,
    },
    /// Swap the head.
    SwapHead {
        /// The version that it must stand at.
        expect: Version,
        /// The new bytes.
        value: Vec<u8>,
    },
    /// Wait, then resume.
    Backoff(Duration),
    /// The edit has ended.
    Done(CommitOutcome),
}

/// How the edit ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// It is in, and in every later revision.
    Accepted(Accepted),
    /// It is not in and never will be.
    Rejected(Rejection),
    /// The platform gave no answer until the operator's limit; submit the same id again.
    Unknown,
    /// The platform gave no answer, and this submission never sent a swap.
    NotSent,
}

/// An edit that is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
}

/// Why an edit is not in.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// Another operator changed the same part first.
    #[error("revision {} by {} changed the same part", .0.revision, .0.edit.author)]
    Conflict(Box<CommittedEdit>),
    /// The edit does not fit the tree.
    #[error(transparent)]
    Tree(#[from] TreeError),
    /// The tree would not fit a value of the platform.
    #[error("the tree would take {bytes} bytes; the platform holds {MAX_VALUE_BYTES}")]
    TooLarge {
        /// Bytes that it would take.
        bytes: usize,
    },
    /// The edit alone is larger than a head may carry.
    #[error("the edit is too large for one revision; split it")]
    EditTooLarge,
    /// Too many other edits came first.
    #[error("{MAX_LOST_RACES} other edits came first; try again")]
    TooManyConflicts,
    /// What is stored cannot be read.
    #[error("the stored settings can't be used: {0}")]
    InvalidStored(#[from] HeadError),
    /// The base is older than the history that is kept.
    #[error("revision {0} is too old to edit from; read the tree again")]
    BaseTooOld(Revision),
}

#[derive(Debug)]
struct Attempt {
    base: Version,
    revision: Revision,
    value: Vec<u8>,
}

#[derive(Debug)]
enum Step {
    Reading,
    Walking { then: Walk, head: Versioned },
    Writing(Attempt),
    Swapping,
    Pausing,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Walk {
    Settle,
    Build,
}

/// The machine for one edit.
#[derive(Debug)]
pub struct SettingsCommit {
    edit: Edit,
    base: Revision,
    deadline: Time,
    step: Step,
    attempted: Option<Attempt>,
    checkpoint: Option<(CheckpointRef, Checkpoint)>,
    walked: Vec<Checkpoint>,
    pause: Duration,
    lost_races: u32,
}

impl SettingsCommit {
    /// An edit made on what the operator saw at `base`, to be settled by `deadline`.
    pub const fn new(edit: Edit, base: Revision, deadline: Time) -> Self {
        Self {
            edit,
            base,
            deadline,
            step: Step::Reading,
            attempted: None,
            checkpoint: None,
            walked: Vec::new(),
            pause: FIRST_PAUSE,
            lost_races: 0,
        }
    }

    /// The edit's identifier.
    pub const fn id(&self) -> EditId {
        self.edit.id
    }

    /// Takes an event and says what to do next.
    ///
    /// # Panics
    ///
    /// Only if this machine's own invariant is broken: an answer to a swap it never sent.
    pub fn on(&mut self, now: Time, event: CommitEvent) -> CommitAction {
        let step = std::mem::replace(&mut self.step, Step::Reading);
        match (step, event) {
            (Step::Ended, _) => {
                self.step = Step::Ended;
                CommitAction::Done(CommitOutcome::Unknown)
            }
            (Step::Reading | Step::Pausing, CommitEvent::Start | CommitEvent::BackoffElapsed)
            | (Step::Swapping, CommitEvent::Swapped(Ok(SwapResponse::Conflict))) => {
                CommitAction::ReadHead
            }
            (Step::Reading, CommitEvent::Read(Ok(found))) => self.on_head(now, found),
            (Step::Walking { then, head }, CommitEvent::Read(Ok(found))) => {
                self.on_checkpoint(now, then, head, &found)
            }
            (Step::Writing(attempt), CommitEvent::Written(Ok(()))) => self.swap(attempt),
            (Step::Swapping, CommitEvent::Swapped(Ok(SwapResponse::Swapped))) => {
                let revision = self.attempted.as_ref().map(|attempt| attempt.revision);
                let revision = revision.expect("a swap was attempted");
                self.end(CommitOutcome::Accepted(Accepted { revision }))
            }
            _ => self.on_silence(now),
        }
    }

    fn end(&mut self, end: CommitOutcome) -> CommitAction {
        self.step = Step::Ended;
        CommitAction::Done(end)
    }

    fn reject(&mut self, why: impl Into<Rejection>) -> CommitAction {
        self.end(CommitOutcome::Rejected(why.into()))
    }

    fn on_silence(&mut self, now: Time) -> CommitAction {
        if now >= self.deadline {
            return match self.attempted {
                Some(_) => self.end(CommitOutcome::Unknown),
                None => self.end(CommitOutcome::NotSent),
            };
        }
        self.step = Step::Pausing;
        let pause = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        CommitAction::Backoff(pause)
    }

    fn on_head(&mut self, now: Time, found: Versioned) -> CommitAction {
        if self
            .attempted
            .as_ref()
            .is_some_and(|attempt| found.version < attempt.base)
        {
            // An answer older than what was read before says nothing about the swap.
            return self.on_silence(now);
        }
        let head = match read_head(&found) {
            Ok(head) => head,
            Err(cause) => return self.reject(cause),
        };
        if let Some(committed) = head.find(self.edit.id) {
            let revision = committed.revision;
            return self.end(CommitOutcome::Accepted(Accepted { revision }));
        }
        match &self.attempted {
            Some(attempt) if attempt.base == found.version => {
                // The head has not moved: the lost swap may still come. Its double is safe.
                let action = CommitAction::SwapHead {
                    expect: attempt.base,
                    value: attempt.value.clone(),
                };
                self.step = Step::Swapping;
                return action;
            }
            _ => {}
        }
        // An edit that is submitted again may be in since long ago: look as far back as its base.
        let settled_from = match &self.attempted {
            Some(attempt) => Revision(attempt.revision.0 - 1),
            None => self.base,
        };
        let covered = head.base_revision() <= settled_from;
        match (&head.checkpoint, covered) {
            (Some(reference), false) => self.walk(Walk::Settle, found, reference.key.clone()),
            _ => self.build(found),
        }
    }

    fn walk(&mut self, then: Walk, head: Versioned, key: String) -> CommitAction {
        self.step = Step::Walking { then, head };
        CommitAction::ReadCheckpoint(key)
    }

    fn on_checkpoint(
        &mut self,
        now: Time,
        then: Walk,
        head: Versioned,
        found: &Versioned,
    ) -> CommitAction {
        let Some(bytes) = &found.value else {
            // Removed since the head was read: the head has moved on.
            if self.walked.is_empty() {
                return self.on_silence(now);
            }
            return self.reject(Rejection::BaseTooOld(self.base));
        };
        let checkpoint: Checkpoint = match decode(bytes) {
            Ok(checkpoint) => checkpoint,
            Err(cause) => return self.reject(cause),
        };
        match then {
            Walk::Build => {
                self.checkpoint = Some((checkpoint.reference(), checkpoint));
                self.build(head)
            }
            Walk::Settle => self.settle(head, checkpoint),
        }
    }

    fn settle(&mut self, head: Versioned, checkpoint: Checkpoint) -> CommitAction {
        let mine = checkpoint
            .edits
            .iter()
            .find(|row| row.edit.id == self.edit.id);
        if let Some(committed) = mine {
            let revision = committed.revision;
            return self.end(CommitOutcome::Accepted(Accepted { revision }));
        }
        let previous = checkpoint.previous.clone();
        let reaches = previous
            .as_ref()
            .map_or(Revision(0), |before| before.revision);
        let wanted = match &self.attempted {
            Some(attempt) => Revision(attempt.revision.0 - 1).min(self.base),
            None => self.base,
        };
        self.walked.push(checkpoint);
        match previous {
            Some(before) if reaches > wanted => self.walk(Walk::Settle, head, before.key),
            _ => self.build(head),
        }
    }

    fn build(&mut self, found: Versioned) -> CommitAction {
        let head = match read_head(&found) {
            Ok(head) => head,
            Err(cause) => return self.reject(cause),
        };
        if let Some(committed) = self.conflicting(&head) {
            return self.reject(Rejection::Conflict(Box::new(committed)));
        }
        if self.attempted.take().is_some() {
            self.lost_races += 1;
        }
        if self.lost_races >= MAX_LOST_RACES {
            return self.reject(Rejection::TooManyConflicts);
        }
        let checkpoint = match (&head.checkpoint, &self.checkpoint) {
            (None, _) => None,
            (Some(wanted), Some((have, checkpoint))) if have == wanted => Some(checkpoint),
            (Some(wanted), _) => return self.walk(Walk::Build, found, wanted.key.clone()),
        };
        let tree = match head.tree(checkpoint) {
            Ok(tree) => tree,
            Err(cause) => return self.reject(cause),
        };
        self.propose(found.version, head, &tree)
    }

    fn conflicting(&self, head: &Head) -> Option<CommittedEdit> {
        self.walked
            .iter()
            .flat_map(|checkpoint| &checkpoint.edits)
            .chain(&head.edits)
            .find(|row| row.revision > self.base && row.edit.overlaps(&self.edit))
            .cloned()
    }

    fn propose(&mut self, version: Version, head: Head, tree: &SettingsTree) -> CommitAction {
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
            let attempt = Attempt {
                base: version,
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
        self.step = Step::Writing(Attempt {
            base: version,
            revision: next.revision,
            value: next.encode(),
        });
        CommitAction::WriteCheckpoint {
            key: reference.key,
            value: encode(&checkpoint),
        }
    }

    fn swap(&mut self, attempt: Attempt) -> CommitAction {
        let action = CommitAction::SwapHead {
            expect: attempt.base,
            value: attempt.value.clone(),
        };
        self.attempted = Some(attempt);
        self.step = Step::Swapping;
        action
    }
}

/// Reads the head from a key's state; a key that does not exist is the first head.
///
/// # Errors
///
/// The bytes are no head.
pub fn read_head(found: &Versioned) -> Result<Head, HeadError> {
    match &found.value {
        Some(bytes) => Head::decode(bytes),
        None => Ok(Head::default()),
    }
}
