//! Starts the real programs for tests and ends them again.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use anyhow::Context;

/// A program that was started; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its peers reach it, for a daemon.
    pub peer_address: Option<SocketAddr>,
}

impl Process {
    /// Starts a program, which logs to a file, and waits until it prints where it listens.
    ///
    /// # Errors
    ///
    /// It can't be started, or ends before it listens.
    pub fn start(program: &Path, args: &[String], log: &Path) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("failed to start {}", program.display()))?;
        let stdout = child.stdout.take().context("the output is piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let mut peer_address = None;
        let address = loop {
            let line = lines.next().context("it ended before it listened")??;
            if let Some(address) = line.strip_prefix("peers on ") {
                peer_address = Some(address.parse()?);
            }
            if let Some(address) = line.strip_prefix("listening on ") {
                break address.parse()?;
            }
        };
        // The pipe is read to its end, or the program would block on it.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self {
            child,
            address,
            peer_address,
        })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name, as `TERM` or `STOP`.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        anyhow::ensure!(status.success(), "kill -{name} failed");
        Ok(())
    }

    /// Whether it has ended, and with which code.
    ///
    /// # Errors
    ///
    /// Its state can't be read.
    pub fn ended(&mut self) -> anyhow::Result<Option<i32>> {
        Ok(self
            .child
            .try_wait()?
            .map(|status| status.code().unwrap_or(-1)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Peak memory use of a process so far, in kilobytes.
///
/// # Errors
///
/// The process has exited.
pub fn peak_memory_kb(id: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.context("the process has exited")?;
    Ok(peak.trim().trim_end_matches(" kB").parse()?)
}

/// The folder of the programs that this build made.
///
/// # Panics
///
/// The test does not run from a build folder.
pub fn build_folder() -> PathBuf {
    let mut folder = std::env::current_exe().expect("a test knows its own path");
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder
}

/// A program of this build by name.
pub fn program(name: &str) -> PathBuf {
    build_folder().join(name)
}
