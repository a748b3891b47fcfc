//! Claims the key of a not-repeatable request at the platform.
//!
//! The same key sent again, through whichever box, finds the claim and is refused. A
//! claim is written before anything is dispatched; if the platform gives no answer the
//! request is refused, not run. What remains open is in `docs/design/at-most-once.md`.

use std::sync::Arc;
use std::time::Duration;

use badgerferry_edges::platform::Platform;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::settings_commit::SwapResponse;
use sha2::Digest;
use sha2::Sha256;

use crate::traffic::Traffic;

/// How long a key stays claimed; callers repeat within minutes, not hours.
const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Reads that settle a write whose answer was lost.
const SETTLE_READS: u32 = 3;
/// Tries to take back the claim of a request that was not run.
const RELEASE_TRIES: u32 = 10;
/// Pause between such tries.
const RELEASE_PAUSE: Duration = Duration::from_secs(3);

/// A claim that this request holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    key: String,
    mine: Vec<u8>,
}

fn platform_key(workspace: &WorkspaceName, request_key: &str) -> String {
    let digest = Sha256::digest(format!("{workspace}\0{request_key}").as_bytes());
    format!("once/{}", hex::encode(digest))
}

/// Claims a key for a request.
///
/// # Errors
///
/// The key is another's, or the platform gave no answer.
pub async fn claim(
    traffic: &Arc<Traffic>,
    workspace: &WorkspaceName,
    request_key: &str,
    id: RequestId,
) -> Result<Claim, RefusalReason> {
    let key = platform_key(workspace, request_key);
    let mine = id.to_string().into_bytes();
    let claim = Claim {
        key: key.clone(),
        mine: mine.clone(),
    };
    let written = traffic
        .platform
        .swap(&key, 0, mine.clone(), Some(CLAIM_TTL))
        .await;
    if written == Ok(SwapResponse::Swapped) {
        return Ok(claim);
    }
    // A conflict may be with this very write, if its answer was lost below us.
    for _ in 0..SETTLE_READS {
        match traffic.platform.read(&key).await {
            Ok(found) if found.value.as_ref() == Some(&mine) => return Ok(claim),
            Ok(found) if found.value.is_some() => return Err(RefusalReason::DuplicateKey),
            Ok(_) | Err(_) => {}
        }
    }
    // The write may still come; a refusal must not leave its key claimed.
    release(traffic, claim);
    Err(RefusalReason::KeyNotChecked)
}

/// Takes back the claim of a request that was not run, in the background.
pub fn release(traffic: &Arc<Traffic>, claim: Claim) {
    let traffic = Arc::clone(traffic);
    tokio::spawn(async move {
        for _ in 0..RELEASE_TRIES {
            if is_released(&traffic, &claim).await {
                return;
            }
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
        tracing::warn!(key = claim.key, "a claim could not be taken back");
    });
}

/// Deletes the claim if it is this request's; another's is never touched.
async fn is_released(traffic: &Traffic, claim: &Claim) -> bool {
    match traffic.platform.read(&claim.key).await {
        Ok(found) if found.value.as_ref() == Some(&claim.mine) => {
            let deleted = traffic.platform.delete(&claim.key, found.version).await;
            deleted == Ok(SwapResponse::Swapped)
        }
        // Nothing there: a write whose answer was lost may still come, so look again.
        Ok(found) => found.value.is_some(),
        Err(_) => false,
    }
}
