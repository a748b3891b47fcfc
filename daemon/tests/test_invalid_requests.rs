//! Invalid requests and box files: each error is reported by a specific code or message, and no
//! resource stays reserved for a rejected request.

use std::time::Duration;

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::WORKSPACE_KEY;
use badgerferry_testutils::fleet::chat_body;
use badgerferry_testutils::fleet::wait_until;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Pause between segments, so that the box reads each by itself.
const SEGMENT_PAUSE: Duration = Duration::from_millis(30);

struct Case {
    name: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, status: u16, code: &'static str) -> Case {
    Case {
        name,
        headers: vec![("authorization", "Bearer demo-key")],
        body: chat_body("hello", false).to_string(),
        status,
        code,
    }
}

fn cases() -> Vec<Case> {
    let with_header = |name, header, value, status, code| {
        let mut new_case = case(name, status, code);
        new_case.headers.push((header, value));
        new_case
    };
    let with_body = |name, body: &str, status, code| Case {
        body: body.to_owned(),
        ..case(name, status, code)
    };
    vec![
        Case {
            headers: Vec::new(),
            ..case("no key", 401, "wrong_key")
        },
        Case {
            headers: vec![("authorization", "Bearer other")],
            ..case("a wrong key", 401, "wrong_key")
        },
        with_header(
            "two keys",
            "authorization",
            "Bearer other",
            400,
            "duplicate_header",
        ),
        with_header(
            "an unknown class",
            "x-badgerferry-class",
            "nope",
            400,
            "unknown_class",
        ),
        with_header(
            "an invalid time limit",
            "x-badgerferry-time-limit-ms",
            "soon",
            400,
            "bad_header",
        ),
        with_header(
            "a time limit of zero",
            "x-badgerferry-time-limit-ms",
            "0",
            400,
            "bad_header",
        ),
        with_header(
            "an invalid not-repeatable header",
            "x-badgerferry-not-repeatable",
            "perhaps",
            400,
            "bad_header",
        ),
        with_header(
            "an empty request key",
            "x-badgerferry-request-key",
            "",
            400,
            "bad_header",
        ),
        with_body("not JSON", "{\"model\":", 400, "invalid_body"),
        with_body(
            "no messages",
            "{\"model\":\"llm-pool\"}",
            400,
            "invalid_body",
        ),
        with_body(
            "an unknown model",
            &chat_body("x", false).to_string().replace("llm-pool", "gpt"),
            503,
            "no_server",
        ),
        with_body(
            "a body over the limit",
            &"x".repeat(70_000),
            413,
            "body_too_large",
        ),
        with_body(
            "a prompt over the limit",
            &chat_body(&"x".repeat(5_000), false).to_string(),
            413,
            "prompt_too_long",
        ),
        with_header(
            "a time limit that is too short",
            "x-badgerferry-time-limit-ms",
            "1",
            503,
            "would_miss_deadline",
        ),
    ]
}

#[tokio::test]
async fn invalid_requests_get_a_specific_error() -> anyhow::Result<()> {
    let plan = FleetPlan {
        boxes: 1,
        settings: vec![
            ("request.max_body_bytes", 65_536.into()),
            ("request.max_prompt_tokens", 1_000.into()),
        ],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;

    for case in cases() {
        let address = fleet.boxes[0].address;
        let path = "/v1/chat/completions";
        let method = hyper::Method::POST;
        let response = fleet
            .caller
            .call(method, address, path, &case.headers, case.body)
            .await?;
        let body: Value = response.json()?;
        let name = case.name;
        assert_eq!(response.status.as_u16(), case.status, "{name}: {body}");
        assert_eq!(body["error"]["code"], case.code, "{name}: {body}");
        assert_eq!(body["error"]["ran"], "no", "{name}: {body}");
    }

    let status = fleet.status(0).await?;
    assert_eq!(
        (status.waiting, status.active),
        (0, 0),
        "no request is queued or active"
    );
    Ok(())
}

/// Lets a caller send a request and these segments after it, and leave while it is in progress; waits until
/// the engines are free.
async fn assert_engine_is_freed(is_stream: bool, segments: &[&str]) -> anyhow::Result<()> {
    let engine_args = ["--iteration-ms", "400"];
    let plan = FleetPlan {
        boxes: 1,
        engine_args: engine_args.map(str::to_owned).to_vec(),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let body = chat_body("hello", is_stream).to_string();
    let mut stream = TcpStream::connect(fleet.boxes[0].address).await?;
    stream.set_nodelay(true)?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {WORKSPACE_KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    if is_stream {
        stream.read_exact(&mut [0; 64]).await?;
    }
    for segment in segments {
        stream.write_all(segment.as_bytes()).await?;
        tokio::time::sleep(SEGMENT_PAUSE).await;
    }

    drop(stream);

    wait_until("every engine has freed its memory", async || {
        let mut used = 0;
        for engine in 0..3 {
            used += fleet.memory_used(engine).await.unwrap_or(1);
        }
        used == 0 && fleet.status(0).await.is_ok_and(|status| status.active == 0)
    })
    .await?;
    assert!(fleet.log(0)?.contains("request cancelled"));
    Ok(())
}

#[tokio::test]
async fn caller_disconnect_frees_the_engine() -> anyhow::Result<()> {
    assert_engine_is_freed(true, &[]).await
}

#[tokio::test]
async fn caller_disconnect_behind_unread_segments_frees_the_engine() -> anyhow::Result<()> {
    assert_engine_is_freed(false, &["GET /health HTTP/1.1\r\n", "host:", " x\r\n"]).await
}

#[tokio::test]
async fn all_errors_of_a_box_file_are_reported() -> anyhow::Result<()> {
    let path = std::env::temp_dir().join(format!("badgerferry-bad-{}.json", std::process::id()));
    std::fs::write(
        &path,
        r#"{"name": "", "listen": "here", "peer_key": "00", "colour": 1}"#,
    )?;

    let output = std::process::Command::new(env!("CARGO_BIN_EXE_badgerferryd"))
        .args(["--check", "--config"])
        .arg(&path)
        .output()?;

    std::fs::remove_file(&path)?;
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for error in [
        "name: text is expected",
        "hall: is missing",
        "listen: an address as 10.0.0.1:8080 is expected, not \"here\"",
        "peer_listen: is missing",
        "platform: is missing",
        "peer_key: 32 bytes in hexadecimal are expected",
        "colour: there is no such field",
    ] {
        assert!(text.contains(error), "{error} is not in:\n{text}");
    }
    Ok(())
}
