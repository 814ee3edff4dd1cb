//! A TCP relay that cuts or delays connections, or stops forwarding without closing them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A way through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the one that connected.
    Forward,
    /// Back to the one that connected.
    Backward,
}

/// Faults; each holds for the connections that were accepted before it.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    accepted: u64,
    silent_forward_below: u64,
    silent_backward_below: u64,
    cut_below: u64,
    refusing: bool,
    delay: Duration,
}

impl Faults {
    fn is_silent(&self, connection: u64, direction: Direction) -> bool {
        match direction {
            Direction::Forward => connection < self.silent_forward_below,
            Direction::Backward => connection < self.silent_backward_below,
        }
    }
}

/// A relay that runs until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on loopback and forwards to `target`; needs a tokio runtime.
    pub async fn spawn(target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let faults = watch::channel(Faults::default()).0;
        let task = tokio::spawn(serve(listener, address, target, faults.clone()));
        Ok(Relay { address, faults, task })
    }

    /// Where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections go silent for good in one direction; new ones work.
    pub fn silence(&self, direction: Direction) {
        self.faults.send_modify(|faults| match direction {
            Direction::Forward => faults.silent_forward_below = faults.accepted,
            Direction::Backward => faults.silent_backward_below = faults.accepted,
        });
    }

    /// Open connections are closed; new ones work.
    pub fn cut(&self) {
        self.faults.send_modify(|faults| faults.cut_below = faults.accepted);
    }

    /// Open connections are closed and new ones refused, until `restore`.
    pub fn refuse(&self) {
        self.faults.send_modify(|faults| {
            faults.cut_below = faults.accepted;
            faults.refusing = true;
        });
    }

    /// What passes through is held back for so long, until `restore`.
    pub fn delay(&self, delay: Duration) {
        self.faults.send_modify(|faults| faults.delay = delay);
    }

    /// New connections work again, without delay.
    pub fn restore(&self) {
        self.faults.send_modify(|faults| {
            faults.refusing = false;
            faults.delay = Duration::ZERO;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        self.task.abort();
    }
}

/// Accepts until it has to refuse; then the port is closed, as on a host whose process died.
async fn serve(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    faults: watch::Sender<Faults>,
) {
    let mut watched = faults.subscribe();
    loop {
        tokio::select! {
            () = until(&mut watched, |faults| faults.refusing) => drop(listener),
            () = accept(&listener, target, &faults) => return,
        }
        until(&mut watched, |faults| !faults.refusing).await;
        listener = match TcpListener::bind(address).await {
            Ok(bound) => bound,
            Err(_) => return,
        };
    }
}

async fn accept(listener: &TcpListener, target: SocketAddr, faults: &watch::Sender<Faults>) {
    while let Ok((near, _)) = listener.accept().await {
        let mut connection = 0;
        faults.send_modify(|faults| {
            connection = faults.accepted;
            faults.accepted += 1;
        });
        tokio::spawn(forward(near, target, connection, faults.subscribe()));
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    connection: u64,
    mut faults: watch::Receiver<Faults>,
) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, connection, Direction::Forward, faults.clone());
    let backward = pump(far_read, near_write, connection, Direction::Backward, faults.clone());
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        () = until(&mut faults, |faults| connection < faults.cut_below) => {}
    }
}

async fn until(faults: &mut watch::Receiver<Faults>, is_met: impl Fn(&Faults) -> bool) {
    let _ = faults.wait_for(is_met).await;
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    connection: u64,
    direction: Direction,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            biased;
            () = until(&mut faults, |faults| faults.is_silent(connection, direction)) => None,
            read = from.read(&mut buffer) => Some(read),
        };
        let Some(read) = read else { return std::future::pending().await };
        let Ok(length) = read else { return };
        let delay = faults.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
