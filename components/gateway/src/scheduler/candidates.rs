//! Which upstreams are looked at for a request.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::index::sample;

use super::tracked::Tracked;
use crate::model::{InstanceId, Places};

/// Part of a zone's upstreams that an entry of a large group looks at, beside those where it owns
/// places. All would choose the same best one otherwise, before any hears of the others' choice.
const NEAR_SHARE: f64 = 0.7;

/// The same of upstreams in other zones.
const FAR_SHARE: f64 = 0.2;

/// Most upstreams of the zone that are looked at: with more, a choice costs more than it gains.
const MOST_NEAR: usize = 24;

/// The same of upstreams in other zones.
const MOST_FAR: usize = 12;

/// The upstreams of one service.
#[derive(Debug, Default)]
struct OfService {
    owned: Vec<InstanceId>,
    near: Vec<InstanceId>,
    far: Vec<InstanceId>,
}

/// Upstreams by service, ownership and distance.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    services: HashMap<String, OfService>,
}

impl Candidates {
    /// Sorts the upstreams.
    pub(super) fn new<'a>(
        upstreams: impl Iterator<Item = &'a Tracked>,
        places: &Places,
    ) -> Candidates {
        let mut services: HashMap<String, OfService> = HashMap::new();
        for tracked in upstreams {
            let of_service = services.entry(tracked.upstream.service.clone()).or_default();
            let list = if tracked.own_share > 0 {
                &mut of_service.owned
            } else if tracked.upstream.zone == places.own_zone {
                &mut of_service.near
            } else {
                &mut of_service.far
            };
            list.push(tracked.upstream.instance.clone());
        }
        Candidates { services }
    }

    /// Every upstream of a service.
    pub(super) fn all(&self, service: &str) -> Vec<InstanceId> {
        let of_service = self.services.get(service);
        let lists =
            of_service.into_iter().flat_map(|found| [&found.owned, &found.near, &found.far]);
        lists.flatten().cloned().collect()
    }

    /// Those where this entry owns places, and some of the others.
    pub(super) fn some(&self, service: &str, rng: &mut impl Rng) -> Vec<InstanceId> {
        let Some(found) = self.services.get(service) else { return Vec::new() };
        let mut chosen = found.owned.clone();
        for (list, share, most) in
            [(&found.near, NEAR_SHARE, MOST_NEAR), (&found.far, FAR_SHARE, MOST_FAR)]
        {
            let wanted = (list.len() as f64 * share).ceil() as usize;
            let drawn = sample(rng, list.len(), wanted.min(most));
            chosen.extend(drawn.iter().map(|index| list[index].clone()));
        }
        chosen
    }

    /// Whether any upstream of a service is known.
    pub(super) fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }
}
