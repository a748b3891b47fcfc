//! Typed names and identifiers.
//!
//! Names chosen by operators are newtypes over strings, so that the compiler rejects a
//! workspace name where a server name is expected. Identifiers that must be unguessable are
//! 128 random bits from a generator that the caller passes in.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name without validation.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a box that runs a daemon.
    BoxName
);
name_type!(
    /// Name of a data hall: one site with its boxes and servers.
    HallName
);
name_type!(
    /// Name of a backend server: an engine or a plain service.
    ServerName
);
name_type!(
    /// Name of a model, or of the pool of a plain service.
    ModelName
);
name_type!(
    /// Name of a workspace: one customer.
    WorkspaceName
);
name_type!(
    /// Name of a node of the settings tree.
    NodeName
);

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u128);

        impl $name {
            /// Generates a random identifier.
            pub fn draw(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{self}")
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                match u128::from_str_radix(text, 16) {
                    Ok(bits) if text.len() == 32 => Ok(Self(bits)),
                    _ => Err(ParseIdError),
                }
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = String::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

random_id!(
    /// Identifies one request from a caller.
    RequestId
);
random_id!(
    /// Identifies one attempt of a request at a backend server; the server echoes it.
    AttemptId
);
random_id!(
    /// Identifies one edit of the settings tree.
    EditId
);
random_id!(
    /// Distinguishes a process from its predecessor at the same address.
    Incarnation
);

/// Error for a text that is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct ParseIdError;

/// Number of a committed state of the settings tree; each edit increments it by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision that the next edit creates.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
