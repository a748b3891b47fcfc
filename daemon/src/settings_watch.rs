//! Follows the committed settings at the platform and puts them in force.

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

/// How long one watch waits; each counts as one call at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Follows until the process ends.
pub async fn run(traffic: &Arc<Traffic>) {
    let mut version = None;
    let mut backoff = Backoff::default();
    loop {
        let asked_at = traffic.clock.now();
        let answer = match version {
            None => traffic.platform.read(HEAD_KEY).await.map(Some),
            Some(version) => traffic.platform.watch(HEAD_KEY, version, WATCH_WAIT).await,
        };
        let taken = match answer {
            Ok(None) => {
                traffic.record_platform_response();
                lock(&traffic.follow).confirm(asked_at);
                publish_status(traffic);
                version
            }
            Ok(Some(found)) => {
                traffic.record_platform_response();
                take(traffic, asked_at, &found).await
            }
            Err(_silence) => {
                tracing::warn!("the platform does not answer; settings stay as they are");
                None
            }
        };
        if let Some(taken) = taken {
            version = Some(taken);
            backoff.reset();
        } else {
            tokio::time::sleep(backoff.next(&mut rand::rng())).await;
        }
    }
}

/// Takes a head; gives back the version to watch from, or none to ask again.
async fn take(traffic: &Traffic, asked_at: Time, found: &Versioned) -> Option<Version> {
    let head = match read_head(found) {
        Ok(head) => head,
        Err(fault) => {
            // Noted before it is told, or `status` would show it a whole watch later.
            lock(&traffic.follow).record_error(fault.clone());
            apply_outcome(traffic, FollowOutcome::Rejected(fault));
            return Some(found.version);
        }
    };
    let offered = lock(&traffic.follow).on_platform_head(asked_at, head.clone(), None);
    let followed = match offered {
        FollowOutcome::NeedsCheckpoint(key) => {
            let checkpoint = read_checkpoint(traffic, &key).await?;
            lock(&traffic.follow).on_platform_head(asked_at, head, Some(checkpoint))
        }
        other => other,
    };
    apply_outcome(traffic, followed);
    Some(found.version)
}

async fn read_checkpoint(traffic: &Traffic, key: &str) -> Option<Checkpoint> {
    let found = traffic.platform.read(key).await.ok()?;
    decode(&found.value?).ok()
}

/// Puts a newer revision in force, and tells of one that can't be used.
pub fn apply_outcome(traffic: &Traffic, followed: FollowOutcome) {
    match followed {
        FollowOutcome::Advanced(in_force) => publish(traffic, &in_force),
        FollowOutcome::Rejected(fault) => {
            tracing::error!(fault = %fault, "the newest settings can't be used; the last good stay");
        }
        FollowOutcome::Unchanged | FollowOutcome::NeedsCheckpoint(_) => {}
    }
    publish_status(traffic);
}

fn publish(traffic: &Traffic, in_force: &ActiveSettings) {
    let view = SettingsView::new(in_force, traffic.config.hall.as_str());
    traffic.dispatcher().set_settings(view.routing.clone());
    // Another thread may have published a newer one in between: only forward.
    traffic.settings.rcu(|current| match current {
        Some(newer) if newer.revision >= view.revision => Some(Arc::clone(newer)),
        _ => Some(Arc::new(view.clone())),
    });
    tracing::info!(revision = in_force.revision.0, "settings in force");
}

fn publish_status(traffic: &Traffic) {
    let follow = lock(&traffic.follow);
    let mut status = lock(&traffic.status);
    status.settings.revision = follow.revision();
    status.settings.fault = follow.last_error().map(ToString::to_string);
    status.confirmed_at = follow.confirmed_at();
}
