//! Response headers that the platform adapter does not know. With such a header, a server may ask
//! for something that the box does not do, so each name is logged.

use std::collections::HashSet;
use std::sync::Mutex;

use badgerferry_lib::ids::ServerName;
use badgerferry_platform::vocabulary;
use http::HeaderMap;
use http::HeaderName;
use metrics::counter;

use crate::traffic::lock;

/// Limit of header names that are logged; headers with further names are only counted.
const MAX_LOGGED_NAMES: usize = 64;

/// Unknown header names that have been logged.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    logged: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Counts the unknown headers of a response and logs each name once.
    pub fn record(&self, id: &str, server: &ServerName, headers: &HeaderMap) {
        for name in vocabulary::unknown_headers(headers) {
            counter!("badgerferry_headers_unknown_total").increment(1);
            let mut logged = lock(&self.logged);
            if logged.len() < MAX_LOGGED_NAMES && logged.insert(name.clone()) {
                tracing::warn!(call = id, %server, header = %name, "unknown response header");
            }
        }
    }
}
