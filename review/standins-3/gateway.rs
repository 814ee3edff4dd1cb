//! A gateway process, started with the command of the deploy file.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

use super::http;

/// Numbers of signals, equal on x86-64 and arm64.
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Command of the role in the deploy file.
const PROGRAM: &str = "target/release/dragonflyfront-gateway";

/// A running gateway; killed when it is dropped.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

/// Ports that were free a moment ago.
fn free_ports() -> io::Result<[u16; 3]> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners = [bind()?, bind()?, bind()?];
    let mut ports = [0; 3];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// Has the calling process killed when its parent ends (`PR_SET_PDEATHSIG`).
fn end_with_parent() -> io::Result<()> {
    const SIGKILL: u64 = 9;
    // SAFETY: plain system call without pointers.
    match unsafe { prctl(1, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Has the program of a command killed when this process ends.
pub fn die_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: the child makes one plain system call before it runs the program.
    unsafe { command.pre_exec(end_with_parent) }
}

impl Gateway {
    /// Starts a gateway. Its settings are those that the pages show, with `CpuShare` and addresses of
    /// this machine's loopback interface.
    pub fn spawn(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Gateway> {
        let [front, ready, internal] = free_ports()?;
        let settings: PathBuf = folder.join(format!("{name}.toml"));
        fs::write(
            &settings,
            format!(
                r#"
NodeName = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
IpAddress = "127.0.0.1"
Zone = "riga-a"
Region = "riga"
InternalPortRange = [{internal},{internal}]
FirstStart = true
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[Zones]
riga-a = "riga"
[ListenAddresses]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
[Limits]
CpuShare = 0.19
Cores = 1
MemoryMb = 260
FileDescriptors = 4200
LinkMbps = 1000.0
[Bounds]
ContactMs = 3000
DrainMs = 2500
GracePeriodS = 8
LossSlackMs = 200
ConfigurationApplyMs = 2500
RevokeWhenPartitioned = true
RevocationMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 54
QuotaWindowS = 8
QuotaOvershoot = 0.1
QuotaSlack = 140000
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"#
            ),
        )?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .env("DRAGONFLYFRONT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = die_with_parent(&mut command).spawn()?;
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Ok(Gateway { child, callers: address(front), readiness: address(ready) })
    }

    /// Whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.readiness, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway says that it is ready; returns whether it did in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: plain system call with the process id of a child that has not been waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Status of the process if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
