//! Routes from a host and path to a service.
//!
//! [`RouteTable`] is built once for each configuration version and read by every request, so a
//! lookup costs one hash and a scan of the prefixes of one host.

use crate::config::{Configuration, RouteRule};
use crate::id::Version;
use std::collections::HashMap;
use std::sync::Arc;

/// Route rules of one configuration version, prepared for lookup.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Version,
    /// Rules of each host, longest prefix first.
    rules_by_host: HashMap<Arc<str>, Vec<RouteRule>>,
}

/// Rule that matches one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Rule with the longest matching prefix.
    pub rule: &'a RouteRule,
    /// Part of the path after the prefix.
    pub suffix: &'a str,
}

impl RouteTable {
    /// Builds the table from the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut rules_by_host: HashMap<Arc<str>, Vec<RouteRule>> = HashMap::new();
        for rule in &configuration.routes {
            rules_by_host.entry(rule.host.clone()).or_default().push(rule.clone());
        }
        for rules in rules_by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self { version: configuration.version, rules_by_host }
    }

    /// Configuration version that the table was built from; 0 for a default table.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Rule for `host` with the longest prefix of `path`; `host` may contain a port and upper-case
    /// letters.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let rules = self.rules_by_host.get(host.to_ascii_lowercase().as_str())?;
        let match_rule = |rule: &'a RouteRule| {
            let suffix = path.strip_prefix(&*rule.path_prefix)?;
            Some(RouteMatch { rule, suffix })
        };
        rules.iter().find_map(match_rule)
    }
}
