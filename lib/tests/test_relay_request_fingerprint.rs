//! What identifies a piece of work and a life of a server.

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use quickcheck::TestResult;
use quickcheck::quickcheck;

fn parts<'a>(workspace: &'a WorkspaceName, body: &'a [u8]) -> FingerprintInput<'a> {
    FingerprintInput {
        method: "POST",
        host: "host.example",
        target: "/stream/a?b=c",
        workspace: Some(workspace),
        body,
    }
}

#[test]
fn each_part_tells_works_apart_and_the_case_of_the_host_does_not() {
    let (one, other) = (WorkspaceName::new("one"), WorkspaceName::new("other"));
    let base = parts(&one, b"body");
    let key = RequestFingerprint::of(&base);
    let others = [
        FingerprintInput {
            method: "GET",
            ..base
        },
        FingerprintInput {
            host: "b.example",
            ..base
        },
        FingerprintInput {
            target: "/stream/a?b=d",
            ..base
        },
        FingerprintInput {
            workspace: None,
            ..base
        },
        parts(&other, b"body"),
        parts(&one, b"bodz"),
        // The same bytes, divided in another way.
        FingerprintInput {
            host: "host.example/stream",
            target: "/a?b=c",
            ..base
        },
    ];

    let same = RequestFingerprint::of(&FingerprintInput {
        host: "HOST.example",
        ..base
    });

    assert_eq!(key, same);
    for parts in others {
        assert_ne!(key, RequestFingerprint::of(&parts), "{parts:?}");
    }
}

#[test]
fn a_key_is_read_back_from_text_and_from_a_frame() {
    let key = RequestFingerprint::of(&parts(&WorkspaceName::new("one"), b"body"));

    let json = serde_json::to_string(&key).expect("a key can be written");
    let frame = postcard::to_stdvec(&key).expect("a key can be encoded");

    assert_eq!(json, format!("\"{key}\""));
    assert_eq!(
        serde_json::from_str::<RequestFingerprint>(&json).ok(),
        Some(key)
    );
    assert_eq!(
        postcard::from_bytes::<RequestFingerprint>(&frame).ok(),
        Some(key)
    );
}

#[test]
fn a_server_that_starts_again_under_its_name_has_another_life() {
    let name = ServerName::new("i-1");

    let lives = [None, Some(1), Some(2)].map(|born| ServerIncarnation::of(&name, born));

    assert_ne!(lives[1], lives[2]);
    assert_ne!(lives[0], lives[1]);
}

quickcheck! {
    fn text_that_is_no_key_is_turned_down(text: String) -> TestResult {
        if text.len() == 24 && text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return TestResult::discard();
        }
        TestResult::from_bool(text.parse::<RequestFingerprint>().is_err())
    }
}
