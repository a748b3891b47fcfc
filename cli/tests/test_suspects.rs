//! The `suspects` command, against a stand-in of the platform's store.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::suspect_key::PartFingerprint;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_platform::store::Store as Client;
use badgerferry_standin::store::Store;
use serde_json::json;

const QUARANTINED: SuspectKey = SuspectKey::Request(RequestFingerprint {
    workspace_digest: 1,
    digest: 2,
});
const SUSPECT: SuspectKey = SuspectKey::Request(RequestFingerprint {
    workspace_digest: 0xFFFF_FFFF,
    digest: u64::MAX,
});
const QUARANTINED_PART: SuspectKey = SuspectKey::Part(PartFingerprint {
    id: 0x5c1e_07a2,
    service_digest: 3,
    workspace_digest: 1,
});

async fn badgerferry(store: SocketAddr, args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerferry"));
    command.args(["--platform", &store.to_string(), "--patience", "2"]);
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("no panic").expect("the command line starts");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn suspects_are_listed_and_one_is_released() -> anyhow::Result<()> {
    let store = Store::start().await?;
    let crashes = (0..3).map(|incarnation| {
        (
            QUARANTINED,
            StoredFact::Crashed(ServerIncarnation(incarnation)),
        )
    });
    let mut facts: Vec<(SuspectKey, StoredFact)> = crashes.collect();
    facts.push((QUARANTINED, StoredFact::Quarantined));
    facts.push((SUSPECT, StoredFact::Crashed(ServerIncarnation(9))));
    facts.push((QUARANTINED_PART, StoredFact::Quarantined));
    let mut client = Client::new(store.address, Duration::from_secs(2));
    client.put_suspects(&facts).await?;
    // A malformed key of another writer must not hide the other entries.
    store.put("badgerferry/suspects/no-work/none", &json!({}));

    let before = badgerferry(store.address, &["suspects"]).await;
    let released = badgerferry(
        store.address,
        &["suspects", "--release", &QUARANTINED.to_string()],
    )
    .await;
    let released_part = badgerferry(
        store.address,
        &["suspects", "--release", &QUARANTINED_PART.to_string()],
    )
    .await;
    let after = badgerferry(store.address, &["suspects", "--json"]).await;

    let table = "WORK                             SERVERS ENDED  HELD  RELEASED\n\
                 000000010000000000000002         3              yes   -\n\
                 ffffffffffffffffffffffff         1              -     -\n\
                 part-5c1e07a2-00000003-00000001  0              yes   -\n";
    assert_eq!(before, (Some(0), table.to_owned()));
    assert_eq!(released.0, Some(0), "{}", released.1);
    assert_eq!(released_part.0, Some(0), "{}", released_part.1);
    let rows: serde_json::Value = serde_json::from_str(&after.1)?;
    assert_eq!(rows[0]["released"], json!(true));
    assert_eq!(rows[1]["released"], json!(false));
    assert_eq!(rows[2]["released"], json!(true));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_fingerprint_and_unreachable_store_set_the_exit_code() -> anyhow::Result<()> {
    let store = Store::start().await?;

    let malformed_fingerprint = badgerferry(store.address, &["suspects", "--release", "zz"]).await;
    let unreachable_store = badgerferry("127.0.0.1:1".parse()?, &["suspects"]).await;

    assert_eq!(
        malformed_fingerprint.0,
        Some(2),
        "{}",
        malformed_fingerprint.1
    );
    assert_eq!(unreachable_store.0, Some(1), "{}", unreachable_store.1);
    assert!(
        unreachable_store.1.contains("hint: "),
        "{}",
        unreachable_store.1
    );
    Ok(())
}
