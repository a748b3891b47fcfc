//! Routes, keys and weights of one version of what operators want.

use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::call::CallKind;
use badgerferry_lib::relay::route_table::CallerLimits;
use badgerferry_lib::relay::route_table::Denied;
use badgerferry_lib::relay::route_table::Route;
use badgerferry_lib::relay::route_table::RouteIndex;
use badgerferry_lib::relay::route_table::RouteTable;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::route_table::Target;
use badgerferry_lib::relay::route_table::Workspace;

fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: format!("route {prefix}"),
        host: "host.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: CallKind::Unary { repeatable: true },
        time_limit: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        pause: None,
        max_attempts: 2,
        priority: 1,
        public: false,
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: ServiceName::new(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn index(routes: Vec<Route>, keys: &[&str]) -> RouteIndex {
    RouteIndex::new(RouteTable {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        workspaces: keys
            .iter()
            .map(|key| Workspace {
                name: WorkspaceName::new(format!("workspace of {key}")),
                keys: vec![(*key).to_owned()],
                priority: None,
            })
            .collect(),
    })
}

#[test]
fn the_longest_prefix_wins_and_the_host_may_carry_a_port() {
    let index = index(
        vec![route("/a/", &[("x", 1)]), route("/a/b/", &[("y", 1)])],
        &[],
    );

    let found = index
        .route("HOST.example:8080", "/a/b/c")
        .expect("there is a route");

    assert_eq!(found.path_prefix, "/a/b/");
    assert_eq!(
        index.route("host.example", "/b/").err(),
        Some(Denied::NoRoute)
    );
    assert_eq!(
        index.route("other.example", "/a/").err(),
        Some(Denied::NoRoute)
    );
}

#[test]
fn a_key_is_needed_unless_the_route_is_public() {
    let mut open = route("/open/", &[("x", 1)]);
    open.public = true;
    let index = index(vec![route("/a/", &[("x", 1)]), open], &["secret"]);
    let closed = index
        .route("host.example", "/a/")
        .expect("there is a route");
    let open = index
        .route("host.example", "/open/")
        .expect("there is a route");

    let holder = index
        .holder(closed, Some("secret"))
        .expect("the key is known");

    assert_eq!(
        holder.map(|h| h.workspace.as_str()),
        Some("workspace of secret")
    );
    assert_eq!(index.holder(closed, None), Err(Denied::NoKey));
    assert_eq!(index.holder(closed, Some("other")), Err(Denied::NoKey));
    assert_eq!(index.holder(open, None), Ok(None));
}

#[test]
fn weights_split_calls() {
    let route = route("/a/", &[("x", 90), ("y", 10)]);

    let drawn: Vec<&str> = [0.0, 0.89, 0.91, 0.999]
        .map(|at| route.target(at).as_str())
        .to_vec();

    assert_eq!(drawn, ["x", "x", "y", "y"]);
}

#[test]
fn the_most_urgent_streams_of_a_service_are_known() {
    let mut patient = route("/a/", &[("x", 1), ("y", 1)]);
    patient.pause = Some(Duration::from_secs(1));
    let mut urgent = route("/b/", &[("x", 1)]);
    urgent.pause = Some(Duration::from_millis(250));
    let index = index(vec![patient, urgent, route("/c/", &[("z", 1)])], &[]);

    let least = |service: &str| index.tightest_gap(&ServiceName::new(service));

    assert_eq!(least("x"), Some(Duration::from_millis(250)));
    assert_eq!(least("y"), Some(Duration::from_secs(1)));
    assert_eq!(least("z"), None, "it has no streams");
}
