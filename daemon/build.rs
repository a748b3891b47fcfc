//! States which code is built: the commit, and a digest of the sources, which also differs for changes
//! that are not committed and is known without the repository.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use sha2::Digest;
use sha2::Sha256;

/// What the program is built from, relative to the workspace.
const SOURCES: [&str; 5] = [
    "Cargo.lock",
    "daemon/src",
    "edges/src",
    "lib/src",
    "platform/src",
];
/// Digits of the commit and of the digest.
const DIGITS: usize = 12;

fn main() -> io::Result<()> {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let commit = commit(&workspace.join(".git")).unwrap_or_else(|| "unknown".to_owned());
    let sources = digest(&workspace)?;
    println!("cargo::rustc-env=BADGERFERRY_COMMIT={commit}");
    println!("cargo::rustc-env=BADGERFERRY_SOURCES={sources}");
    Ok(())
}

/// The commit that is checked out, if the repository is there.
fn commit(repository: &Path) -> Option<String> {
    let head = read_tracked(&repository.join("HEAD"))?;
    let commit = match head.strip_prefix("ref: ") {
        Some(branch) => read_tracked(&repository.join(branch)).or_else(|| {
            let packed = read_tracked(&repository.join("packed-refs"))?;
            let line = packed.lines().find(|line| line.ends_with(branch))?;
            Some(line.split(' ').next()?.to_owned())
        })?,
        None => head,
    };
    Some(commit.get(..DIGITS)?.to_owned())
}

/// Text of a file that the build depends on.
fn read_tracked(path: &Path) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    println!("cargo::rerun-if-changed={}", path.display());
    Some(text.trim().to_owned())
}

fn digest(workspace: &Path) -> io::Result<String> {
    let mut files = Vec::new();
    for source in SOURCES {
        let path = workspace.join(source);
        println!("cargo::rerun-if-changed={}", path.display());
        collect_files(&path, &mut files)?;
    }
    files.sort();
    let mut hash = Sha256::new();
    for path in files {
        let name = path.strip_prefix(workspace).unwrap_or(&path);
        hash.update(name.as_os_str().as_encoded_bytes());
        hash.update([0]);
        hash.update(fs::read(&path)?);
    }
    let mut digest = hex::encode(hash.finalize());
    digest.truncate(DIGITS);
    Ok(digest)
}

fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if path.is_file() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect_files(&entry?.path(), files)?;
    }
    Ok(())
}
