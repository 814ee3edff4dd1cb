//! gRPC connections to agents.

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

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for an agent to report its process id on a new connection.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Flow-control window of one response: the most unread bytes that the agent may send ahead.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Flow-control window of one connection, shared by all its responses. It is large enough for many
/// slow callers to use up their stream windows before the responses of other callers have to wait.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Connections to agents, one for each agent, shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct AgentConnections {
    cells: ArcSwap<HashMap<SocketAddr, Arc<ConnectionCell>>>,
}

/// Holds at most one connection to an agent. When the connection is replaced, the next request
/// creates a new cell for the new connection.
#[derive(Debug)]
struct ConnectionCell {
    connection: OnceCell<Connection>,
    replaced: watch::Sender<bool>,
}

/// A connection to one process of an agent.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// Client of the agent service; cheap to clone.
    pub(crate) client: AgentClient<Channel>,
    /// Client of the placement index at the agent.
    pub(crate) index: IndexClient<Channel>,
    /// The agent process at the other end.
    pub(crate) process: ProcessId,
    replaced: watch::Receiver<bool>,
}

impl Connection {
    /// Waits until the connection has been replaced.
    pub(crate) async fn wait_until_replaced(&mut self) {
        let _ = self.replaced.wait_for(|replaced| *replaced).await;
    }
}

impl AgentConnections {
    /// Returns the connection to the agent at `address`, and makes one if there is none. An error
    /// means that nothing was sent.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, tonic::Status> {
        let cell = self.cell(address);
        let replaced = cell.replaced.subscribe();
        let result = cell.connection.get_or_try_init(|| open_connection(address, replaced)).await;
        result.cloned()
    }

    /// Replaces a failed connection: it is removed, so that the next request makes a new one, and
    /// its users are notified. Does nothing if it has already been replaced.
    pub(crate) fn replace(&self, address: SocketAddr, failed: &Connection) {
        let cells = self.cells.load();
        let Some(cell) = cells.get(&address) else { return };
        let existing = cell.connection.get();
        if !existing.is_some_and(|existing| existing.replaced.same_channel(&failed.replaced)) {
            return;
        }
        info!("agent={address} connection replaced");
        self.cells.rcu(|cells| {
            let mut cells = HashMap::clone(cells);
            if cells.get(&address).is_some_and(|current| Arc::ptr_eq(current, cell)) {
                cells.remove(&address);
            }
            cells
        });
        cell.replaced.send_replace(true);
    }

    fn cell(&self, address: SocketAddr) -> Arc<ConnectionCell> {
        if let Some(cell) = self.cells.load().get(&address) {
            return cell.clone();
        }
        let new_cell = Arc::new(ConnectionCell::default());
        self.cells.rcu(|cells| {
            let mut cells = HashMap::clone(cells);
            cells.entry(address).or_insert_with(|| new_cell.clone());
            cells
        });
        self.cells.load().get(&address).cloned().unwrap_or(new_cell)
    }
}

impl Default for ConnectionCell {
    fn default() -> Self {
        ConnectionCell { connection: OnceCell::new(), replaced: watch::Sender::new(false) }
    }
}

/// Connects to an agent and queries which process is at the other end.
async fn open_connection(
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
    let call = client.report(v1::ReportRequest { asked_by: String::new() });
    let report = tokio::time::timeout(IDENTIFY_TIMEOUT, call).await.map_err(|_| {
        tonic::Status::deadline_exceeded("the agent did not report its process in time")
    })??;
    let process = ProcessId::new(report.into_inner().process);
    Ok(Connection { client, index: IndexClient::new(channel), process, replaced })
}

/// Whether a failed call was certainly not sent, since its connection could not be made.
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
