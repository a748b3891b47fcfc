//! Headers of servers that the adapter does not know: each may be something that a server asks for.

use std::collections::HashSet;
use std::sync::Mutex;

use badgerferry_lib::ids::ServerName;
use badgerferry_platform::vocabulary;
use http::HeaderMap;
use http::HeaderName;
use metrics::counter;

use crate::traffic::lock;

/// Names that get a line; later ones are counted only.
const MAX_LOGGED_NAMES: usize = 64;

/// Names that were seen already.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    seen: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Counts those of an answer, and logs each name once.
    pub fn record(&self, id: &str, server: &ServerName, headers: &HeaderMap) {
        for name in vocabulary::unknown_headers(headers) {
            counter!("badgerferry_headers_unknown_total").increment(1);
            let mut seen = lock(&self.seen);
            if seen.len() < MAX_LOGGED_NAMES && seen.insert(name.clone()) {
                tracing::warn!(call = id, %server, header = %name, "a server's header is not known");
            }
        }
    }
}
