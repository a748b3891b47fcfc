//! The operators' command line.

use std::process::ExitCode;

mod command_line;
mod commands;
mod exit;
mod output;
mod session;

fn main() -> ExitCode {
    command_line::run()
}
