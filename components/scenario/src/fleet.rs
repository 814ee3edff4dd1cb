//! Starts the programs of a plan as processes and holds them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use web::{Client, Request};

use crate::caller::{Booking, ModelRequest, Pending};
use crate::{Plan, Process, Relay};

/// How long a call to a stand-in or to operators' HTTP may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// How long a fleet may take until every entry process takes work.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How often a condition is looked at again.
const POLL: Duration = Duration::from_millis(50);

const STORE: &str = "store";
const HOSTS: &str = "hosts";

/// Where the programs are.
#[derive(Debug, Clone)]
pub struct Programs {
    /// `dragonflyfront-entry`.
    pub entry: PathBuf,
    /// `dragonflyfront-agent`.
    pub agent: PathBuf,
    /// `dragonflyfront-standin`.
    pub standin: PathBuf,
}

/// A patch as an operator submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The version that the patch was made against.
    pub against_version: u64,
    /// Who submits.
    pub author: String,
    /// Drawn by the operator for this patch.
    pub patch_id: String,
    /// The patch.
    pub patch: Value,
}

/// How a process was started, so that it can be started again.
#[derive(Debug, Clone)]
struct Command {
    program: PathBuf,
    arguments: Vec<String>,
}

/// A running fleet. Names of processes: `store`, `hosts`, an entry's name, `engine NAME`,
/// `service NAME` and `agent NAME`; names of links: `to NAME` for the way from all entry processes
/// to an agent, `ENTRY to store` for an entry's way to the key-value service.
pub struct Fleet {
    // Children end before the folder with their settings goes.
    processes: BTreeMap<String, Process>,
    links: BTreeMap<String, Relay>,
    commands: BTreeMap<String, Command>,
    addresses: BTreeMap<String, SocketAddr>,
    operators: BTreeMap<String, SocketAddr>,
    plan: Plan,
    programs: Programs,
    client: Client,
    folder: TempDir,
    runtime: Runtime,
}

impl Fleet {
    /// Starts every process of the plan and waits until all entry processes take work.
    pub fn spawn(programs: Programs, plan: Plan) -> Result<Fleet> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context("runtime")?;
        let mut fleet = Fleet {
            processes: BTreeMap::new(),
            links: BTreeMap::new(),
            commands: BTreeMap::new(),
            addresses: BTreeMap::new(),
            operators: BTreeMap::new(),
            plan,
            programs,
            client: Client::spawn()?,
            folder: tempfile::Builder::new().prefix("dragonflyfront-").tempdir()?,
            runtime,
        };
        fleet.start_platform()?;
        fleet.start_upstreams()?;
        fleet.start_entries()?;
        let document = fleet.plan.configuration(&fleet.agent_addresses());
        let first = Submission {
            author: "fleet".to_owned(),
            patch_id: "fleet-1".to_owned(),
            against_version: 0,
            patch: document,
        };
        let answer = fleet.patch(&fleet.first_entry()?, &first)?;
        ensure!(answer.0 == 200, "first configuration: {} {}", answer.0, answer.1);
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// What it was made of.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// A process by its name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.processes.get_mut(name).with_context(|| format!("no process {name:?} runs"))
    }

    /// Names of the processes that were not ended.
    pub fn process_names(&self) -> impl Iterator<Item = &str> {
        self.processes.keys().map(String::as_str)
    }

    /// A link by its name.
    pub fn link(&self, name: &str) -> Result<&Relay> {
        self.links.get(name).with_context(|| format!("no link {name:?}"))
    }

    /// SIGKILL.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name)?.kill()?;
        self.forget(name);
        Ok(())
    }

    /// SIGTERM; the exit code, -1 where a signal ended it, `None` where it runs past the limit.
    pub fn stop(&mut self, name: &str, limit: Duration) -> Result<Option<i32>> {
        let process = self.process(name)?;
        process.terminate()?;
        let Some(status) = process.wait_for_exit(limit)? else { return Ok(None) };
        self.forget(name);
        Ok(Some(status.code().unwrap_or(-1)))
    }

    /// Starts a process that was ended, on the addresses that it had.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let command = self.commands.get(name).with_context(|| format!("{name:?} never ran"))?;
        let process = Process::spawn(&command.program, &command.arguments, &self.log_path(name))?;
        self.processes.insert(name.to_owned(), process);
        if let Some(link) = self.link_before(name) {
            link.mend();
        }
        Ok(())
    }

    /// Sends a model request.
    pub fn ask(&self, entry: &str, asked: &ModelRequest) -> Result<Pending> {
        self.send(self.address(entry)?, asked.into(), asked.expected_text())
    }

    /// Sends a booking.
    pub fn book(&self, entry: &str, booking: &Booking) -> Result<Pending> {
        self.send(self.address(entry)?, booking.into(), String::new())
    }

    /// Submits a patch without waiting for the answer.
    pub fn submit(&self, entry: &str, submission: &Submission) -> Result<Pending> {
        let request =
            Request::new("POST", "/configuration/patches").body(serde_json::to_vec(submission)?);
        self.send(self.operators_address(entry)?, request, String::new())
    }

    /// Submits a patch; the status and body of the answer.
    pub fn patch(&self, entry: &str, submission: &Submission) -> Result<(u16, Value)> {
        let body = serde_json::to_string(submission)?;
        self.call_operators(entry, "POST", "/configuration/patches", body)
    }

    /// Calls an entry process's operators' address; the status and body of the answer.
    pub fn call_operators(
        &self,
        entry: &str,
        method: &str,
        target: &str,
        body: String,
    ) -> Result<(u16, Value)> {
        self.call(self.operators_address(entry)?, Request::new(method, target).body(body))
    }

    /// Calls a stand-in by its process's name; the status and body of the answer.
    pub fn call_standin(
        &self,
        name: &str,
        method: &str,
        target: &str,
        body: impl Into<Bytes>,
    ) -> Result<(u16, Value)> {
        self.call(self.address(name)?, Request::new(method, target).body(body))
    }

    /// Sets the faults of a stand-in.
    pub fn set_faults(&self, name: &str, faults: &Value) -> Result<()> {
        let (status, body) = self.call_standin(name, "POST", "/faults", faults.to_string())?;
        ensure!(status == 200, "faults of {name}: {status} {body}");
        Ok(())
    }

    /// How often each request was started at an engine, by the agent's name for it.
    pub fn starts(&self, engine: &str) -> Result<BTreeMap<String, u32>> {
        self.counts(&format!("engine {engine}"), "/starts")
    }

    /// How often each request was started at all engines together, by the caller's id for it.
    pub fn starts_everywhere(&self) -> Result<BTreeMap<String, u32>> {
        let mut sum = BTreeMap::new();
        for engine in self.plan.engines.keys() {
            for (name, count) in self.starts(engine)? {
                let id = name.split_once('.').map_or(name.as_str(), |(_, id)| id);
                *sum.entry(id.to_owned()).or_default() += count;
            }
        }
        Ok(sum)
    }

    /// How often each idempotency key ran at a service worker.
    pub fn runs(&self, service: &str) -> Result<BTreeMap<String, u32>> {
        self.counts(&format!("service {service}"), "/runs")
    }

    /// How often each idempotency key ran at all service workers together.
    pub fn runs_everywhere(&self) -> Result<BTreeMap<String, u32>> {
        let mut sum = BTreeMap::new();
        for service in self.plan.services.keys() {
            for (key, count) in self.runs(service)? {
                *sum.entry(key).or_default() += count;
            }
        }
        Ok(sum)
    }

    /// The last lines of a process's log.
    pub fn log_tail(&self, name: &str, lines: usize) -> String {
        let log = std::fs::read_to_string(self.log_path(name)).unwrap_or_default();
        let all: Vec<&str> = log.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    fn counts(&self, name: &str, target: &str) -> Result<BTreeMap<String, u32>> {
        let (_, body) = self.call_standin(name, "GET", target, Bytes::new())?;
        serde_json::from_value(body).with_context(|| format!("{name} {target}"))
    }

    fn send(&self, address: SocketAddr, request: Request, expected: String) -> Result<Pending> {
        let runtime = self.runtime.handle();
        Ok(Pending::spawn(runtime, self.client.clone(), address, request, expected))
    }

    fn operators_address(&self, entry: &str) -> Result<SocketAddr> {
        self.operators.get(entry).copied().with_context(|| format!("no entry process {entry:?}"))
    }

    fn call(&self, address: SocketAddr, request: Request) -> Result<(u16, Value)> {
        self.runtime.block_on(async {
            let mut response = self.client.send(address, request, CALL_LIMIT).await?;
            let body = response.read().await?;
            Ok((response.status, serde_json::from_slice(&body).unwrap_or_default()))
        })
    }

    fn start_platform(&mut self) -> Result<()> {
        self.start_standin(STORE, &["store".to_owned()])?;
        let live: Vec<&str> = self.plan.upstreams().collect();
        let arguments = [
            "hosts".to_owned(),
            "--lag-ms".to_owned(),
            self.plan.host_list_lag_ms.to_string(),
            "--live".to_owned(),
            live.join(","),
        ];
        self.start_standin(HOSTS, &arguments)
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for (name, engine) in self.plan.engines.clone() {
            let arguments = [
                "engine".to_owned(),
                "--prefill".to_owned(),
                engine.prefill_tokens_per_s.to_string(),
                "--decode".to_owned(),
                engine.decode_tokens_per_s.to_string(),
            ];
            let standin = format!("engine {name}");
            self.start_standin(&standin, &arguments)?;
            let adapter = json!({ "http_engine": { "address": self.address(&standin)? } });
            self.start_agent(&name, &engine.zone, engine.slots, adapter)?;
        }
        for (name, service) in self.plan.services.clone() {
            let delay = service.delay_ms.to_string();
            let standin = format!("service {name}");
            self.start_standin(&standin, &["service".to_owned(), "--delay-ms".to_owned(), delay])?;
            let adapter = json!({ "http_service": { "address": self.address(&standin)? } });
            self.start_agent(&name, &service.zone, service.slots, adapter)?;
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        upstream: &str,
        zone: &str,
        slots: u32,
        adapter: Value,
    ) -> Result<()> {
        let name = format!("agent {upstream}");
        let settings = json!({ "listen": "127.0.0.1:0", "host": upstream, "zone": zone,
            "upstream": upstream, "adapter": adapter, "slots": slots });
        let addresses = self.start_with_settings(&name, &self.programs.agent.clone(), settings)?;
        let address = *addresses.first().context("an agent prints one address")?;
        self.add_link(&format!("to {upstream}"), address)
    }

    fn start_entries(&mut self) -> Result<()> {
        let store = self.address(STORE)?;
        for (name, zone) in self.plan.entries.clone() {
            let link = format!("{name} to store");
            self.add_link(&link, store)?;
            let platform = json!({ "http": {
                "store": self.link(&link)?.address(), "host_list": self.address(HOSTS)? } });
            let settings = json!({ "listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
                "host": name, "zone": zone, "platform": platform });
            let program = self.programs.entry.clone();
            let addresses = self.start_with_settings(&name, &program, settings)?;
            let operators = *addresses.get(1).context("an entry prints two addresses")?;
            self.operators.insert(name, operators);
        }
        Ok(())
    }

    fn start_standin(&mut self, name: &str, arguments: &[String]) -> Result<()> {
        let program = self.programs.standin.clone();
        let addresses = self.start(name, &program, arguments.to_vec())?;
        let mut fixed = arguments.to_vec();
        fixed.push("--listen".to_owned());
        fixed.push(addresses.first().context("a stand-in prints one address")?.to_string());
        self.commands.insert(name.to_owned(), Command { program, arguments: fixed });
        Ok(())
    }

    /// Starts a program on free ports, then pins its settings to them for a later restart.
    fn start_with_settings(
        &mut self,
        name: &str,
        program: &Path,
        mut settings: Value,
    ) -> Result<Vec<SocketAddr>> {
        let path = self.folder.path().join(format!("{}.json", name.replace(' ', "-")));
        std::fs::write(&path, settings.to_string())?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        let addresses = self.start(name, program, arguments)?;
        for (field, address) in ["listen", "operators_listen"].iter().zip(&addresses) {
            settings[*field] = json!(address);
        }
        std::fs::write(&path, settings.to_string())?;
        Ok(addresses)
    }

    fn start(
        &mut self,
        name: &str,
        program: &Path,
        arguments: Vec<String>,
    ) -> Result<Vec<SocketAddr>> {
        let process = Process::spawn(program, &arguments, &self.log_path(name))
            .with_context(|| format!("{name}: {}", self.log_tail(name, 5)))?;
        let addresses = process.addresses().to_vec();
        if let Some(first) = addresses.first() {
            self.addresses.insert(name.to_owned(), *first);
        }
        self.commands.insert(name.to_owned(), Command { program: program.to_owned(), arguments });
        self.processes.insert(name.to_owned(), process);
        Ok(addresses)
    }

    /// A process that ended; connections to it are refused from now on.
    fn forget(&mut self, name: &str) {
        self.processes.remove(name);
        if let Some(link) = self.link_before(name) {
            link.refuse();
        }
    }

    /// The link that leads to a process, where there is one.
    fn link_before(&self, name: &str) -> Option<&Relay> {
        self.links.get(&format!("to {}", name.strip_prefix("agent ")?))
    }

    fn add_link(&mut self, name: &str, target: SocketAddr) -> Result<()> {
        let relay = self.runtime.block_on(Relay::spawn(target))?;
        self.links.insert(name.to_owned(), relay);
        Ok(())
    }

    fn agent_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let linked = |upstream: &str| {
            let relay = self.links.get(&format!("to {upstream}"))?;
            Some((upstream.to_owned(), relay.address()))
        };
        self.plan.upstreams().filter_map(linked).collect()
    }

    fn wait_until_ready(&self) -> Result<()> {
        let ends_at = Instant::now() + READY_LIMIT;
        for name in self.plan.entries.keys() {
            while !self.call_operators(name, "GET", "/readyz", String::new())?.0.eq(&200) {
                let tail = self.log_tail(name, 5);
                ensure!(Instant::now() < ends_at, "{name} is not ready in time: {tail}");
                thread::sleep(POLL);
            }
        }
        Ok(())
    }

    fn first_entry(&self) -> Result<String> {
        self.plan.entries.keys().next().cloned().context("a fleet has an entry process or more")
    }

    fn address(&self, name: &str) -> Result<SocketAddr> {
        self.addresses.get(name).copied().with_context(|| format!("no process {name:?}"))
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{}.log", name.replace(' ', "-")))
    }
}
