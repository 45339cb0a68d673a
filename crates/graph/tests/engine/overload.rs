//! Who is served when there is more work than room.

use sycamore_graph::job::State;

use crate::fixture::{catalog, id, job, queue, step};
use crate::world::World;

/// Pattern: a backlog of late jobs. Serving the latest first would make all others late.
#[test]
fn jobs_in_time_go_before_late_ones() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 500;
    for number in 0..64 {
        world.submit(id(number), job(vec![step(1, 1_000)]));
    }
    // Objective: 2 x 500 + 1000 ms. Eight run at a time, so half a minute's worth waits.
    world.run(2_500);

    world.submit(id(1_000), job(vec![step(1, 1_000)]));
    world.run(1_200);

    assert_eq!(world.state(id(1_000)), Some(State::Complete));
    world.run(6_000);
    let complete = (0..64).filter(|number| world.state(id(*number)) == Some(State::Complete));
    assert_eq!(complete.count(), 64);
}
