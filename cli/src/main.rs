//! The operators' command line.

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
