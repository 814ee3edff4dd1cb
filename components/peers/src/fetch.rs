//! Fetches a newer configuration from the store or from a peer and installs it.

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

/// Longest time to transfer a configuration from a peer that has already replied to the query for
/// its version. The store, which limits its transfers by progress, has what does not fit into it.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches newer configurations from sources and installs them in this process.
pub(crate) struct ConfigurationFetcher {
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) store: Option<Arc<dyn KeyValueStore>>,
    pub(crate) connections: Connections,
    /// Address at which other processes reach this one; `None` if it does not serve them.
    pub(crate) own_address: Option<SocketAddr>,
}

impl ConfigurationFetcher {
    /// Queries a source and installs its configuration if it is newer than the active one.
    pub(crate) async fn fetch_newer(&self, source: Source) -> Result<()> {
        match source {
            Source::Store => self.fetch_from_store().await,
            Source::Peer(address) => {
                let result = self.fetch_from_peer(address).await;
                if result.is_err() {
                    self.connections.drop_client(address);
                }
                result
            }
        }
    }

    async fn fetch_from_store(&self) -> Result<()> {
        let store = self.store.as_ref().context("no store is configured")?;
        let stored = timeout(STORE_TIMEOUT, read_index(&**store)).await??;
        let active = self.active_configuration.load();
        let Some((_, index)) = stored else { return Ok(()) };
        if index.version <= self.active_configuration.version() {
            return Ok(());
        }
        let newer = read_newer(&**store, active.as_deref()).await?;
        if let Some(snapshot) = newer {
            self.install(snapshot, "store");
        }
        Ok(())
    }

    async fn fetch_from_peer(&self, address: SocketAddr) -> Result<()> {
        let reply = self.request_configuration(address, false, PEER_TIMEOUT).await?;
        let Some(active) = self.active_if_older(&reply) else { return Ok(()) };
        let updated = match active {
            Some(active) if !reply.deltas.is_empty() => apply_reply_deltas(&active, &reply),
            _ => Err(anyhow::anyhow!("the reply has no usable deltas")),
        };
        let snapshot = match updated {
            Ok(snapshot) => snapshot,
            Err(error) => {
                debug!(
                    "configuration version={} fetching the whole document: {error:#}",
                    reply.version
                );
                let reply = self.request_configuration(address, true, TRANSFER_TIMEOUT).await?;
                if self.active_if_older(&reply).is_none() {
                    return Ok(());
                }
                read_document(&reply)?
            }
        };
        self.install(snapshot, &address.to_string());
        Ok(())
    }

    /// Returns the active configuration if the reply announces a newer version, and `None` if it
    /// does not. The inner option is empty if no configuration is active yet.
    fn active_if_older(
        &self,
        reply: &v1::FetchConfigurationReply,
    ) -> Option<Option<Arc<Snapshot>>> {
        let active = self.active_configuration.load();
        let version = active.as_ref().map_or(0, |active| active.version.0);
        (version < reply.version).then_some(active)
    }

    async fn request_configuration(
        &self,
        address: SocketAddr,
        whole: bool,
        call_timeout: Duration,
    ) -> Result<v1::FetchConfigurationReply> {
        let request = v1::FetchConfigurationRequest {
            held_version: self.active_configuration.version().0,
            holder: self.own_address.map_or(String::new(), |address| address.to_string()),
            whole,
        };
        let mut client = self.connections.client(address)?;
        let reply = timeout(call_timeout, client.fetch_configuration(request)).await??;
        Ok(reply.into_inner())
    }

    fn install(&self, snapshot: Snapshot, source: &str) {
        let version = snapshot.version;
        if self.active_configuration.install_if_newer(snapshot) == InstallOutcome::Installed {
            info!("configuration version={version} installed from {source}");
        }
    }
}

fn apply_reply_deltas(active: &Snapshot, reply: &v1::FetchConfigurationReply) -> Result<Snapshot> {
    let updated = active.apply_deltas(read_deltas(reply)?)?;
    anyhow::ensure!(
        updated.version.0 == reply.version,
        "the deltas end before the announced version"
    );
    Ok(updated)
}

fn read_document(reply: &v1::FetchConfigurationReply) -> Result<Snapshot> {
    let document: Document = serde_json::from_slice(&reply.document)?;
    let snapshot = Snapshot::new(ConfigVersion(reply.version), document);
    Ok(snapshot.with_deltas(read_deltas(reply)?))
}

fn read_deltas(reply: &v1::FetchConfigurationReply) -> Result<Vec<Arc<Delta>>> {
    reply.deltas.iter().map(|bytes| Ok(Arc::new(serde_json::from_slice(bytes)?))).collect()
}
