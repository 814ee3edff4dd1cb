//! Starts the programs of a plan as processes and holds them.

mod start;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use web::{Client, Request};

use crate::caller::{Booking, ModelRequest, PendingResponse};
use crate::{Plan, Process, Relay};

/// How long a call to a stand-in or to operators' HTTP may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);

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
    peers: BTreeMap<String, SocketAddr>,
    host: Ipv4Addr,
    plan: Plan,
    programs: Programs,
    client: Client,
    folder: TempDir,
    runtime: Runtime,
}

impl Fleet {
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
            link.restore();
        }
        Ok(())
    }

    /// Sends a model request.
    pub fn send_model_request(&self, entry: &str, asked: &ModelRequest) -> Result<PendingResponse> {
        self.send(self.address(entry)?, asked.into(), asked.expected_text())
    }

    /// Sends a booking.
    pub fn send_booking(&self, entry: &str, booking: &Booking) -> Result<PendingResponse> {
        self.send(self.address(entry)?, booking.into(), String::new())
    }

    /// Submits a patch without waiting for the answer.
    pub fn submit(&self, entry: &str, submission: &Submission) -> Result<PendingResponse> {
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
    pub fn total_starts(&self) -> Result<BTreeMap<String, u32>> {
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
    pub fn total_runs(&self) -> Result<BTreeMap<String, u32>> {
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

    fn send(
        &self,
        address: SocketAddr,
        request: Request,
        expected: String,
    ) -> Result<PendingResponse> {
        let runtime = self.runtime.handle();
        Ok(PendingResponse::spawn(runtime, self.client.clone(), address, request, expected))
    }

    fn operators_address(&self, entry: &str) -> Result<SocketAddr> {
        self.operators.get(entry).copied().with_context(|| format!("no entry process {entry:?}"))
    }

    fn call(&self, address: SocketAddr, request: Request) -> Result<(u16, Value)> {
        self.runtime.block_on(async {
            let mut response = self.client.send(address, request, CALL_LIMIT).await?;
            let body = response.read_body().await?;
            Ok((response.status, serde_json::from_slice(&body).unwrap_or_default()))
        })
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

    fn address(&self, name: &str) -> Result<SocketAddr> {
        self.addresses.get(name).copied().with_context(|| format!("no process {name:?}"))
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{}.log", name.replace(' ', "-")))
    }
}
