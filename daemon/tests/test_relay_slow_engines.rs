//! Engines that turn slow are found and left out.

use std::time::Duration;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::World;
use badgerferry_standin::server::Server;

/// First events of these engines come far later than a short prompt takes to be read.
const LATE: Duration = Duration::from_millis(700);

async fn engines(count: usize) -> anyhow::Result<(World, Vec<Server>)> {
    crate::engines::world(count, LATE).await
}

async fn ask(world: &World, id: &str) -> anyhow::Result<u16> {
    let tokens = "Badgerferry-Token-Counts: 1000,100\r\n";
    let text = call("POST", "/long/stream", id, tokens, "").replace("Ms: 5000", "Ms: 20000");
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&text).await?;
    Ok(caller.answer().await?.status)
}

fn calls(engines: &[Server]) -> Vec<usize> {
    engines.iter().map(|engine| engine.seen().len()).collect()
}

#[tokio::test]
async fn an_engine_that_is_late_and_says_it_is_slow_gets_no_more_calls() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.tell_pace(5.0);
    }

    assert_eq!(ask(&world, "id-1").await?, 200);
    world.relay.wait_line(&["engine told its pace"]).await?;
    let first = calls(&engines);
    assert_eq!(ask(&world, "id-2").await?, 200);

    let slow = first.iter().position(|count| *count == 1);
    let slow = slow.expect("one engine took the first call");
    assert!(engines[slow].reports() > 0);
    assert_eq!(calls(&engines)[slow], 1, "the second call went elsewhere");
    Ok(())
}

#[tokio::test]
async fn an_engine_that_is_late_and_says_nothing_of_it_is_used_on() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;

    assert_eq!(ask(&world, "id-1").await?, 200);
    world.relay.wait_line(&["engine told its pace"]).await?;
    let first = calls(&engines);
    assert_eq!(ask(&world, "id-2").await?, 200);

    let twice: Vec<usize> = first.iter().map(|count| count * 2).collect();
    assert_eq!(calls(&engines), twice);
    Ok(())
}
