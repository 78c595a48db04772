//! Values that the platform fills the settings of a single machine in with.

use serde_json::{Value, json};

/// Values for a machine at `ip` whose seed is an address where nothing listens.
pub fn machine_fields(ip: &str) -> Value {
    json!({
        "nodeName": "machine-1",
        "zone": "coast-a",
        "zones": {"coast-a": "coast"},
        "ip": ip,
        "listenAddrs": {
            "front": format!("{ip}:8161"),
            "ready": format!("{ip}:8167"),
            "control": format!("{ip}:8166"),
        },
        "internalPorts": [7720, 7735],
        "seeds": [format!("{ip}:7790")],
        "bounds": {"graceS": 6},
        "app": format!("{ip}:8165"),
        "platform": {"address": format!("{ip}:8169"), "keep_s": 20},
        "limits": {"maxFds": 4100, "memoryMb": 160},
    })
}
