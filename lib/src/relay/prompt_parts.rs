//! Parts of a prompt that other requests may share, as the caller states them.

use std::fmt;

/// Maximum number of parts that are kept per prompt. A longer prompt keeps its first parts, which
/// most other requests share.
pub const MAX_PARTS: usize = 32;

/// Id of a part of a prompt, chosen by callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Shared parts of a prompt, in order and without duplicates. The last part of a prompt belongs to
/// the request or its session, and is not among them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts {
    ids: Vec<PartId>,
    omitted: usize,
}

impl PromptParts {
    /// Collects the shared parts of a prompt; `None` stands for a part whose id is malformed.
    pub fn collect(parts: impl Iterator<Item = Option<PartId>>) -> Self {
        let mut collected = Self::default();
        for part in parts {
            match part {
                Some(id) if collected.ids.contains(&id) => {}
                Some(id) if collected.ids.len() < MAX_PARTS => collected.ids.push(id),
                Some(_) | None => collected.omitted += 1,
            }
        }
        collected
    }

    /// Ids of the parts, in order.
    pub fn ids(&self) -> &[PartId] {
        &self.ids
    }

    /// Number of parts that are malformed, or beyond [`MAX_PARTS`].
    pub const fn omitted(&self) -> usize {
        self.omitted
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.ids.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{id}")?;
        }
        Ok(())
    }
}
