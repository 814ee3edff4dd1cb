//! Start of a fleet: processes are started in the order in which they need each other's addresses.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use web::Client;

use super::loopback::LoopbackIps;
use super::{Fleet, PatchSubmission, ProgramPaths, RestartCommand};
use crate::{FleetPlan, Process, Relay};

/// Timeout for all entry processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of the readiness checks of an entry process.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

const STORE: &str = "store";
const HOSTS: &str = "hosts";

impl Fleet {
    /// Starts every process of the plan, submits the first configuration and waits until all entry
    /// processes are ready.
    pub fn spawn(program_paths: ProgramPaths, plan: FleetPlan) -> Result<Fleet> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context("building the tokio runtime")?;
        let ips = next_loopback_ips();
        let mut fleet = Fleet {
            processes: BTreeMap::new(),
            relays: BTreeMap::new(),
            restart_commands: BTreeMap::new(),
            addresses: BTreeMap::new(),
            operators_addresses: BTreeMap::new(),
            peer_addresses: reserve_peer_addresses(&plan, ips.peers)?,
            listen_ip: ips.listen,
            plan,
            program_paths,
            client: Client::spawn()?,
            folder: tempfile::Builder::new().prefix("dragonflyfront-").tempdir()?,
            runtime,
        };
        fleet.start_platform()?;
        fleet.start_upstreams()?;
        fleet.start_entries()?;
        let document = fleet.plan.configuration_document(&fleet.agent_relay_addresses());
        let submission = PatchSubmission {
            author: "fleet".to_owned(),
            patch_id: "fleet-1".to_owned(),
            against_version: 0,
            patch: document,
        };
        let response = fleet.submit_patch(&fleet.first_entry_name()?, &submission)?;
        ensure!(
            response.0 == 200,
            "first configuration: status {}, body {}",
            response.0,
            response.1
        );
        fleet.wait_until_entries_ready()?;
        Ok(fleet)
    }

    fn start_platform(&mut self) -> Result<()> {
        self.start_standin(STORE, &["store".to_owned()])?;
        let live_hosts: Vec<&str> = self.plan.upstream_names().collect();
        let arguments = [
            "hosts".to_owned(),
            "--lag-ms".to_owned(),
            self.plan.host_list_lag_ms.to_string(),
            "--live".to_owned(),
            live_hosts.join(","),
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
            let delay_ms = service.delay_ms.to_string();
            let standin = format!("service {name}");
            self.start_standin(
                &standin,
                &["service".to_owned(), "--delay-ms".to_owned(), delay_ms],
            )?;
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
        let settings = json!({ "listen": format!("{}:0", self.listen_ip),
            "host": upstream, "zone": zone, "upstream": upstream, "adapter": adapter, "slots": slots,
            "peers": self.listed_peers() });
        let addresses =
            self.start_with_settings(&name, &self.program_paths.agent.clone(), settings)?;
        let address = *addresses.first().context("the agent printed no address")?;
        self.add_relay(&format!("to {upstream}"), address)
    }

    fn start_entries(&mut self) -> Result<()> {
        let store = self.address(STORE)?;
        for (name, zone) in self.plan.entries.clone() {
            let relay = format!("{name} to store");
            self.add_relay(&relay, store)?;
            let platform = json!({ "http": {
                "store": self.relay(&relay)?.address(), "host_list": self.address(HOSTS)? } });
            let settings = json!({ "listen": format!("{}:0", self.listen_ip),
                "operators_listen": format!("{}:0", self.listen_ip),
                "host": name, "zone": zone, "platform": platform,
                "callers": self.plan.caller_limits,
                "peers": { "listen": self.peer_addresses.get(&name),
                    "listed": self.listed_peers() } });
            let program = self.program_paths.entry.clone();
            let addresses = self.start_with_settings(&name, &program, settings)?;
            let operators_address =
                *addresses.get(1).context("the entry process printed fewer than two addresses")?;
            self.operators_addresses.insert(name, operators_address);
        }
        Ok(())
    }

    /// The `peers` or `peers.listed` setting of every process: the entry processes from which it
    /// can get the configuration.
    fn listed_peers(&self) -> Vec<SocketAddr> {
        self.peer_addresses.values().copied().collect()
    }

    fn start_standin(&mut self, name: &str, arguments: &[String]) -> Result<()> {
        let program = self.program_paths.standin.clone();
        let addresses = self.start_process(name, &program, arguments.to_vec())?;
        let mut restart_arguments = arguments.to_vec();
        restart_arguments.push("--listen".to_owned());
        restart_arguments
            .push(addresses.first().context("the stand-in printed no address")?.to_string());
        self.restart_commands
            .insert(name.to_owned(), RestartCommand { program, arguments: restart_arguments });
        Ok(())
    }

    /// Starts a program on free ports and then writes these ports into its settings file, for a
    /// restart.
    fn start_with_settings(
        &mut self,
        name: &str,
        program: &Path,
        mut settings: Value,
    ) -> Result<Vec<SocketAddr>> {
        let path = self.folder.path().join(format!("{}.json", name.replace(' ', "-")));
        std::fs::write(&path, settings.to_string())?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        let addresses = self.start_process(name, program, arguments)?;
        for (field, address) in ["listen", "operators_listen"].iter().zip(&addresses) {
            settings[*field] = json!(address);
        }
        std::fs::write(&path, settings.to_string())?;
        Ok(addresses)
    }

    fn start_process(
        &mut self,
        name: &str,
        program: &Path,
        arguments: Vec<String>,
    ) -> Result<Vec<SocketAddr>> {
        let process =
            Process::spawn(program, &arguments, &self.log_path(name)).with_context(|| {
                format!("starting {name}; end of its log: {}", self.log_tail(name, 5))
            })?;
        let addresses = process.addresses().to_vec();
        if let Some(first) = addresses.first() {
            self.addresses.insert(name.to_owned(), *first);
        }
        self.restart_commands
            .insert(name.to_owned(), RestartCommand { program: program.to_owned(), arguments });
        self.processes.insert(name.to_owned(), process);
        Ok(addresses)
    }

    fn add_relay(&mut self, name: &str, target: SocketAddr) -> Result<()> {
        let relay = self.runtime.block_on(Relay::spawn(target))?;
        self.relays.insert(name.to_owned(), relay);
        Ok(())
    }

    /// The addresses of the agents as the configuration has them, which are those of their relays.
    fn agent_relay_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let relay_address = |upstream: &str| {
            let relay = self.relays.get(&format!("to {upstream}"))?;
            Some((upstream.to_owned(), relay.address()))
        };
        self.plan.upstream_names().filter_map(relay_address).collect()
    }

    fn wait_until_entries_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for name in self.plan.entries.keys() {
            while !self.call_operators(name, "GET", "/readyz", String::new())?.0.eq(&200) {
                let tail = self.log_tail(name, 5);
                ensure!(
                    Instant::now() < deadline,
                    "{name} did not become ready in time; end of its log: {tail}"
                );
                thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn first_entry_name(&self) -> Result<String> {
        self.plan.entries.keys().next().cloned().context("the plan has no entry process")
    }
}

fn next_loopback_ips() -> LoopbackIps {
    static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);
    LoopbackIps::of_fleet(FLEET_COUNT.fetch_add(1, Ordering::Relaxed), std::process::id())
}

/// Finds a free port for the peer listener of each entry process before any of them runs, as the
/// settings of every process list all of these addresses.
fn reserve_peer_addresses(
    plan: &FleetPlan,
    peer_ip: Ipv4Addr,
) -> Result<BTreeMap<String, SocketAddr>> {
    let listeners: Vec<TcpListener> =
        plan.entries.keys().map(|_| TcpListener::bind((peer_ip, 0))).collect::<Result<_, _>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    plan.entries
        .keys()
        .cloned()
        .zip(addresses)
        .map(|(name, address)| Ok((name, address?)))
        .collect()
}
