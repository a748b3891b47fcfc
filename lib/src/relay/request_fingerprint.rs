//! Fingerprints of requests, and ids of server incarnations.
//!
//! A caller that retries makes a new call with a new id, possibly at another box. What stays the
//! same is the request: method, host, path, query, workspace and body. The workspace is part of the
//! fingerprint, so that no caller can get another workspace's requests quarantined.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::ServerName;
use crate::ids::WorkspaceName;

/// The parts of a request that its fingerprint covers.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host, compared without regard to case.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Workspace of the caller, if known.
    pub workspace: Option<&'a WorkspaceName>,
    /// Complete request body.
    pub body: &'a [u8],
}

/// Fingerprint of a request, the same at every box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint {
    /// Digest of the workspace, used to limit the quarantine records of each workspace.
    pub workspace_digest: u32,
    /// Digest of all parts of the request, including the workspace.
    pub digest: u64,
}

impl RequestFingerprint {
    /// Computes the fingerprint, in time linear in the length of the body.
    pub fn of(input: &FingerprintInput<'_>) -> Self {
        let workspace = workspace_name(input.workspace);
        let host = input.host.to_ascii_lowercase();
        let mut hasher = Sha256::new();
        let texts = [input.method, &host, input.target, workspace];
        for text in texts.map(str::as_bytes).into_iter().chain([input.body]) {
            // The length prefix of each part keeps "ab" + "c" distinct from "a" + "bc".
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        Self {
            workspace_digest: workspace_digest(input.workspace),
            digest: first_bytes(&hasher.finalize()),
        }
    }
}

fn workspace_name(workspace: Option<&WorkspaceName>) -> &str {
    workspace.map_or("", WorkspaceName::as_str)
}

/// Digest of a workspace, the same at every box.
pub(crate) fn workspace_digest(workspace: Option<&WorkspaceName>) -> u32 {
    short_digest(workspace_name(workspace))
}

/// Digest of a name, the same at every box.
pub(crate) fn short_digest(name: &str) -> u32 {
    first_bytes(&Sha256::digest(name)) as u32
}

fn first_bytes(digest: &[u8]) -> u64 {
    let (first, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
    u64::from_le_bytes(*first)
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.workspace_digest, self.digest)
    }
}

/// The text is not a request fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected 24 hexadecimal digits")]
pub struct ParseFingerprintError;

impl FromStr for RequestFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let (workspace_digest, digest) = text.split_at_checked(8).ok_or(ParseFingerprintError)?;
        let is_fingerprint =
            digest.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_fingerprint {
            return Err(ParseFingerprintError);
        }
        let invalid = |_not_hex| ParseFingerprintError;
        Ok(Self {
            workspace_digest: u32::from_str_radix(workspace_digest, 16).map_err(invalid)?,
            digest: u64::from_str_radix(digest, 16).map_err(invalid)?,
        })
    }
}

/// Serializes as text in human-readable formats and as numbers in binary ones.
impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if out.is_human_readable() {
            return out.collect_str(self);
        }
        (self.workspace_digest, self.digest).serialize(out)
    }
}

impl<'de> Deserialize<'de> for RequestFingerprint {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        if input.is_human_readable() {
            let text = String::deserialize(input)?;
            return text.parse().map_err(serde::de::Error::custom);
        }
        let (workspace_digest, digest) = Deserialize::deserialize(input)?;
        Ok(Self {
            workspace_digest,
            digest,
        })
    }
}

/// Id of one incarnation of a server, the same at every box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// The incarnation that started at `born`, in Unix milliseconds, if the server reports it.
    pub fn of(name: &ServerName, born: Option<u64>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(born.unwrap_or_default().to_le_bytes());
        hasher.update(name.as_str());
        Self(first_bytes(&hasher.finalize()))
    }
}
