//! Access to the platform for commands: reads the settings tree, commits edits and queries boxes.

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

/// Timeout of a single HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the status of a box, which lists all servers and boxes.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Number of checkpoints to keep: two days of history at 980 edits a day.
const KEPT_CHECKPOINTS: usize = 32;
/// Attempts to read the head and its checkpoint, which may be replaced between the two reads.
const MAX_READ_ATTEMPTS: u32 = 5;

/// Clients for the platform and for the boxes.
#[derive(Debug)]
pub struct Session {
    platform: HttpPlatform,
    boxes: ControlClient,
    address: String,
    timeout: Duration,
    start: Instant,
}

/// The settings as read from the platform.
#[derive(Debug, Clone)]
pub struct CurrentSettings {
    /// The head, with the edits since the checkpoint.
    pub head: Head,
    /// The checkpoint that the head refers to.
    pub checkpoint: Option<Checkpoint>,
    /// The tree at the revision of the head.
    pub tree: SettingsTree,
}

/// An edit to commit.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Changes to the tree, committed together.
    pub changes: Vec<Change>,
    /// The revision that the edit is based on.
    pub base: Revision,
    /// Identifier of an earlier submission of the same edit; a new one is drawn if `None`.
    pub id: Option<EditId>,
}

impl Session {
    /// Creates a session; `timeout` limits the whole commit of an edit, with its retries.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            platform: HttpPlatform::new(address, CALL_TIMEOUT),
            boxes: ControlClient::new(CALL_TIMEOUT, MAX_STATUS_BYTES),
            address: address.to_owned(),
            timeout,
            start: Instant::now(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn no_response_error(&self, attempt: &str) -> CommandError {
        let message = format!(
            "failed to {attempt}: no answer from the platform at {}",
            self.address
        );
        CommandError::new(Failure::NoAnswer, message)
            .hint("check --platform; boxes go on with the settings they have")
    }

    /// Reads the head and its checkpoint, and builds the tree.
    pub async fn read_settings(&self) -> Result<CurrentSettings, CommandError> {
        let read_error = |cause: &dyn std::fmt::Display| {
            CommandError::new(
                Failure::Refused,
                format!("failed to read the settings: {cause}"),
            )
        };
        for _ in 0..MAX_READ_ATTEMPTS {
            let found = self.platform.read(HEAD_KEY).await;
            let found = found.map_err(|NoAnswer| self.no_response_error("read the settings"))?;
            let head = read_head(&found).map_err(|cause| read_error(&cause))?;
            let checkpoint = match &head.checkpoint {
                None => None,
                Some(reference) => match self.checkpoint(&reference.key).await? {
                    Some(checkpoint) => Some(checkpoint),
                    None => continue,
                },
            };
            let tree = head
                .tree(checkpoint.as_ref())
                .map_err(|cause| read_error(&cause))?;
            return Ok(CurrentSettings {
                head,
                checkpoint,
                tree,
            });
        }
        Err(read_error(&"the checkpoint that the head names is gone"))
    }

    /// Reads a checkpoint; `None` if it was removed.
    pub async fn checkpoint(&self, key: &str) -> Result<Option<Checkpoint>, CommandError> {
        let found = self.platform.read(key).await;
        let found = found.map_err(|NoAnswer| self.no_response_error("read a checkpoint"))?;
        let Some(bytes) = found.value else {
            return Ok(None);
        };
        decode(&bytes).map(Some).map_err(|cause| {
            CommandError::new(Failure::Refused, format!("failed to read {key}: {cause}"))
        })
    }

    /// Commits an edit and returns its revision.
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
        let deadline = self.now() + self.timeout;
        let mut commit = SettingsCommit::new(edit, base, deadline);
        let mut event = CommitEvent::Start;
        let mut wrote_checkpoint = false;
        loop {
            let action = commit.on(self.now(), event);
            wrote_checkpoint |= matches!(action, CommitAction::WriteCheckpoint { .. });
            event = match action {
                CommitAction::Done(outcome) => {
                    if wrote_checkpoint {
                        // Failing to remove old checkpoints only keeps history longer.
                        let _ = self.remove_old_checkpoints().await;
                    }
                    return self.commit_result(id, base, outcome);
                }
                action => self.perform(action).await,
            };
        }
    }

    /// Executes an action of the commit state machine and returns the resulting event.
    async fn perform(&self, action: CommitAction) -> CommitEvent {
        match action {
            CommitAction::ReadHead => CommitEvent::Read(self.platform.read(HEAD_KEY).await),
            CommitAction::ReadCheckpoint(key) => CommitEvent::Read(self.platform.read(&key).await),
            CommitAction::WriteCheckpoint { key, value } => {
                // On a conflict the same bytes are already stored, since the key is their digest.
                let written = self.platform.swap(&key, 0, value, None).await;
                CommitEvent::Written(written.map(|_response| ()))
            }
            CommitAction::SwapHead { expect, value } => {
                CommitEvent::Swapped(self.platform.swap(HEAD_KEY, expect, value, None).await)
            }
            CommitAction::Backoff(duration) => {
                tokio::time::sleep(duration).await;
                CommitEvent::BackoffElapsed
            }
            // Not reached: `commit` returns on `Done`.
            CommitAction::Done(_) => CommitEvent::BackoffElapsed,
        }
    }

    fn commit_result(
        &self,
        id: EditId,
        base: Revision,
        outcome: CommitOutcome,
    ) -> Result<Revision, CommandError> {
        match outcome {
            CommitOutcome::Accepted(accepted) => Ok(accepted.revision),
            CommitOutcome::Rejected(rejection @ Rejection::Conflict(_)) => {
                let message = format!("failed to commit edit {id} on revision {base}: {rejection}");
                Err(CommandError::new(Failure::Conflict, message)
                    .hint("see `badgerferry settings log`, then edit again"))
            }
            CommitOutcome::Rejected(rejection) => {
                let message = format!("failed to commit edit {id} on revision {base}: {rejection}");
                Err(CommandError::new(Failure::Refused, message)
                    .hint("nothing was changed; `badgerferry settings keys` lists the settings"))
            }
            CommitOutcome::NotSent => Err(self.no_response_error("commit the edit")),
            CommitOutcome::Unknown => {
                let message = format!(
                    "edit {id} was sent and the platform does not say whether it took effect"
                );
                let hint = format!(
                    "repeat the command with --edit-id {id} --base {base}: it goes in once at most"
                );
                Err(CommandError::new(Failure::UnknownOutcome, message).hint(hint))
            }
        }
    }

    /// Removes all checkpoints but the newest `KEPT_CHECKPOINTS`.
    async fn remove_old_checkpoints(&self) -> Result<(), NoAnswer> {
        let keys = self.platform.list(CHECKPOINT_PREFIX).await?;
        for key in prunable_checkpoints(keys, KEPT_CHECKPOINTS) {
            let found = self.platform.read(&key).await?;
            self.platform.delete(&key, found.version).await?;
        }
        Ok(())
    }

    /// Reads the list of boxes from the platform.
    pub async fn boxes(&self) -> Result<Vec<BoxInfo>, CommandError> {
        let list = self.platform.boxes().await;
        let list = list.map_err(|NoAnswer| self.no_response_error("read the list of boxes"))?;
        Ok(list.boxes)
    }

    /// Reads the status of a daemon; `None` on any error.
    pub async fn status_of(&self, address: &str) -> Option<DaemonStatus> {
        self.boxes.get(address, "/status").await.ok()
    }
}

fn seconds_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |duration| duration.as_secs())
}
