//! Parses the command line and dispatches to the commands.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use crate::commands::engines::EnginesArgs;
use crate::commands::engines::cmd_engines;
use crate::commands::explain::ExplainArgs;
use crate::commands::explain::cmd_explain;
use crate::commands::key_digest::KeyDigestArgs;
use crate::commands::key_digest::cmd_key_digest;
use crate::commands::limits::LimitsArgs;
use crate::commands::limits::cmd_limits;
use crate::commands::lost::LostArgs;
use crate::commands::lost::cmd_lost;
use crate::commands::settings::SettingsArgs;
use crate::commands::settings::cmd_settings;
use crate::commands::status::StatusArgs;
use crate::commands::status::cmd_status;
use crate::commands::suspects::SuspectsArgs;
use crate::commands::suspects::cmd_suspects;
use crate::exit::CommandError;
use crate::exit::CommandResult;
use crate::exit::Failure;
use crate::session::Session;

/// Environment variable that gives the platform's address if `--platform` is absent.
const PLATFORM_ENV_VAR: &str = "BADGERFERRY_PLATFORM";

/// Drives badgerferry: everything is done by editing the settings tree.
#[derive(FromArgs)]
struct CommandLine {
    /// the platform's address, as 10.0.0.1:8080; else the variable `BADGERFERRY_PLATFORM`
    #[argh(option)]
    platform: Option<String>,
    /// seconds to wait for the platform or the boxes (30)
    #[argh(option, default = "30")]
    patience: u64,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Settings(SettingsArgs),
    Status(StatusArgs),
    Suspects(SuspectsArgs),
    Explain(ExplainArgs),
    KeyDigest(KeyDigestArgs),
    Lost(LostArgs),
    Limits(LimitsArgs),
    Engines(EnginesArgs),
}

/// Runs the command given by the process's arguments and returns its exit code.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = CommandLine::from_args(&["badgerferry"], arguments.get(1..).unwrap_or_default());
    let line = match parsed {
        Ok(line) => line,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            let message = early_exit.output.trim_end().to_owned();
            return CommandError::new(Failure::Usage, message)
                .hint("badgerferry --help")
                .report();
        }
    };
    match run_line(line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn run_line(line: CommandLine) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| CommandError::new(Failure::Refused, cause))?;
    let platform = line
        .platform
        .or_else(|| std::env::var(PLATFORM_ENV_VAR).ok());
    let timeout = Duration::from_secs(line.patience);
    let platform_address = || {
        platform.as_deref().ok_or_else(|| {
            CommandError::new(Failure::Usage, "the platform's address is not given")
                .hint(format!("use --platform ADDRESS or set {PLATFORM_ENV_VAR}"))
        })
    };
    let session = || Ok(Session::new(platform_address()?, timeout));
    runtime.block_on(async {
        match line.command {
            Command::Settings(args) => cmd_settings(session, timeout, args).await,
            Command::Status(args) => cmd_status(&session()?, args).await,
            Command::Suspects(args) => {
                let store = platform_address()?.parse();
                let store = store.map_err(|cause| CommandError::new(Failure::Usage, cause))?;
                cmd_suspects(store, timeout, args).await
            }
            Command::Explain(args) => cmd_explain(&session()?, args).await,
            Command::KeyDigest(args) => {
                cmd_key_digest(&args);
                Ok(())
            }
            Command::Lost(args) => cmd_lost(&args),
            Command::Limits(args) => cmd_limits(&args),
            Command::Engines(args) => cmd_engines(&args),
        }
    })
}
