//! What a server's answer says in a header that it may carry.

/// A value that a server may state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// The answer lacks the header.
    #[default]
    Absent,
    /// The value.
    Value(T),
    /// The header is there and can't be read.
    Unreadable,
}

impl<T> ParsedHeader<T> {
    /// The value, if there is one.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}
