//! The workers of a round, each behind a link.

use sycamore_standin::fenced::{Capacity, Store, Worker};

use crate::journal::Journal;
use crate::proxy::Proxy;
use crate::scenario::{WORKER_CPU, WORKER_MEMORY};

/// Service that the workers belong to.
pub(crate) const SERVICE: &str = "desk";

/// One place for a worker, through several lives.
#[derive(Debug)]
pub(crate) struct Seat {
    number: usize,
    life: u32,
    id: String,
    worker: Worker<Journal>,
    pub link: Proxy,
    journal: Journal,
}

impl Seat {
    pub async fn fill(number: usize, store: &Store, journal: Journal) -> std::io::Result<Seat> {
        let id = format!("worker-{number}");
        let worker = start(&id, &journal).await?;
        let link = Proxy::start(worker.address()).await?;
        store.list(&id, &worker.entry(SERVICE, link.address));
        Ok(Seat { number, life: 0, id, worker, link, journal })
    }

    /// The worker loses power. Its entry stays, as on the platform.
    pub fn crash(&self) {
        self.worker.crash();
    }

    /// Another life begins, under the same id every second time.
    pub async fn revive(&mut self, store: &Store) -> std::io::Result<()> {
        self.life += 1;
        if self.life.is_multiple_of(2) {
            store.unlist(&self.id);
            self.id = format!("worker-{}-{}", self.number, self.life);
        }
        self.worker = start(&self.id, &self.journal).await?;
        self.link.retarget(self.worker.address());
        store.list(&self.id, &self.worker.entry(SERVICE, self.link.address));
        Ok(())
    }
}

async fn start(id: &str, journal: &Journal) -> std::io::Result<Worker<Journal>> {
    let capacity = Capacity { cpu_millis: WORKER_CPU, memory_mib: WORKER_MEMORY };
    Worker::start(id, capacity, journal.clone()).await
}
