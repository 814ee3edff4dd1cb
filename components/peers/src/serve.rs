//! Answers other processes that ask for the configuration.

use std::sync::Arc;

use bytes::Bytes;
use configuration::layout::Delta;
use configuration::{ActiveConfiguration, Snapshot};
use identity::ConfigVersion;
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::peer_server::{Peer, PeerServer};

use crate::run::Hearing;

/// The service between processes.
pub type PeerService = PeerServer<ConfigurationService>;

/// Serves the active configuration to peers.
pub struct ConfigurationService {
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) hearing: Hearing,
}

#[tonic::async_trait]
impl Peer for ConfigurationService {
    async fn fetch_configuration(
        &self,
        request: Request<v1::FetchConfigurationRequest>,
    ) -> Result<Response<v1::FetchConfigurationReply>, Status> {
        let request = request.into_inner();
        let held = ConfigVersion(request.held_version);
        self.hearing.observe_version(held, request.holder.parse().ok());
        let reply = match self.active_configuration.load() {
            None => v1::FetchConfigurationReply::default(),
            Some(snapshot) => answer(&snapshot, held, request.whole)
                .map_err(|error| Status::internal(error.to_string()))?,
        };
        Ok(Response::new(reply))
    }
}

fn answer(
    snapshot: &Snapshot,
    held: ConfigVersion,
    whole: bool,
) -> Result<v1::FetchConfigurationReply, serde_json::Error> {
    let mut reply =
        v1::FetchConfigurationReply { version: snapshot.version.0, ..Default::default() };
    if snapshot.version <= held {
        return Ok(reply);
    }
    if whole {
        reply.document = serde_json::to_vec(&snapshot.document)?.into();
        reply.deltas = write_deltas(&snapshot.deltas)?;
    } else if let Some(deltas) = snapshot.deltas_after(held) {
        reply.deltas = write_deltas(deltas)?;
    }
    Ok(reply)
}

fn write_deltas(deltas: &[Arc<Delta>]) -> Result<Vec<Bytes>, serde_json::Error> {
    deltas.iter().map(|delta| Ok(serde_json::to_vec(&**delta)?.into())).collect()
}
