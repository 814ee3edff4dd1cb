//! Reads from another gateway of the zone that knows more of the store.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http::header;
use http_body_util::Full;
use link::{Timeouts, TransferLimits};
use log::{info, warn};
use ntex::http::{Response, StatusCode};
use tokio::time::timeout;

use super::state::{Shared, SharedRef};
use crate::model::{PeerId, Position};
use crate::store_copy::MissingChanges;

/// Path of the changes after a position, which the query names.
pub(super) const PATH: &str = "/store-changes";

/// Timeouts of a connection to another gateway of the zone.
const CONNECTION_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(1_000),
    keepalive_interval: Duration::from_millis(1_000),
};

/// Time until a peer begins its response; a small host takes some hundred milliseconds to compress
/// a large configuration.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limits on the transfer of the compressed changes.
const TRANSFER_LIMITS: TransferLimits = TransferLimits {
    max_bytes: 4 << 20,
    progress_interval: Duration::from_millis(1_000),
    min_progress_bytes: 8 << 10,
};

/// Maximum size of the changes when they are decompressed.
const MAX_CHANGES_BYTES: u64 = 16 << 20;

/// Reads from peers as they become due, until the process ends.
pub(super) async fn run(shared: SharedRef) {
    loop {
        shared.peer_read_notify.notified().await;
        let Some(peer) = shared.due_peer_read.take() else { continue };
        if let Err(error) = shared.read_from_peer(peer).await {
            warn!("peer_read.failed peer={peer} reason={error:#}");
        }
        shared.read_schedule.borrow_mut().end_peer_read(shared.clock.uptime());
    }
}

impl Shared {
    async fn read_from_peer(&self, peer: PeerId) -> Result<()> {
        let located = self.peers.borrow().locate(peer);
        let (address, _) = located.context("the peer is no longer a member")?;
        let after = self.read_schedule.borrow().position().context("nothing has been read yet")?;
        let started_at = self.clock.now();
        let body = request_changes(address, after).await?;
        let MissingChanges { is_everything, read } = decode(&body)?;
        let (position, change_count) = (read.position, read.changes.len());
        let applied = self.read_schedule.borrow().continues(read.after, position);
        info!(
            "peer_read.received peer={peer} after={after} position={position} changes={change_count} everything={is_everything} received_bytes={} elapsed_ms={} applied={applied}",
            body.len(),
            self.clock.now().saturating_duration_since(started_at).as_millis(),
        );
        let receiver = self.shared_read_receiver.borrow().clone();
        let Some(receiver) = receiver.filter(|_| applied) else { return Ok(()) };
        if is_everything {
            self.store_copy.borrow_mut().replace_all(read.changes.clone(), position);
            receiver.receive_all(read);
        } else {
            self.store_copy.borrow_mut().apply(&read.changes);
            receiver.receive(read);
        }
        Ok(())
    }

    /// Answers a gateway that asks for the changes after a position.
    pub(super) fn answer_peer_read(&self, query: &str) -> Response {
        let after = query.strip_prefix("after=").and_then(|after| after.parse::<Position>().ok());
        let Some(after) = after else { return Response::new(StatusCode::BAD_REQUEST) };
        let Some(position) = self.read_schedule.borrow().position() else {
            return Response::new(StatusCode::NO_CONTENT);
        };
        let cached = self.encoded_changes.borrow().clone();
        if let Some((_, _, body)) = cached.filter(|(from, to, _)| (*from, *to) == (after, position))
        {
            return Response::build(StatusCode::OK).body(body.to_vec());
        }
        let Some(missing) = self.store_copy.borrow().changes_after(after, position) else {
            return Response::new(StatusCode::NO_CONTENT);
        };
        match encode(&missing) {
            Ok(body) => {
                *self.encoded_changes.borrow_mut() = Some((after, position, body.clone()));
                Response::build(StatusCode::OK).body(body.to_vec())
            }
            Err(error) => {
                warn!("peer_read.unwritable after={after} reason={error:#}");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

async fn request_changes(address: SocketAddr, after: Position) -> Result<Bytes> {
    let request = http::Request::builder()
        .uri(format!("{PATH}?after={after}"))
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let mut connection = link::connect(address, CONNECTION_TIMEOUTS).await?;
    let response = timeout(RESPONSE_TIMEOUT, connection.send(request))
        .await
        .context("no response within the timeout")??;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => bail!("the peer knows nothing more"),
        status => bail!("unexpected status {status}"),
    }
    Ok(link::read_transfer(response.into_body(), TRANSFER_LIMITS, |_| {}).await?)
}

fn encode(missing: &MissingChanges) -> Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&postcard::to_stdvec(missing)?)?;
    Ok(encoder.finish()?.into())
}

fn decode(body: &[u8]) -> Result<MissingChanges> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(body).take(MAX_CHANGES_BYTES + 1).read_to_end(&mut bytes)?;
    ensure!(bytes.len() as u64 <= MAX_CHANGES_BYTES, "the changes exceed the size limit");
    Ok(postcard::from_bytes(&bytes)?)
}
