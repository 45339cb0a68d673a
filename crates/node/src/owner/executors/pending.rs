//! Orders of one executor that have no result yet.
//!
//! Each has a time at which its result is overdue, whatever became of the executor.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::owner::calls::Request;
use crate::peer::MAX_ORDERS_IN_FLIGHT;

/// Time added to the timeout of a call for its way through an executor: both batches, and two
/// receipts that are late but not yet a failure.
const EXECUTOR_MARGIN: Duration = Duration::from_millis(250);

/// What to do about an order that its executor did not carry out, as far as the owner knows.
#[derive(Debug, PartialEq)]
pub(crate) enum Resolution {
    /// The worker may have got it.
    Unknown(Request),
    /// Another call is harmless: the executor never got it, or it is a poll, which repeats the same
    /// acknowledgement and end of the lease.
    Call(Request),
}

/// Orders in flight, by number.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    orders: BTreeMap<u64, Entry>,
    last_id: u64,
}

#[derive(Debug)]
struct Entry {
    request: Request,
    due: Instant,
    is_sent: bool,
}

impl Pending {
    /// Adds an order and returns its number.
    ///
    /// # Errors
    ///
    /// Returns the request if the executor has as many orders as it may.
    pub fn insert(&mut self, request: Request, now: Instant) -> Result<u64, Request> {
        if self.orders.len() >= MAX_ORDERS_IN_FLIGHT {
            return Err(request);
        }
        self.last_id += 1;
        let due = now + request.timeout() + EXECUTOR_MARGIN;
        self.orders.insert(self.last_id, Entry { request, due, is_sent: false });
        Ok(self.last_id)
    }

    /// Records that an order may reach the executor from now on.
    pub fn mark_sent(&mut self, id: u64) {
        if let Some(entry) = self.orders.get_mut(&id) {
            entry.is_sent = true;
        }
    }

    /// Removes an order that has a result. `None` if it was overdue or is unknown.
    pub fn take(&mut self, id: u64) -> Option<Request> {
        self.orders.remove(&id).map(|entry| entry.request)
    }

    /// Removes the orders whose result is overdue.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Resolution> {
        let overdue: Vec<u64> =
            self.orders.iter().filter(|(_, e)| now >= e.due).map(|(id, _)| *id).collect();
        overdue.iter().filter_map(|id| self.orders.remove(id)).map(Entry::resolve).collect()
    }

    /// Removes all orders, when their executor has failed.
    pub fn take_all(&mut self) -> Vec<Resolution> {
        std::mem::take(&mut self.orders).into_values().map(Entry::resolve).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

impl Entry {
    fn resolve(self) -> Resolution {
        match self.request {
            request if !self.is_sent => Resolution::Call(request),
            // The report is wanted at once, since the time that the worker may wait has been spent.
            Request::Poll(poll) => {
                Resolution::Call(Request::Poll(sycamore_graph::Poll { wait_ms: 0, ..poll }))
            }
            request => Resolution::Unknown(request),
        }
    }
}
