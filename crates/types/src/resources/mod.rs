//! Sizes of work and capacities of hosts.

mod dimension;

use serde::{Deserialize, Serialize};

pub use dimension::Dimension;

/// An amount of each resource that a worker offers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Task slots.
    pub slots: u32,
    /// Connections to the worker.
    pub connections: u32,
}

impl Resources {
    /// Returns the first dimension in which `self` is larger than `available`.
    pub fn first_lacking(&self, available: &Resources) -> Option<Dimension> {
        Dimension::ALL.into_iter().find(|dimension| dimension.of(self) > dimension.of(available))
    }

    /// Tells whether `self` is no larger than `available` in every dimension.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
            && self.connections <= available.connections
    }

    /// Adds, stopping at the largest value.
    pub fn plus(&self, other: &Resources) -> Resources {
        self.zip(other, u32::saturating_add)
    }

    /// Subtracts, stopping at zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        self.zip(other, u32::saturating_sub)
    }

    /// Takes the larger value in each dimension.
    pub fn max_per_dimension(&self, other: &Resources) -> Resources {
        self.zip(other, u32::max)
    }

    /// Returns the largest fraction that `self` takes of `total` in any dimension.
    ///
    /// Connections are left out: they bound the traffic of one host and are
    /// nothing that teams share.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        Dimension::SHARED.into_iter().map(|d| fraction(d.of(self), d.of(total))).fold(0.0, f64::max)
    }

    fn zip(&self, other: &Resources, f: impl Fn(u32, u32) -> u32) -> Resources {
        Resources {
            cpu_millis: f(self.cpu_millis, other.cpu_millis),
            memory_mib: f(self.memory_mib, other.memory_mib),
            accelerators: f(self.accelerators, other.accelerators),
            slots: f(self.slots, other.slots),
            connections: f(self.connections, other.connections),
        }
    }
}

fn fraction(part: u32, whole: u32) -> f64 {
    if whole == 0 { 0.0 } else { f64::from(part) / f64::from(whole) }
}
