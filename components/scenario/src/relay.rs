//! A TCP relay that closes or refuses connections, delays their data, or stops forwarding without
//! closing them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum number of bytes that are read and forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Direction of the data through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    Forward,
    /// From the target back to the connecting side.
    Backward,
}

/// Faults that currently apply. Connections are numbered in the order in which they were accepted;
/// the fields ending in `_below` hold for the connections with lower numbers.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    accepted_count: u64,
    silent_forward_below: u64,
    silent_backward_below: u64,
    closed_below: u64,
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

/// A TCP relay; on drop it closes its connections and its listener.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free loopback port and forwards connections to `target`. Needs a tokio runtime.
    pub async fn spawn(target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let faults = watch::channel(Faults::default()).0;
        let task = tokio::spawn(serve(listener, address, target, faults.clone()));
        Ok(Relay { address, faults, task })
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding in one direction on the open connections for good, without closing them.
    /// New connections work.
    pub fn silence_connections(&self, direction: Direction) {
        self.faults.send_modify(|faults| match direction {
            Direction::Forward => faults.silent_forward_below = faults.accepted_count,
            Direction::Backward => faults.silent_backward_below = faults.accepted_count,
        });
    }

    /// Closes the open connections. New connections work.
    pub fn close_connections(&self) {
        self.faults.send_modify(|faults| faults.closed_below = faults.accepted_count);
    }

    /// Closes the open connections and refuses new ones until `restore` is called.
    pub fn refuse_connections(&self) {
        self.faults.send_modify(|faults| {
            faults.closed_below = faults.accepted_count;
            faults.refusing = true;
        });
    }

    /// Delays each block of data by `delay` until `restore` is called.
    pub fn delay_data(&self, delay: Duration) {
        self.faults.send_modify(|faults| faults.delay = delay);
    }

    /// Accepts connections again and removes the delay. Connections that were silenced stay so.
    pub fn restore(&self) {
        self.faults.send_modify(|faults| {
            faults.refusing = false;
            faults.delay = Duration::ZERO;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.close_connections();
        self.task.abort();
    }
}

/// Accepts connections until they are to be refused, then closes the listener, so that connecting
/// fails as it does on a host whose process has died. Binds the address again once connections are
/// to be accepted.
async fn serve(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    faults: watch::Sender<Faults>,
) {
    let mut fault_changes = faults.subscribe();
    loop {
        tokio::select! {
            () = wait_until(&mut fault_changes, |faults| faults.refusing) => drop(listener),
            () = accept_connections(&listener, target, &faults) => return,
        }
        wait_until(&mut fault_changes, |faults| !faults.refusing).await;
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

async fn accept_connections(
    listener: &TcpListener,
    target: SocketAddr,
    faults: &watch::Sender<Faults>,
) {
    while let Ok((incoming, _)) = listener.accept().await {
        let mut connection = 0;
        faults.send_modify(|faults| {
            connection = faults.accepted_count;
            faults.accepted_count += 1;
        });
        tokio::spawn(forward(incoming, target, connection, faults.subscribe()));
    }
}

async fn forward(
    incoming: TcpStream,
    target: SocketAddr,
    connection: u64,
    mut faults: watch::Receiver<Faults>,
) {
    let Ok(outgoing) = TcpStream::connect(target).await else { return };
    let _ = (incoming.set_nodelay(true), outgoing.set_nodelay(true));
    let (incoming_read, incoming_write) = incoming.into_split();
    let (outgoing_read, outgoing_write) = outgoing.into_split();
    let forward =
        copy_data(incoming_read, outgoing_write, connection, Direction::Forward, faults.clone());
    let backward =
        copy_data(outgoing_read, incoming_write, connection, Direction::Backward, faults.clone());
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        () = wait_until(&mut faults, |faults| connection < faults.closed_below) => {}
    }
}

async fn wait_until(faults: &mut watch::Receiver<Faults>, is_met: impl Fn(&Faults) -> bool) {
    let _ = faults.wait_for(is_met).await;
}

async fn copy_data(
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
            () = wait_until(&mut faults, |faults| faults.is_silent(connection, direction)) => None,
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
