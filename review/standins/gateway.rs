//! Gateway processes, started with the command of the deploy file.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

const PROGRAM: &str = "target/release/dragonflyfront-gateway";
const POLL_INTERVAL: Duration = Duration::from_millis(50);

type Process = Arc<Mutex<Option<Child>>>;

/// All processes that were started, for `kill_all`.
static STARTED: Mutex<Vec<Process>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for process in STARTED.lock().unwrap().iter() {
        kill(process);
    }
}

/// Returns whether the process was still known as running.
fn kill(process: &Process) -> bool {
    let Some(mut child) = process.lock().unwrap().take() else { return false };
    let _ = child.kill();
    let _ = child.wait();
    true
}

#[derive(Debug)]
pub struct Gateway {
    name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Process,
    record: Record,
}

/// A port that is free for TCP and UDP.
fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
        let address = listener.local_addr().expect("address of a free port");
        if UdpSocket::bind(address).is_ok() {
            return address.port();
        }
    }
}

impl Gateway {
    /// Writes the settings of a gateway. It is not started.
    pub fn new(name: &str, folder: &Path, store: &Store, record: &Record) -> Gateway {
        let [front, ready, control, internal] = std::array::from_fn(|_| free_port());
        let settings = folder.join(format!("{name}.toml"));
        let store = store.address;
        let text = format!(
            r#"NodeName = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
IpAddress = "127.0.0.1"
Zone = "riga-a"
Region = "riga"
InternalPortRange = [{internal},{internal}]
SeedNodes = []
FirstStart = true
CountedInTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]

[Zones]
riga-a = "riga"

[ListenAddresses]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"

[Limits]
CpuShare = 0.19
Cores = 1
MemoryMb = 260
FileDescriptors = 4200
LinkMbps = 1000.0
DiskMb = 0

[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0

[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AcknowledgeMs = 4000
CatchUpS = 4
DrainMs = 2500
GracePeriodS = 8
LossSlackMs = 200
ConfigurationApplyMs = 2500
RollbackSlackMs = 250
OuterBoundMs = 5000
RevokeWhenPartitioned = true
RevocationMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 54
QuotaWindowS = 8
QuotaOvershoot = 0.1
QuotaSlack = 140000
RecoveryS = 12
PassMs = 200
ReuseWindowS = 10

[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"#
        );
        std::fs::write(&settings, text).expect("write settings");
        let log = folder.join(format!("{name}.log"));
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Gateway {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            settings,
            log,
            process: Process::default(),
            record: record.clone(),
        }
    }

    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let error_log = log.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("DRAGONFLYFRONT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.tell(format!("gateway {}: started", self.name));
        self.process = Arc::new(Mutex::new(Some(process)));
        STARTED.lock().unwrap().push(self.process.clone());
        Ok(())
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.tell(format!("gateway {}: ready", self.name));
                return Ok(());
            }
            sleep(POLL_INTERVAL);
        }
        Err(format!("gateway {} is not ready in time", self.name))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(http::read_head(&mut BufReader::new(stream))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if kill(&self.process) {
            self.record.tell(format!("gateway {}: killed", self.name));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
