//! Stand-ins and runners of the review's scripts. Standard library only.
//!
//! `standin server ...` is a backend server in a process of its own; `standin case NAME FOLDER` runs
//! one case and writes `record.txt` into the folder.

mod cases;
mod client;
mod cluster;
mod http;
mod json;
mod server;
mod store;

use std::process::exit;

/// Exit code if the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["server", options @ ..] => server::run(options),
        ["case", name, folder] => exit(cases::run(name, folder)),
        _ => {
            eprintln!("usage: standin server OPTION... | standin case NAME FOLDER");
            exit(COULD_NOT_RUN);
        }
    }
}
