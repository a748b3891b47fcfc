//! Fixture of a box that serves model engines.

use std::time::Duration;

use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;

/// Starts a box, a plain server and engines that take `pace` per event.
pub async fn world(count: usize, pace: Duration) -> anyhow::Result<(TestCluster, Vec<Server>)> {
    let world = TestCluster::start(1).await?;
    let mut engines = Vec::new();
    for index in 0..count {
        let name = format!("e-{index}");
        let engine = Server::start(&name, "engines", pace).await?;
        world.store.put(&engine.key(), &engine.entry("ready"));
        world
            .relay
            .wait_for_log_line(&["server entry", &name])
            .await?;
        engines.push(engine);
    }
    Ok((world, engines))
}
