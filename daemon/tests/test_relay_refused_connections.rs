//! Services most of whose servers have exited and are still listed.

use std::net::TcpStream;
use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;

use crate::relay_fleet::Fleet;

/// Servers of the service, and those of them that have exited.
const SERVERS: usize = 16;
const EXITED_SERVERS: usize = 14;
/// Longer than the test runs.
const DOWNTIME: Duration = Duration::from_mins(1);
/// Longer than a probe of servers that refuse connections takes.
const PROBE_TIME: Duration = Duration::from_millis(150);
/// Time without calls, in which several probes would be due.
const IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Starts boxes that have not noticed yet that most servers refuse connections.
async fn start_with_exited_servers(boxes: usize) -> anyhow::Result<Fleet> {
    let fleet = Fleet::start(boxes, SERVERS, "boards").await?;
    let exited = &fleet.servers[..EXITED_SERVERS];
    for server in exited {
        server.set_crash_rule(CrashRule {
            downtime: DOWNTIME,
            ..CrashRule::default()
        });
        server.crash();
    }
    for server in exited {
        wait_until(|| refuses_connections(server)).await?;
    }
    Ok(fleet)
}

fn refuses_connections(server: &Server) -> bool {
    TcpStream::connect(server.address).is_err()
}

/// Sends one call to each box at once.
async fn call_each(fleet: &Fleet) -> Vec<RawResponse> {
    let calls = fleet
        .boxes
        .iter()
        .enumerate()
        .map(async |(index, relay_box)| {
            let request = call("GET", "/again/a", &format!("call-{index}"), "", "");
            let response = Caller::exchange(relay_box.front(), &request).await;
            response.unwrap_or_default()
        });
    futures::future::join_all(calls).await
}

/// Guards against calls refused for want of a path because a sample of the servers is down.
#[tokio::test]
async fn servers_that_exited_are_no_cut_path() -> anyhow::Result<()> {
    let fleet = start_with_exited_servers(6).await?;

    let responses = call_each(&fleet).await;

    let refused = responses
        .iter()
        .find(|response| response.body.contains("servers_unreachable"));
    assert!(refused.is_none(), "{refused:?}; {}", fleet.logs());
    Ok(())
}

/// Guards against calls refused after a few servers that refuse connections, while others are up.
#[tokio::test]
async fn call_reaches_one_of_the_few_servers_that_are_up() -> anyhow::Result<()> {
    let fleet = start_with_exited_servers(6).await?;

    let responses = call_each(&fleet).await;

    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    assert_eq!(statuses, [200; 6], "{responses:?}; {}", fleet.logs());
    Ok(())
}

/// Guards against probes that raise the suspicion again which they refute.
#[tokio::test]
async fn suspicion_is_not_kept_up_by_its_own_probes() -> anyhow::Result<()> {
    let fleet = start_with_exited_servers(6).await?;
    call_each(&fleet).await;
    tokio::time::sleep(PROBE_TIME).await;
    let suspicions = || fleet.logs().matches("path to servers may be cut").count();
    let before = suspicions();

    tokio::time::sleep(IDLE_TIME).await;

    assert!(before > 0, "{}", fleet.logs());
    assert_eq!(suspicions(), before, "{}", fleet.logs());
    Ok(())
}
