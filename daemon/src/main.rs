//! The entry daemon: takes callers' requests and drives the library's decisions.
//!
//! One thread runs the controllers of state (settings, membership, reports, leases);
//! others run the filter chain of requests. Traffic reads immutable snapshots and never
//! waits on control.

use std::path::Path;
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
mod peers;
mod placement_control;
mod relay;
mod request_driver;
mod request_key_claim;
mod routes;
mod service_driver;
mod settings_watch;
mod stop;
mod telemetry;
mod traffic;

/// Exit code for a box's own file that can't be used.
const EXIT_BAD_CONFIG: u8 = 2;

/// Entry daemon of the badgerferry serving layer.
#[derive(FromArgs)]
struct Args {
    /// the box's own file, in JSON
    #[argh(option)]
    config: Option<std::path::PathBuf>,

    /// run on the users' platform, whose settings file the environment names
    #[argh(switch)]
    platform: bool,
    /// check the box's own file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match (&args.config, args.platform) {
        (Some(path), false) => run_own_door(path, args.check),
        (None, true) => run_on_platform(args.check),
        _ => {
            eprintln!("either --config FILE or --platform is needed, and not both");
            eprintln!("hint: badgerferryd --help");
            ExitCode::from(EXIT_BAD_CONFIG)
        }
    }
}

fn run_on_platform(check: bool) -> ExitCode {
    let settings = match badgerferry_platform::settings_file::read() {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("the platform's settings can't be used: {cause}");
            eprintln!("hint: docs/operators.md tells what is read from them");
            return ExitCode::from(EXIT_BAD_CONFIG);
        }
    };
    if check {
        println!("{}: good", settings.name);
        return ExitCode::SUCCESS;
    }
    let _logs = telemetry::start_stdout_logs();
    end_with(relay::run(settings))
}

fn run_own_door(path: &Path, check: bool) -> ExitCode {
    let config = match box_config::read(path) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{}: can't be used:", path.display());
            for fault in &faults {
                eprintln!("  {fault}");
            }
            eprintln!("hint: docs/operators.md lists the fields of a box's own file");
            return ExitCode::from(EXIT_BAD_CONFIG);
        }
    };
    if check {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    telemetry::start_logs(config.log);
    end_with(traffic::run(config))
}

fn end_with(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            tracing::error!(cause = format!("{cause:#}"), "the daemon could not run");
            ExitCode::FAILURE
        }
    }
}
