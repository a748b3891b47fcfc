//! Reads the JSON logs of boxes line by line.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;

/// A parsed log line of a box.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The whole JSON object.
    pub value: Value,
    /// Its timestamp, in milliseconds since the Unix epoch; `None` if missing or malformed.
    pub unix_ms: Option<u64>,
}

/// Reads a file and calls `on_line` for each line, with `None` where it is not JSON.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn read(path: &Path, mut on_line: impl FnMut(Option<LogLine>)) -> CommandResult {
    let read_error = |cause: std::io::Error| {
        let message = format!("failed to read {}: {cause}", path.display());
        CommandError::new(Failure::Refused, message)
    };
    let file = File::open(path).map_err(read_error)?;
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(read_error)?;
        on_line(parse(&String::from_utf8_lossy(&line)));
    }
    Ok(())
}

/// Parses a line, skipping any prefix that a log collector put before the JSON.
fn parse(text: &str) -> Option<LogLine> {
    let value: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let time = value.get("timestamp").and_then(Value::as_str);
    let time = time.and_then(|text| OffsetDateTime::parse(text, &Rfc3339).ok());
    let unix_ms = time.map(|time| (time.unix_timestamp_nanos() / 1_000_000) as u64);
    Some(LogLine { value, unix_ms })
}
