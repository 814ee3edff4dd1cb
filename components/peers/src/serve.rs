//! gRPC service that serves the active configuration to other processes.

use std::sync::Arc;

use bytes::Bytes;
use configuration::layout::Delta;
use configuration::{ActiveConfiguration, Snapshot};
use identity::ConfigVersion;
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::peer_server::{Peer, PeerServer};

use crate::sync::VersionObserver;

/// gRPC server of the `ConfigurationService`.
pub type PeerService = PeerServer<ConfigurationService>;

/// Serves the active configuration to peers. The version that a peer holds comes with its query, so
/// the serving process learns of a newer version too.
pub struct ConfigurationService {
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) version_observer: VersionObserver,
}

#[tonic::async_trait]
impl Peer for ConfigurationService {
    async fn fetch_configuration(
        &self,
        request: Request<v1::FetchConfigurationRequest>,
    ) -> Result<Response<v1::FetchConfigurationReply>, Status> {
        let request = request.into_inner();
        let held = ConfigVersion(request.held_version);
        self.version_observer.observe_version(held, request.holder.parse().ok());
        let reply = match self.active_configuration.load() {
            None => v1::FetchConfigurationReply::default(),
            Some(snapshot) => build_reply(&snapshot, held, request.whole)
                .map_err(|error| Status::internal(error.to_string()))?,
        };
        Ok(Response::new(reply))
    }
}

/// Builds the reply for a peer that holds version `held`. If `whole` is set, it contains the
/// document and the retained deltas, otherwise only the deltas after `held`, if they reach back
/// that far.
fn build_reply(
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
