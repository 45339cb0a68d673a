//! The memory that the bodies of requests share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use displaydoc::Display;
use sycamore_telemetry::metrics::prometheus::{IntCounter, IntGauge};
use tokio::sync::Notify;

use crate::memory::resident_bytes;

/// Largest part of the process's memory that bodies take, as a divisor.
const MAX_SHARE_DIVISOR: usize = 4;

/// Part of the process's memory that bodies may take however much the rest of the process uses,
/// as a divisor. It keeps an owner with a large backlog open for ordinary requests.
const MIN_SHARE_DIVISOR: usize = 32;

/// Part of the process's memory that is kept free of bodies beyond the smallest share, as a
/// divisor: for data in sockets, and for what the process allocates between two readings.
const MARGIN_DIVISOR: usize = 8;

/// Time for which a reading of the process's memory is used.
const READING_LIFETIME: Duration = Duration::from_millis(100);

/// Size of a buffer when its first part arrives, in bytes. Most submissions fit into it.
const FIRST_CAPACITY: usize = 2_048;

/// Metrics of a budget.
#[derive(Clone, Debug)]
pub struct Meters {
    /// Memory that the bodies hold, in bytes.
    pub held_bytes: IntGauge,
    /// Requests that were refused as there was no memory for their body.
    pub refused: IntCounter,
}

/// Bounds the memory of all bodies together.
#[derive(Debug)]
pub struct Budget {
    /// Memory that the process may use, in bytes.
    memory_bytes: usize,
    /// Returns the memory that the process uses, in bytes.
    read_resident: fn() -> Option<usize>,
    meters: Meters,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Bodies of requests that are not answered yet, the oldest first.
    entries: BTreeMap<u64, Entry>,
    next_id: u64,
    /// Memory that all entries hold, in bytes.
    held: usize,
    reading: Option<Reading>,
}

/// The memory of the process at a time.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    resident: usize,
    /// Memory that the bodies held at that time, in bytes.
    held: usize,
}

#[derive(Debug)]
struct Entry {
    buffer: Vec<u8>,
    /// Memory that the body or the request parsed from it holds, in bytes.
    held: usize,
    phase: Phase,
    refused: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Parts are missing, so that the request may still be refused.
    Incomplete,
    Complete,
    /// The body had to give way, or didn't fit.
    Refused,
}

/// there is no memory for the body
#[derive(Debug, Display, Eq, PartialEq)]
pub struct Full;

impl std::error::Error for Full {}

/// A body that is being received. Dropping it gives its memory back.
#[derive(Debug)]
pub(crate) struct Buffer {
    reservation: Reservation,
    /// Largest size that the body can have, in bytes.
    max_bytes: usize,
    refused: Arc<Notify>,
}

/// The part of the budget that one request holds, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    id: u64,
}

impl Budget {
    /// Creates the budget of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize, meters: Meters) -> Budget {
        Budget::with_reader(memory_bytes, meters, resident_bytes)
    }

    /// Creates a budget that learns the memory of the process from a function.
    pub(super) fn with_reader(
        memory_bytes: usize,
        meters: Meters,
        read_resident: fn() -> Option<usize>,
    ) -> Budget {
        Budget { memory_bytes, read_resident, meters, state: Mutex::default() }
    }

    /// Returns the largest memory that all bodies together may hold, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.memory_bytes / MAX_SHARE_DIVISOR
    }

    /// Returns the memory that all bodies together hold, in bytes.
    #[cfg(test)]
    pub fn held_bytes(&self) -> usize {
        let state = self.lock();
        assert_eq!(state.held, state.entries.values().map(|entry| entry.held).sum::<usize>());
        state.held
    }

    /// Returns whether the process uses so much memory that it should take on no more.
    pub fn is_process_short(&self) -> bool {
        let mut state = self.lock();
        self.is_short(&mut state, 0)
    }

    /// Begins to receive a body of at most `max_bytes`. Its memory is reserved as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if a body of `expected_bytes` certainly doesn't fit beside the requests that
    /// are complete.
    pub(crate) fn begin(
        self: &Arc<Budget>,
        expected_bytes: usize,
        max_bytes: usize,
    ) -> Result<Buffer, Full> {
        let mut state = self.lock();
        if !self.fits(&mut state, expected_bytes) {
            let complete = state.entries.values().filter(|entry| entry.phase == Phase::Complete);
            let complete: usize = complete.map(|entry| entry.held).sum();
            if complete + expected_bytes > self.max_bytes() {
                return Err(self.count_refusal());
            }
        }
        let (id, refused) = (state.next_id, Arc::new(Notify::new()));
        state.next_id += 1;
        let entry = Entry {
            buffer: Vec::new(),
            held: 0,
            phase: Phase::Incomplete,
            refused: refused.clone(),
        };
        state.entries.insert(id, entry);
        Ok(Buffer { reservation: Reservation { budget: self.clone(), id }, max_bytes, refused })
    }

    /// Reserves more memory for an entry. Refuses larger bodies that are not complete for it, and
    /// of equally large ones the oldest.
    fn reserve(&self, state: &mut State, id: u64, more: usize) -> Result<(), Full> {
        while !self.fits(state, more) {
            let own = state.entries.get(&id).map_or(0, |entry| entry.held) + more;
            let incomplete = |(_, entry): &(&u64, &Entry)| entry.phase == Phase::Incomplete;
            let others = state.entries.iter().filter(incomplete).filter(|(other, _)| **other != id);
            // The last of the largest in this order is the oldest.
            let largest = others.rev().max_by_key(|(_, entry)| entry.held);
            match largest.map(|(other, entry)| (*other, entry.held)) {
                Some((other, held)) if held > 0 && held >= own => self.refuse(state, other),
                _ => {
                    self.refuse(state, id);
                    return Err(Full);
                }
            }
        }
        state.held += more;
        if let Some(entry) = state.entries.get_mut(&id) {
            entry.held += more;
        }
        self.meters.held_bytes.set(state.held as i64);
        Ok(())
    }

    /// Frees the memory of an entry, whose request is refused.
    fn refuse(&self, state: &mut State, id: u64) {
        let Some(entry) = state.entries.get_mut(&id) else { return };
        let bytes = entry.held;
        entry.phase = Phase::Refused;
        entry.buffer = Vec::new();
        entry.refused.notify_one();
        self.release(state, id, bytes);
        log::info!(target: "request", bytes, held = state.held; "no memory for a body");
        self.count_refusal();
    }

    /// Gives memory of an entry back.
    fn release(&self, state: &mut State, id: u64, bytes: usize) {
        if let Some(entry) = state.entries.get_mut(&id) {
            entry.held -= bytes;
            state.held -= bytes;
            self.meters.held_bytes.set(state.held as i64);
        }
    }

    fn count_refusal(&self) -> Full {
        self.meters.refused.inc();
        Full
    }

    /// Returns whether the bodies may hold this much more.
    fn fits(&self, state: &mut State, more: usize) -> bool {
        let total = state.held + more;
        if total <= self.memory_bytes / MIN_SHARE_DIVISOR {
            return true;
        }
        if total > self.max_bytes() {
            return false;
        }
        !self.is_short(state, more)
    }

    /// Returns whether the process would be short of memory if the bodies held this much more.
    fn is_short(&self, state: &mut State, more: usize) -> bool {
        let Some(reading) = self.reading(state) else { return false };
        let resident = (reading.resident + state.held + more).saturating_sub(reading.held);
        resident > self.memory_bytes - self.memory_bytes / MARGIN_DIVISOR
    }

    fn reading(&self, state: &mut State) -> Option<Reading> {
        let now = Instant::now();
        let is_fresh = |reading: &Reading| now - reading.at < READING_LIFETIME;
        if !state.reading.as_ref().is_some_and(is_fresh) {
            let held = state.held;
            state.reading =
                (self.read_resident)().map(|resident| Reading { at: now, resident, held });
        }
        state.reading
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Buffer {
    /// Adds a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused, now or earlier.
    pub fn append(&self, part: &[u8]) -> Result<(), Full> {
        let Reservation { budget, id } = &self.reservation;
        let mut state = budget.lock();
        let entry = state.entries.get(id).ok_or(Full)?;
        if entry.phase == Phase::Refused {
            return Err(Full);
        }
        let needed = entry.buffer.len() + part.len();
        let is_too_small = needed > entry.held;
        if is_too_small {
            let wanted = (2 * entry.held).max(FIRST_CAPACITY).min(self.max_bytes).max(needed);
            let more = wanted - entry.held;
            budget.reserve(&mut state, *id, more)?;
        }
        let entry = state.entries.get_mut(id).ok_or(Full)?;
        if is_too_small {
            entry.buffer.reserve_exact(entry.held - entry.buffer.len());
        }
        entry.buffer.extend_from_slice(part);
        Ok(())
    }

    /// Waits until the request is refused.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }

    /// Returns the complete body, whose memory stays reserved. From here on the request is not
    /// refused for others.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused before.
    pub fn complete(self) -> Result<(Vec<u8>, Reservation), Full> {
        let Reservation { budget, id } = &self.reservation;
        let mut state = budget.lock();
        let entry = state.entries.get_mut(id).ok_or(Full)?;
        if entry.phase == Phase::Refused {
            return Err(Full);
        }
        entry.phase = Phase::Complete;
        let buffer = std::mem::take(&mut entry.buffer);
        drop(state);
        Ok((buffer, self.reservation))
    }
}

impl Reservation {
    /// Changes the reservation to the memory of the request that was parsed from the body.
    ///
    /// # Errors
    ///
    /// Returns an error if that doesn't fit, and reserves nothing any more.
    pub fn resize(&self, bytes: usize) -> Result<(), Full> {
        let mut state = self.budget.lock();
        let held = state.entries.get(&self.id).map_or(0, |entry| entry.held);
        if bytes > held {
            return self.budget.reserve(&mut state, self.id, bytes - held);
        }
        self.budget.release(&mut state, self.id, held - bytes);
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let held = state.entries.get(&self.id).map_or(0, |entry| entry.held);
        self.budget.release(&mut state, self.id, held);
        state.entries.remove(&self.id);
    }
}
