//! A whole small fleet of real processes on loopback: platform, engines, a plain service
//! and daemons, with settings committed by the real command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use badgerferry_lib::ids::BoxName;
use badgerferry_lib::ids::HallName;
use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::platform_wire::BoxInfo;
use badgerferry_lib::platform_wire::BoxList;
use badgerferry_lib::server_view::ServerInfo;
use badgerferry_lib::server_view::ServerKind;
use badgerferry_lib::status_wire::DaemonStatus;
use serde_json::Value;
use serde_json::json;

use crate::http::Answer;
use crate::http::HttpCaller;
use crate::processes::Process;
use crate::processes::program;

/// The workspace key of the fleet's settings.
pub const WORKSPACE_KEY: &str = "demo-key";
/// The SHA-256 of [`WORKSPACE_KEY`], from `badgerferry key-digest demo-key`.
const WORKSPACE_KEY_DIGEST: &str =
    "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";
/// The model that the engines serve.
pub const MODEL: &str = "llm-pool";
/// The pool of the plain service.
pub const POOL: &str = "notify-api";
/// Longest wait for a condition; only a fault takes as long.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(50);

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Daemons.
    pub boxes: usize,
    /// Engines.
    pub engines: usize,
    /// Arguments of every engine, besides its model.
    pub engine_args: Vec<String>,
    /// Values set at the root, by key.
    pub settings: Vec<(&'static str, Value)>,
    /// Seconds until the platform kills a daemon that it has told to stop, if stated to it.
    pub stop_seconds: Option<u64>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            boxes: 2,
            engines: 3,
            engine_args: Vec::new(),
            settings: Vec::new(),
            stop_seconds: None,
        }
    }
}

/// A running fleet; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The engines.
    pub engines: Vec<Process>,
    /// The plain service.
    pub service: Process,
    /// The daemons.
    pub boxes: Vec<Process>,
    /// The list as the platform was told it.
    pub list: BoxList,
    /// A caller.
    pub caller: HttpCaller,
    folder: PathBuf,
    stop_seconds: Option<u64>,
}

impl Fleet {
    /// Starts a fleet and waits until every daemon serves.
    ///
    /// # Errors
    ///
    /// A program can't be started or does not become ready.
    pub async fn start(plan: &FleetPlan) -> anyhow::Result<Self> {
        let folder = fresh_folder()?;
        let log = folder.join("standins.log");
        let platform = Process::start(&program("standin-platform"), &[], &log)?;
        let mut engine_args = vec!["--model".to_owned(), MODEL.to_owned()];
        engine_args.extend(plan.engine_args.iter().cloned());
        let engines = (0..plan.engines)
            .map(|_| Process::start(&program("standin-engine"), &engine_args, &log))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let service = Process::start(&program("standin-service"), &[], &log)?;
        let mut fleet = Self {
            platform,
            engines,
            service,
            boxes: Vec::new(),
            list: BoxList::default(),
            caller: HttpCaller::default(),
            folder,
            stop_seconds: plan.stop_seconds,
        };
        fleet.commit_first_settings(plan)?;
        for index in 0..plan.boxes {
            let daemon = fleet.start_box(index)?;
            fleet.boxes.push(daemon);
        }
        fleet.list = fleet.first_list();
        fleet.tell_list().await?;
        for index in 0..plan.boxes {
            fleet.wait_serving(index, plan.engines).await?;
        }
        Ok(fleet)
    }

    /// Starts the daemon of a box anew.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start_box(&self, index: usize) -> anyhow::Result<Process> {
        let path = self.folder.join(format!("box-{index}.json"));
        let mut config = json!({
            "name": format!("box-{index}"),
            "hall": "hall-a",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": self.platform.address,
            "peers": self.boxes.iter().filter_map(|found| found.peer_address).collect::<Vec<_>>(),
            "peer_key": "11".repeat(32),
        });
        if let Some(seconds) = self.stop_seconds {
            config["stop_seconds"] = json!(seconds);
        }
        std::fs::write(&path, config.to_string())?;
        let args = ["--config".to_owned(), path.display().to_string()];
        Process::start(&program("badgerferryd"), &args, &self.log_of(index))
    }

    fn log_of(&self, index: usize) -> PathBuf {
        self.folder.join(format!("box-{index}.log"))
    }

    /// What a daemon has logged so far.
    ///
    /// # Errors
    ///
    /// The log can't be read.
    pub fn log(&self, index: usize) -> anyhow::Result<String> {
        Ok(std::fs::read_to_string(self.log_of(index))?)
    }

    fn first_list(&self) -> BoxList {
        let engine = |(index, process): (usize, &Process)| ServerInfo {
            name: ServerName::new(format!("engine-{index}")),
            hall: HallName::new("hall-a"),
            kind: ServerKind::Engine,
            address: process.address.to_string(),
            pool: None,
            leaving: false,
        };
        let mut servers: Vec<_> = self.engines.iter().enumerate().map(engine).collect();
        servers.push(ServerInfo {
            name: ServerName::new("notify-0"),
            hall: HallName::new("hall-a"),
            kind: ServerKind::Service,
            address: self.service.address.to_string(),
            pool: Some(ModelName::new(POOL)),
            leaving: false,
        });
        let boxes = self.boxes.iter().enumerate();
        BoxList {
            boxes: boxes
                .map(|(index, process)| box_info(index, process))
                .collect(),
            servers,
        }
    }

    /// Tells the platform the list.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub async fn tell_list(&self) -> anyhow::Result<()> {
        let told = self
            .caller
            .post(self.platform.address, "/standin/boxes", &self.list)
            .await?;
        anyhow::ensure!(told.status.is_success(), "the list was not taken");
        Ok(())
    }

    /// Makes a stand-in misbehave.
    ///
    /// # Errors
    ///
    /// It does not take the faults.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> anyhow::Result<()> {
        let told = self.caller.post(address, "/standin/faults", faults).await?;
        anyhow::ensure!(told.status.is_success(), "the faults were not taken");
        Ok(())
    }

    fn commit_first_settings(&self, plan: &FleetPlan) -> anyhow::Result<()> {
        let root: serde_json::Map<_, _> = plan
            .settings
            .iter()
            .map(|(key, value)| ((*key).to_owned(), value.clone()))
            .collect();
        let tree = json!({"nodes": {
            "fleet": {"kind": "root", "set": root},
            "texas": {"kind": "region", "parent": "fleet"},
            "crashes": {
                "kind": "workspace",
                "parent": "texas",
                "set": {"workspace.key_digests": [WORKSPACE_KEY_DIGEST]},
            },
            "crashes/live": {
                "kind": "class",
                "parent": "crashes",
                "set": {"request.priority": "urgent"},
            },
        }});
        let path = self.folder.join("tree.json");
        std::fs::write(&path, tree.to_string())?;
        let done = self.cli(&["settings", "edit", &path.display().to_string()])?;
        anyhow::ensure!(
            done.status.success(),
            "the first edit failed: {}",
            stderr(&done)
        );
        Ok(())
    }

    /// Runs the command line against the fleet's platform.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn cli(&self, args: &[&str]) -> anyhow::Result<Output> {
        Command::new(program("badgerferry"))
            .arg("--platform")
            .arg(self.platform.address.to_string())
            .args(args)
            .output()
            .context("failed to start the command line")
    }

    /// A daemon's status.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn status(&self, index: usize) -> anyhow::Result<DaemonStatus> {
        self.caller
            .get(self.boxes[index].address, "/status")
            .await?
            .json()
    }

    /// Waits until a daemon is ready and has reports of this many engines.
    ///
    /// # Errors
    ///
    /// It does not in half a minute.
    pub async fn wait_serving(&self, index: usize, engines: usize) -> anyhow::Result<()> {
        wait_until("the daemon serves", async || {
            let Ok(status) = self.status(index).await else {
                return false;
            };
            let reporting = status
                .servers
                .iter()
                .filter(|found| found.report_age_ms.is_some());
            status.ready && reporting.count() >= engines && status.servers.len() > engines
        })
        .await
    }

    /// Sends a chat completion to a daemon.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn chat(
        &self,
        index: usize,
        prompt: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Answer> {
        self.chat_body(index, &chat_body(prompt, false), headers)
            .await
    }

    /// Sends a chat completion whose answer is streamed.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn chat_streamed(&self, index: usize, prompt: &str) -> anyhow::Result<Answer> {
        self.chat_body(index, &chat_body(prompt, true), &[]).await
    }

    /// Sends a body to the chat completions of a daemon.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn chat_body(
        &self,
        index: usize,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Answer> {
        let address = self.boxes[index].address;
        let body = body.to_string();
        self.post_as_workspace(address, "/v1/chat/completions", headers, body)
            .await
    }

    /// Calls the plain service through a daemon.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn notify(
        &self,
        index: usize,
        call: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Answer> {
        let address = self.boxes[index].address;
        let mut all = vec![("x-call", call)];
        all.extend_from_slice(headers);
        let path = format!("/services/{POOL}/alerts");
        self.post_as_workspace(address, &path, &all, "{}".to_owned())
            .await
    }

    async fn post_as_workspace(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> anyhow::Result<Answer> {
        let bearer = format!("Bearer {WORKSPACE_KEY}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        self.caller
            .call(hyper::Method::POST, address, path, &all, body)
            .await
    }

    /// Memory held at an engine, in tokens.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn memory_used(&self, engine: usize) -> anyhow::Result<u64> {
        let holdings = self.holdings(engine).await?;
        holdings["memory_used"]
            .as_u64()
            .context("a number is expected")
    }

    /// What an engine stand-in tells of itself.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn holdings(&self, engine: usize) -> anyhow::Result<Value> {
        let address = self.engines[engine].address;
        self.caller.get(address, "/standin/holdings").await?.json()
    }

    /// Runs of each call at the plain service.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn service_runs(&self, call: &str) -> anyhow::Result<u64> {
        let runs: Value = self
            .caller
            .get(self.service.address, "/standin/runs")
            .await?
            .json()?;
        Ok(runs[call].as_u64().unwrap_or(0))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A box's entry of the list.
///
/// # Panics
///
/// The process is no daemon.
pub fn box_info(index: usize, process: &Process) -> BoxInfo {
    BoxInfo {
        name: BoxName::new(format!("box-{index}")),
        hall: HallName::new("hall-a"),
        address: process.address.to_string(),
        peer_address: process
            .peer_address
            .expect("a daemon prints it")
            .to_string(),
        leaving: false,
    }
}

/// The body of a chat completion.
pub fn chat_body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 16,
        "stream": stream,
    })
}

/// What a command wrote to its error output.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// What a command wrote to its output.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Waits for a condition.
///
/// # Errors
///
/// It does not hold within half a minute.
pub async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !holds().await {
        anyhow::ensure!(start.elapsed() < PATIENCE, "waited in vain until {what}");
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

fn fresh_folder() -> anyhow::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("badgerferry-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
