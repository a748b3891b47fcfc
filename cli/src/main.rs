//! Command-line tool for operators: edits the settings tree and evaluates boxes' logs.

use std::process::ExitCode;

mod command_line;
mod commands;
mod engine_plot;
mod exit;
mod log_files;
mod output;
mod session;

fn main() -> ExitCode {
    command_line::run()
}
