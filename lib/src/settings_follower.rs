//! Follows the committed settings: forward only, from the platform or from peers.
//!
//! Whoever offers a head, the follower takes it only if its revision is newer than the
//! one in force. Revisions are committed one after another by compare-and-swap, so a
//! revision number names one tree everywhere, and a peer's copy is as good as the
//! platform's. A value that cannot be read changes nothing: the last good revision
//! stays in force and the fault is kept for `status`.

use std::sync::Arc;

use crate::ids::Revision;
use crate::settings_head::Checkpoint;
use crate::settings_head::Head;
use crate::settings_head::HeadError;
use crate::settings_tree::SettingsTree;
use crate::time::Time;

/// A revision in force: an immutable snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveSettings {
    /// Its number.
    pub revision: Revision,
    /// The tree.
    pub tree: SettingsTree,
}

/// What came of an offered head.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowOutcome {
    /// A newer revision is in force now.
    Advanced(Arc<ActiveSettings>),
    /// Nothing newer.
    Unchanged,
    /// The head starts from this checkpoint; offer the head again with it.
    NeedsCheckpoint(String),
    /// It cannot be used; the last good revision stays.
    Rejected(HeadError),
}

/// The follower's state.
#[derive(Debug, Default)]
pub struct SettingsFollower {
    active: Option<Arc<ActiveSettings>>,
    head: Option<Head>,
    checkpoint: Option<Checkpoint>,
    confirmed_at: Option<Time>,
    last_error: Option<HeadError>,
}

impl SettingsFollower {
    /// The snapshot in force; none before the first.
    pub const fn active(&self) -> Option<&Arc<ActiveSettings>> {
        self.active.as_ref()
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.active
            .as_ref()
            .map_or(Revision::default(), |found| found.revision)
    }

    /// The head in force, for peers that are behind.
    pub const fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The checkpoint behind the head, if this follower has it.
    pub const fn checkpoint(&self) -> Option<&Checkpoint> {
        self.checkpoint.as_ref()
    }

    /// The last value that could not be used, until a newer one could.
    pub const fn last_error(&self) -> Option<&HeadError> {
        self.last_error.as_ref()
    }

    /// When the platform last confirmed that this is the newest revision.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Takes the platform's own answer.
    pub fn on_platform_head(
        &mut self,
        asked_at: Time,
        head: Head,
        checkpoint: Option<Checkpoint>,
    ) -> FollowOutcome {
        let offered = head.revision;
        let followed = self.offer(head, checkpoint);
        if self.active.is_some() && self.revision() == offered {
            self.confirmed_at = Some(asked_at);
        }
        followed
    }

    /// Records that the platform, asked then, still had the head that it told of last.
    pub const fn confirm(&mut self, asked_at: Time) {
        if self.last_error.is_none() && self.active.is_some() {
            self.confirmed_at = Some(asked_at);
        }
    }

    /// Records a value that is no head; the last good revision stays.
    pub fn record_error(&mut self, error: HeadError) {
        self.last_error = Some(error);
    }

    /// Takes a head from a peer.
    pub fn on_peer_head(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> FollowOutcome {
        self.offer(head, checkpoint)
    }

    fn offer(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> FollowOutcome {
        let have = self.active.as_ref().map(|found| found.revision);
        if have.is_some_and(|revision| head.revision <= revision) {
            return FollowOutcome::Unchanged;
        }
        let checkpoint = checkpoint.or_else(|| self.checkpoint.clone());
        let usable = checkpoint.filter(|found| {
            let wanted = head.checkpoint.as_ref();
            wanted.is_some_and(|wanted| wanted.revision == found.revision)
        });
        let tree = match (&self.active, &head.checkpoint, &usable) {
            (Some(current), _, _) if current.revision >= head.base_revision() => {
                head.advance(current.revision, &current.tree)
            }
            (_, Some(wanted), None) => return FollowOutcome::NeedsCheckpoint(wanted.key.clone()),
            _ => head.tree(usable.as_ref()),
        };
        match tree {
            Ok(tree) => FollowOutcome::Advanced(self.advance(head, usable, tree)),
            Err(error) => {
                self.last_error = Some(error.clone());
                FollowOutcome::Rejected(error)
            }
        }
    }

    fn advance(
        &mut self,
        head: Head,
        checkpoint: Option<Checkpoint>,
        tree: SettingsTree,
    ) -> Arc<ActiveSettings> {
        assert!(
            self.active.is_none() || head.revision > self.revision(),
            "settings never go back: {} after {}",
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
