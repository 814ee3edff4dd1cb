//! One child process, ended by its pid when it is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};

/// How long a program may take until it says that it is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How often a child is asked whether it has ended.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// First word of the line that a program prints when it serves.
const READY_WORD: &str = "ready";

/// A child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program and waits for its `ready ADDRESS...`; its log goes to `log`.
    pub fn spawn(program: &Path, arguments: &[String], log: &Path) -> Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}", program.display()))?;
        let mut process = Process { child, addresses: Vec::new() };
        process.addresses = process
            .wait_until_ready()
            .with_context(|| format!("{} {arguments:?}", program.display()))?;
        Ok(process)
    }

    /// Starts a program that is not waited for; all that it prints goes to `log`.
    pub fn launch(program: &Path, arguments: &[String], log: &Path) -> Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}", program.display()))?;
        Ok(Process { child, addresses: Vec::new() })
    }

    /// The addresses that it printed.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The operating system's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// SIGSTOP.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// SIGCONT.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// SIGHUP.
    pub fn send_hangup(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// SIGTERM.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for the end; `None` where it still runs after `limit`.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Result<Option<ExitStatus>> {
        let ends_at = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= ends_at {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed()).context("no such process")?;
        kill_process(pid, signal).context("signal")
    }

    fn wait_until_ready(&mut self) -> Result<Vec<SocketAddr>> {
        let output = self.child.stdout.take().context("no standard output")?;
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let ends_at = Instant::now() + READY_LIMIT;
        loop {
            let left = ends_at.saturating_duration_since(Instant::now());
            let line = lines.recv_timeout(left).context("ended or said nothing before ready")?;
            let mut words = line.split_whitespace();
            if words.next() == Some(READY_WORD) {
                let addresses: Result<Vec<SocketAddr>, _> = words.map(str::parse).collect();
                return addresses.context(line);
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
