//! The logs of boxes, read line by line.

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

/// A line of a box.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// All of it.
    pub value: Value,
    /// When it was written, in milliseconds since 1970, if it says so.
    pub millis: Option<u64>,
}

/// Reads a file and gives each line to `take`: none where it is no line of a box.
///
/// # Errors
///
/// The file can't be read.
pub fn read(path: &Path, mut take: impl FnMut(Option<LogLine>)) -> CommandResult {
    let failed = |cause: std::io::Error| {
        let message = format!("failed to read {}: {cause}", path.display());
        CommandError::new(Failure::Refused, message)
    };
    let file = File::open(path).map_err(failed)?;
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(failed)?;
        take(parse(&String::from_utf8_lossy(&line)));
    }
    Ok(())
}

/// A log collector may have put its own words before the line.
fn parse(text: &str) -> Option<LogLine> {
    let value: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let time = value.get("timestamp").and_then(Value::as_str);
    let time = time.and_then(|text| OffsetDateTime::parse(text, &Rfc3339).ok());
    let millis = time.map(|time| (time.unix_timestamp_nanos() / 1_000_000) as u64);
    Some(LogLine { value, millis })
}
