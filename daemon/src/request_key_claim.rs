//! Claims the key of a non-repeatable request in the platform's store.
//!
//! A request with a key that is already claimed is refused, at any box. The claim is written
//! before the request is dispatched; if the platform does not respond, the request is refused
//! without running. See `docs/design/at-most-once.md` for the remaining cases.

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

/// How long a key stays claimed. Callers resubmit within minutes, not hours.
const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Maximum number of reads to find out whether a write without a response took effect.
const CONFIRM_READS: u32 = 3;
/// Maximum number of attempts to release the claim of a request that did not run.
const RELEASE_ATTEMPTS: u32 = 10;
const RELEASE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// A claim owned by a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    key: String,
    own_value: Vec<u8>,
}

fn platform_key(workspace: &WorkspaceName, request_key: &str) -> String {
    let digest = Sha256::digest(format!("{workspace}\0{request_key}").as_bytes());
    format!("once/{}", hex::encode(digest))
}

/// Claims a request key. The value of the claim is the identifier of the request that owns it.
///
/// # Errors
///
/// Another submission claimed the key, or the platform did not respond.
pub async fn claim(
    traffic: &Arc<Traffic>,
    workspace: &WorkspaceName,
    request_key: &str,
    id: RequestId,
) -> Result<Claim, RefusalReason> {
    let key = platform_key(workspace, request_key);
    let own_value = id.to_string().into_bytes();
    let claim = Claim {
        key: key.clone(),
        own_value: own_value.clone(),
    };
    let swapped = traffic
        .platform
        .swap(&key, 0, own_value.clone(), Some(CLAIM_TTL))
        .await;
    if swapped == Ok(SwapResponse::Swapped) {
        return Ok(claim);
    }
    // A conflict may be caused by this same write, if its response was lost at a lower layer.
    for _ in 0..CONFIRM_READS {
        match traffic.platform.read(&key).await {
            Ok(found) if found.value.as_ref() == Some(&own_value) => return Ok(claim),
            Ok(found) if found.value.is_some() => return Err(RefusalReason::DuplicateKey),
            Ok(_) | Err(_) => {}
        }
    }
    // The write may still take effect, and a refused request must not leave its key claimed.
    release(traffic, claim);
    Err(RefusalReason::KeyNotChecked)
}

/// Releases the claim of a request that did not run, in the background.
pub fn release(traffic: &Arc<Traffic>, claim: Claim) {
    let traffic = Arc::clone(traffic);
    tokio::spawn(async move {
        for _ in 0..RELEASE_ATTEMPTS {
            if try_release(&traffic, &claim).await {
                return;
            }
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
        tracing::warn!(key = claim.key, "claim not released: all attempts failed");
    });
}

/// Deletes the claim if this request owns it, never that of another request. Returns whether no
/// further attempt is needed.
async fn try_release(traffic: &Traffic, claim: &Claim) -> bool {
    match traffic.platform.read(&claim.key).await {
        Ok(found) if found.value.as_ref() == Some(&claim.own_value) => {
            let deleted = traffic.platform.delete(&claim.key, found.version).await;
            deleted == Ok(SwapResponse::Swapped)
        }
        // No entry: a write without a response may still take effect, so read again later.
        Ok(found) => found.value.is_some(),
        Err(_) => false,
    }
}
