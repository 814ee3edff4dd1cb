//! Selection of a request's route and of the route's service.

use std::time::Duration;

use gateway::model::{Route, RouteKind, Target};
use gateway::routes::{RouteTable, pick_target};

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
