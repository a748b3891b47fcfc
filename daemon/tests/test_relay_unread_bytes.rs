//! Ends of connections behind bytes that nobody reads: calls end with their callers all the same.

use badgerferry_standin::relay_box::TestCluster;

#[tokio::test]
async fn start_line_states_version_and_commit() -> anyhow::Result<()> {
    let cluster = TestCluster::start(1).await?;

    let log = cluster.relay.log();
    let line = log.lines().find(|line| line.contains("daemon started"));

    let line: serde_json::Value = serde_json::from_str(line.unwrap_or_default())?;
    assert_eq!(line["version"], env!("CARGO_PKG_VERSION"));
    for field in ["commit", "sources"] {
        assert!(line[field].as_str().is_some_and(|text| !text.is_empty()));
    }
    Ok(())
}
