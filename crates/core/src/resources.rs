//! Resources: the capacity of a backend server and the demand of a task.

use std::ops::{AddAssign, SubAssign};

/// Amounts of processor, memory and accelerators.
///
/// A slot is a share of the processor that each deployment chooses; a server and its tasks must use
/// the same share. A task that declares no memory counts as using none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResourceAmounts {
    /// Processor, in slots.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl ResourceAmounts {
    /// Amounts of `slots` without memory or accelerators.
    pub fn from_slots(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    /// Whether a server with `capacity`, of which `used` is occupied, has these amounts free; a
    /// demand of zero always fits.
    pub fn fits(&self, capacity: &Self, used: &Self) -> bool {
        let fits = |demand: u32, used: u32, capacity: u32| {
            u64::from(demand) + u64::from(used) <= u64::from(capacity) || demand == 0
        };
        fits(self.slots, used.slots, capacity.slots)
            && fits(self.memory_mb, used.memory_mb, capacity.memory_mb)
            && fits(self.accelerators, used.accelerators, capacity.accelerators)
    }
}

impl AddAssign for ResourceAmounts {
    fn add_assign(&mut self, other: Self) {
        self.slots = self.slots.saturating_add(other.slots);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for ResourceAmounts {
    fn sub_assign(&mut self, other: Self) {
        self.slots = self.slots.saturating_sub(other.slots);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}
