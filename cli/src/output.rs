//! Output of commands, as a text table or as JSON.

use serde::Serialize;

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Aligned text columns.
    Table,
    /// Pretty-printed JSON.
    Json,
}

impl Format {
    /// The format that the `--json` switch selects.
    pub const fn from_switch(json: bool) -> Self {
        if json { Self::Json } else { Self::Table }
    }

    /// Prints `value` as JSON, or the text that `table` returns.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce() -> String) {
        match self {
            Self::Json => {
                let text = serde_json::to_string_pretty(value);
                println!("{}", text.expect("plain data always encodes"));
            }
            Self::Table => print!("{}", table()),
        }
    }
}

/// Text table with a heading; each column is as wide as its widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that holds only its heading.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row, which may have fewer cells than the heading.
    pub fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the aligned text, one line per row, without trailing spaces.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats an age in milliseconds: whole seconds from 10 s on, "never" for `None`.
pub fn format_age(age_ms: Option<u64>) -> String {
    match age_ms {
        None => "never".to_owned(),
        Some(age_ms) if age_ms < 10_000 => format!("{age_ms} ms"),
        Some(age_ms) => format!("{} s", age_ms / 1_000),
    }
}
