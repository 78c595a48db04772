//! Routes: which service takes a request that names only a host and a path.
//!
//! [`RouteTable`] is built once for each configuration version and is read by every request, so a
//! look-up costs one hash and a walk over the prefixes of one host.

use crate::config::{Configuration, RouteRule};
use crate::id::Version;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes of one configuration version.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Version,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<RouteRule>>,
}

/// Route of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// The rule.
    pub rule: &'a RouteRule,
    /// What follows the prefix in the path.
    pub suffix: &'a str,
}

impl RouteTable {
    /// Table of the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<RouteRule>> = HashMap::new();
        for rule in &configuration.routes {
            hosts.entry(rule.host.clone()).or_default().push(rule.clone());
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self { version: configuration.version, hosts }
    }

    /// Configuration version that the table was built from; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Route of the longest prefix of `path` at `host`.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let rules = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        let matching = |rule: &'a RouteRule| {
            let suffix = path.strip_prefix(&*rule.path_prefix)?;
            Some(RouteMatch { rule, suffix })
        };
        rules.iter().find_map(matching)
    }
}
