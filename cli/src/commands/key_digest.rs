//! `badgerferry key-digest`

use argh::FromArgs;
use sha2::Digest;
use sha2::Sha256;

/// Print the digest of a workspace key, for `workspace.key_digests`.
#[derive(FromArgs)]
#[argh(subcommand, name = "key-digest")]
pub struct KeyDigestArgs {
    /// the key
    #[argh(positional)]
    key: String,
}

/// Prints the SHA-256 digest in hexadecimal.
pub fn cmd_key_digest(args: &KeyDigestArgs) {
    println!("{}", hex::encode(Sha256::digest(args.key.as_bytes())));
}
