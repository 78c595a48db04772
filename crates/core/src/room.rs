//! Room at a backend server: what it has, and what a task takes of it.

use std::ops::{AddAssign, SubAssign};

/// Processor, memory and accelerators.
///
/// A slot is whatever share of the processor the deployment counts in; a server and its tasks only
/// have to count in the same unit. Where no memory is declared, none is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerRoom {
    /// Processor, in slots.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl ServerRoom {
    /// Room of `slots` alone.
    pub fn of_slots(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    /// Whether a server of room `whole`, of which `used` is taken, has this much left.
    pub fn fits(&self, whole: &Self, used: &Self) -> bool {
        let fits = |asked: u32, used: u32, whole: u32| {
            u64::from(asked) + u64::from(used) <= u64::from(whole) || asked == 0
        };
        fits(self.slots, used.slots, whole.slots)
            && fits(self.memory_mb, used.memory_mb, whole.memory_mb)
            && fits(self.accelerators, used.accelerators, whole.accelerators)
    }
}

impl AddAssign for ServerRoom {
    fn add_assign(&mut self, other: Self) {
        self.slots = self.slots.saturating_add(other.slots);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for ServerRoom {
    fn sub_assign(&mut self, other: Self) {
        self.slots = self.slots.saturating_sub(other.slots);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}
