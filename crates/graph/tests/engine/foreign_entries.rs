//! Entries in the list of hosts that another writer has left and that can be read.

use sycamore_graph::HostEntry;
use sycamore_graph::job::State;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::fixture::{catalog, gang, host, id, job, limited, queue, size, step};
use crate::world::{START_UNIX_MS, World};

/// Two days in milliseconds.
const DAYS_MS: u64 = 2 * 24 * 3_600_000;

/// The largest number that a list may hold.
const LARGEST: u64 = (1 << 53) - 1;

fn largest() -> Resources {
    let most = u32::MAX;
    Resources { cpu_millis: most, memory_mib: most, accelerators: most, slots: 0, connections: 0 }
}

fn foreign(number: usize) -> HostEntry {
    HostEntry { id: Name::from(format!("foreign-{number}")), ..host(number) }
}

/// Failure: a start that lies in the future made an entry the successor of the worker at its
/// address. The worker's runs counted as lost and were started a second time while they ran.
#[test]
fn a_start_in_the_future_replaces_no_worker() {
    for incarnation in [START_UNIX_MS + DAYS_MS, LARGEST] {
        let mut world = World::new(2, catalog(queue()), 1);
        world.work_ms = 8_000;
        world.submit(id(1), job(vec![step(8, 1_000)]));
        world.run(500);
        assert_eq!(world.running(), 8);

        // The worker refuses polls that are meant for another one.
        world.foreign_entries.push(HostEntry { incarnation, ..foreign(0) });
        world.workers[0].former_names.push(Name::from("foreign-0"));
        world.list_hosts();
        world.run(10_000);

        assert!(world.losses.is_empty(), "{:?}", world.losses);
        assert_eq!(world.state(id(1)), Some(State::Complete));
    }
}

/// Guards against sums that overflow: an entry may state the largest capacity there is.
#[test]
fn the_largest_capacity_overflows_no_sum() {
    let mut world = World::new(4, limited(catalog(queue()), size(6_000, 0)), 1);
    for number in 4..20 {
        world.foreign_entries.push(HostEntry { capacity: largest(), ..foreign(number) });
    }
    world.list_hosts();
    world.submit(id(1), job(vec![step(40, 1_000)]));
    world.submit(id(2), job(vec![gang(5, 1_000)]));
    world.run(500);
    world.take_over();
    world.run(20_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.state(id(2)), Some(State::Complete));
}

/// Guards against sums that overflow: workers of the largest capacity that work, without and with
/// advice, through a takeover and while they can't be reached.
#[test]
fn workers_of_the_largest_capacity_are_used() {
    for queue in [queue(), crate::fixture::advised_queue()] {
        let mut world = World::new(4, limited(catalog(queue), size(40_000, 0)), 1);
        world.workers.iter_mut().for_each(|worker| worker.entry.capacity = largest());
        world.list_hosts();
        world.run(1_000);
        world.submit(id(1), job(vec![step(40, 1_000), gang(20, 1_000)]));
        world.submit(id(2), job(vec![step(2, u32::MAX)]));
        world.run(500);
        world.workers[0].is_unreachable = true;
        world.take_over();
        world.run(9_000);
        world.workers[0].is_unreachable = false;
        world.list_hosts();
        world.run(20_000);

        assert_eq!(world.state(id(1)), Some(State::Complete));
    }
}
