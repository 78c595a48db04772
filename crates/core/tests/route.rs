//! Lookup of the route of a request.

use parsleyspool_core::config::{Configuration, RouteRule};
use parsleyspool_core::route::RouteTable;

#[test]
fn the_route_is_the_longest_matching_prefix_of_the_host() {
    let rule = |host: &str, prefix: &str, request: &str| RouteRule {
        host: host.into(),
        path_prefix: prefix.into(),
        service: "s".into(),
        request: request.into(),
    };
    let configuration = Configuration {
        version: 3,
        routes: vec![rule("h", "/a/", "short"), rule("h", "/a/b/", "long"), rule("g", "/", "g")],
        ..Configuration::default()
    };
    let table = RouteTable::new(&configuration);
    let cases = [
        ("h", "/a/b/1", Some(("long", "1"))),
        ("H:80", "/a/1", Some(("short", "1"))),
        ("h", "/c/1", None),
        ("g", "/c/1", Some(("g", "c/1"))),
        ("i", "/a/1", None),
    ];

    for (host, path, expected) in cases {
        let found = table.find(host, path);
        let found = found.as_ref().map(|found| (&*found.rule.request, found.suffix));
        assert_eq!(found, expected, "{host}{path}");
    }
}
