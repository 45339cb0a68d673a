/// Safety rules that a test may leave out, to show that the checks notice.
///
/// Production code never sets any of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InjectedBugs {
    /// A start whose reply was lost is sent again at once.
    pub retries_after_send: bool,
    /// The planner gives tokens to a shard before the one that has too many has
    /// bound itself to less.
    pub credits_before_debit: bool,
    /// A configuration with a lower revision replaces a newer one.
    pub accepts_old_config: bool,
    /// A new owner starts work without listing what its workers run.
    pub skips_inventory: bool,
    /// A member goes on after its lease has run out.
    pub ignores_deadline: bool,
}
