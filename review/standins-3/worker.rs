//! Stand-in of a worker that answers as a case says.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::http::{self, Message};
use super::store::Store;

/// Interval at which a worker writes to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Starts a worker that announces itself and serves until the process ends. `handle` writes the
/// response to a request and returns whether the connection stays open.
pub fn spawn(
    store: &Store,
    instance: &'static str,
    service: &'static str,
    slots: u32,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let address = http::serve(handle)?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
    let store = store.clone();
    std::thread::spawn(move || {
        for sequence in 1_u64.. {
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"riga-a\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":{born},\"Sequence\":{sequence}}}"
            );
            store.put(&format!("servers/{instance}"), &entry);
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    Ok(address)
}
