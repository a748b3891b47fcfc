//! Configuration file of a box: its identity, its addresses and the platform's address.
//!
//! The file is validated at startup, and all errors are reported together, each with its path.
//! Settings that operators change at run time are in the settings tree instead.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use badgerferry_lib::ids::BoxName;
use badgerferry_lib::ids::HallName;
use serde_json::Map;
use serde_json::Value;

/// Size of the key that peers share, in bytes.
pub const PEER_KEY_BYTES: usize = badgerferry_lib::peer_wire::KEY_BYTES;
/// Maximum number of traffic threads; a small box has only a few cores.
const MAX_TRAFFIC_THREADS: u64 = 64;
const DEFAULT_TRAFFIC_THREADS: u64 = 2;
/// Time from the stop signal until the process is killed, if the file does not state it, and the longest.
const DEFAULT_STOP_SECONDS: u64 = 90;
const MAX_STOP_SECONDS: u64 = 24 * 60 * 60;
/// Megabytes that responses of plain services may take together, if the file does not state it, and the most.
const DEFAULT_RESPONSE_MEGABYTES: u64 = 64;
const MAX_RESPONSE_MEGABYTES: u64 = 64 << 10;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Validated contents of the configuration file.
#[derive(Debug, Clone)]
pub struct BoxConfig {
    /// Name of the box, as in the platform's list.
    pub name: BoxName,
    /// Data hall of the box.
    pub hall: HallName,
    /// Address on which the box listens for callers.
    pub listen: SocketAddr,
    /// Address on which the box listens for peers.
    pub peer_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peers to contact while the platform is unreachable.
    pub peers: Vec<SocketAddr>,
    /// Key that peers share, to authenticate their frames.
    pub peer_key: [u8; PEER_KEY_BYTES],
    /// Number of threads that handle requests.
    pub traffic_threads: usize,
    /// Time from the stop signal until the process is killed.
    pub stop_time: Duration,
    /// Bytes that responses of plain services may take together.
    pub response_bytes: usize,
    /// Format of log lines.
    pub log: LogFormat,
}

/// Validation error of one field, or of the file as a whole.
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

/// Reads and validates a configuration file.
///
/// # Errors
///
/// All validation errors, or the error that prevented reading or parsing.
pub fn read(path: &Path) -> Result<BoxConfig, Vec<ConfigError>> {
    let file_error = |problem: String| {
        vec![ConfigError {
            path: "file".to_owned(),
            problem,
        }]
    };
    let text = std::fs::read_to_string(path).map_err(|cause| file_error(cause.to_string()))?;
    let value: Value =
        serde_json::from_str(&text).map_err(|cause| file_error(cause.to_string()))?;
    match value {
        Value::Object(fields) => check(fields),
        _ => Err(file_error("it is not a JSON object".to_owned())),
    }
}

/// Fields that are not validated yet, and the errors of those that are.
struct Fields {
    remaining: Map<String, Value>,
    errors: Vec<ConfigError>,
}

impl Fields {
    fn add_error(&mut self, path: &str, problem: impl Into<String>) {
        self.errors.push(ConfigError {
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    fn string(&mut self, path: &str) -> Option<String> {
        match self.remaining.remove(path) {
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            Some(_) => {
                self.add_error(path, "text is expected");
                None
            }
            None => {
                self.add_error(path, "is missing");
                None
            }
        }
    }

    fn address(&mut self, path: &str) -> Option<SocketAddr> {
        let text = self.string(path)?;
        self.parse_address(path, &text)
    }

    fn parse_address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.add_error(
                path,
                format!("an address as 10.0.0.1:8080 is expected, not {text:?}"),
            );
        }
        address
    }

    fn addresses(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some(value) = self.remaining.remove(path) else {
            return Vec::new();
        };
        let Value::Array(entries) = value else {
            self.add_error(path, "a list of addresses is expected");
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let entry_path = format!("{path}[{index}]");
            match entry.as_str() {
                Some(text) => addresses.extend(self.parse_address(&entry_path, text)),
                None => self.add_error(&entry_path, "an address is expected"),
            }
        }
        addresses
    }

    fn key(&mut self, path: &str) -> Option<[u8; PEER_KEY_BYTES]> {
        let text = self.string(path)?;
        let bytes = hex::decode(text)
            .ok()
            .and_then(|bytes| bytes.try_into().ok());
        if bytes.is_none() {
            self.add_error(
                path,
                format!("{PEER_KEY_BYTES} bytes in hexadecimal are expected"),
            );
        }
        bytes
    }

    /// A whole number from 1 to `max`.
    fn number(&mut self, path: &str, default: u64, max: u64, unit: &str) -> u64 {
        match self.remaining.remove(path).map(|value| value.as_u64()) {
            None => default,
            Some(Some(number)) if (1..=max).contains(&number) => number,
            Some(_) => {
                self.add_error(path, format!("a whole number from 1 to {max} ({unit})"));
                default
            }
        }
    }

    fn log_format(&mut self, path: &str) -> LogFormat {
        match self.remaining.remove(path).as_ref().map(Value::as_str) {
            None | Some(Some("text")) => LogFormat::Text,
            Some(Some("json")) => LogFormat::Json,
            Some(_) => {
                self.add_error(path, "\"text\" or \"json\" is expected");
                LogFormat::Text
            }
        }
    }
}

fn check(fields: Map<String, Value>) -> Result<BoxConfig, Vec<ConfigError>> {
    let mut fields = Fields {
        remaining: fields,
        errors: Vec::new(),
    };
    let name = fields.string("name");
    let hall = fields.string("hall");
    let listen = fields.address("listen");
    let peer_listen = fields.address("peer_listen");
    let platform = fields.address("platform");
    let peers = fields.addresses("peers");
    let peer_key = fields.key("peer_key");
    let traffic_threads = fields.number(
        "traffic_threads",
        DEFAULT_TRAFFIC_THREADS,
        MAX_TRAFFIC_THREADS,
        "threads",
    );
    let response_megabytes = fields.number(
        "response_megabytes",
        DEFAULT_RESPONSE_MEGABYTES,
        MAX_RESPONSE_MEGABYTES,
        "megabytes",
    );
    let stop_seconds = fields.number(
        "stop_seconds",
        DEFAULT_STOP_SECONDS,
        MAX_STOP_SECONDS,
        "seconds",
    );
    let log = fields.log_format("log");
    let unknown: Vec<_> = fields.remaining.keys().cloned().collect();
    for path in unknown {
        fields.add_error(&path, "there is no such field");
    }
    match (name, hall, listen, peer_listen, platform, peer_key) {
        (
            Some(name),
            Some(hall),
            Some(listen),
            Some(peer_listen),
            Some(platform),
            Some(peer_key),
        ) if fields.errors.is_empty() => Ok(BoxConfig {
            name: BoxName::new(name),
            hall: HallName::new(hall),
            listen,
            peer_listen,
            platform,
            peers,
            peer_key,
            traffic_threads: traffic_threads as usize,
            response_bytes: (response_megabytes as usize) << 20,
            stop_time: Duration::from_secs(stop_seconds),
            log,
        }),
        _ => Err(fields.errors),
    }
}
