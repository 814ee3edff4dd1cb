//! Gateway processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;

const PROGRAM: &str = "target/release/dragonflyfront-gateway";

/// Zones of the deployment and their regions.
const ZONES: [(&str, &str); 3] =
    [("casa-maarif", "casa"), ("rabat-agdal", "rabat"), ("casa-ainsebaa", "casa")];

/// Time after which a case ends all its processes and gives up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one when the time limit has passed.
pub fn watch_time_limit() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        eprintln!("the time limit has passed");
        exit(2);
    });
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// File that lists the processes that run, for the script that starts the case.
    pids: PathBuf,
    starts: u32,
    process: Option<Child>,
}

/// Reserves an address that is free for TCP and UDP.
fn free_address(host: &str) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((host, 0)).expect("find a free port");
        let address = listener.local_addr().expect("address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Gateway {
    /// Writes the settings of a gateway: those of a small deployment.
    pub fn plan(
        number: u8,
        zone: usize,
        cpu_share: f64,
        store: SocketAddr,
        folder: &Path,
    ) -> Gateway {
        let name = format!("front-{}-{number}", ZONES[zone].0);
        let host = format!("127.0.77.{number}");
        let (front, ready, internal) =
            (free_address(&host), free_address(&host), free_address(&host));
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
        let (zone, region) = ZONES[zone];
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"front\"\nServes = [\"front\"]\n\
             IpAddress = \"{host}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\n\
             InternalPortRange = [{port},{port}]\nSeedNodes = []\nFirstStart = true\n\
             CountedInTolerance = false\nDiscovery = \"platform\"\nEntry = \"virtual_ip\"\n\
             HeartbeatIntervalMs = 1200\n[Zones]\n{zones}\n[ListenAddresses]\n\
             Front = \"{front}\"\nReady = \"{ready}\"\n[Limits]\nCpuShare = {cpu_share}\nCores = 1\n\
             MemoryMb = 110\nFileDescriptors = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n[Bounds]\n\
             SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAcknowledgeMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2500\nGracePeriodS = 8\nLossSlackMs = 200\nConfigurationApplyMs = 2500\n\
             RollbackSlackMs = 250\nOuterBoundMs = 5000\nRevokeWhenPartitioned = true\n\
             RevocationMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
             RetryBudgetSlack = 58\nQuotaWindowS = 8\nQuotaOvershoot = 0.1\nQuotaSlack = 140000\n\
             RecoveryS = 12\nPassMs = 200\nReuseWindowS = 9\n[Platform]\nAddress = \"{store}\"\n\
             form = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n\
             ValueBytes = 1048576\nMinTtlMs = 1000\n",
            port = internal.port(),
            zones = zones.join("\n"),
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("write settings");
        let log = folder.join(format!("{name}.log"));
        let pids = folder.join("pids");
        Gateway { name, front, ready, settings: path, log, pids, starts: 0, process: None }
    }

    pub fn start(&mut self) {
        self.starts += 1;
        let log = self.log.with_extension(format!("{}.log", self.starts));
        let log = File::create(log).expect("create log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("DRAGONFLYFRONT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.process = Some(child.expect("start the gateway"));
        self.update_running(|running| running.push(self.pid()));
    }

    fn update_running(&self, update: impl FnOnce(&mut Vec<u32>)) {
        let mut running = RUNNING.lock().unwrap();
        update(&mut running);
        let listed: Vec<String> = running.iter().map(u32::to_string).collect();
        let _ = fs::write(&self.pids, listed.join("\n"));
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let pid = self.pid();
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.update_running(|running| running.retain(|other| *other != pid));
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.pid().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().map(|_| ())
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self, grace_period: Duration) {
        let _ = self.signal("TERM");
        let until = Instant::now() + grace_period;
        while Instant::now() < until && !self.has_exited() {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    pub fn has_exited(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        client::get_status(self.ready, "/v1/ready", Duration::from_millis(500)) == Some(200)
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
