//! Plays a deployment at its whole size, with its kinds of calls and rates, under the troubles of a
//! seed, and audits every retry rule by what the servers read.
//!
//! Servers stand still, slow down, lose calls, shed load or crash; boxes stand still, are killed or
//! are stopped and started again. Some servers and boxes are reached through forwarders, which may be slow,
//! hold bytes back or reset connections. Troubles overlap and come in series.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use anyhow::Context;
use badgerferry_standin::caller_habit;
use badgerferry_standin::counted_retries;
use badgerferry_standin::counted_retries::RetryComparison;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::departure_audit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::departure_audit::STOP_TIME;
use badgerferry_standin::proxy::Link;
use badgerferry_standin::proxy::Proxy;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::retry_audit;
use badgerferry_standin::retry_audit::BudgetTerms;
use badgerferry_standin::retry_audit::SentCall;
use badgerferry_standin::server::Server;
use badgerferry_standin::sheet::Sheet;
use badgerferry_standin::store::Mode;
use badgerferry_standin::store::Store;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::sheet_callers::CRASHING_BODY;
use crate::sheet_callers::CRASHING_PART;
use crate::sheet_callers::Crashing;
use crate::sheet_callers::CrashingCalls;
use crate::sheet_callers::Traffic;
use crate::sheet_callers::lock;
use crate::sheet_callers::make_calls;
use crate::sheet_links::ServerKind;
use crate::sheet_links::box_link;
use crate::sheet_links::box_of;
use crate::sheet_report::Report;
use crate::sheet_settings::Settings;
use crate::sheet_troubles;
use crate::sheet_troubles::Scheduled;
use crate::sheet_troubles::Severity;
use crate::sheet_troubles::Trouble;

/// Time before the first trouble, in which boxes earn retries.
const WARM_UP: Duration = Duration::from_secs(11);
/// Time after a refusal in which calls that are on the way do not count.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Crashes of a request, and time after the last of them from which on its runs count.
const REQUEST_CRASHES: usize = 3;
const CRASH_TOLERANCE: Duration = Duration::from_secs(4);
/// The same for a part of prompts.
const PART_CRASHES: usize = 5;
const PART_CRASH_TOLERANCE: Duration = Duration::from_secs(3);
/// How long a crashed server is down.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Calls that each server runs at a time where [`Severity::Departures`] is played.
const MAX_RUNNING: usize = 6;

/// A deployment that runs.
pub struct Deployment {
    pub store: Store,
    pub servers: Vec<Server>,
    pub boxes: Vec<RelayBox>,
    /// Logs of boxes that were replaced.
    pub replaced_logs: Vec<String>,
    settings: Settings,
    /// Forwarder in front of each box that has one.
    pub box_forwarders: Vec<Option<Proxy>>,
    /// When a box was stopped, killed or continued.
    pub disturbed: Vec<Vec<Instant>>,
    /// Data hall of each box.
    pub halls: Vec<String>,
    /// Boxes that were started under a name of their own.
    pub named: usize,
    /// Indexes of the boxes that are killed and not started again yet.
    pub down: BTreeSet<usize>,
    /// Time after a disturbance in which a box is not in touch.
    contact_time: Duration,
    pub traffic: Arc<Traffic>,
    pub budget: BudgetTerms,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Plan<'a> {
    /// Site file.
    pub sheet: &'a Path,
    pub severity: Severity,
    /// How long troubles come.
    pub lasts: Duration,
    /// Folder for the logs of all runs; those that fail are saved in the temporary folder otherwise.
    pub logs: Option<&'a Path>,
    /// Rules that are known to be violated.
    pub tolerated: &'a [String],
}

/// Runs a seed.
///
/// # Errors
///
/// A retry rule is violated, or a process could not be started.
pub async fn run(seed: u64, plan: &Plan<'_>) -> anyhow::Result<Report> {
    let Plan {
        severity, lasts, ..
    } = *plan;
    let sheet = Sheet::read(plan.sheet)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let troubles = sheet_troubles::draw(&mut rng, severity, lasts, &sheet);
    println!("{} seed {seed}: {troubles:?}", sheet.name);
    let mut deployment = Deployment::start(&sheet).await?;
    let callers = tokio::spawn(make_calls(
        Arc::clone(&deployment.traffic),
        WARM_UP + lasts,
        ChaCha8Rng::seed_from_u64(seed + 1),
    ));
    sleep(WARM_UP).await;
    deployment.play(troubles, &mut rng).await?;
    callers.await?;
    let report = deployment.audit(severity);
    let (known, violated): (Vec<_>, Vec<_>) = (report.violated().into_iter())
        .partition(|rule| plan.tolerated.iter().any(|known| known == rule));
    if !known.is_empty() {
        println!(
            "{} seed {seed}: known to be violated: {known:?}",
            sheet.name
        );
    }
    if violated.is_empty() && plan.logs.is_none() {
        return Ok(report);
    }
    let parent = plan.logs.map_or_else(std::env::temp_dir, Path::to_owned);
    let dir = parent.join(format!("badgerferry-soak-{}-{seed}", sheet.name));
    let logs = deployment.save_logs(&dir, &report)?;
    if violated.is_empty() {
        return Ok(report);
    }
    anyhow::bail!("{violated:?}: {report}; logs in {logs}")
}

impl Deployment {
    async fn start(sheet: &Sheet) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        let settings = Settings::new(sheet.desired_state("key-1"), &sheet.call_kinds());
        store.put_routes(settings.state());
        let mut servers = Vec::new();
        for plan in sheet.servers() {
            let server = Server::start(&plan.name, &plan.service, plan.pace).await?;
            server.set_hall(&plan.hall);
            match plan.engine {
                Some(model) => server.start_engine(model),
                None => server.limit_places(plan.places, plan.queue),
            }
            server.limit_connections(plan.connections);
            for (path, share) in &plan.error_shares {
                server.fail_calls(path, *share);
            }
            let kind = ServerKind::of(servers.len());
            server.detect_disconnects(kind.detection);
            server.delay_heads(Duration::ZERO, kind.interim_interval());
            if let Some(link) = kind.link {
                server.start_forwarder().await?.set(link);
            }
            store.put(&server.key(), &server.entry("ready"));
            servers.push(server);
        }
        let mut deployment = Self {
            traffic: Arc::new(Traffic {
                kinds: sheet.call_kinds(),
                leaving: Mutex::new(vec![sheet_troubles::USUAL_LEAVING]),
                ..Traffic::default()
            }),
            settings,
            disturbed: Vec::new(),
            halls: Vec::new(),
            named: 0,
            down: BTreeSet::new(),
            contact_time: sheet.contact_time(),
            store,
            servers,
            boxes: Vec::new(),
            replaced_logs: Vec::new(),
            box_forwarders: Vec::new(),
            budget: sheet.budget(),
        };
        for hall in sheet.box_halls() {
            deployment.add_box(&hall)?;
        }
        for index in 0..deployment.boxes.len() {
            deployment.boxes[index].wait_ready().await?;
            deployment.open_front(index).await?;
        }
        Ok(deployment)
    }

    /// Begins and ends the troubles in the order of their times.
    async fn play(&mut self, troubles: Vec<Scheduled>, rng: &mut ChaCha8Rng) -> anyhow::Result<()> {
        let started = tokio::time::Instant::now();
        let mut steps = Vec::new();
        for Scheduled { at, lasts, trouble } in troubles {
            let affected = self.choose(trouble, rng);
            steps.push((at, true, trouble, affected.clone()));
            steps.push((at + lasts, false, trouble, affected));
        }
        steps.sort_by_key(|(at, ..)| *at);
        for (at, begins, trouble, affected) in steps {
            sleep_until(started + at).await;
            match trouble {
                Trouble::BoxesReplaced(_) if begins => self.replace_boxes(&affected).await?,
                Trouble::BoxesAdded(_) if begins => self.add_boxes_beside(&affected)?,
                Trouble::SettingsChange if begins => {
                    self.settings.change(rng);
                    self.store.put_routes(self.settings.state());
                }
                _ => self.change(trouble, begins, &affected)?,
            }
        }
        Ok(())
    }

    /// Indexes of the servers or boxes that the trouble affects.
    fn choose(&self, trouble: Trouble, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let (count, share) = match trouble {
            Trouble::ServersStill(share)
            | Trouble::ServersSlow(share, _)
            | Trouble::ServersShed(share, ..)
            | Trouble::ServersFail(share, ..)
            | Trouble::ServersDark(share)
            | Trouble::ServersCrash(share) => (self.servers.len(), share),
            Trouble::BoxesStill(share)
            | Trouble::BoxesKilled(share)
            | Trouble::BoxesReplaced(share)
            | Trouble::BoxesAdded(share)
            | Trouble::BoxesDown(share) => (self.boxes.len(), share),
            Trouble::BoxesStopped => (self.boxes.len(), 0.0),
            Trouble::CallsLost(_)
            | Trouble::StoreFails(_)
            | Trouble::StoreReadsOld
            | Trouble::CrashingRequest(..)
            | Trouble::CrashingPart(..)
            | Trouble::CrashingBoth(..)
            | Trouble::ServersBusy(_) => (self.servers.len(), 1.0),
            Trouble::ServerLinksHeld(share)
            | Trouble::ServerLinksReset(share)
            | Trouble::BoxLinksReset(share) => (0, share),
            Trouble::CallersLeave(_)
            | Trouble::CallersRepeat(..)
            | Trouble::Burst(_)
            | Trouble::SettingsChange => (0, 0.0),
        };
        let mut all: Vec<usize> = match trouble {
            Trouble::ServerLinksHeld(_) | Trouble::ServerLinksReset(_) => {
                let servers = 0..self.servers.len();
                servers
                    .filter(|index| ServerKind::of(*index).link.is_some())
                    .collect()
            }
            Trouble::BoxLinksReset(_) => {
                let boxes = 0..self.boxes.len();
                boxes.filter(|index| box_link(*index).is_some()).collect()
            }
            _ => (0..count).collect(),
        };
        let count = all.len();
        all.shuffle(rng);
        all.truncate(((count as f64 * share).ceil() as usize).max(1));
        all
    }

    fn change(&mut self, trouble: Trouble, begins: bool, affected: &[usize]) -> anyhow::Result<()> {
        let servers = || affected.iter().map(|index| &self.servers[*index]);
        match trouble {
            Trouble::ServersStill(_) => servers().for_each(|server| server.suspend(begins)),
            Trouble::ServersSlow(_, factor) => {
                let factor = if begins { factor } else { 1.0 };
                servers().for_each(|server| server.slow_down(factor));
            }
            Trouble::CallsLost(fraction) => {
                let fraction = if begins { fraction } else { 0.0 };
                servers().for_each(|server| server.cut_calls(fraction));
            }
            Trouble::ServersShed(_, delay, pause) => {
                let pause = pause.to_string();
                for server in servers() {
                    server.decline_after(delay);
                    server.shed(begins.then_some(&pause));
                }
            }
            Trouble::ServersFail(_, behaviour, fraction) => {
                let fault = begins.then_some((behaviour, fraction));
                servers().for_each(|server| server.inject_faults(fault));
            }
            Trouble::ServersDark(_) => {
                self.set_server_links(Link::Dropped, begins, affected);
                for server in servers() {
                    if !begins {
                        server.crash();
                    }
                    server.suspend(begins);
                }
            }
            Trouble::CallersRepeat(fraction, factor) => {
                *lock(&self.traffic.impatient) = begins.then_some((fraction, factor));
            }
            Trouble::Burst(factor) => {
                *lock(&self.traffic.burst) = if begins { factor - 1.0 } else { 0.0 };
            }
            Trouble::ServersCrash(_) if begins => servers().for_each(Server::crash),
            Trouble::CrashingRequest(silence, per_s) => {
                let rule = CrashRule::on_body(CRASHING_BODY, DOWNTIME, &self.store);
                self.set_crashing(&rule.silent_for(silence), Crashing::Request, per_s, begins);
            }
            Trouble::CrashingPart(silence, per_s) => {
                let rule = CrashRule::on_part(CRASHING_PART, DOWNTIME, &self.store);
                let rule = rule.silent_for(silence).beginning_response();
                self.set_crashing(&rule, Crashing::Part, per_s, begins);
            }
            Trouble::CrashingBoth(timing, per_s) => {
                let rule = CrashRule::on_body(CRASHING_BODY, DOWNTIME, &self.store);
                let rule = rule.or_on_part(CRASHING_PART).silent_for(timing.delay);
                let rule = if timing.begins_response {
                    rule.beginning_response()
                } else {
                    rule
                };
                self.set_crashing(&rule, Crashing::Request, per_s, begins);
                self.set_crashing(&rule, Crashing::Part, per_s, begins);
            }
            Trouble::StoreFails(mode) => {
                self.store
                    .set_mode(if begins { mode } else { Mode::Serving });
            }
            Trouble::StoreReadsOld if begins => self.store.hold_old_reads(),
            Trouble::CallersLeave(leaving) => {
                let mut all = lock(&self.traffic.leaving);
                if begins {
                    all.push(leaving);
                } else if let Some(ended) = all.iter().position(|other| *other == leaving) {
                    all.remove(ended);
                }
            }
            Trouble::ServersBusy(delay) => {
                for index in affected {
                    let delay = if begins { delay } else { Duration::ZERO };
                    let server = &self.servers[*index];
                    let interval = ServerKind::of(*index).interim_interval();
                    server.delay_heads(delay, interval);
                    server.limit_running(begins.then_some(MAX_RUNNING));
                }
            }
            Trouble::ServerLinksHeld(_) => self.set_server_links(Link::Silent, begins, affected),
            Trouble::ServerLinksReset(_) => self.set_server_links(Link::Reset, begins, affected),
            Trouble::BoxLinksReset(_)
            | Trouble::BoxesDown(_)
            | Trouble::BoxesStill(_)
            | Trouble::BoxesKilled(_)
            | Trouble::BoxesStopped => self.change_boxes(trouble, begins, affected)?,
            Trouble::ServersCrash(_)
            | Trouble::StoreReadsOld
            | Trouble::SettingsChange
            | Trouble::BoxesReplaced(_)
            | Trouble::BoxesAdded(_) => {}
        }
        Ok(())
    }

    /// Changes the forwarders of servers, or restores them. Those of servers that are down stay closed.
    fn set_server_links(&self, link: Link, begins: bool, affected: &[usize]) {
        for index in affected {
            let usual = ServerKind::of(*index).link;
            let forwarder = self.servers[*index].forwarder();
            if let (Some(forwarder), Some(usual)) = (forwarder, usual)
                && forwarder.link() != Link::Refused
            {
                forwarder.set(if begins { link } else { usual });
            }
        }
    }

    /// Lets calls crash their servers, or ends such calls. The servers keep the rule.
    fn set_crashing(&self, rule: &CrashRule, crashing: Crashing, per_s: f64, begins: bool) {
        if begins {
            for server in &self.servers {
                server.set_crash_rule(rule.clone());
            }
        }
        let mut all = lock(&self.traffic.crashing);
        all.retain(|calls| calls.crashing != crashing);
        if begins {
            all.push(CrashingCalls {
                crashing,
                interval: Duration::from_secs_f64(1.0 / per_s),
                next_at: Instant::now(),
            });
        }
    }

    fn audit(&self, severity: Severity) -> Report {
        let sent = lock(&self.traffic.sent).clone();
        let calls: Vec<SentCall> = sent.iter().map(|sent| sent.call.clone()).collect();
        let services: BTreeSet<&String> = self.servers.iter().map(|of| &of.service).collect();
        let kinds = &self.traffic.kinds;
        let of_service = |service: &str| -> (Vec<SentCall>, Vec<Server>) {
            let calls = sent
                .iter()
                .filter(|sent| self.settings.may_send(sent.kind, service, sent.call.at));
            let servers = self.servers.iter().filter(|of| of.service == service);
            (
                calls.map(|sent| sent.call.clone()).collect(),
                servers.cloned().collect(),
            )
        };
        let worst = services.into_iter().filter_map(|service| {
            let (calls, servers) = of_service(service);
            retry_audit::worst_window(&calls, &servers, &self.budget)
        });
        let worst = worst.max_by(|a, b| a.fraction().total_cmp(&b.fraction()));
        let max_attempts = kinds.iter().map(|kind| kind.max_attempts).max();
        let of_crashing = |crashing| -> BTreeSet<&str> {
            let sent = sent.iter().filter(|sent| sent.crashing == Some(crashing));
            sent.map(|sent| sent.call.id.as_str()).collect()
        };
        let (requests, parts) = (of_crashing(Crashing::Request), of_crashing(Crashing::Part));
        let is_in_touch = |id: &str, at| !self.is_disturbed(id, at);
        Report {
            severity,
            calls: sent.len(),
            served: lock(&self.traffic.served).len(),
            repeats: retry_audit::repeats(&self.servers),
            worst,
            beyond: retry_audit::calls_beyond_attempts(&self.servers, max_attempts.unwrap_or(1))
                .len(),
            repeated_calls: retry_audit::repeated_calls(&self.servers),
            late: retry_audit::late_repeats(&calls, &self.servers),
            crashes: retry_audit::crashes_of(&requests, &self.servers).len(),
            runs_after_crashes: retry_audit::runs_after_crash(
                &requests,
                &self.servers,
                REQUEST_CRASHES,
                CRASH_TOLERANCE,
                is_in_touch,
            ),
            part_crashes: retry_audit::crashes_of(&parts, &self.servers).len(),
            runs_after_part_crashes: retry_audit::runs_after_crash(
                &parts,
                &self.servers,
                PART_CRASHES,
                PART_CRASH_TOLERANCE,
                is_in_touch,
            ),
            in_pauses: self.calls_in_pauses(),
            pauses: self.pauses(),
            work: departure_audit::audit(
                &self.undisturbed_departures(),
                &self.servers,
                self.contact_time,
            ),
            lost: self.lost(),
            retries: self.compare_retries(),
        }
    }

    /// Compares retries with arrivals, without calls at boxes that were killed: their last lines are missing.
    fn compare_retries(&self) -> RetryComparison {
        let mut logs: Vec<String> = self.boxes.iter().map(RelayBox::log).collect();
        logs.extend_from_slice(&self.replaced_logs);
        let killed = lock(&self.traffic.sent)
            .iter()
            .filter(|sent| {
                let until = sent.call.at + sent.call.deadline;
                let disturbed =
                    box_of(&sent.call.id).map_or(&[][..], |index| &self.disturbed[index]);
                disturbed
                    .iter()
                    .any(|at| (sent.call.at..until).contains(at))
            })
            .map(|sent| sent.call.id.clone())
            .collect::<BTreeSet<_>>();
        counted_retries::compare(&self.servers, &logs, |id| {
            !killed.contains(caller_habit::first_id(id))
        })
    }

    /// Whether the box of a call was disturbed shortly before or after this time.
    fn is_disturbed(&self, id: &str, at: Instant) -> bool {
        let disturbed = box_of(id).map_or(&[][..], |index| &self.disturbed[index]);
        disturbed
            .iter()
            .any(|disturbed| *disturbed + self.contact_time >= at && *disturbed <= at + STOP_TIME)
    }

    fn undisturbed_departures(&self) -> Vec<Departure> {
        let mut departures = lock(&self.traffic.departures).clone();
        departures.retain(|departure| !self.is_disturbed(&departure.id, departure.at));
        departures
    }

    /// Calls whose connection was closed without a response although a server read them that did not
    /// crash then.
    fn lost(&self) -> usize {
        let unanswered = lock(&self.traffic.unanswered).clone();
        let lost = unanswered.iter().filter(|(id, at)| {
            let mut servers = self.servers.iter();
            !self.is_disturbed(id, *at)
                && servers.any(|server| {
                    let calls = server.received_calls();
                    let mut read = calls.iter().filter(|call| call.id() == id);
                    read.any(|call| call.lost_in_crash.is_none())
                })
        });
        lost.count()
    }

    /// The most calls that a server got from one box in a pause that it had asked for. A box that was
    /// disturbed meanwhile is excused.
    fn calls_in_pauses(&self) -> usize {
        let mut most = 0;
        for server in &self.servers {
            let calls = server.received_calls();
            let by_box = |index| {
                calls
                    .iter()
                    .filter(move |call| box_of(call.id()) == Some(index))
            };
            let declines = calls.iter().filter_map(|call| {
                let pause = call.retry_after.as_deref()?.parse().ok()?;
                let declined_at = call.declined_at?;
                let told = call.received_at?..declined_at + PAUSE_TOLERANCE;
                let pause = declined_at..declined_at + Duration::from_secs(pause);
                Some((box_of(call.id())?, told, pause))
            });
            let forwarder = server.forwarder();
            for (index, told, pause) in declines {
                let counted = told.end..pause.end;
                let is_excused = self.disturbed[index].iter().any(|disturbed| {
                    *disturbed + self.contact_time >= pause.start && *disturbed <= pause.end
                });
                let is_untold = forwarder
                    .as_ref()
                    .is_some_and(|forwarder| forwarder.was_cut(&told));
                let times = by_box(index).filter_map(|call| call.received_at);
                let inside = times.filter(|at| counted.contains(at)).count();
                if !is_excused && !is_untold {
                    most = most.max(inside);
                }
            }
        }
        most
    }

    /// Number of declines with which servers asked for a pause.
    fn pauses(&self) -> usize {
        let calls = self.servers.iter().flat_map(Server::received_calls);
        calls
            .filter(|call| call.retry_after.is_some() && call.declined_at.is_some())
            .count()
    }

    /// What the servers read, a line for each call, to be compared with what the boxes logged.
    fn arrivals(&self) -> String {
        let now = SystemTime::now();
        let mut lines = String::new();
        for server in &self.servers {
            for call in server.received_calls() {
                let Some(at) = call.received_at else { continue };
                let at = (now - at.elapsed()).duration_since(SystemTime::UNIX_EPOCH);
                let line = json!({"unix_ms": at.map_or(0, |at| at.as_millis() as u64),
                    "server": server.name, "call": call.id(), "ran": call.ran,
                    "told_ms": call.headers.get("badgerferry-deadline-ms")});
                lines += &line.to_string();
                lines.push('\n');
            }
        }
        lines
    }

    fn save_logs(&self, dir: &Path, report: &Report) -> anyhow::Result<String> {
        std::fs::create_dir_all(dir)?;
        for (index, a_box) in self.boxes.iter().enumerate() {
            let path = dir.join(format!("box-{index}.log"));
            std::fs::write(path, a_box.log()).context("failed to save a log")?;
        }
        for (index, log) in self.replaced_logs.iter().enumerate() {
            std::fs::write(dir.join(format!("replaced-{index}.log")), log)?;
        }
        std::fs::write(dir.join("arrivals.jsonl"), self.arrivals())?;
        std::fs::write(dir.join("departures.txt"), format!("{:#?}", report.work))?;
        Ok(dir.display().to_string())
    }
}
