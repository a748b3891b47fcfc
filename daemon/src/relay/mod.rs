//! Relay mode of the daemon: forwards calls unmodified to backend servers.
//!
//! The control thread follows the store and the other boxes, the traffic thread handles calls. They
//! share [`state::Relay`], which holds immutable views that control replaces and trackers that
//! calls update.

use std::sync::Arc;

use anyhow::Context;
use badgerferry_platform::settings_file::BoxSettings;

use crate::build_info::BUILD;

mod abandoned_run;
mod attempt_candidates;
mod attempt_response;
mod call;
mod call_attempt;
mod call_log;
mod call_retry;
mod caller_io;
mod caller_presence;
mod candidates;
mod carried;
mod cluster_view;
mod connection_end;
mod connection_pool;
mod datagram_receiver;
mod error_response;
mod first_event_watchdog;
mod first_sends;
mod front;
mod gossip;
mod held_bytes;
mod hub_gossip;
mod listed_server;
mod listener;
mod log_rate_limit;
mod metrics_page;
mod notice_log;
mod peer_connections;
mod permit_transport;
mod planned_stop;
mod pooled_retries;
mod process_watches;
mod pulls;
mod request_body;
mod request_quarantine;
mod reservations;
mod response_body;
mod response_source;
mod running_servers;
mod server_exchange;
mod server_gate;
mod server_path;
mod server_query;
mod server_selection;
mod server_stream;
mod silent_servers;
mod state;
mod status_checks;
mod stop;
mod store_follower;
mod stream_relay;
mod suspension;
mod unknown_headers;
mod unread_sends;

/// Runs the daemon until a planned stop completes.
///
/// # Errors
///
/// An address can't be bound, or a runtime, signal handler or thread can't be set up.
pub fn run(settings: BoxSettings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("failed to build the traffic runtime")?;
    runtime.block_on(async {
        // First: the default action of a signal that arrives earlier terminates the process.
        let signals = stop::Signals::install().context("failed to install signal handlers")?;
        let metrics = crate::telemetry::start_metrics()?;
        let relay = Arc::new(state::Relay::new(settings));
        let front = listener::listen(relay.settings.front)?;
        let ready = listener::listen(relay.settings.ready)?;
        let carried = listener::listen(relay.settings.load)?;
        start_control(&relay)?;
        tracing::info!(
            r#box = relay.settings.name,
            hall = %relay.settings.hall,
            front = %relay.settings.front,
            store = %relay.settings.store,
            lifetime = relay.incarnation,
            version = BUILD.version,
            commit = BUILD.commit,
            sources = BUILD.sources,
            "daemon started"
        );
        tokio::spawn(front::serve(front, Arc::clone(&relay)));
        tokio::spawn(carried::serve(carried, Arc::clone(&relay)));
        tokio::spawn(server_path::probe_paths(Arc::clone(&relay)));
        tokio::spawn(suspension::watch(Arc::clone(&relay)));
        tokio::spawn(metrics_page::serve_ready(ready, Arc::clone(&relay)));
        tokio::spawn(metrics_page::serve_metrics(metrics, Arc::clone(&relay)));
        stop::wait_for_exit(&relay, signals).await;
        Ok(())
    })
}

/// Starts the control thread and waits until it has bound its sockets.
fn start_control(relay: &Arc<state::Relay>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("failed to build the control runtime")?;
    let (bound_tx, bound_rx) = std::sync::mpsc::channel();
    let relay = Arc::clone(relay);
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                let sockets = match gossip::bind(&relay.settings).await {
                    Ok(sockets) => sockets,
                    Err(cause) => {
                        // Can't fail: the receiver below waits for this one message.
                        let _ = bound_tx.send(Err(cause));
                        return;
                    }
                };
                let _ = bound_tx.send(Ok(()));
                tokio::join!(
                    store_follower::run(&relay),
                    request_quarantine::store_facts(&relay),
                    gossip::run(&relay, sockets),
                );
            });
        })
        .context("failed to start the control thread")?;
    bound_rx
        .recv()
        .context("the control thread ended before it was ready")?
}
