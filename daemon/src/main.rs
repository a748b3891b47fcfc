//! The entry daemon: takes callers' requests and drives the library's decisions.
//!
//! One thread runs the controllers of state (settings, membership, reports, leases);
//! others run the filter chain of requests. Traffic reads immutable snapshots and never
//! waits on control.

use std::process::ExitCode;

use argh::FromArgs;

mod api_error;
mod box_config;
mod box_list;
mod caller;
mod chat;
mod clock;
mod control;
mod engine_reports;
mod once_claim;
mod peers;
mod placement_control;
mod request_run;
mod routes;
mod service_run;
mod settings_watch;
mod stop;
mod telemetry;
mod traffic;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for a box's own file that can't be used.
const EXIT_BAD_CONFIG: u8 = 2;

/// Entry daemon of the badgerferry serving layer.
#[derive(FromArgs)]
struct Args {
    /// the box's own file, in JSON
    #[argh(option)]
    config: std::path::PathBuf,
    /// check the box's own file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let config = match box_config::read(&args.config) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{}: can't be used:", args.config.display());
            for fault in &faults {
                eprintln!("  {fault}");
            }
            eprintln!("hint: docs/operators.md lists the fields of a box's own file");
            return ExitCode::from(EXIT_BAD_CONFIG);
        }
    };
    if args.check {
        println!("{}: good", args.config.display());
        return ExitCode::SUCCESS;
    }
    telemetry::start_logs(config.log);
    match traffic::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            tracing::error!(cause = format!("{cause:#}"), "the daemon could not run");
            ExitCode::FAILURE
        }
    }
}
