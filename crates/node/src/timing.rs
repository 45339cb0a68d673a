//! Time limits of the process.

use std::time::Duration;

/// Time between two pings of the owner. Two misses fit into [`OWNER_TIMEOUT`].
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the answer to a ping.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Silence of the owner after which a process tries to take over.
///
/// A takeover by mistake is safe, so that this only weighs its cost, about 200 ms
/// without starts, against the time lost when the owner is gone.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest random pause before a claim, which spreads the contenders.
pub(crate) const CLAIM_JITTER: Duration = Duration::from_millis(120);

/// Longest wait for an ordinary call of the store. Its documented answer takes 4 ms;
/// when it is slow, 60 times that.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait for the owner's record. Twice the store's answer when it is slow.
pub(crate) const OWNER_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// First and longest pause after a failed call of the store. All calls are paid for,
/// refused ones too; the longest pause leaves time to catch up within 2 s.
pub(crate) const STORE_RETRY: Duration = Duration::from_millis(150);
pub(crate) const STORE_RETRY_MAX: Duration = Duration::from_millis(900);

/// Longest wait for a write of the log before it is repeated. Twice the store's answer
/// when it is slow, less what a large page adds.
pub(crate) const LOG_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest pause after a failed write of the log, which everything waits for.
pub(crate) const LOG_RETRY_MAX: Duration = Duration::from_millis(300);

/// Wait of one watch of the configuration. Bounds how long a connection that has gone
/// silent stays unnoticed.
pub(crate) const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time between two reads of the workers' list.
pub(crate) const WORKER_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which records gather before they are written together.
pub(crate) const COMMIT_DELAY: Duration = Duration::from_millis(20);

/// Time between two ticks of the engine.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the answer to a start or stop order.
pub(crate) const START_STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Allowance on top of a look's own wait.
pub(crate) const POLL_MARGIN: Duration = Duration::from_millis(600);

/// Allowance on top of the expected time of a call for advice.
pub(crate) const ADVICE_MARGIN: Duration = Duration::from_millis(700);

/// Longest wait for the owner's answer in one attempt.
pub(crate) const OWNER_REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before a request is offered to the owner again.
pub(crate) const OWNER_REQUEST_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Part of a caller's deadline that is kept for the way back.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// Time for which the store may fail before new jobs are refused at once.
pub(crate) const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(400);

/// Time after SIGTERM for which a process goes on as before. The balancer needs two
/// probes, a second apart, to see that it is not ready.
pub(crate) const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Part of the grace period that is left when a process exits by itself.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Time before its exit by which a process has answered all requests.
pub(crate) const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Time between looks at the settings file for changes without a signal.
pub(crate) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two looks at which processes can make calls for advice.
pub(crate) const ADVICE_CONCURRENCY_INTERVAL: Duration = Duration::from_millis(250);

/// Processor that an owner of 350 workers needs at its peak, in cores: twice the 0.08 that
/// a played day took.
pub(crate) const OWNER_MIN_CORES: f64 = 0.16;

/// Link that such an owner needs, in Mbit/s: the list of 350 workers twice a second, log
/// pages, orders and looks come to some 10 Mbit/s.
pub(crate) const OWNER_MIN_LINK_MBPS: f64 = 50.0;

/// Pause before the claim of a host that has less. All hosts start within 0.3 s.
pub(crate) const WEAK_HOST_CLAIM_DELAY: Duration = Duration::from_millis(500);
