//! The box's own file: who it is, where it listens, where the platform is.
//!
//! The file is checked whole at the start and every fault is told at once, each with
//! its path. What operators change while the system runs is not here but in the tree.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use badgerferry_lib::ids::BoxName;
use badgerferry_lib::ids::HallName;
use serde_json::Map;
use serde_json::Value;

/// Bytes of the key that peers share.
pub const PEER_KEY_BYTES: usize = badgerferry_lib::peer_wire::KEY_BYTES;
/// Most traffic threads; a small entry box has a few cores.
const MAX_TRAFFIC_THREADS: u64 = 64;
const DEFAULT_TRAFFIC_THREADS: u64 = 2;

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The box's own settings.
#[derive(Debug, Clone)]
pub struct BoxConfig {
    /// The box's name, as in the platform's list.
    pub name: BoxName,
    /// Its data hall.
    pub hall: HallName,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where peers reach it.
    pub peer_listen: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Peers to ask while the platform can't be reached.
    pub peers: Vec<SocketAddr>,
    /// The key that peers share.
    pub peer_key: [u8; PEER_KEY_BYTES],
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// How log lines look.
    pub log: LogFormat,
}

/// One fault of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    path: String,
    problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Reads and checks the file.
///
/// # Errors
///
/// Every fault found.
pub fn read(path: &Path) -> Result<BoxConfig, Vec<ConfigError>> {
    let whole_file = |problem: String| {
        vec![ConfigError {
            path: "file".to_owned(),
            problem,
        }]
    };
    let text = std::fs::read_to_string(path).map_err(|cause| whole_file(cause.to_string()))?;
    let value: Value =
        serde_json::from_str(&text).map_err(|cause| whole_file(cause.to_string()))?;
    match value {
        Value::Object(fields) => check(fields),
        _ => Err(whole_file("it is not a JSON object".to_owned())),
    }
}

struct Fields {
    left: Map<String, Value>,
    faults: Vec<ConfigError>,
}

impl Fields {
    fn fault(&mut self, path: &str, problem: impl Into<String>) {
        self.faults.push(ConfigError {
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    fn text(&mut self, path: &str) -> Option<String> {
        match self.left.remove(path) {
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            Some(_) => {
                self.fault(path, "text is expected");
                None
            }
            None => {
                self.fault(path, "is missing");
                None
            }
        }
    }

    fn address(&mut self, path: &str) -> Option<SocketAddr> {
        let text = self.text(path)?;
        self.parse_address(path, &text)
    }

    fn parse_address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(
                path,
                format!("an address as 10.0.0.1:8080 is expected, not {text:?}"),
            );
        }
        parsed
    }

    fn addresses(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some(value) = self.left.remove(path) else {
            return Vec::new();
        };
        let Value::Array(rows) = value else {
            self.fault(path, "a list of addresses is expected");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (index, row) in rows.iter().enumerate() {
            let at = format!("{path}[{index}]");
            match row.as_str() {
                Some(text) => found.extend(self.parse_address(&at, text)),
                None => self.fault(&at, "an address is expected"),
            }
        }
        found
    }

    fn key(&mut self, path: &str) -> Option<[u8; PEER_KEY_BYTES]> {
        let text = self.text(path)?;
        let bytes = hex::decode(text)
            .ok()
            .and_then(|bytes| bytes.try_into().ok());
        if bytes.is_none() {
            self.fault(
                path,
                format!("{PEER_KEY_BYTES} bytes in hexadecimal are expected"),
            );
        }
        bytes
    }

    fn threads(&mut self, path: &str) -> usize {
        match self.left.remove(path).map(|value| value.as_u64()) {
            None => DEFAULT_TRAFFIC_THREADS as usize,
            Some(Some(count)) if (1..=MAX_TRAFFIC_THREADS).contains(&count) => count as usize,
            Some(_) => {
                let problem = format!("a whole number from 1 to {MAX_TRAFFIC_THREADS} (threads)");
                self.fault(path, problem);
                1
            }
        }
    }

    fn log(&mut self, path: &str) -> LogFormat {
        match self.left.remove(path).as_ref().map(Value::as_str) {
            None | Some(Some("text")) => LogFormat::Text,
            Some(Some("json")) => LogFormat::Json,
            Some(_) => {
                self.fault(path, "\"text\" or \"json\" is expected");
                LogFormat::Text
            }
        }
    }
}

fn check(fields: Map<String, Value>) -> Result<BoxConfig, Vec<ConfigError>> {
    let mut fields = Fields {
        left: fields,
        faults: Vec::new(),
    };
    let name = fields.text("name");
    let hall = fields.text("hall");
    let listen = fields.address("listen");
    let peer_listen = fields.address("peer_listen");
    let platform = fields.address("platform");
    let peers = fields.addresses("peers");
    let peer_key = fields.key("peer_key");
    let traffic_threads = fields.threads("traffic_threads");
    let log = fields.log("log");
    let unknown: Vec<_> = fields.left.keys().cloned().collect();
    for path in unknown {
        fields.fault(&path, "there is no such field");
    }
    match (name, hall, listen, peer_listen, platform, peer_key) {
        (
            Some(name),
            Some(hall),
            Some(listen),
            Some(peer_listen),
            Some(platform),
            Some(peer_key),
        ) if fields.faults.is_empty() => Ok(BoxConfig {
            name: BoxName::new(name),
            hall: HallName::new(hall),
            listen,
            peer_listen,
            platform,
            peers,
            peer_key,
            traffic_threads,
            log,
        }),
        _ => Err(fields.faults),
    }
}
