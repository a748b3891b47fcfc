//! What commands do at the platform: read the tree, and commit an edit.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use badgerferry_edges::http_client::ControlClient;
use badgerferry_edges::platform::HttpPlatform;
use badgerferry_edges::platform::Platform;
use badgerferry_lib::ids::EditId;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::platform_wire::BoxInfo;
use badgerferry_lib::settings_commit::CommitAction;
use badgerferry_lib::settings_commit::CommitEvent;
use badgerferry_lib::settings_commit::CommitOutcome;
use badgerferry_lib::settings_commit::NoAnswer;
use badgerferry_lib::settings_commit::Rejection;
use badgerferry_lib::settings_commit::SettingsCommit;
use badgerferry_lib::settings_commit::read_head;
use badgerferry_lib::settings_head::CHECKPOINT_PREFIX;
use badgerferry_lib::settings_head::Checkpoint;
use badgerferry_lib::settings_head::Edit;
use badgerferry_lib::settings_head::HEAD_KEY;
use badgerferry_lib::settings_head::Head;
use badgerferry_lib::settings_head::decode;
use badgerferry_lib::settings_head::prunable_checkpoints;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::SettingsTree;
use badgerferry_lib::status_wire::DaemonStatus;
use badgerferry_lib::time::Time;

use crate::exit::CommandError;
use crate::exit::Failure;

/// Longest single call.
const CALL: Duration = Duration::from_secs(2);
/// Checkpoints that are kept: with 980 edits a day, two days of history.
const KEPT_CHECKPOINTS: usize = 32;
/// Reads of a head whose checkpoint was replaced in between.
const READ_TRIES: u32 = 5;

/// The platform as commands use it.
#[derive(Debug)]
pub struct Session {
    platform: HttpPlatform,
    boxes: ControlClient,
    address: String,
    patience: Duration,
    start: Instant,
}

/// The tree as it was read.
#[derive(Debug, Clone)]
pub struct Current {
    /// The head.
    pub head: Head,
    /// The checkpoint behind it.
    pub checkpoint: Option<Checkpoint>,
    /// The tree.
    pub tree: SettingsTree,
}

/// An edit to commit.
#[derive(Debug, Clone)]
pub struct Submission {
    /// What it changes.
    pub changes: Vec<Change>,
    /// The revision that the operator saw.
    pub base: Revision,
    /// The identifier of an earlier submission of the same edit.
    pub id: Option<EditId>,
}

impl Session {
    /// A session with the platform at an address.
    pub fn new(address: &str, patience: Duration) -> Self {
        Self {
            platform: HttpPlatform::new(address, CALL),
            boxes: ControlClient::new(CALL),
            address: address.to_owned(),
            patience,
            start: Instant::now(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn no_answer(&self, attempt: &str) -> CommandError {
        let message = format!(
            "failed to {attempt}: no answer from the platform at {}",
            self.address
        );
        CommandError::new(Failure::NoAnswer, message)
            .hint("check --platform; boxes go on with the settings they have")
    }

    /// Reads the tree.
    pub async fn current(&self) -> Result<Current, CommandError> {
        let unusable = |cause: &dyn std::fmt::Display| {
            CommandError::new(
                Failure::Refused,
                format!("failed to read the settings: {cause}"),
            )
        };
        for _ in 0..READ_TRIES {
            let found = self.platform.read(HEAD_KEY).await;
            let found = found.map_err(|NoAnswer| self.no_answer("read the settings"))?;
            let head = read_head(&found).map_err(|cause| unusable(&cause))?;
            let checkpoint = match &head.checkpoint {
                None => None,
                Some(wanted) => match self.checkpoint(&wanted.key).await? {
                    Some(checkpoint) => Some(checkpoint),
                    None => continue,
                },
            };
            let tree = head
                .tree(checkpoint.as_ref())
                .map_err(|cause| unusable(&cause))?;
            return Ok(Current {
                head,
                checkpoint,
                tree,
            });
        }
        Err(unusable(&"the checkpoint that the head names is gone"))
    }

    /// Reads a checkpoint; none if it is gone.
    pub async fn checkpoint(&self, key: &str) -> Result<Option<Checkpoint>, CommandError> {
        let found = self.platform.read(key).await;
        let found = found.map_err(|NoAnswer| self.no_answer("read a checkpoint"))?;
        let Some(bytes) = found.value else {
            return Ok(None);
        };
        decode(&bytes).map(Some).map_err(|cause| {
            CommandError::new(Failure::Refused, format!("failed to read {key}: {cause}"))
        })
    }

    /// Commits an edit and gives back its revision.
    pub async fn commit(&self, submission: Submission) -> Result<Revision, CommandError> {
        let id = submission
            .id
            .unwrap_or_else(|| EditId::draw(&mut rand::rng()));
        let edit = Edit {
            id,
            author: std::env::var("USER").unwrap_or_else(|_unset| "operator".to_owned()),
            made_at: seconds_since_epoch(),
            changes: submission.changes,
        };
        let base = submission.base;
        let give_up_at = self.now() + self.patience;
        let mut commit = SettingsCommit::new(edit, base, give_up_at);
        let mut event = CommitEvent::Start;
        let mut wrote_checkpoint = false;
        loop {
            let action = commit.on(self.now(), event);
            wrote_checkpoint |= matches!(action, CommitAction::WriteCheckpoint { .. });
            event = match action {
                CommitAction::Done(end) => {
                    if wrote_checkpoint {
                        // History that stays longer than planned does no harm.
                        let _ = self.remove_old_checkpoints().await;
                    }
                    return self.settled(id, base, end);
                }
                other => self.carry_out(other).await,
            };
        }
    }

    async fn carry_out(&self, action: CommitAction) -> CommitEvent {
        match action {
            CommitAction::ReadHead => CommitEvent::Read(self.platform.read(HEAD_KEY).await),
            CommitAction::ReadCheckpoint(key) => CommitEvent::Read(self.platform.read(&key).await),
            CommitAction::WriteCheckpoint { key, value } => {
                // A conflict means that the same bytes are there: the key is their digest.
                let written = self.platform.swap(&key, 0, value, None).await;
                CommitEvent::Written(written.map(|_there| ()))
            }
            CommitAction::SwapHead { expect, value } => {
                CommitEvent::Swapped(self.platform.swap(HEAD_KEY, expect, value, None).await)
            }
            CommitAction::Backoff(span) => {
                tokio::time::sleep(span).await;
                CommitEvent::BackoffElapsed
            }
            CommitAction::Done(_) => CommitEvent::BackoffElapsed,
        }
    }

    fn settled(
        &self,
        id: EditId,
        base: Revision,
        end: CommitOutcome,
    ) -> Result<Revision, CommandError> {
        match end {
            CommitOutcome::Accepted(accepted) => Ok(accepted.revision),
            CommitOutcome::Rejected(why @ Rejection::Conflict(_)) => {
                let message = format!("failed to commit edit {id} on revision {base}: {why}");
                Err(CommandError::new(Failure::Conflict, message)
                    .hint("see `badgerferry settings log`, then edit again"))
            }
            CommitOutcome::Rejected(why) => {
                let message = format!("failed to commit edit {id} on revision {base}: {why}");
                Err(CommandError::new(Failure::Refused, message)
                    .hint("nothing was changed; `badgerferry settings keys` lists the settings"))
            }
            CommitOutcome::NotSent => Err(self.no_answer("commit the edit")),
            CommitOutcome::Unknown => {
                let message = format!(
                    "edit {id} was sent and the platform does not say whether it took effect"
                );
                let hint = format!(
                    "repeat the command with --edit-id {id} --base {base}: it goes in once at most"
                );
                Err(CommandError::new(Failure::Unsure, message).hint(hint))
            }
        }
    }

    /// Removes checkpoints that are older than the history that is kept.
    async fn remove_old_checkpoints(&self) -> Result<(), NoAnswer> {
        let keys = self.platform.list(CHECKPOINT_PREFIX).await?;
        for key in prunable_checkpoints(keys, KEPT_CHECKPOINTS) {
            let found = self.platform.read(&key).await?;
            self.platform.delete(&key, found.version).await?;
        }
        Ok(())
    }

    /// The boxes that the platform lists.
    pub async fn boxes(&self) -> Result<Vec<BoxInfo>, CommandError> {
        let list = self.platform.boxes().await;
        let list = list.map_err(|NoAnswer| self.no_answer("read the list of boxes"))?;
        Ok(list.boxes)
    }

    /// What a daemon tells of itself; none if it does not answer.
    pub async fn status_of(&self, address: &str) -> Option<DaemonStatus> {
        self.boxes.get(address, "/status").await.ok()
    }
}

fn seconds_since_epoch() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |span| span.as_secs())
}
