//! A fleet: the programs of a plan, run as child processes with relays between them.

mod loopback;
mod start;

pub use loopback::LoopbackIps;

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
use crate::{FleetPlan, Process, Relay};

/// Timeout of a call to a stand-in or to the operators' address of an entry process.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Paths of the program files.
#[derive(Debug, Clone)]
pub struct ProgramPaths {
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
pub struct PatchSubmission {
    /// The configuration version that the patch is based on.
    pub against_version: u64,
    /// The operator who submits the patch.
    pub author: String,
    /// Id of the patch, chosen by the operator; a repeated submission has the same id.
    pub patch_id: String,
    /// The patch document.
    pub patch: Value,
}

/// Program and arguments that restart a process on its addresses.
#[derive(Debug, Clone)]
struct RestartCommand {
    program: PathBuf,
    arguments: Vec<String>,
}

/// A running fleet.
///
/// Its processes are named `store`, `hosts`, `engine NAME`, `service NAME` and `agent NAME`; an
/// entry process has its name in the plan. The relay named `to NAME` is between all entry processes
/// and the agent of an upstream, the one named `ENTRY to store` between an entry process and the
/// key-value store.
pub struct Fleet {
    // Fields are dropped in the order of declaration: the processes must end before `folder`, which
    // holds their settings and logs, is deleted.
    processes: BTreeMap<String, Process>,
    relays: BTreeMap<String, Relay>,
    restart_commands: BTreeMap<String, RestartCommand>,
    addresses: BTreeMap<String, SocketAddr>,
    operators_addresses: BTreeMap<String, SocketAddr>,
    peer_addresses: BTreeMap<String, SocketAddr>,
    listen_ip: Ipv4Addr,
    plan: FleetPlan,
    program_paths: ProgramPaths,
    client: Client,
    folder: TempDir,
    runtime: Runtime,
}

impl Fleet {
    /// The plan that the fleet was started from.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns a process that was not killed or stopped, by its name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.processes.get_mut(name).with_context(|| format!("process {name:?} is not running"))
    }

    /// Names of the processes that were not killed or stopped.
    pub fn process_names(&self) -> impl Iterator<Item = &str> {
        self.processes.keys().map(String::as_str)
    }

    /// Returns a relay by its name.
    pub fn relay(&self, name: &str) -> Result<&Relay> {
        self.relays.get(name).with_context(|| format!("no relay {name:?}"))
    }

    /// Kills a process with SIGKILL; connections to it are refused until its restart.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name)?.kill()?;
        self.remove_process(name);
        Ok(())
    }

    /// Sends SIGTERM and waits for the process to exit. Returns its exit code, -1 if a signal ended
    /// it, or `None` on timeout.
    pub fn stop(&mut self, name: &str, timeout: Duration) -> Result<Option<i32>> {
        let process = self.process(name)?;
        process.terminate()?;
        let Some(status) = process.wait_for_exit(timeout)? else { return Ok(None) };
        self.remove_process(name);
        Ok(Some(status.code().unwrap_or(-1)))
    }

    /// Restarts a process that was killed or stopped, on the addresses that it had.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let command = self
            .restart_commands
            .get(name)
            .with_context(|| format!("process {name:?} was never started"))?;
        let process = Process::spawn(&command.program, &command.arguments, &self.log_path(name))?;
        self.processes.insert(name.to_owned(), process);
        if let Some(relay) = self.relay_to(name) {
            relay.restore();
        }
        Ok(())
    }

    /// Sends a model request to an entry process.
    pub fn send_model_request(
        &self,
        entry: &str,
        request: &ModelRequest,
    ) -> Result<PendingResponse> {
        self.send(self.address(entry)?, request.into(), request.expected_text())
    }

    /// Sends a booking to an entry process.
    pub fn send_booking(&self, entry: &str, booking: &Booking) -> Result<PendingResponse> {
        self.send(self.address(entry)?, booking.into(), String::new())
    }

    /// Submits a patch without waiting for the response.
    pub fn send_patch(&self, entry: &str, submission: &PatchSubmission) -> Result<PendingResponse> {
        let request =
            Request::new("POST", "/configuration/patches").body(serde_json::to_vec(submission)?);
        self.send(self.operators_address(entry)?, request, String::new())
    }

    /// Submits a patch and returns the status and body of the response.
    pub fn submit_patch(&self, entry: &str, submission: &PatchSubmission) -> Result<(u16, Value)> {
        let body = serde_json::to_string(submission)?;
        self.call_operators(entry, "POST", "/configuration/patches", body)
    }

    /// Calls the operators' address of an entry process and returns the status and body of the
    /// response.
    pub fn call_operators(
        &self,
        entry: &str,
        method: &str,
        target: &str,
        body: String,
    ) -> Result<(u16, Value)> {
        self.call(self.operators_address(entry)?, Request::new(method, target).body(body))
    }

    /// Calls the stand-in with this process name and returns the status and body of the response.
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
        ensure!(status == 200, "setting faults of {name}: status {status}, body {body}");
        Ok(())
    }

    /// Number of starts of each request at an engine, by the name that the agent gives the request:
    /// `CUSTOMER.ID`.
    pub fn starts(&self, engine: &str) -> Result<BTreeMap<String, u32>> {
        self.read_counts(&format!("engine {engine}"), "/starts")
    }

    /// Number of starts of each request at all engines together, by request id.
    pub fn total_starts(&self) -> Result<BTreeMap<String, u32>> {
        let mut totals = BTreeMap::new();
        for engine in self.plan.engines.keys() {
            for (name, count) in self.starts(engine)? {
                let id = name.split_once('.').map_or(name.as_str(), |(_, id)| id);
                *totals.entry(id.to_owned()).or_default() += count;
            }
        }
        Ok(totals)
    }

    /// Number of runs at a service worker, by idempotency key.
    pub fn runs(&self, service: &str) -> Result<BTreeMap<String, u32>> {
        self.read_counts(&format!("service {service}"), "/runs")
    }

    /// Number of runs at all service workers together, by idempotency key.
    pub fn total_runs(&self) -> Result<BTreeMap<String, u32>> {
        let mut totals = BTreeMap::new();
        for service in self.plan.services.keys() {
            for (key, count) in self.runs(service)? {
                *totals.entry(key).or_default() += count;
            }
        }
        Ok(totals)
    }

    /// Returns the last lines of a process's log.
    pub fn log_tail(&self, name: &str, lines: usize) -> String {
        let log = std::fs::read_to_string(self.log_path(name)).unwrap_or_default();
        let log_lines: Vec<&str> = log.lines().collect();
        log_lines[log_lines.len().saturating_sub(lines)..].join("\n")
    }

    fn read_counts(&self, name: &str, target: &str) -> Result<BTreeMap<String, u32>> {
        let (_, body) = self.call_standin(name, "GET", target, Bytes::new())?;
        serde_json::from_value(body).with_context(|| format!("{name} {target}"))
    }

    fn send(
        &self,
        address: SocketAddr,
        request: Request,
        expected_text: String,
    ) -> Result<PendingResponse> {
        let runtime = self.runtime.handle();
        Ok(PendingResponse::spawn(runtime, self.client.clone(), address, request, expected_text))
    }

    fn operators_address(&self, entry: &str) -> Result<SocketAddr> {
        self.operators_addresses
            .get(entry)
            .copied()
            .with_context(|| format!("no entry process {entry:?} in the fleet"))
    }

    fn call(&self, address: SocketAddr, request: Request) -> Result<(u16, Value)> {
        self.runtime.block_on(async {
            let mut response = self.client.send(address, request, CALL_TIMEOUT).await?;
            let body = response.read_body().await?;
            Ok((response.status, serde_json::from_slice(&body).unwrap_or_default()))
        })
    }

    /// Removes a process that has ended; its relay refuses connections until the restart.
    fn remove_process(&mut self, name: &str) {
        self.processes.remove(name);
        if let Some(relay) = self.relay_to(name) {
            relay.refuse_connections();
        }
    }

    /// The relay in front of a process; only agents have one.
    fn relay_to(&self, name: &str) -> Option<&Relay> {
        self.relays.get(&format!("to {}", name.strip_prefix("agent ")?))
    }

    fn address(&self, name: &str) -> Result<SocketAddr> {
        self.addresses
            .get(name)
            .copied()
            .with_context(|| format!("no process {name:?} in the fleet"))
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{}.log", name.replace(' ', "-")))
    }
}
