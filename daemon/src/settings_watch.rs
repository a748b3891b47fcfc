//! Watches the committed settings on the platform and activates new revisions.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::platform::Platform;
use badgerferry_lib::backoff::Backoff;
use badgerferry_lib::settings_commit::Version;
use badgerferry_lib::settings_commit::Versioned;
use badgerferry_lib::settings_commit::read_head;
use badgerferry_lib::settings_follower::ActiveSettings;
use badgerferry_lib::settings_follower::FollowOutcome;
use badgerferry_lib::settings_head::Checkpoint;
use badgerferry_lib::settings_head::HEAD_KEY;
use badgerferry_lib::settings_head::decode;
use badgerferry_lib::settings_view::SettingsView;
use badgerferry_lib::time::Time;

use crate::traffic::Traffic;
use crate::traffic::lock;

/// Time that one watch request waits for a change; each request counts as one call at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Watches the settings until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut version = None;
    let mut backoff = Backoff::default();
    loop {
        let requested_at = traffic.clock.now();
        let response = match version {
            None => traffic.platform.read(HEAD_KEY).await.map(Some),
            Some(version) => traffic.platform.watch(HEAD_KEY, version, WATCH_WAIT).await,
        };
        let next_version = match response {
            Ok(None) => {
                traffic.record_platform_response();
                lock(&traffic.settings_follower).confirm(requested_at);
                publish_status(traffic);
                version
            }
            Ok(Some(versioned)) => {
                traffic.record_platform_response();
                apply_head(traffic, requested_at, &versioned).await
            }
            Err(_no_response) => {
                tracing::warn!("platform did not respond; keeping the settings in force");
                None
            }
        };
        if let Some(next_version) = next_version {
            version = Some(next_version);
            backoff.reset();
        } else {
            tokio::time::sleep(backoff.next(&mut rand::rng())).await;
        }
    }
}

/// Applies a head; returns the version to watch from, or `None` if the head must be read again.
async fn apply_head(
    traffic: &Traffic,
    requested_at: Time,
    versioned: &Versioned,
) -> Option<Version> {
    let head = match read_head(versioned) {
        Ok(head) => head,
        Err(error) => {
            // Recorded before the status is published; otherwise `/status` would not show the error
            // until the next watch request returns.
            lock(&traffic.settings_follower).record_error(error.clone());
            apply_outcome(traffic, FollowOutcome::Rejected(error));
            return Some(versioned.version);
        }
    };
    let first_outcome =
        lock(&traffic.settings_follower).on_platform_head(requested_at, head.clone(), None);
    let outcome = match first_outcome {
        FollowOutcome::NeedsCheckpoint(key) => {
            let checkpoint = read_checkpoint(traffic, &key).await?;
            lock(&traffic.settings_follower).on_platform_head(requested_at, head, Some(checkpoint))
        }
        other => other,
    };
    apply_outcome(traffic, outcome);
    Some(versioned.version)
}

async fn read_checkpoint(traffic: &Traffic, key: &str) -> Option<Checkpoint> {
    let versioned = traffic.platform.read(key).await.ok()?;
    decode(&versioned.value?).ok()
}

/// Activates a newer revision, or logs why the latest one is invalid, and publishes the status.
pub fn apply_outcome(traffic: &Traffic, outcome: FollowOutcome) {
    match outcome {
        FollowOutcome::Advanced(active) => publish(traffic, &active),
        FollowOutcome::Rejected(error) => {
            tracing::error!(fault = %error, "latest settings invalid; keeping the last valid ones");
        }
        FollowOutcome::Unchanged | FollowOutcome::NeedsCheckpoint(_) => {}
    }
    publish_status(traffic);
}

fn publish(traffic: &Traffic, active: &ActiveSettings) {
    let view = SettingsView::new(active, traffic.config.hall.as_str());
    traffic.dispatcher().set_settings(view.routing.clone());
    // Another thread may have published a newer revision in the meantime; keep that one.
    traffic.settings.rcu(|current| match current {
        Some(newer) if newer.revision >= view.revision => Some(Arc::clone(newer)),
        _ => Some(Arc::new(view.clone())),
    });
    tracing::info!(revision = active.revision.0, "settings in force");
}

fn publish_status(traffic: &Traffic) {
    let settings_follower = lock(&traffic.settings_follower);
    let mut status = lock(&traffic.status);
    status.settings.revision = settings_follower.revision();
    status.settings.fault = settings_follower.last_error().map(ToString::to_string);
    status.confirmed_at = settings_follower.confirmed_at();
}
