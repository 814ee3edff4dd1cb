//! gRPC service for the agent's part of the placement index, which records the upstream of each
//! request that its caller may attach to again.

use std::sync::Arc;

use clock::{Clock, unix_ms};
use identity::{ConfigVersion, DispatchEpoch, ProcessId, UpstreamId};
use registry::{
    IndexOwners, OwnerFence, OwnerSetId, PlacementIndex, PlacementRecord, RegisterOutcome,
    RegistrationRequest, from_held_entry, to_held_entry,
};
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::index_server::Index as IndexRpc;

use super::server::{invalid_argument, required_key};
use super::{Shared, lock};

/// Placement index and owner fence. They share one lock: otherwise a dispatch could be checked
/// against the old owner, and be missing from the list of held dispatches that the new owner gets.
#[derive(Debug)]
pub(crate) struct PlacementRegistry {
    pub(crate) index: PlacementIndex,
    pub(crate) fence: OwnerFence,
}

impl PlacementRegistry {
    pub(crate) fn new(clock: &dyn Clock) -> PlacementRegistry {
        let first_epoch = DispatchEpoch(unix_ms(clock.wall_time()));
        PlacementRegistry { index: PlacementIndex::new(first_epoch), fence: OwnerFence::default() }
    }
}

pub(super) struct IndexService {
    pub(super) shared: Arc<Shared>,
}

#[tonic::async_trait]
impl IndexRpc for IndexService {
    async fn register(
        &self,
        request: Request<v1::RegisterRequest>,
    ) -> Result<Response<v1::RegisterReply>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        let superseded =
            request.superseded.map(from_held_entry).transpose().map_err(invalid_argument)?;
        let set = owner_set_id(request.configuration_version, request.homes_digest);
        let registration = RegistrationRequest {
            key: key.clone(),
            upstream: UpstreamId::new(request.upstream),
            process: ProcessId::new(request.upstream_process),
            superseded: superseded.map(|(_, placement)| placement),
        };
        let now = self.shared.clock.now();
        let outcome = lock(&self.shared.registry).index.register(registration, set, now);
        let (state, placement) = match outcome {
            RegisterOutcome::Recorded(placement) => (v1::RegisterState::Recorded, Some(placement)),
            RegisterOutcome::AlreadyPlaced(placement) => (v1::RegisterState::Held, Some(placement)),
            RegisterOutcome::IndexIncomplete => (v1::RegisterState::Fill, None),
            RegisterOutcome::RetryLater => (v1::RegisterState::Wait, None),
        };
        Ok(Response::new(v1::RegisterReply {
            state: state.into(),
            placed: placement.map(|placement| to_held_entry(&key, &placement)),
            process: self.shared.process.to_string(),
        }))
    }

    async fn list_held(
        &self,
        request: Request<v1::ListHeldRequest>,
    ) -> Result<Response<v1::ListHeldReply>, Status> {
        let request = request.into_inner();
        let owner = UpstreamId::new(request.home);
        let version = ConfigVersion(request.configuration_version);
        let owners = IndexOwners::new(version, request.homes.into_iter().map(UpstreamId::new));
        let mut registry = lock(&self.shared.registry);
        let process = ProcessId::new(request.process);
        registry.fence.update_owner(owner.clone(), process, owners.clone());
        let mut held: Vec<v1::HeldEntry> = registry
            .index
            .iter()
            .filter(|(key, _)| owners.owner_of(key) == Some(&owner))
            .map(|(key, placement)| to_held_entry(key, placement))
            .collect();
        for (key, epoch) in self.shared.core().held_dispatches() {
            if owners.owner_of(key) == Some(&owner) {
                let upstream = self.shared.settings.upstream.clone();
                let process = self.shared.process.clone();
                held.push(to_held_entry(key, &PlacementRecord { upstream, process, epoch }));
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
            return Err(Status::failed_precondition("the request is for another agent process"));
        }
        let held: Result<Vec<_>, _> = request.held.into_iter().map(from_held_entry).collect();
        let held = held.map_err(invalid_argument)?;
        let mut registry = lock(&self.shared.registry);
        registry.index.merge(held, self.shared.clock.now());
        if !request.copies {
            registry
                .index
                .mark_complete(owner_set_id(request.configuration_version, request.homes_digest));
        }
        Ok(Response::new(v1::FillIndexReply {}))
    }
}

fn owner_set_id(version: u64, digest: u64) -> OwnerSetId {
    OwnerSetId { version: ConfigVersion(version), digest }
}
