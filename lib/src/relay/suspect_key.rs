//! What crashes of servers are attributed to: a whole request, or a part of a prompt that unlike
//! requests share.
//!
//! A part is identified by the id that callers state, the service and the workspace. The service is
//! included because its servers may handle a part that others crash on. The workspace is included
//! because a caller may state any id: no workspace can get a part of another one quarantined.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::ids::WorkspaceName;
use crate::relay::prompt_parts::PartId;
use crate::relay::prompt_parts::PromptParts;
use crate::relay::request_fingerprint::RequestFingerprint;
use crate::relay::request_fingerprint::short_digest;
use crate::relay::request_fingerprint::workspace_digest;
use crate::relay::route_table::ServiceName;

/// Prefix of the text form of a part.
const PART_PREFIX: &str = "part-";

/// A part of the prompts that a workspace sends to a service. The keys of one part in all
/// workspaces are adjacent in the order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct PartFingerprint {
    /// Id of the part.
    pub id: u64,
    /// Digest of the service.
    pub service_digest: u32,
    /// Digest of the workspace.
    pub workspace_digest: u32,
}

/// What crashes of servers are attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuspectKey {
    /// A whole request.
    Request(RequestFingerprint),
    /// A part of a prompt.
    Part(PartFingerprint),
}

/// Kind of a [`SuspectKey`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A whole request.
    #[default]
    Request,
    /// A part of a prompt.
    Part,
}

impl SuspectKey {
    /// Kind of the key.
    pub const fn kind(self) -> SuspectKind {
        match self {
            Self::Request(_) => SuspectKind::Request,
            Self::Part(_) => SuspectKind::Part,
        }
    }

    /// Digest of the workspace.
    pub const fn workspace_digest(self) -> u32 {
        match self {
            Self::Request(request) => request.workspace_digest,
            Self::Part(part) => part.workspace_digest,
        }
    }
}

/// Keys of one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallKeys {
    request: Option<RequestFingerprint>,
    parts: Vec<PartFingerprint>,
}

impl CallKeys {
    /// Keys of a call; without `request` if its fingerprint is not known.
    pub fn of(
        request: Option<RequestFingerprint>,
        parts: &PromptParts,
        service: &ServiceName,
        workspace: Option<&WorkspaceName>,
    ) -> Self {
        let service_digest = short_digest(service.as_str());
        let part = |id: &PartId| PartFingerprint {
            id: id.0,
            service_digest,
            workspace_digest: workspace_digest(workspace),
        };
        Self {
            request,
            parts: parts.ids().iter().map(part).collect(),
        }
    }

    /// Fingerprint of the request, if known.
    pub const fn request(&self) -> Option<RequestFingerprint> {
        self.request
    }

    /// Parts of the prompt, in order.
    pub fn parts(&self) -> &[PartFingerprint] {
        &self.parts
    }

    /// All keys.
    pub fn iter(&self) -> impl Iterator<Item = SuspectKey> {
        let request = self.request.map(SuspectKey::Request);
        let parts = self.parts.iter().copied().map(SuspectKey::Part);
        request.into_iter().chain(parts)
    }
}

impl From<SuspectKey> for CallKeys {
    fn from(key: SuspectKey) -> Self {
        match key {
            SuspectKey::Request(request) => Self {
                request: Some(request),
                parts: Vec::new(),
            },
            SuspectKey::Part(part) => Self {
                request: None,
                parts: vec![part],
            },
        }
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Part(part) => {
                let PartFingerprint {
                    id,
                    service_digest,
                    workspace_digest,
                } = part;
                let id = PartId(*id);
                write!(
                    f,
                    "{PART_PREFIX}{id}-{service_digest:08x}-{workspace_digest:08x}"
                )
            }
        }
    }
}

/// The text is neither a request fingerprint nor a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected 24 hexadecimal digits, or {PART_PREFIX}ID-SERVICE-WORKSPACE in hexadecimal")]
pub struct ParseKeyError;

impl FromStr for SuspectKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let Some(part) = text.strip_prefix(PART_PREFIX) else {
            let request = text.parse().map_err(|_invalid| ParseKeyError)?;
            return Ok(Self::Request(request));
        };
        let is_hex = |digits: &&str| digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        let fields: Vec<&str> = part.split('-').filter(is_hex).collect();
        let &[id, service, workspace] = fields.as_slice() else {
            return Err(ParseKeyError);
        };
        let digest = |text| u32::from_str_radix(text, 16).map_err(|_invalid| ParseKeyError);
        Ok(Self::Part(PartFingerprint {
            id: u64::from_str_radix(id, 16).map_err(|_invalid| ParseKeyError)?,
            service_digest: digest(service)?,
            workspace_digest: digest(workspace)?,
        }))
    }
}

/// Binary form of [`SuspectKey`].
#[derive(Serialize, Deserialize)]
enum WireKey {
    Request(RequestFingerprint),
    Part(PartFingerprint),
}

/// Serializes as text in human-readable formats and as numbers in binary ones.
impl Serialize for SuspectKey {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if out.is_human_readable() {
            return out.collect_str(self);
        }
        let wire = match *self {
            Self::Request(request) => WireKey::Request(request),
            Self::Part(part) => WireKey::Part(part),
        };
        wire.serialize(out)
    }
}

impl<'de> Deserialize<'de> for SuspectKey {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        if input.is_human_readable() {
            let text = String::deserialize(input)?;
            return text.parse().map_err(serde::de::Error::custom);
        }
        Ok(match WireKey::deserialize(input)? {
            WireKey::Request(request) => Self::Request(request),
            WireKey::Part(part) => Self::Part(part),
        })
    }
}
