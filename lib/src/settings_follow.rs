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
pub struct InForce {
    /// Its number.
    pub revision: Revision,
    /// The tree.
    pub tree: SettingsTree,
}

/// What came of an offered head.
#[derive(Debug, Clone, PartialEq)]
pub enum Followed {
    /// A newer revision is in force now.
    Advanced(Arc<InForce>),
    /// Nothing newer.
    Unchanged,
    /// The head starts from this checkpoint; offer the head again with it.
    NeedsCheckpoint(String),
    /// It cannot be used; the last good revision stays.
    Refused(HeadError),
}

/// The follower's state.
#[derive(Debug, Default)]
pub struct SettingsFollow {
    in_force: Option<Arc<InForce>>,
    head: Option<Head>,
    checkpoint: Option<Checkpoint>,
    confirmed_at: Option<Time>,
    fault: Option<HeadError>,
}

impl SettingsFollow {
    /// The snapshot in force; none before the first.
    pub const fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.in_force
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
    pub const fn fault(&self) -> Option<&HeadError> {
        self.fault.as_ref()
    }

    /// When the platform last confirmed that this is the newest revision.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Takes the platform's own answer.
    pub fn on_platform(
        &mut self,
        asked_at: Time,
        head: Head,
        checkpoint: Option<Checkpoint>,
    ) -> Followed {
        let offered = head.revision;
        let followed = self.offer(head, checkpoint);
        if self.in_force.is_some() && self.revision() == offered {
            self.confirmed_at = Some(asked_at);
        }
        followed
    }

    /// Records that the platform, asked then, still had the head that it told of last.
    pub const fn confirm(&mut self, asked_at: Time) {
        if self.fault.is_none() && self.in_force.is_some() {
            self.confirmed_at = Some(asked_at);
        }
    }

    /// Records a value that is no head; the last good revision stays.
    pub fn note_fault(&mut self, fault: HeadError) {
        self.fault = Some(fault);
    }

    /// Takes a head from a peer.
    pub fn on_peer(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> Followed {
        self.offer(head, checkpoint)
    }

    fn offer(&mut self, head: Head, checkpoint: Option<Checkpoint>) -> Followed {
        let have = self.in_force.as_ref().map(|found| found.revision);
        if have.is_some_and(|revision| head.revision <= revision) {
            return Followed::Unchanged;
        }
        let checkpoint = checkpoint.or_else(|| self.checkpoint.clone());
        let usable = checkpoint.filter(|found| {
            let wanted = head.checkpoint.as_ref();
            wanted.is_some_and(|wanted| wanted.revision == found.revision)
        });
        let tree = match (&self.in_force, &head.checkpoint, &usable) {
            (Some(current), _, _) if current.revision >= head.base_revision() => {
                head.advance(current.revision, &current.tree)
            }
            (_, Some(wanted), None) => return Followed::NeedsCheckpoint(wanted.key.clone()),
            _ => head.tree(usable.as_ref()),
        };
        match tree {
            Ok(tree) => Followed::Advanced(self.advance(head, usable, tree)),
            Err(fault) => {
                self.fault = Some(fault.clone());
                Followed::Refused(fault)
            }
        }
    }

    fn advance(
        &mut self,
        head: Head,
        checkpoint: Option<Checkpoint>,
        tree: SettingsTree,
    ) -> Arc<InForce> {
        assert!(
            self.in_force.is_none() || head.revision > self.revision(),
            "settings never go back: {} after {}",
            head.revision,
            self.revision()
        );
        let in_force = Arc::new(InForce {
            revision: head.revision,
            tree,
        });
        self.in_force = Some(Arc::clone(&in_force));
        self.checkpoint = checkpoint;
        self.head = Some(head);
        self.fault = None;
        in_force
    }
}
