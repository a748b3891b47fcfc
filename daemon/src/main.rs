//! The entry daemon: receives requests from callers and executes the decisions of the library.
//!
//! One thread runs the controllers (settings, membership, engine reports, leases); the traffic
//! threads run the filter chain of requests. Traffic threads read immutable snapshots and never
//! wait for control.
//!
//! On the users' platform (`--platform`) the daemon runs in relay mode instead; see [`relay`].

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;

mod api_error;
mod box_config;
mod box_list;
mod build_info;
mod caller;
mod chat;
mod clock;
mod control;
mod drain;
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

/// Exit code for an invalid box file or invalid platform settings.
const EXIT_INVALID_CONFIG: u8 = 2;

/// Entry daemon of the badgerferry serving layer.
#[derive(FromArgs)]
struct Args {
    /// box file, in JSON
    #[argh(option)]
    config: Option<std::path::PathBuf>,

    /// run on the users' platform, with the settings file that the environment names
    #[argh(switch)]
    platform: bool,
    /// check the box file or the platform settings and exit
    #[argh(switch)]
    check: bool,

    /// print the version and which code was built, and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        let build_info::Build {
            version,
            commit,
            sources,
        } = build_info::BUILD;
        println!("badgerferryd {version}, commit {commit}, sources {sources}");
        return ExitCode::SUCCESS;
    }
    match (&args.config, args.platform) {
        (Some(path), false) => run_with_box_file(path, args.check),
        (None, true) => run_on_platform(args.check),
        _ => {
            eprintln!("either --config FILE or --platform is needed, and not both");
            eprintln!("hint: badgerferryd --help");
            ExitCode::from(EXIT_INVALID_CONFIG)
        }
    }
}

fn run_on_platform(check: bool) -> ExitCode {
    let settings = match badgerferry_platform::settings_file::read() {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("the platform's settings can't be used: {cause}");
            eprintln!("hint: docs/operators.md tells what is read from them");
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    if check {
        println!("{}: good", settings.name);
        return ExitCode::SUCCESS;
    }
    let _logs = telemetry::start_stdout_logs();
    exit_code(relay::run(settings))
}

fn run_with_box_file(path: &Path, check: bool) -> ExitCode {
    let config = match box_config::read(path) {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("{}: can't be used:", path.display());
            for error in &errors {
                eprintln!("  {error}");
            }
            eprintln!("hint: docs/operators.md lists the fields of a box's own file");
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    if check {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    telemetry::start_logs(config.log);
    exit_code(traffic::run(config))
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            tracing::error!(cause = format!("{cause:#}"), "daemon failed");
            ExitCode::FAILURE
        }
    }
}
