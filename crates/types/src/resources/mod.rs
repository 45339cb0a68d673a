//! Resource vectors, used for the size of tasks and the capacity of hosts.
//!
//! All arithmetic saturates, so inconsistent input can't cause a panic.

mod dimension;

use serde::{Deserialize, Serialize};

pub use dimension::Dimension;

/// An amount of each kind of resource.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators, never divided.
    pub accelerators: u32,
    /// Task slots. Every task takes at least one.
    pub slots: u32,
    /// Connections to the worker process.
    pub connections: u32,
}

impl Resources {
    /// Returns the first dimension in which `self` is larger than `available`, or `None`
    /// if it fits.
    pub fn first_lacking(&self, available: &Resources) -> Option<Dimension> {
        Dimension::ALL.into_iter().find(|dimension| dimension.of(self) > dimension.of(available))
    }

    /// Returns whether `self` is no larger than `available` in every dimension.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
            && self.connections <= available.connections
    }

    /// Adds in each dimension, saturating at the largest value.
    pub fn plus(&self, other: &Resources) -> Resources {
        self.zip(other, u32::saturating_add)
    }

    /// Subtracts in each dimension, saturating at zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns the larger value in each dimension.
    pub fn max_per_dimension(&self, other: &Resources) -> Resources {
        self.zip(other, u32::max)
    }

    /// Returns the dominant share: the largest fraction of `total` that `self`
    /// takes in any dimension.
    ///
    /// Ignores connections, which limit the traffic of one host and are not
    /// divided among teams.
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
