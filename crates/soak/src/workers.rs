//! The workers of a round, each behind a proxy.
//!
//! A worker that crashed comes back as another incarnation behind the same proxy, so its
//! address stays the same and only its id may change.

use sycamore_standin::fenced::{Capacity, Store, Worker};
use sycamore_standin::link::Proxy;

use crate::history::History;
use crate::scenario::{WORKER_CPU_MILLIS, WORKER_MEMORY_MIB};

/// Service that the workers belong to.
pub(crate) const SERVICE: &str = "desk";

/// A host that runs one worker, in several incarnations one after the other.
#[derive(Debug)]
pub(crate) struct WorkerHost {
    number: usize,
    incarnation: u32,
    id: String,
    worker: Worker<History>,
    pub link: Proxy,
    /// The fault that took the worker down starts the next incarnation, too.
    is_down_by_fault: bool,
    /// A fault keeps the worker from writing its entry.
    is_cut_off: bool,
    history: History,
}

impl WorkerHost {
    /// Starts the first incarnation and lists it in the store.
    pub async fn start(
        number: usize,
        store: &Store,
        history: History,
    ) -> std::io::Result<WorkerHost> {
        let id = format!("worker-{number}");
        let worker = start_worker(&id, &history).await?;
        let link = Proxy::start(worker.address()).await?;
        let host = WorkerHost {
            number,
            incarnation: 0,
            id,
            worker,
            link,
            is_down_by_fault: false,
            is_cut_off: false,
            history,
        };
        host.write_entry(store);
        Ok(host)
    }

    fn write_entry(&self, store: &Store) {
        if !self.is_cut_off {
            store.add_worker(&self.id, &self.worker.entry(SERVICE, self.link.address));
        }
    }

    /// Sets whether the worker is cut off from the store. Its link is left as it is.
    pub fn set_cut_off(&mut self, is_cut_off: bool, store: &Store) {
        self.is_cut_off = is_cut_off;
        if is_cut_off {
            store.stop_heartbeat(&self.id);
        } else if !self.worker.has_crashed() {
            self.write_entry(store);
        }
    }

    /// Simulates a loss of power. The worker's entry stays in the store, as on the platform.
    pub fn crash(&mut self) {
        self.is_down_by_fault = true;
        self.worker.crash();
    }

    /// Returns whether a task has crashed the worker.
    pub fn is_crashed_by_task(&self) -> bool {
        self.worker.has_crashed() && !self.is_down_by_fault
    }

    /// Starts another incarnation, every second time under a new id.
    pub async fn restart(&mut self, store: &Store) -> std::io::Result<()> {
        self.is_down_by_fault = false;
        self.incarnation += 1;
        if self.incarnation.is_multiple_of(2) {
            store.remove_worker(&self.id);
            self.id = format!("worker-{}-{}", self.number, self.incarnation);
        }
        self.worker = start_worker(&self.id, &self.history).await?;
        self.link.retarget(self.worker.address());
        self.write_entry(store);
        Ok(())
    }
}

async fn start_worker(id: &str, history: &History) -> std::io::Result<Worker<History>> {
    let capacity = Capacity { cpu_millis: WORKER_CPU_MILLIS, memory_mib: WORKER_MEMORY_MIB };
    Worker::start(id, capacity, history.clone()).await
}
