//! Watches server processes that may still run calls that have ended here.
//!
//! One connection to each such server carries no request, and shows when the process exits. It is shared
//! by all calls of that server, and closed with the last of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use badgerferry_edges::process_probe;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::relay::server_gate::Target;
use crate::traffic::lock;

/// A process that is watched until dropped.
#[derive(Debug)]
pub struct ProcessWatch {
    has_exited: watch::Receiver<bool>,
    task: AbortHandle,
}

impl ProcessWatch {
    fn start(address: String) -> Self {
        let (exited, has_exited) = watch::channel(false);
        let task = tokio::spawn(async move {
            process_probe::exited(&address).await;
            exited.send_replace(true);
        });
        Self {
            has_exited,
            task: task.abort_handle(),
        }
    }

    /// Resolves once the process has exited.
    pub async fn exited(&self) {
        let mut has_exited = self.has_exited.clone();
        if has_exited.wait_for(|has_exited| *has_exited).await.is_err() {
            // The runtime is shutting down.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Processes that are watched.
#[derive(Debug, Default)]
pub struct ProcessWatches(Mutex<HashMap<(ServerName, ServerIncarnation), Weak<ProcessWatch>>>);

impl ProcessWatches {
    /// Watches the process of a server.
    pub fn watch(&self, target: &Target, address: &str) -> Arc<ProcessWatch> {
        let mut watches = lock(&self.0);
        watches.retain(|_, watch| watch.strong_count() > 0);
        let key = (target.name.clone(), target.incarnation);
        if let Some(watch) = watches.get(&key).and_then(Weak::upgrade) {
            return watch;
        }
        let watch = Arc::new(ProcessWatch::start(address.to_owned()));
        watches.insert(key, Arc::downgrade(&watch));
        watch
    }
}
