//! Servers stop soon after the caller of their call has left, although forwarders stand between them.

use std::time::Duration;

use badgerferry_standin::proxy::Link;
use badgerferry_standin::proxy::Proxy;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Server;

use crate::departures::LONG_WORK;
use crate::departures::assert_servers_of_stop;
use crate::departures::writes_events;
use crate::departures::writes_while_working;

/// Interval between events. A server behind a forwarder notices the second one that fails.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a slow forwarder takes in each direction.
const FORWARDING_DELAY: Duration = Duration::from_millis(80);

/// Lets callers leave whose servers are behind forwarders, and checks that none works on for them.
async fn assert_forwarded_servers_stop(
    link: Link,
    path: &'static str,
    awaits_response: bool,
    configure: impl Fn(&Server),
) -> anyhow::Result<()> {
    let cluster = TestCluster::start_forwarded(4).await?;
    let front = cluster.relay.front();
    cluster.servers.iter().for_each(configure);
    for forwarder in &cluster.forwarders {
        forwarder.set(link);
    }
    assert_servers_of_stop(&cluster, front, path, awaits_response).await
}

fn responds_late(server: &Server) {
    server.delay_heads(LONG_WORK, None);
}

fn writes_rare_events(server: &Server) {
    writes_events(server, EVENT_INTERVAL);
}

#[tokio::test]
async fn streams_end_behind_forwarders_at_servers_that_notice_failed_writes() -> anyhow::Result<()>
{
    assert_forwarded_servers_stop(Link::Open, "/stream/large", true, writes_rare_events).await
}

#[tokio::test]
async fn streams_not_begun_end_behind_forwarders() -> anyhow::Result<()> {
    assert_forwarded_servers_stop(Link::Open, "/stream/a", false, writes_while_working).await
}

#[tokio::test]
async fn calls_end_behind_forwarders_at_servers_that_notice_failed_writes() -> anyhow::Result<()> {
    assert_forwarded_servers_stop(Link::Open, "/again/a", false, writes_while_working).await
}

#[tokio::test]
async fn calls_end_behind_forwarders_at_servers_that_read_the_end() -> anyhow::Result<()> {
    assert_forwarded_servers_stop(Link::Open, "/again/a", false, responds_late).await
}

#[tokio::test]
async fn calls_end_behind_slow_forwarders() -> anyhow::Result<()> {
    let slow = Link::Delayed(FORWARDING_DELAY);
    assert_forwarded_servers_stop(slow, "/again/a", false, writes_while_working).await
}

#[tokio::test]
async fn calls_end_whose_callers_leave_through_a_forwarder() -> anyhow::Result<()> {
    let cluster = TestCluster::start(4).await?;
    cluster.servers.iter().for_each(writes_while_working);
    let forwarder = Proxy::start(cluster.relay.front()).await?;

    assert_servers_of_stop(&cluster, forwarder.address, "/again/a", false).await
}

#[tokio::test]
async fn streams_end_whose_callers_leave_through_a_forwarder() -> anyhow::Result<()> {
    let cluster = TestCluster::start_forwarded(4).await?;
    cluster.servers.iter().for_each(writes_rare_events);
    let forwarder = Proxy::start(cluster.relay.front()).await?;

    assert_servers_of_stop(&cluster, forwarder.address, "/stream/large", true).await
}
