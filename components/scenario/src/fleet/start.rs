//! Starts the processes of a plan, in the order in which they need each other's addresses.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use web::Client;

use super::{Command, Fleet, Programs, Submission};
use crate::{Plan, Process, Relay};

/// How long a fleet may take until every entry process takes work.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How often an entry process is asked whether it takes work.
const READY_POLL: Duration = Duration::from_millis(50);

const STORE: &str = "store";
const HOSTS: &str = "hosts";

impl Fleet {
    /// Starts every process of the plan and waits until all entry processes take work.
    pub fn spawn(programs: Programs, plan: Plan) -> Result<Fleet> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context("runtime")?;
        let host = own_address();
        let mut fleet = Fleet {
            processes: BTreeMap::new(),
            links: BTreeMap::new(),
            commands: BTreeMap::new(),
            addresses: BTreeMap::new(),
            operators: BTreeMap::new(),
            peers: reserve_peers(&plan, host)?,
            host,
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
        let settings = json!({ "listen": format!("{}:0", self.host), "host": upstream, "zone": zone,
            "upstream": upstream, "adapter": adapter, "slots": slots,
            "peers": self.listed() });
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
            let settings = json!({ "listen": format!("{}:0", self.host),
                "operators_listen": format!("{}:0", self.host),
                "host": name, "zone": zone, "platform": platform,
                "peers": { "listen": self.peers.get(&name), "listed": self.listed() } });
            let program = self.programs.entry.clone();
            let addresses = self.start_with_settings(&name, &program, settings)?;
            let operators = *addresses.get(1).context("an entry prints two addresses")?;
            self.operators.insert(name, operators);
        }
        Ok(())
    }

    /// Where processes get the configuration from each other.
    fn listed(&self) -> Vec<SocketAddr> {
        self.peers.values().copied().collect()
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
                thread::sleep(READY_POLL);
            }
        }
        Ok(())
    }

    fn first_entry(&self) -> Result<String> {
        self.plan.entries.keys().next().cloned().context("a fleet has an entry process or more")
    }
}

/// A loopback address that no other fleet uses, so that nobody takes the port of a process between
/// its end and its restart, or before its start: everything else binds and connects from 127.0.0.1.
fn own_address() -> Ipv4Addr {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + fleet % 250, high, low.clamp(1, 254))
}

/// Takes a free port for the peers' listener of each entry process: every process has to be told
/// of all of them before any of them runs.
fn reserve_peers(plan: &Plan, host: Ipv4Addr) -> Result<BTreeMap<String, SocketAddr>> {
    let listeners: Vec<TcpListener> =
        plan.entries.keys().map(|_| TcpListener::bind((host, 0))).collect::<Result<_, _>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    plan.entries.keys().cloned().zip(addresses).map(|(name, found)| Ok((name, found?))).collect()
}
