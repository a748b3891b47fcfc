//! What is wrong with a request is told clearly, and nothing is held for it.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::WORKSPACE_KEY;
use badgerferry_testutils::fleet::chat_body;
use badgerferry_testutils::fleet::wait_until;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Case {
    what: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    code: &'static str,
}

fn case(what: &'static str, status: u16, code: &'static str) -> Case {
    Case {
        what,
        headers: vec![("authorization", "Bearer demo-key")],
        body: chat_body("hello", false).to_string(),
        status,
        code,
    }
}

fn cases() -> Vec<Case> {
    let header = |what, name, value, status, code| {
        let mut found = case(what, status, code);
        found.headers.push((name, value));
        found
    };
    let body = |what, body: &str, status, code| Case {
        body: body.to_owned(),
        ..case(what, status, code)
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
        header(
            "two keys",
            "authorization",
            "Bearer other",
            400,
            "duplicate_header",
        ),
        header(
            "no such class",
            "x-badgerferry-class",
            "nope",
            400,
            "unknown_class",
        ),
        header(
            "a bad limit",
            "x-badgerferry-time-limit-ms",
            "soon",
            400,
            "bad_header",
        ),
        header(
            "a zero limit",
            "x-badgerferry-time-limit-ms",
            "0",
            400,
            "bad_header",
        ),
        header(
            "a bad mark",
            "x-badgerferry-not-repeatable",
            "perhaps",
            400,
            "bad_header",
        ),
        header(
            "an empty key",
            "x-badgerferry-request-key",
            "",
            400,
            "bad_header",
        ),
        body("no JSON", "{\"model\":", 400, "invalid_body"),
        body(
            "no messages",
            "{\"model\":\"llm-pool\"}",
            400,
            "invalid_body",
        ),
        body(
            "no such model",
            &chat_body("x", false).to_string().replace("llm-pool", "gpt"),
            503,
            "no_server",
        ),
        body(
            "a body over the limit",
            &"x".repeat(70_000),
            413,
            "body_too_large",
        ),
        body(
            "too long a prompt",
            &chat_body(&"x".repeat(5_000), false).to_string(),
            413,
            "prompt_too_long",
        ),
        header(
            "too short a limit",
            "x-badgerferry-time-limit-ms",
            "1",
            503,
            "would_miss_deadline",
        ),
    ]
}

#[tokio::test]
async fn bad_requests_get_a_clear_error() -> anyhow::Result<()> {
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
        let answer = fleet
            .caller
            .call(method, address, path, &case.headers, case.body)
            .await?;
        let body: Value = answer.json()?;
        let what = case.what;
        assert_eq!(answer.status.as_u16(), case.status, "{what}: {body}");
        assert_eq!(body["error"]["code"], case.code, "{what}: {body}");
        assert_eq!(body["error"]["ran"], "no", "{what}: {body}");
    }

    let status = fleet.status(0).await?;
    assert_eq!((status.waiting, status.active), (0, 0), "nothing is held");
    Ok(())
}

#[tokio::test]
async fn caller_that_goes_away_frees_the_engine() -> anyhow::Result<()> {
    let engine_args = ["--iteration-ms", "400"];
    let plan = FleetPlan {
        boxes: 1,
        engine_args: engine_args.map(str::to_owned).to_vec(),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let body = chat_body("hello", true).to_string();
    let mut stream = TcpStream::connect(fleet.boxes[0].address).await?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {WORKSPACE_KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut first = [0; 64];
    stream.read_exact(&mut first).await?;

    drop(stream);

    wait_until("no engine holds anything", async || {
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
async fn box_file_with_faults_tells_all_of_them() -> anyhow::Result<()> {
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
    for fault in [
        "name: text is expected",
        "hall: is missing",
        "listen: an address as 10.0.0.1:8080 is expected, not \"here\"",
        "peer_listen: is missing",
        "platform: is missing",
        "peer_key: 32 bytes in hexadecimal are expected",
        "colour: there is no such field",
    ] {
        assert!(text.contains(fault), "{fault} is not in:\n{text}");
    }
    Ok(())
}
