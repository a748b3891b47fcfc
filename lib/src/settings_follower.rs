//! Follows the committed settings, received from the platform or from peers, and never returns to
//! an older revision.
//!
//! The follower accepts a head from any source only if its revision is newer than the
//! active one. Revisions are committed one after another by compare-and-swap, so a
//! revision number identifies the same tree on every box, and the head of a peer is as valid as
//! the platform's. An invalid value changes nothing: the last valid revision stays active,
//! and the error is kept for `status`.

use std::sync::Arc;

use crate::ids::Revision;
use crate::settings_head::Checkpoint;
use crate::settings_head::Head;
use crate::settings_head::HeadError;
use crate::settings_tree::SettingsTree;
use crate::time::Time;

/// Settings that are active on this box; immutable.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveSettings {
    /// Revision of the tree.
    pub revision: Revision,
    /// Tree at that revision.
    pub tree: SettingsTree,
}

/// Result of offering a head to the follower.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowOutcome {
    /// The head was newer; its revision is active now.
    Advanced(Arc<ActiveSettings>),
    /// The head was not newer than the active revision.
    Unchanged,
    /// Key of the checkpoint that the head is based on; offer the head again with it.
    NeedsCheckpoint(String),
    /// The head or its tree is invalid; the last valid revision stays active.
    Rejected(HeadError),
}

/// State machine that follows the settings on one box.
#[derive(Debug, Default)]
pub struct SettingsFollower {
    active: Option<Arc<ActiveSettings>>,
    head: Option<Head>,
    checkpoint: Option<Checkpoint>,
    confirmed_at: Option<Time>,
    last_error: Option<HeadError>,
}

impl SettingsFollower {
    /// Active settings; `None` before the first revision.
    pub const fn active(&self) -> Option<&Arc<ActiveSettings>> {
        self.active.as_ref()
    }

    /// Active revision; zero if there is none yet.
    pub fn revision(&self) -> Revision {
        self.active
            .as_ref()
            .map_or(Revision::default(), |found| found.revision)
    }

    /// Head of the active revision, served to peers that are behind.
    pub const fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Checkpoint that the head is based on, if this follower has it.
    pub const fn checkpoint(&self) -> Option<&Checkpoint> {
        self.checkpoint.as_ref()
    }

    /// Error of the last invalid value; cleared when a newer revision becomes active.
    pub const fn last_error(&self) -> Option<&HeadError> {
        self.last_error.as_ref()
    }

    /// Send time of the last read by which the platform confirmed that the active revision is the
    /// newest.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Handles a head read from the platform; `requested_at` is when the read was sent.
    pub fn on_platform_head(
        &mut self,
        requested_at: Time,
        head: Head,
        checkpoint: Option<Checkpoint>,
    ) -> FollowOutcome {
        let offered = head.revision;
        let outcome = self.offer(head, checkpoint);
        if self.active.is_some() && self.revision() == offered {
            self.confirmed_at = Some(requested_at);
        }
        outcome
    }

    /// Records that a read of the platform, sent at `requested_at`, found the head unchanged.
    pub const fn confirm(&mut self, requested_at: Time) {
        if self.last_error.is_none() && self.active.is_some() {
            self.confirmed_at = Some(requested_at);
        }
    }

    /// Records that a value is not a valid head; the last valid revision stays active.
    pub fn record_error(&mut self, error: HeadError) {
        self.last_error = Some(error);
    }

    /// Handles a head received from a peer.
    pub fn on_peer_head(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> FollowOutcome {
        self.offer(head, checkpoint)
    }

    fn offer(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> FollowOutcome {
        let active_revision = self.active.as_ref().map(|found| found.revision);
        if active_revision.is_some_and(|revision| head.revision <= revision) {
            return FollowOutcome::Unchanged;
        }
        let checkpoint = checkpoint.or_else(|| self.checkpoint.clone());
        let matching = checkpoint.filter(|found| {
            let wanted = head.checkpoint.as_ref();
            wanted.is_some_and(|wanted| wanted.revision == found.revision)
        });
        let tree = match (&self.active, &head.checkpoint, &matching) {
            (Some(current), _, _) if current.revision >= head.base_revision() => {
                head.advance(current.revision, &current.tree)
            }
            (_, Some(wanted), None) => return FollowOutcome::NeedsCheckpoint(wanted.key.clone()),
            _ => head.tree(matching.as_ref()),
        };
        match tree {
            Ok(tree) => FollowOutcome::Advanced(self.activate(head, matching, tree)),
            Err(error) => {
                self.last_error = Some(error.clone());
                FollowOutcome::Rejected(error)
            }
        }
    }

    fn activate(
        &mut self,
        head: Head,
        checkpoint: Option<Checkpoint>,
        tree: SettingsTree,
    ) -> Arc<ActiveSettings> {
        assert!(
            self.active.is_none() || head.revision > self.revision(),
            "settings revision must not decrease: got {} after {}",
            head.revision,
            self.revision()
        );
        let active = Arc::new(ActiveSettings {
            revision: head.revision,
            tree,
        });
        self.active = Some(Arc::clone(&active));
        self.checkpoint = checkpoint;
        self.head = Some(head);
        self.last_error = None;
        active
    }
}
