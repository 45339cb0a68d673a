//! Jobs, queues, teams and hosts for the tests.

use std::net::SocketAddr;
use std::sync::Arc;

use sycamore_graph::HostEntry;
use sycamore_graph::catalog::{AdviceCost, Catalog, Queue, Team};
use sycamore_graph::job::{Id, Spec, Step};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

pub const SERVICE: &str = "desk";
pub const QUEUE: &str = "checks";
pub const TEAM: &str = "clerks";

pub fn size(cpu_millis: u32, memory_mib: u32) -> Resources {
    Resources { cpu_millis, memory_mib, ..Resources::default() }
}

pub fn queue() -> Queue {
    Queue {
        service: Name::from(SERVICE),
        priority: 0,
        max_attempts: 3,
        slack_factor: 2.0,
        objective_ms: 1_000,
        advice: None,
    }
}

pub fn advised_queue() -> Queue {
    let advice = AdviceCost { base_ms: 10.0, per_host_ms: 1.0, valid_ms: 1_500 };
    Queue { advice: Some(advice), ..queue() }
}

/// Returns a catalog of one queue and one team without a limit.
pub fn catalog(queue: Queue) -> Catalog {
    let mut catalog = Catalog { version: 1, ..Catalog::default() };
    catalog.queues.insert(Name::from(QUEUE), queue);
    catalog.teams.insert(Name::from(TEAM), Team { weight: 1, limit: Resources::default() });
    catalog
}

pub fn limited(mut catalog: Catalog, limit: Resources) -> Catalog {
    catalog.teams.insert(Name::from(TEAM), Team { weight: 1, limit });
    catalog
}

pub fn step(tasks: u32, cpu_millis: u32) -> Step {
    Step { tasks, size: size(cpu_millis, 100), estimate_ms: 500, ..Step::default() }
}

pub fn gang(tasks: u32, cpu_millis: u32) -> Step {
    Step { is_gang: true, ..step(tasks, cpu_millis) }
}

pub fn job(steps: Vec<Step>) -> Spec {
    Spec { payload: Name::from("work"), steps, schedule: None }
}

pub fn id(number: u64) -> Id {
    Id(number)
}

pub fn host(number: usize) -> HostEntry {
    HostEntry {
        id: Name::from(format!("host-{number:02}")),
        incarnation: 1,
        address: Some(SocketAddr::from(([10, 0, 0, number as u8], 8080))),
        service: Name::from(SERVICE),
        capacity: size(4_000, 4_000),
        labels: Arc::from([Name::from("a"), Name::from(format!("rack-{}", number / 2))]),
        rack: Name::from(format!("rack-{}", number / 2)),
        failure_domain: Name::from(format!("domain-{}", number % 2)),
        is_draining: false,
    }
}
