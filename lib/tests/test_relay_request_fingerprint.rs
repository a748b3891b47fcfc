//! Request fingerprints and ids of server incarnations.

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use quickcheck::TestResult;
use quickcheck::quickcheck;

fn input<'a>(workspace: &'a WorkspaceName, body: &'a [u8]) -> FingerprintInput<'a> {
    FingerprintInput {
        method: "POST",
        host: "host.example",
        target: "/stream/a?b=c",
        workspace: Some(workspace),
        body,
    }
}

#[test]
fn fingerprint_depends_on_each_part_but_not_on_host_case() {
    let (one, other) = (WorkspaceName::new("one"), WorkspaceName::new("other"));
    let base = input(&one, b"body");
    let fingerprint = RequestFingerprint::of(&base);
    let variants = [
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
        input(&other, b"body"),
        input(&one, b"bodz"),
        // The same bytes, split differently between the parts.
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

    assert_eq!(fingerprint, same);
    for input in variants {
        assert_ne!(fingerprint, RequestFingerprint::of(&input), "{input:?}");
    }
}

#[test]
fn fingerprint_round_trips_through_text_and_binary() {
    let fingerprint = RequestFingerprint::of(&input(&WorkspaceName::new("one"), b"body"));

    let json = serde_json::to_string(&fingerprint).expect("a fingerprint can be serialized");
    let binary = postcard::to_stdvec(&fingerprint).expect("a fingerprint can be encoded");

    assert_eq!(json, format!("\"{fingerprint}\""));
    assert_eq!(
        serde_json::from_str::<RequestFingerprint>(&json).ok(),
        Some(fingerprint)
    );
    assert_eq!(
        postcard::from_bytes::<RequestFingerprint>(&binary).ok(),
        Some(fingerprint)
    );
}

#[test]
fn restarted_server_has_another_incarnation() {
    let name = ServerName::new("i-1");

    let incarnations = [None, Some(1), Some(2)].map(|born| ServerIncarnation::of(&name, born));

    assert_ne!(incarnations[1], incarnations[2]);
    assert_ne!(incarnations[0], incarnations[1]);
}

quickcheck! {
    fn text_that_is_not_a_fingerprint_is_rejected(text: String) -> TestResult {
        if text.len() == 24 && text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return TestResult::discard();
        }
        TestResult::from_bool(text.parse::<RequestFingerprint>().is_err())
    }
}
