//! Snapshots of the command line's output.

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
fn missing_platform_is_reported_with_a_hint() {
    insta::assert_snapshot!(text(&run(&["settings", "show"])));
}

#[test]
fn unknown_subcommand_is_a_usage_error() {
    let output = run(&["settings", "paint"]);

    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
}

#[test]
fn key_digest_is_the_sha256() {
    insta::assert_snapshot!(text(&run(&["key-digest", "demo-key"])));
}

#[test]
fn all_errors_of_an_invalid_tree_are_reported() {
    let path = std::env::temp_dir().join(format!("badgerferry-tree-{}.json", std::process::id()));
    let tree = r#"{"nodes": {
        "fleet": {"kind": "root", "set": {"request.priority": "soon"}},
        "a": {"kind": "workspace", "parent": "b"},
        "c": {"kind": "region", "parent": "c", "set": {"colour": 1}}
    }}"#;
    std::fs::write(&path, tree).expect("the file can be written");

    let output = run(&["settings", "check", &path.display().to_string()]);

    std::fs::remove_file(&path).expect("the file is there");
    let masked = text(&output).replace(&path.display().to_string(), "FILE");
    insta::assert_snapshot!(masked);
}

fn call_line(id: &str, tokens: u64, first_event_ms: u64, waited_ms: u64) -> String {
    format!(
        r#"box-1 {{"timestamp":"2026-03-07T04:57:50.72Z","level":"INFO","message":"call ended","call":"{id}","route":"r","outcome":"answered","status":200,"sent":1,"tokens":{tokens},"took_ms":9000,"objective_ms":3000,"first_event_ms":{first_event_ms},"waited_ms":{waited_ms},"expected_ms":1000,"longest_pause_ms":100,"pause_limit_ms":1000}}"#
    )
}

#[test]
fn lost_calls_are_reported_by_size_and_cause() {
    let path = std::env::temp_dir().join(format!("badgerferry-log-{}.json", std::process::id()));
    let lines = [
        call_line("a1", 180_000, 5_000, 3_900),
        call_line("a2", 200_000, 900, 0),
        call_line("a3", 5_000, 3_100, 0),
        r#"{"timestamp":"2026-03-07T04:57:51.02Z","message":"call ended","call":"a4","outcome":"no_server","status":503,"sent":0,"took_ms":800,"objective_ms":150}"#.to_owned(),
        r#"{"timestamp":"2026-03-07T04:57:51.02Z","message":"call routed","call":"a5"}"#.to_owned(),
        "a line that is none of ours".to_owned(),
    ];
    std::fs::write(&path, lines.join("\n")).expect("the file can be written");

    let output = run(&["lost", &path.display().to_string()]);

    std::fs::remove_file(&path).expect("the file is there");
    insta::assert_snapshot!(text(&output));
}

#[test]
fn engines_are_reported_by_second_with_the_count_of_skipped_lines() {
    let path = std::env::temp_dir().join(format!("badgerferry-engines-{}.log", std::process::id()));
    let log = [
        r#"{"timestamp":"2026-03-07T04:57:50.000000Z","message":"daemon started"}"#,
        r#"{"timestamp":"2026-03-07T04:57:51.000000Z","message":"call routed","call":"a","address":"10.0.0.1:1","read_at":"10.0.0.2:1","part_ms":400,"long":true,"waited_ms":500,"expected_ms":450}"#,
        r#"{"timestamp":"2026-03-07T04:57:51.600000Z","message":"stream begins","call":"a"}"#,
        r#"{"timestamp":"2026-03-07T04:57:52.500000Z","message":"call ended","call":"a"}"#,
        r#"{"timestamp":"2026-03-07T04:57:53.000000Z","message":"call routed","call":"b"}"#,
        r#"{"timestamp":"2026-03-07T04:57:5"#,
    ];
    std::fs::write(&path, log.join("\n")).expect("the file can be written");
    let plot = path.with_extension("svg");

    let table = run(&["engines", &path.display().to_string()]);
    let json = run(&["engines", "--json", &path.display().to_string()]);
    let drawn = run(&[
        "engines",
        &path.display().to_string(),
        "--plot",
        &plot.display().to_string(),
    ]);

    let svg = std::fs::read_to_string(&plot).expect("the plot is there");
    for file in [&path, &plot] {
        std::fs::remove_file(file).expect("the file is there");
    }
    assert!(drawn.status.success() && svg.contains("prompts waiting"));
    insta::assert_snapshot!(text(&table) + &text(&json));
}

#[test]
fn engines_without_a_log_file_is_a_usage_error() {
    let output = run(&["engines"]);

    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
}

#[test]
fn limited_servers_are_aggregated_over_the_logs_of_several_boxes() {
    let path = std::env::temp_dir().join(format!("badgerferry-limits-{}.log", std::process::id()));
    let lines = [
        r#"{"timestamp":"2026-03-01T00:00:08.02Z","message":"server names a limit","server":"i-1","limit":1.5,"source":"box-2"}"#,
        r#"box-2 {"timestamp":"2026-03-01T00:00:08.01Z","message":"server names a limit","server":"i-1","limit":1.5,"source":"an answer"}"#,
        r#"{"timestamp":"2026-03-01T00:00:09Z","message":"limited server asked for","call":"c1","server":"i-1","limit":1.5,"outcome":"granted","wait_ms":40}"#,
        r#"{"timestamp":"2026-03-01T00:00:09Z","message":"limited server asked for","call":"c2","server":"i-1","limit":1.5,"outcome":"full","room_in_ms":600}"#,
        r#"{"timestamp":"2026-03-01T00:00:09Z","message":"call ended","call":"c2","outcome":"servers_limited"}"#,
        r#"{"timestamp":"2026-03-01T00:00:10Z","message":"server names a limit","server":"i-2","limit":4.0}"#,
        r#"{"timestamp":"2026-03-01T00:00:12Z","message":"server names no limit any more","server":"i-2"}"#,
        r#"{"timestamp":"2026-03-01T00:00:12Z","message":"a question for a limited server got no answer"}"#,
        r#"{"timestamp":"2026-03-01T00:00:13Z","message":"server declined","call":"c3","server":"i-3","status":503,"retry_after_ms":3000}"#,
        r#"{"timestamp":"2026-03-01T00:00:13Z","message":"server declined","call":"c4","server":"i-4","status":503}"#,
        r#"{"timestamp":"2026-03-01T00:00:14Z","message":"call held back from a server","call":"c5","server":"i-3","why":"back_off"}"#,
        r#"{"timestamp":"2026-03-01T00:00:14Z","message":"call ended","call":"c5","outcome":"servers_shedding"}"#,
        r#"{"timestamp":"2026-03-01T00:00:16Z","message":"server leaves","server":"i-5","source":"box-2"}"#,
        r#"{"timestamp":"2026-03-01T00:00:15Z","message":"server leaves","server":"i-5","source":"an answer"}"#,
        "no line of a box",
    ];
    std::fs::write(&path, lines.join("\n")).expect("the file can be written");

    let output = run(&["limits", &path.display().to_string()]);

    std::fs::remove_file(&path).expect("the file is there");
    insta::assert_snapshot!(text(&output));
}
