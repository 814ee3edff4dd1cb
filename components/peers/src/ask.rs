//! Asks one source for what is newer than the configuration in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use configuration::layout::Delta;
use configuration::repository::{read_index, read_newer};
use configuration::sync::{PEER_TIMEOUT, STORE_TIMEOUT, Source};
use configuration::{ActiveConfiguration, Document, InstallOutcome, Snapshot};
use identity::ConfigVersion;
use log::{debug, info};
use store::KeyValueStore;
use tokio::time::timeout;
use wire::v1;

use crate::connections::Connections;

/// How long a source that has answered may take to bring a whole configuration.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Where answers go and what is needed to ask.
pub(crate) struct Asker {
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) store: Option<Arc<dyn KeyValueStore>>,
    pub(crate) connections: Connections,
    pub(crate) own: Option<SocketAddr>,
}

impl Asker {
    /// Puts in force what a source has that is newer.
    pub(crate) async fn ask(&self, source: Source) -> Result<()> {
        match source {
            Source::Store => self.ask_store().await,
            Source::Peer(address) => {
                let asked = self.ask_peer(address).await;
                if asked.is_err() {
                    self.connections.drop_client(address);
                }
                asked
            }
        }
    }

    async fn ask_store(&self) -> Result<()> {
        let store = self.store.as_ref().context("no store")?;
        let found = timeout(STORE_TIMEOUT, read_index(&**store)).await??;
        let held = self.active_configuration.load();
        let Some((_, index)) = found else { return Ok(()) };
        if index.version <= self.active_configuration.version() {
            return Ok(());
        }
        let newer = timeout(TRANSFER_TIMEOUT, read_newer(&**store, held.as_deref())).await??;
        if let Some(snapshot) = newer {
            self.offer(snapshot, "store");
        }
        Ok(())
    }

    async fn ask_peer(&self, address: SocketAddr) -> Result<()> {
        let reply = self.fetch(address, false, PEER_TIMEOUT).await?;
        let Some(held) = self.lag_behind(&reply) else { return Ok(()) };
        let advanced = match held {
            Some(held) if !reply.deltas.is_empty() => advance(&held, &reply),
            _ => Err(anyhow::anyhow!("no deltas")),
        };
        let snapshot = match advanced {
            Ok(snapshot) => snapshot,
            Err(error) => {
                debug!("configuration version={} is fetched whole: {error:#}", reply.version);
                let reply = self.fetch(address, true, TRANSFER_TIMEOUT).await?;
                if self.lag_behind(&reply).is_none() {
                    return Ok(());
                }
                read_whole(&reply)?
            }
        };
        self.offer(snapshot, &address.to_string());
        Ok(())
    }

    /// What is held, where a reply has something newer.
    fn lag_behind(&self, reply: &v1::FetchConfigurationReply) -> Option<Option<Arc<Snapshot>>> {
        let held = self.active_configuration.load();
        let version = held.as_ref().map_or(0, |held| held.version.0);
        (version < reply.version).then_some(held)
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        whole: bool,
        patience: Duration,
    ) -> Result<v1::FetchConfigurationReply> {
        let request = v1::FetchConfigurationRequest {
            held_version: self.active_configuration.version().0,
            holder: self.own.map_or(String::new(), |own| own.to_string()),
            whole,
        };
        let mut client = self.connections.client(address)?;
        let reply = timeout(patience, client.fetch_configuration(request)).await??;
        Ok(reply.into_inner())
    }

    fn offer(&self, snapshot: Snapshot, source: &str) {
        let version = snapshot.version;
        if self.active_configuration.install_if_newer(snapshot) == InstallOutcome::Installed {
            info!("configuration version={version} in force from {source}");
        }
    }
}

fn advance(held: &Snapshot, reply: &v1::FetchConfigurationReply) -> Result<Snapshot> {
    let advanced = held.apply_deltas(read_deltas(reply)?)?;
    anyhow::ensure!(advanced.version.0 == reply.version, "the deltas end too early");
    Ok(advanced)
}

fn read_whole(reply: &v1::FetchConfigurationReply) -> Result<Snapshot> {
    let document: Document = serde_json::from_slice(&reply.document)?;
    let snapshot = Snapshot::new(ConfigVersion(reply.version), document);
    Ok(snapshot.with_deltas(read_deltas(reply)?))
}

fn read_deltas(reply: &v1::FetchConfigurationReply) -> Result<Vec<Arc<Delta>>> {
    reply.deltas.iter().map(|bytes| Ok(Arc::new(serde_json::from_slice(bytes)?))).collect()
}
