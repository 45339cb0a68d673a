//! What crashes of hosts say about the tasks that ran there.

/// Crashes of hosts under a task since a run of it last survived its isolation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Suspicion {
    /// Hosts that crashed while they had a run of the task.
    pub crashes: u32,
    /// Hosts with a run of the task that were out of reach until their lease had expired. They
    /// may have crashed.
    pub silent_losses: u32,
    /// Longest time from the start of a run to the crash of its host, in milliseconds.
    pub max_age_ms: u64,
    /// The next run has to be isolated.
    pub needs_isolation: bool,
    /// The host of an isolated run crashed, with no other suspect on it.
    pub is_prime: bool,
}

impl Suspicion {
    /// Returns the number of hosts that crashed or may have crashed.
    pub fn losses(&self) -> u32 {
        self.crashes + self.silent_losses
    }
}
