//! Tells requests in flight that they have to be answered now, late in a planned stop.

use tokio::sync::watch;

/// Whether answers are due.
#[derive(Debug, Default)]
pub struct AnswersDue(watch::Sender<bool>);

impl AnswersDue {
    /// Makes the answers to all requests due.
    pub fn announce(&self) {
        self.0
            .send_if_modified(|is_due| !std::mem::replace(is_due, true));
    }

    /// Whether they are due.
    pub fn are_due(&self) -> bool {
        *self.0.borrow()
    }

    /// Resolves once they are due.
    pub async fn wait(&self) {
        // Can't fail: this holds the sender.
        let _ = self.0.subscribe().wait_for(|is_due| *is_due).await.is_ok();
    }
}
