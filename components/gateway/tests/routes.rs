//! Selection of a request's route and of the route's service.

use std::time::Duration;

use gateway::model::{Route, RouteKind, ServiceId, Target};
use gateway::routes::{RouteTable, pick_target, resumable_services, stream_lifetime};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        pause_objective: None,
        tier: 0,
        public: false,
        max_upstreams: 1,
        targets: vec![],
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = RouteTable::new(&routes);
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("A.Example", "/x/1").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/x/1"), None);
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn targets_are_picked_by_weight() {
    let target = |service: &str, weight| Target { service: service.to_owned(), weight };
    let targets = [target("nine", 9), target("one", 1), target("none", 0)];
    let picked = |sample| pick_target(&targets, sample);
    assert_eq!(picked(0.0), Some("nine"));
    assert_eq!(picked(0.899), Some("nine"));
    assert_eq!(picked(0.9), Some("one"));
    assert_eq!(picked(0.999), Some("one"));
    assert_eq!(pick_target(&[], 0.5), None);
}

#[test]
fn a_stream_counts_as_ended_while_its_caller_may_take_it_up() {
    let with_timeout = |service: &str, kind, seconds| Route {
        kind,
        timeout: Duration::from_secs(seconds),
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
        ..route(service, "a.example", "/x/")
    };
    let resumable = RouteKind::Stream { resumable: true };
    let others = [
        with_timeout("desk", RouteKind::Idempotent, 60),
        with_timeout("once", RouteKind::Stream { resumable: false }, 60),
    ];
    assert_eq!(resumable_services(&others), []);
    assert_eq!(stream_lifetime(&others), Duration::from_secs(10));
    let mut routes = others.to_vec();
    routes.push(with_timeout("models", resumable, 12));
    routes.push(with_timeout("models", resumable, 3));
    assert_eq!(resumable_services(&routes), [ServiceId::of("models")]);
    assert_eq!(stream_lifetime(&routes), Duration::from_secs(24));
    routes.push(with_timeout("models", resumable, 86_400));
    assert_eq!(stream_lifetime(&routes), Duration::from_secs(400));
}
