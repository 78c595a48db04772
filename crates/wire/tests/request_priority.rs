//! The priority of a request in the wire format, in which older releases neither send nor know it.

use parsleyspool_core::config::RequestRule;
use parsleyspool_wire::config::RequestWire;

fn round_trip(rule: &RequestRule) -> (String, RequestRule) {
    let text = serde_json::to_string(&RequestWire::from(rule)).expect("it can be encoded");
    let wire: RequestWire = serde_json::from_str(&text).expect("it can be decoded");
    (text, wire.into())
}

#[test]
fn a_priority_survives_encoding() {
    let rule = RequestRule { priority: Some(2), ..RequestRule::default() };

    assert_eq!(round_trip(&rule).1, rule);
}

/// Guards against a field that an older release, which rejects unknown ones, receives unasked.
#[test]
fn a_rule_without_priority_is_encoded_as_before() {
    let rule = RequestRule::default();

    let (text, decoded) = round_trip(&rule);

    assert!(!text.contains("priority"), "{text}");
    assert_eq!(decoded, rule);
}
