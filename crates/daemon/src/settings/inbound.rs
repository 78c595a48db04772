//! Settings of the limits on what clients send.

use crate::inbound::InboundLimits;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Resources of the machine, which the limits are derived from.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Memory of the process, in MiB.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub descriptors: u64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self { memory_mb: 512, descriptors: 4096 }
    }
}

/// Limits on what clients of all listeners send; those left out have their defaults.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InboundSettings {
    /// Most bytes held of requests that are not answered yet; 0 to derive it from the memory of the
    /// machine.
    pub memory_bytes: u64,
    /// Most connections; 0 to derive it from the descriptors and the memory of the machine.
    pub connections: u64,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time for receiving a head.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Longest time for receiving a body.
    #[serde(with = "humantime_serde")]
    pub body_time: Duration,
}

impl Default for InboundSettings {
    // The largest legal body takes 0.1 s on the slowest link, and the largest message 1.4 s.
    fn default() -> Self {
        Self {
            memory_bytes: 0,
            connections: 0,
            head_bytes: 16 << 10,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(15),
        }
    }
}

/// Descriptors that each machine reserves for files.
pub(super) const FILE_DESCRIPTORS: u64 = 200;
/// Share of the memory for received bytes, as a divisor. The allocator needs up to three times as much
/// for them, and a quarter of the memory is for the buffers of connections. The rest is for jobs and the
/// directory.
const MEMORY_SHARE: u64 = 8;
/// Connections for each MiB of memory: a connection occupies at most 16 KiB, and all of them a
/// quarter of the memory.
const CONNECTIONS_PER_MB: u64 = 16;

impl InboundSettings {
    /// Limits on a machine with the given resources.
    pub fn limits(&self, machine: &MachineSettings) -> InboundLimits {
        let or_derived = |set: u64, derived: u64| if set == 0 { derived } else { set };
        // A quarter of the descriptors is for connections that the process opens itself.
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS) / 4 * 3;
        let connections = sockets.min(machine.memory_mb.saturating_mul(CONNECTIONS_PER_MB));
        InboundLimits {
            memory_bytes: or_derived(
                self.memory_bytes,
                machine.memory_mb.saturating_mul(1 << 20) / MEMORY_SHARE,
            ),
            connections: or_derived(self.connections, connections) as usize,
            head_bytes: self.head_bytes,
            head_time: self.head_time,
            body_time: self.body_time,
        }
    }
}
