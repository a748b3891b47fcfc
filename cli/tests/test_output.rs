//! What the command line prints, as snapshots.

use std::process::Command;
use std::process::Output;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerferry"));
    command.env_remove("BADGERFERRY_PLATFORM").args(args);
    command.output().expect("the command line starts")
}

fn text(output: &Output) -> String {
    let part = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "exit {:?}\n--- out\n{}--- err\n{}",
        output.status.code(),
        part(&output.stdout),
        part(&output.stderr)
    )
}

#[test]
fn settings_are_listed_with_unit_default_and_meaning() {
    insta::assert_snapshot!(text(&run(&["settings", "keys"])));
}

#[test]
fn missing_platform_is_told_with_a_hint() {
    insta::assert_snapshot!(text(&run(&["settings", "show"])));
}

#[test]
fn wrong_words_are_a_usage_error() {
    let output = run(&["settings", "paint"]);

    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
}

#[test]
fn key_digest_is_the_sha256() {
    insta::assert_snapshot!(text(&run(&["key-digest", "demo-key"])));
}

#[test]
fn unsound_file_is_told_fault_by_fault() {
    let path = std::env::temp_dir().join(format!("badgerferry-tree-{}.json", std::process::id()));
    let tree = r#"{"nodes": {
        "fleet": {"kind": "root", "set": {"request.priority": "soon"}},
        "a": {"kind": "workspace", "parent": "b"},
        "c": {"kind": "region", "parent": "c", "set": {"colour": 1}}
    }}"#;
    std::fs::write(&path, tree).expect("the file can be written");

    let output = run(&["settings", "check", &path.display().to_string()]);

    std::fs::remove_file(&path).expect("the file is there");
    let told = text(&output).replace(&path.display().to_string(), "FILE");
    insta::assert_snapshot!(told);
}
