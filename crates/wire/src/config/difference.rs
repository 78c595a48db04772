//! Differences between two configurations.

use super::ConfigurationWire;
use parsleyspool_core::config::Configuration;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Value that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigDifference {
    /// Dotted path of the value; of the whole list for an element of a list.
    pub path: String,
    /// Value before; `None` if there was none.
    pub before: Option<Value>,
    /// Value afterwards; `None` if there is none.
    pub after: Option<Value>,
}

/// Fields that every change advances.
const VERSION_FIELDS: [&str; 2] = ["version", "subjects"];

/// Differences between `before` and `after` in what operators set; versions are ignored.
pub fn config_differences(before: &Configuration, after: &Configuration) -> Vec<ConfigDifference> {
    let mut differences = Vec::new();
    compare_maps("", &fields(before), &fields(after), &mut differences);
    differences
}

fn fields(configuration: &Configuration) -> Map<String, Value> {
    let value = serde_json::to_value(ConfigurationWire::from(configuration));
    let Ok(Value::Object(mut map)) = value else { return Map::new() };
    for field in VERSION_FIELDS {
        map.remove(field);
    }
    // An empty list of routes is left out, but compares as a list.
    map.entry("routes").or_insert_with(|| Value::Array(Vec::new()));
    map
}

fn compare_maps(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    differences: &mut Vec<ConfigDifference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match (before.get(key), after.get(key)) {
            (Some(Value::Object(before)), Some(Value::Object(after))) => {
                compare_maps(&path, before, after, differences);
            }
            (Some(Value::Array(before)), Some(Value::Array(after))) => {
                compare_lists(&path, before, after, differences);
            }
            (before, after) if before != after => {
                let (before, after) = (before.cloned(), after.cloned());
                differences.push(ConfigDifference { path, before, after });
            }
            _ => {}
        }
    }
}

/// Reports removed and added elements, or both lists if they differ in their order only.
fn compare_lists(
    path: &str,
    before: &[Value],
    after: &[Value],
    differences: &mut Vec<ConfigDifference>,
) {
    if before == after {
        return;
    }
    let mut added = after.to_vec();
    let mut removed = Vec::new();
    for value in before {
        match added.iter().position(|other| other == value) {
            Some(index) => drop(added.remove(index)),
            None => removed.push(value.clone()),
        }
    }
    let mut add = |before: Option<Value>, after: Option<Value>| {
        differences.push(ConfigDifference { path: path.to_owned(), before, after });
    };
    if removed.is_empty() && added.is_empty() {
        add(Some(Value::Array(before.to_vec())), Some(Value::Array(after.to_vec())));
    }
    removed.into_iter().for_each(|value| add(Some(value), None));
    added.into_iter().for_each(|value| add(None, Some(value)));
}
