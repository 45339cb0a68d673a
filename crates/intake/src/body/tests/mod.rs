//! Tests of the memory budget and of the reception of bodies.

mod budget;
mod receive;

use std::sync::Arc;

use sycamore_telemetry::metrics::Metrics;

use super::{Budget, Meters};

/// Memory that the process may use in these tests, in bytes.
const MEMORY_BYTES: usize = 32 << 20;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Returns a budget of 8 MiB in a process that uses little else.
fn budget() -> Arc<Budget> {
    Arc::new(Budget::with_reader(MEMORY_BYTES, meters(), || Some(0)))
}

fn meters() -> Meters {
    let all = Metrics::new();
    Meters { held_bytes: all.gauge("held", "held"), refused: all.counter("refused", "refused") }
}
