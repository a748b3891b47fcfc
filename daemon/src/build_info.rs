//! Which code this program was built from.

/// Identity of a build.
#[derive(Debug, Clone, Copy)]
pub struct Build {
    /// Version of the package.
    pub version: &'static str,
    /// Commit that was checked out, or `unknown` without the repository.
    pub commit: &'static str,
    /// Digest of the sources, changes that are not committed included.
    pub sources: &'static str,
}

/// This build.
pub const BUILD: Build = Build {
    version: env!("CARGO_PKG_VERSION"),
    commit: env!("BADGERFERRY_COMMIT"),
    sources: env!("BADGERFERRY_SOURCES"),
};
