//! Memory set aside at engines for prompts larger than one of them.

use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::FingerprintInput;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_platform::store::Store;
use badgerferry_standin::caller::Answer;
use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::relay_box::World;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Server;

/// A box and engines of 100,000 tokens each; one is kept for short calls.
async fn engines(count: usize) -> anyhow::Result<(World, Vec<Server>)> {
    crate::engines::world(count, Duration::from_millis(5)).await
}

/// Asks for a prompt that three engines hold together.
async fn ask(world: &World) -> anyhow::Result<Answer> {
    ask_with(world, "").await
}

async fn ask_with(world: &World, body: &str) -> anyhow::Result<Answer> {
    let tokens = "Badgerferry-Token-Counts: 250000,100\r\n";
    let text = call("POST", "/long/stream", "id-1", tokens, body);
    let text = text.replace("Ms: 5000", "Ms: 20000");
    let mut caller = Caller::connect(world.relay.front()).await?;
    caller.send(&text).await?;
    caller.answer().await
}

fn orders(engine: &Server, operation: &str) -> Vec<String> {
    let orders = engine.orders();
    let orders = orders
        .iter()
        .filter(|order| order["operation"] == operation);
    orders.map(|order| order["id"].to_string()).collect()
}

fn reserved_is_released(engines: &[Server]) -> bool {
    engines.iter().all(|engine| {
        let released = orders(engine, "release");
        let reserved = orders(engine, "reserve");
        reserved.iter().all(|id| released.contains(id))
    })
}

#[tokio::test]
async fn memory_is_given_back_where_its_call_ends() -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;

    let answer = ask(&world).await?;

    assert_eq!(answer.status, 200, "{answer:?}");
    let holders = engines.iter().filter(|engine| !engine.orders().is_empty());
    assert_eq!(holders.count(), 3);
    wait_until(|| reserved_is_released(&engines)).await
}

#[tokio::test]
async fn a_prompt_whose_memory_is_not_set_aside_everywhere_waits_and_is_read_later()
-> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.refuse_reservations(1);
    }

    let answer = ask(&world).await?;

    assert_eq!(answer.status, 200, "{answer:?}");
    let ran: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(ran, 1);
    wait_until(|| reserved_is_released(&engines)).await
}

/// What callers saw: a fourth server ended under one work. A call was let in while three had not ended yet,
/// waited five seconds for engines, and was sent 0.6 s after its box had logged that the work is held: it
/// was asked before the wait, not at the send.
async fn is_held_while_it_waits(body: &str) -> anyhow::Result<()> {
    let (world, engines) = engines(4).await?;
    for engine in &engines {
        engine.refuse_reservations(usize::MAX);
    }
    let workspace = WorkspaceName::new("workspace-1");
    let work = RequestFingerprint::of(&FingerprintInput {
        method: "POST",
        host: "host.example",
        target: "/long/stream",
        workspace: Some(&workspace),
        body: body.as_bytes(),
    });
    let held = async {
        world.relay.wait_line(&["memory asked for"]).await?;
        let mut store = Store::new(world.store.address, Duration::from_secs(1));
        store
            .put_suspects(&[(work, StoredFact::Quarantined)])
            .await?;
        world.relay.wait_line(&["work is held"]).await?;
        for engine in &engines {
            engine.refuse_reservations(0);
        }
        anyhow::Ok(())
    };

    let (answer, held) = tokio::join!(ask_with(&world, body), held);

    held?;
    let answer = answer?;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("ends_servers"), "{answer:?}");
    assert!(engines.iter().all(|engine| engine.seen().is_empty()));
    wait_until(|| reserved_is_released(&engines)).await
}

#[tokio::test]
async fn a_prompt_whose_work_is_held_while_it_waits_is_not_sent() -> anyhow::Result<()> {
    is_held_while_it_waits("").await
}

/// Its body was not read for its key when it came, since no work was suspect then.
#[tokio::test]
async fn a_large_prompt_whose_work_is_held_while_it_waits_is_not_sent() -> anyhow::Result<()> {
    is_held_while_it_waits(&"word ".repeat(8_000)).await
}
