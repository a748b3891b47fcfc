//! Result of parsing an optional response header.

/// Value of an optional header in a server's response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// The response lacks the header.
    #[default]
    Absent,
    /// The header's value.
    Value(T),
    /// The header is present but malformed.
    Unreadable,
}

impl<T> ParsedHeader<T> {
    /// The value, or `None` if the header is absent or malformed.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}
