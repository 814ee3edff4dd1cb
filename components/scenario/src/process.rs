//! A child process, killed by its process id when it is dropped.

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

/// Timeout for a program to print that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of the checks whether a child has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// First word of the line that a program prints when it serves; its addresses follow.
const READY_PREFIX: &str = "ready";

/// A child process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a program and waits for the line `ready ADDRESS...` on its standard output. Its
    /// standard error is appended to the file `log`.
    pub fn spawn(program: &Path, arguments: &[String], log: &Path) -> Result<Process> {
        let log_file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        let mut process = Process { child, addresses: Vec::new() };
        process.addresses = process.wait_until_ready().with_context(|| {
            format!("waiting for {} {arguments:?} to become ready", program.display())
        })?;
        Ok(process)
    }

    /// Starts a program without waiting until it is ready. Its standard output and standard error
    /// are appended to the file `log`.
    pub fn spawn_without_waiting(
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<Process> {
        let log_file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        Ok(Process { child, addresses: Vec::new() })
    }

    /// The addresses that the program printed when it became ready.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) -> Result<()> {
        self.send_signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) -> Result<()> {
        self.send_signal(Signal::CONT)
    }

    /// Sends SIGHUP.
    pub fn send_hangup(&self) -> Result<()> {
        self.send_signal(Signal::HUP)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<()> {
        self.send_signal(Signal::TERM)
    }

    /// Waits for the process to exit. Returns `None` on timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn send_signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed()).context("invalid process id")?;
        kill_process(pid, signal).context("sending a signal")
    }

    fn wait_until_ready(&mut self) -> Result<Vec<SocketAddr>> {
        let output = self.child.stdout.take().context("standard output is not piped")?;
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = lines
                .recv_timeout(remaining)
                .context("exited or timed out before it printed that it is ready")?;
            let mut words = line.split_whitespace();
            if words.next() == Some(READY_PREFIX) {
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
