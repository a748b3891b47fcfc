//! Tables for people and JSON for programs.

use serde::Serialize;

/// How a command prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

impl Format {
    /// From the `--json` switch.
    pub const fn from_switch(json: bool) -> Self {
        if json { Self::Json } else { Self::Table }
    }

    /// Prints JSON, or what `table` makes.
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

/// Rows under a heading, in columns as wide as their widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The text.
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

/// Milliseconds as people read them.
pub fn ago(millis: Option<u64>) -> String {
    match millis {
        None => "never".to_owned(),
        Some(millis) if millis < 10_000 => format!("{millis} ms"),
        Some(millis) => format!("{} s", millis / 1_000),
    }
}
