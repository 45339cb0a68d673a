//! Switches that turn safety rules off.
//!
//! They exist so that the failure tests can prove that they detect the violation that each
//! rule prevents.

/// Safety rules that a test switches off, to show that the failure tests detect it.
///
/// Production code never sets any of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InjectedBugs {
    /// A start whose reply was lost is sent again at once, so that the task may run twice.
    pub retries_after_send: bool,
    /// The planner grants tokens to one shard before the shard that holds too many has
    /// lowered its cap.
    pub credits_before_debit: bool,
    /// A configuration with a lower revision replaces a newer one.
    pub accepts_old_config: bool,
    /// A new owner starts work without listing what its workers run.
    pub skips_inventory: bool,
    /// A member goes on starting work after its lease has expired.
    pub ignores_deadline: bool,
}
