//! Timeouts, intervals and limits of the process, in one place because many of them
//! depend on one another.

use std::time::Duration;

/// Interval of the pings to the owner. Two may be lost within [`OWNER_TIMEOUT`].
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one ping.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a reply from the owner after which a process tries to take over.
///
/// An unnecessary takeover is safe, because the epoch fences the previous owner. It costs
/// about 200 ms without task starts, which is weighed against the time lost when the owner
/// has really failed.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of the query whether a peer still hears from the owner.
pub(crate) const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// [`PING_TIMEOUT`] while the process receives a large document. At 2 Mbit/s, the data that
/// waits in the sockets of two transfers takes a second.
pub(crate) const BUSY_LINK_PING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// [`OWNER_TIMEOUT`] while the process receives a large document. Other processes, whose links
/// are free, take over sooner.
pub(crate) const BUSY_LINK_OWNER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// [`PEER_QUERY_TIMEOUT`] while the process receives a large document.
pub(crate) const BUSY_LINK_PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after the last part of a large document for which the link counts as busy.
pub(crate) const BUSY_LINK_TIME: Duration = Duration::from_millis(300);

/// Upper bound of the random delay before a claim, which spreads competing claims.
pub(crate) const CLAIM_JITTER: Duration = Duration::from_millis(120);

/// Timeout of an ordinary store call. The store is documented to reply within 4 ms, and
/// within 60 times that while it is slow.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for reading the owner record: twice the store's response time while it is slow.
pub(crate) const OWNER_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the first retry of a failed store call. Every call is billed, refused ones
/// too.
pub(crate) const STORE_RETRY: Duration = Duration::from_millis(150);

/// Longest delay between retries of a store call. It leaves time to catch up within 2 s
/// after the store is back.
pub(crate) const STORE_RETRY_MAX: Duration = Duration::from_millis(900);

/// Timeout of one log write before it is repeated, in addition to the time that the host's
/// link needs for the page: about twice the store's response time while it is slow.
pub(crate) const LOG_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest delay before a failed log write is repeated. It is short because every decision
/// waits for the log.
pub(crate) const LOG_RETRY_MAX: Duration = Duration::from_millis(300);

/// Duration of one long poll for a new configuration, which bounds how long a dead
/// connection stays unnoticed.
pub(crate) const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which the store's data may be late before a peer is asked for a configuration. The
/// store's slowest documented response takes 240 ms.
pub(crate) const CONFIG_STORE_GRACE: Duration = Duration::from_millis(400);

/// Delay after a failed transfer of a configuration, during which another peer may report.
pub(crate) const CONFIG_FETCH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest pause in the transfer of a configuration from a peer. The peer answers at once; what
/// takes time is a link that other traffic shares.
pub(crate) const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after a claim within which the log is taken as read by the owner. No process replaces
/// an owner sooner without having been told to.
pub(crate) const UNCONFIRMED_RECOVERY_TIME: Duration = Duration::from_millis(350);

/// Time since the owner was last certain of its ownership within which it denies that a job
/// exists. A job must be known everywhere 3 s after it was accepted, by a successor too.
pub(crate) const UNCONFIRMED_DENIAL_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which the owner confirms its ownership, unless writes of the log have done so.
///
/// A lease ends the longest lease after the last confirmation, so that the interval shortens the leases
/// of workers that fall silent.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which another process replies whether it knows a newer owner. It may read the owner
/// record first, within [`OWNER_RECORD_TIMEOUT`], and the connection to it may be new.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which the owner reads the list of workers.
pub(crate) const WORKER_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which records are collected into one write of the log.
pub(crate) const COMMIT_DELAY: Duration = Duration::from_millis(20);

/// Interval of the engine's timer ticks.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a start or stop request to a worker.
pub(crate) const START_STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time added to the wait of a long poll of a worker to form its timeout.
pub(crate) const POLL_MARGIN: Duration = Duration::from_millis(600);

/// Time added to the expected duration of an advice call to form its timeout.
pub(crate) const ADVICE_MARGIN: Duration = Duration::from_millis(700);

/// Part of the timeout of an advice call through a peer that is reserved for the way there and back,
/// so that the owner hears from the peer why the call failed.
pub(crate) const ADVICE_REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Timeout of one attempt to get the owner's answer to a caller's request.
pub(crate) const OWNER_REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before a caller's request is sent to the owner again.
pub(crate) const OWNER_REQUEST_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Part of a caller's deadline reserved for the response to travel back.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// Time for which log writes may fail before the owner refuses new jobs immediately.
pub(crate) const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(400);

/// Time after SIGTERM for which a process keeps serving. The load balancer needs two
/// readiness probes, one second apart, to see that it is not ready.
pub(crate) const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Time between the exit of a stopping process and the end of its grace period.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Time between the last response of a stopping process and its exit.
pub(crate) const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which the settings file is checked for changes that no signal announced.
pub(crate) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which the owner looks which hosts can make calls for advice.
pub(crate) const ADVICE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the store has to reply to a process before it takes over from an owner that
/// says that it can't reach the store. After an outage the owner notices the store's return up
/// to [`STORE_RETRY_MAX`] and a call's duration after others do.
pub(crate) const STORE_STEADY_TIME: Duration = Duration::from_millis(1_300);

/// Time for which a strong host follows an owner before it checks whether that host is weak.
/// A new owner has read its log by then and has polled its workers.
pub(crate) const OWNER_STRENGTH_CHECK_DELAY: Duration = Duration::from_millis(1_000);

/// CPU that the owner of 350 workers needs at its peak, in cores: twice the 0.08 cores used
/// while a day of load is replayed.
pub(crate) const OWNER_MIN_CORES: f64 = 0.16;

/// Bandwidth that the owner of 350 workers needs, in Mbit/s. The worker list twice a
/// second, log pages, start and stop requests and polls add up to about 10 Mbit/s.
pub(crate) const OWNER_MIN_LINK_MBPS: f64 = 50.0;

/// Delay before the claim of a host with less than [`OWNER_MIN_CORES`] or
/// [`OWNER_MIN_LINK_MBPS`]. It exceeds the 0.3 s within which all hosts start, so that a
/// stronger host claims first.
pub(crate) const WEAK_HOST_CLAIM_DELAY: Duration = Duration::from_millis(500);
