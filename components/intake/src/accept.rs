//! Accepts the connections of a listener.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::byte_budget::UpstreamKey;
use crate::connection::Connection;
use crate::intake::Intake;

/// Pause after a failure to accept a connection.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the future is dropped, and has each served by a task that `serve` starts. The
/// next one is accepted when the one has closed that was displaced for the last, so that a crowd does not
/// outrun the closing.
pub async fn accept_connections<K: UpstreamKey>(
    intake: &Rc<Intake<K>>,
    listener: &TcpListener,
    serve: impl Fn(Rc<Connection<K>>, TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(connection) = intake.open() else { continue };
                serve(connection.clone(), stream);
                connection.wait_for_displaced().await;
            }
            Err(error) => {
                warn!("connection.not_accepted error={error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
