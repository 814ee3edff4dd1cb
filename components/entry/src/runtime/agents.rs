//! Connections to agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use identity::ProcessId;
use log::info;
use tokio::sync::{OnceCell, watch};
use tonic::transport::{Channel, Endpoint};
use wire::v1;
use wire::v1::agent_client::AgentClient;
use wire::v1::index_client::IndexClient;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the agent may take to say which process it is.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1000);

/// Unread bytes of one answer that the agent may send ahead.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Unread bytes of all answers on one connection; many callers may be slow before others wait.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// One connection to each agent, shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    slots: ArcSwap<HashMap<SocketAddr, Arc<Slot>>>,
}

/// The place of a connection; a new one takes its place when the connection is replaced.
#[derive(Debug)]
struct Slot {
    connection: OnceCell<Connection>,
    replaced: watch::Sender<bool>,
}

/// A connection to one process of an agent.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// The client; cheap to clone.
    pub(crate) client: AgentClient<Channel>,
    /// The client of the index there.
    pub(crate) index: IndexClient<Channel>,
    /// The process at the other end.
    pub(crate) process: ProcessId,
    replaced: watch::Receiver<bool>,
}

impl Connection {
    /// Returns once the connection has been given up for a new one.
    pub(crate) async fn wait_until_replaced(&mut self) {
        let _ = self.replaced.wait_for(|replaced| *replaced).await;
    }
}

impl Agents {
    /// The connection to the agent at `address`; an error means that nothing was sent.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, tonic::Status> {
        let slot = self.slot(address);
        let replaced = slot.replaced.subscribe();
        let opened = slot.connection.get_or_try_init(|| open(address, replaced)).await;
        opened.cloned()
    }

    /// Gives a connection up, unless a new one has taken its place already.
    pub(crate) fn replace(&self, address: SocketAddr, given_up: &Connection) {
        let slots = self.slots.load();
        let Some(slot) = slots.get(&address) else { return };
        let held = slot.connection.get();
        if !held.is_some_and(|held| held.replaced.same_channel(&given_up.replaced)) {
            return;
        }
        info!("agent={address} connection replaced");
        self.slots.rcu(|slots| {
            let mut slots = HashMap::clone(slots);
            if slots.get(&address).is_some_and(|current| Arc::ptr_eq(current, slot)) {
                slots.remove(&address);
            }
            slots
        });
        slot.replaced.send_replace(true);
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        if let Some(slot) = self.slots.load().get(&address) {
            return slot.clone();
        }
        let fresh = Arc::new(Slot::default());
        self.slots.rcu(|slots| {
            let mut slots = HashMap::clone(slots);
            slots.entry(address).or_insert_with(|| fresh.clone());
            slots
        });
        self.slots.load().get(&address).cloned().unwrap_or(fresh)
    }
}

impl Default for Slot {
    fn default() -> Self {
        Slot { connection: OnceCell::new(), replaced: watch::Sender::new(false) }
    }
}

/// Connects, and asks which process is at the other end.
async fn open(
    address: SocketAddr,
    replaced: watch::Receiver<bool>,
) -> Result<Connection, tonic::Status> {
    let channel = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .connect_lazy();
    let mut client = AgentClient::new(channel.clone());
    let hello = client.report(v1::ReportRequest { asked_by: String::new() });
    let report = tokio::time::timeout(HELLO_TIMEOUT, hello)
        .await
        .map_err(|_| tonic::Status::deadline_exceeded("the agent does not answer"))??;
    let process = ProcessId::new(report.into_inner().process);
    Ok(Connection { client, index: IndexClient::new(channel), process, replaced })
}

/// Whether a failed call was certainly never sent: the connection under it could not be made.
pub(crate) fn is_not_sent(status: &tonic::Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}
