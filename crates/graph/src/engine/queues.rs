//! Definitions of queues, which jobs need for as long as they are open.
//!
//! A configuration may remove a queue that has open jobs. So the log holds the newest definition
//! of each queue with jobs, and a successor, which knows the newest configuration only, decides as
//! the owner did.

use std::collections::BTreeMap;

use sycamore_types::Name;

use super::Engine;
use crate::catalog::{Catalog, Queue};
use crate::{QueueDefined, Record};

#[derive(Debug)]
struct Definition {
    /// First version of the configuration that is known to have it.
    version: u64,
    queue: Queue,
    /// The log holds it.
    is_logged: bool,
}

/// Newest definition of each queue of this and earlier configurations.
#[derive(Debug, Default)]
pub(super) struct Queues {
    current: BTreeMap<Name, Definition>,
    /// Definitions in the log that are newer than the catalog in force. They are not used yet,
    /// because the limits of teams that came with them are not known.
    ahead: BTreeMap<Name, QueueDefined>,
    /// Number of known jobs by queue, without queues that have none.
    jobs: BTreeMap<Name, usize>,
}

impl Queues {
    /// Continues from the definitions in the log.
    pub fn new<'a>(
        logged: BTreeMap<Name, QueueDefined>,
        catalog: &Catalog,
        queues_of_jobs: impl Iterator<Item = &'a Name>,
    ) -> Queues {
        let mut queues = Queues { ahead: logged, ..Queues::default() };
        queues_of_jobs.for_each(|name| queues.add_job(name));
        queues.update(catalog);
        queues
    }

    /// Returns the definition of a queue. `None` if no configuration up to the one in force is
    /// known to have it.
    pub fn get(&self, name: &Name) -> Option<&Queue> {
        self.current.get(name).map(|definition| &definition.queue)
    }

    /// Takes over the definitions of a newer catalog, and those in the log that are not newer.
    pub fn update(&mut self, catalog: &Catalog) {
        let is_ahead = |(_, logged): &(Name, QueueDefined)| logged.version > catalog.version;
        let (ahead, due): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.ahead).into_iter().partition(is_ahead);
        self.ahead = ahead;
        for (name, QueueDefined { version, queue, .. }) in due {
            let definition = Definition { version, queue, is_logged: true };
            self.current.insert(name, definition);
        }
        for (name, queue) in &catalog.queues {
            if self.get(name) != Some(queue) {
                let (version, queue) = (catalog.version, queue.clone());
                let definition = Definition { version, queue, is_logged: false };
                self.current.insert(name.clone(), definition);
            }
        }
    }

    pub fn add_job(&mut self, name: &Name) {
        *self.jobs.entry(name.clone()).or_default() += 1;
    }

    pub fn remove_job(&mut self, name: &Name) {
        if let Some(count) = self.jobs.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                self.jobs.remove(name);
            }
        }
    }

    /// Returns the record of a queue's definition if the log needs it and lacks it.
    fn missing_record(&mut self, name: &Name) -> Option<Record> {
        if self.ahead.contains_key(name) || !self.jobs.contains_key(name) {
            return None;
        }
        let definition = self.current.get_mut(name).filter(|definition| !definition.is_logged)?;
        definition.is_logged = true;
        Some(definition.record(name))
    }

    /// Returns the record that replaces all earlier ones of a queue. `None` if the log needs none,
    /// which is remembered for the next job of the queue.
    fn snapshot(&mut self, name: &Name) -> Option<Record> {
        if let Some(logged) = self.ahead.get(name) {
            return Some(Record::QueueDefined(logged.clone()));
        }
        let definition = self.current.get_mut(name)?;
        definition.is_logged = self.jobs.contains_key(name);
        definition.is_logged.then(|| definition.record(name))
    }
}

impl Definition {
    fn record(&self, name: &Name) -> Record {
        let (name, version, queue) = (name.clone(), self.version, self.queue.clone());
        Record::QueueDefined(QueueDefined { name, version, queue })
    }
}

impl Engine {
    /// Records the definition of a queue that has jobs, unless the log holds it.
    pub(super) fn log_queue(&mut self, name: &Name) {
        if let Some(record) = self.queues.missing_record(name) {
            self.append(record);
        }
    }

    /// The same for all queues.
    pub(super) fn log_queues(&mut self) {
        let names: Vec<Name> = self.queues.jobs.keys().cloned().collect();
        names.iter().for_each(|name| self.log_queue(name));
    }

    /// Returns the record that replaces all earlier ones of a queue, for the caller to store, or
    /// `None` if the log needs nothing about it.
    pub fn queue_snapshot(&mut self, name: &Name) -> Option<Record> {
        self.queues.snapshot(name)
    }
}
