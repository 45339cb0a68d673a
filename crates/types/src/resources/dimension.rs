//! The kinds of resources that placement accounts for.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Resources;

/// One kind of resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// CPU, in thousandths of a core.
    CpuMillis,
    /// Memory, in MiB.
    MemoryMib,
    /// Accelerators, never divided.
    Accelerators,
    /// Task slots. Every task takes at least one.
    Slots,
    /// Connections to the worker process.
    Connections,
}

impl Dimension {
    /// All dimensions, in the order in which [`Resources::first_lacking`] compares them.
    pub const ALL: [Dimension; 5] = [
        Dimension::CpuMillis,
        Dimension::MemoryMib,
        Dimension::Accelerators,
        Dimension::Slots,
        Dimension::Connections,
    ];

    /// The dimensions that count towards the share of a team.
    pub const SHARED: [Dimension; 4] =
        [Dimension::CpuMillis, Dimension::MemoryMib, Dimension::Accelerators, Dimension::Slots];

    /// Returns the amount of this kind in `resources`.
    pub fn of(self, resources: &Resources) -> u32 {
        match self {
            Dimension::CpuMillis => resources.cpu_millis,
            Dimension::MemoryMib => resources.memory_mib,
            Dimension::Accelerators => resources.accelerators,
            Dimension::Slots => resources.slots,
            Dimension::Connections => resources.connections,
        }
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dimension::CpuMillis => "cpu_millis",
            Dimension::MemoryMib => "memory_mib",
            Dimension::Accelerators => "accelerators",
            Dimension::Slots => "slots",
            Dimension::Connections => "connections",
        })
    }
}
