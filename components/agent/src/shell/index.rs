//! The agent's part of the index of requests that callers may ask for again.

use std::sync::Arc;

use clock::{Clock, unix_ms};
use identity::{ConfigVersion, DispatchEpoch, ProcessId, UpstreamId};
use registry::{Fence, HomeSet, Homes, Index, Placed, Registered, Wish, from_entry, to_entry};
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::index_server::Index as IndexRpc;

use super::server::{invalid, required_key};
use super::{Shared, lock};

/// Index and fence; one lock, so that a listing and a hand-over cannot miss each other.
#[derive(Debug)]
pub(crate) struct Registry {
    pub(crate) index: Index,
    pub(crate) fence: Fence,
}

impl Registry {
    pub(crate) fn new(clock: &dyn Clock) -> Registry {
        let first_epoch = DispatchEpoch(unix_ms(clock.wall()));
        Registry { index: Index::new(first_epoch), fence: Fence::default() }
    }
}

pub(super) struct Rpc {
    pub(super) shared: Arc<Shared>,
}

#[tonic::async_trait]
impl IndexRpc for Rpc {
    async fn register(
        &self,
        request: Request<v1::RegisterRequest>,
    ) -> Result<Response<v1::RegisterReply>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        let superseded = request.superseded.map(from_entry).transpose().map_err(invalid)?;
        let set = home_set(request.configuration_version, request.homes_digest);
        let wish = Wish {
            key: key.clone(),
            upstream: UpstreamId::new(request.upstream),
            process: ProcessId::new(request.upstream_process),
            superseded: superseded.map(|(_, placed)| placed),
        };
        let now = self.shared.clock.now();
        let registered = lock(&self.shared.registry).index.register(wish, set, now);
        let (state, placed) = match registered {
            Registered::Recorded(placed) => (v1::RegisterState::Recorded, Some(placed)),
            Registered::Held(placed) => (v1::RegisterState::Held, Some(placed)),
            Registered::Fill => (v1::RegisterState::Fill, None),
            Registered::Wait => (v1::RegisterState::Wait, None),
        };
        Ok(Response::new(v1::RegisterReply {
            state: state.into(),
            placed: placed.map(|placed| to_entry(&key, &placed)),
            process: self.shared.process.to_string(),
        }))
    }

    async fn list_held(
        &self,
        request: Request<v1::ListHeldRequest>,
    ) -> Result<Response<v1::ListHeldReply>, Status> {
        let request = request.into_inner();
        let home = UpstreamId::new(request.home);
        let version = ConfigVersion(request.configuration_version);
        let homes = Homes::new(version, request.homes.into_iter().map(UpstreamId::new));
        let mut registry = lock(&self.shared.registry);
        let process = ProcessId::new(request.process);
        registry.fence.learn(home.clone(), process, homes.clone());
        let mut held: Vec<v1::HeldEntry> = registry
            .index
            .iter()
            .filter(|(key, _)| homes.of(key) == Some(&home))
            .map(|(key, placed)| to_entry(key, placed))
            .collect();
        for (key, epoch) in self.shared.core().held() {
            if homes.of(key) == Some(&home) {
                let upstream = self.shared.settings.upstream.clone();
                let process = self.shared.process.clone();
                held.push(to_entry(key, &Placed { upstream, process, epoch }));
            }
        }
        Ok(Response::new(v1::ListHeldReply { held }))
    }

    async fn fill_index(
        &self,
        request: Request<v1::FillIndexRequest>,
    ) -> Result<Response<v1::FillIndexReply>, Status> {
        let request = request.into_inner();
        if request.process != self.shared.process.as_str() {
            return Err(Status::failed_precondition("meant for another process"));
        }
        let held: Result<Vec<_>, _> = request.held.into_iter().map(from_entry).collect();
        let held = held.map_err(invalid)?;
        let mut registry = lock(&self.shared.registry);
        registry.index.note(held, self.shared.clock.now());
        if !request.copies {
            registry.index.complete(home_set(request.configuration_version, request.homes_digest));
        }
        Ok(Response::new(v1::FillIndexReply {}))
    }
}

fn home_set(version: u64, digest: u64) -> HomeSet {
    HomeSet { version: ConfigVersion(version), digest }
}
