//! Schema of the settings that operators may write.
//!
//! Each setting has a key, a unit, bounds and a default, so that the command line and the
//! daemon reject the same values with the same message. A key that is not in the schema is
//! rejected, never stored.

use std::fmt;

use serde_json::Value;

/// Valid values of a setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Domain {
    /// An integer within inclusive bounds.
    Integer {
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
        /// Value if no node sets the key.
        default: u64,
    },
    /// One of a fixed set of words; the first is the default.
    Choice(&'static [&'static str]),
    /// SHA-256 digests of workspace keys, hexadecimal; empty by default.
    KeyDigests,
    /// Desired number of engines of each model, as an object of integers; empty by default.
    ModelCounts,
}

/// Schema of one setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Dotted key.
    pub key: Key,
    /// Unit of the value, as shown to operators.
    pub unit: &'static str,
    /// Valid values.
    pub domain: Domain,
    /// One line for operators: the effect and the reason for the default.
    pub help: &'static str,
}

macro_rules! keys {
    ($($variant:ident = $text:literal, $unit:literal, $domain:expr, $help:literal;)*) => {
        /// Keys of all settings.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Key {
            $(#[doc = $help] $variant,)*
        }

        impl Key {
            /// Dotted text of the key.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        /// All settings, in the order of [`Key`]; a key indexes its own entry.
        pub const SETTINGS: &[Setting] = &[
            $(Setting { key: Key::$variant, unit: $unit, domain: $domain, help: $help },)*
        ];
    };
}

const fn integer(default: u64, min: u64, max: u64) -> Domain {
    Domain::Integer { min, max, default }
}

/// Upper bound of the time limit of a request: one hour, several times the prefill of the
/// longest prompt.
const MAX_TIME_LIMIT_MS: u64 = 3_600_000;

keys! {
    RequestTimeLimit = "request.time_limit_ms", "ms", integer(60_000, 1, MAX_TIME_LIMIT_MS),
        "Time from arrival to the last token; a caller's header may only shorten it.";
    RequestConnect = "request.connect_ms", "ms", integer(1_000, 1, 60_000),
        "Time to reach a server before another is tried; a hall is a few ms away.";
    RequestFirstToken = "request.first_token_ms", "ms", integer(10_000, 1, MAX_TIME_LIMIT_MS),
        "Time to the first token, beyond the prompt's own prefill, before another is tried.";
    RequestBetweenTokens = "request.between_tokens_ms", "ms", integer(5_000, 1, 600_000),
        "Silence within an answer after which its server is taken for lost.";
    RequestMaxAttempts = "request.max_attempts", "attempts", integer(3, 1, 10),
        "Attempts for one request; repeats also spend the retry budget.";
    RequestPriority = "request.priority", "", Domain::Choice(&["normal", "urgent", "batch"]),
        "Order among waiting requests; batch gives way, and ageing lifts what waits long.";
    RequestAgeing = "request.ageing_ms", "ms", integer(20_000, 100, MAX_TIME_LIMIT_MS),
        "Waiting time that lifts a request by one priority, so that none starves.";
    RequestMaxPrompt = "request.max_prompt_tokens", "tokens", integer(1_000_000, 1, 4_000_000),
        "Longest prompt; a longer one is refused at once.";
    RequestMaxOutput = "request.max_output_tokens", "tokens", integer(4_096, 1, 131_072),
        "Longest answer; a caller may ask for less.";
    RequestMaxBody = "request.max_body_bytes", "bytes", integer(16_777_216, 1_024, 67_108_864),
        "Largest request body; a million tokens are four to six megabytes of text.";
    WorkspaceWeight = "workspace.weight", "shares", integer(10, 1, 1_000),
        "Share of the fleet against other workspaces when there is not enough for all.";
    WorkspaceRequests = "workspace.requests_per_s", "requests/s", integer(100_000, 0, 100_000),
        "Requests admitted for the workspace by all boxes of a hall together.";
    WorkspaceTokens = "workspace.tokens_per_s", "tokens/s", integer(100_000_000, 0, 100_000_000),
        "Prompt and answer tokens admitted for the workspace by all boxes of a hall together.";
    WorkspaceQueue = "workspace.queue_requests", "requests", integer(1_000, 1, 100_000),
        "Requests of the workspace that may wait at one box.";
    WorkspaceKeys = "workspace.key_digests", "", Domain::KeyDigests,
        "SHA-256 of each key that opens the workspace; the keys themselves are never stored.";
    ModelBytesPerToken = "model.bytes_per_token_x100", "1/100 byte", integer(400, 50, 3_200),
        "First guess of prompt bytes per token; corrected by what engines report.";
    RoutingSamples = "routing.samples", "servers", integer(2, 1, 64),
        "Servers drawn for one decision; the more, the more boxes herd to the same stale report.";
    RoutingQueue = "routing.queue_ms", "ms", integer(250, 1, 60_000),
        "Work kept queued at one engine; the rest waits here, where order can change.";
    RoutingLongPrompt = "routing.long_prompt_tokens", "tokens", integer(32_000, 1_000, 1_000_000),
        "Prompts above this are long and stay on the engines set apart for them.";
    RoutingLongShare = "routing.long_share_percent", "%", integer(100, 0, 100),
        "Most engines of a model that long prompts may use; the rest of each engine's memory and every chunk goes to short ones first.";
    RoutingHallTrip = "routing.hall_trip_ms", "ms", integer(2, 0, 10_000),
        "What another data hall must be better by before a request goes there.";
    RetryBudget = "retry.budget_percent", "%", integer(20, 0, 100),
        "Repeats allowed per hundred first attempts, so that a fault never multiplies load.";
    BreakerFailures = "breaker.failures", "failures", integer(3, 1, 100),
        "Failures in a row after which a server gets no work for a while.";
    BreakerOpen = "breaker.open_ms", "ms", integer(5_000, 100, 600_000),
        "How long such a server rests before one request tries it.";
    HoldingTtl = "engine.holding_ttl_ms", "ms", integer(15_000, 1_000, 600_000),
        "Time after which an engine frees what a silent box made it hold.";
    LeaseTtl = "lease.ttl_ms", "ms", integer(10_000, 1_000, 120_000),
        "Life of the placement lease; a successor waits this long after a lost holder.";
    PlacementCopies = "placement.copies", "", Domain::ModelCounts,
        "Engines wanted with each model, per data hall; none means no orders are given.";
    PlacementHysteresis = "placement.hysteresis_ms", "ms", integer(30_000, 0, 3_600_000),
        "How long a difference must last before an order is given.";
    PlacementLoads = "placement.loads_per_min", "loads/min", integer(6, 1, 600),
        "Loads from the weight store in a minute by one hall, whoever holds the lease.";
}

impl Key {
    /// Parses the dotted text; `None` for an unknown key.
    pub fn parse(text: &str) -> Option<Self> {
        SETTINGS
            .iter()
            .map(|row| row.key)
            .find(|key| key.as_str() == text)
    }

    /// Schema of this key.
    pub fn setting(self) -> &'static Setting {
        &SETTINGS[self as usize]
    }

    /// Validates a value for this key.
    ///
    /// # Errors
    ///
    /// The value is not valid; the error names the valid values and the actual one.
    pub fn check(self, value: &Value) -> Result<(), ValueError> {
        let setting = self.setting();
        let is_valid = match setting.domain {
            Domain::Integer { min, max, .. } => {
                value.as_u64().is_some_and(|n| n >= min && n <= max)
            }
            Domain::Choice(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Domain::KeyDigests => value
                .as_array()
                .is_some_and(|rows| rows.iter().all(is_digest)),
            Domain::ModelCounts => value.as_object().is_some_and(|rows| {
                rows.values()
                    .all(|n| n.as_u64().is_some_and(|n| n <= 1_000))
            }),
        };
        if is_valid {
            return Ok(());
        }
        Err(ValueError {
            key: self,
            found: value.to_string(),
        })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

fn is_digest(value: &Value) -> bool {
    const SHA256_HEX_DIGITS: usize = 64;
    value.as_str().is_some_and(|text| {
        text.len() == SHA256_HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
    })
}

impl Domain {
    /// Value of a setting that no node sets.
    pub fn default_value(&self) -> Value {
        match self {
            Self::Integer { default, .. } => Value::from(*default),
            Self::Choice(words) => Value::from(words[0]),
            Self::KeyDigests => Value::Array(Vec::new()),
            Self::ModelCounts => Value::Object(serde_json::Map::new()),
        }
    }
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer { min, max, .. } => write!(f, "a whole number from {min} to {max}"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::KeyDigests => f.write_str("a list of SHA-256 digests in hexadecimal"),
            Self::ModelCounts => f.write_str("an object of model names and counts up to 1000"),
        }
    }
}

/// A value that is not valid for its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueError {
    key: Key,
    found: String,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let setting = self.key.setting();
        write!(f, "{} takes {}", self.key, setting.domain)?;
        if !setting.unit.is_empty() {
            write!(f, " ({})", setting.unit)?;
        }
        write!(f, ", not {}", self.found)
    }
}

impl std::error::Error for ValueError {}
