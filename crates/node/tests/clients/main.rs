//! Runs one real process on loopback against clients that don't behave.
//!
//! The settings grant the process little, so that a small crowd reaches the limits. The tests check
//! memory, descriptors and answers, none of which depends on the machine's speed. They run one at a
//! time, in a test program of their own, so that no other load adds to what they measure.

mod bodies;
mod connections;
mod crowd;
mod parsing;
#[allow(dead_code, reason = "shared with the tests in `path`, which use more of it")]
#[path = "../path/platform.rs"]
mod platform;
#[allow(dead_code, reason = "shared with the tests in `path`, which use more of it")]
#[path = "../path/process.rs"]
mod process;
mod submissions;
mod usage;

use platform::Platform;
use process::{Host, Process, call, until};
use sycamore_standin::fenced::{self, Step};
use tokio::sync::{Mutex, MutexGuard};

const KEY: &str = "key-of-clerks";

/// Key of another team. It may use half a core of the eight.
const GUEST_KEY: &str = "key-of-guests";

/// Time limit of requests, in milliseconds. Long enough for a slow machine to read what a crowd sends.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// A process with limits, beside a simulated platform of its own. Other tests wait until it is
/// dropped.
struct Site {
    platform: Platform,
    process: Process,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts a process that may use this much memory, in MiB, and this many descriptors.
    async fn start(memory_mb: u32, max_fds: u32) -> Site {
        let turn = TURN.lock().await;
        let platform = Platform::start().await;
        platform.set_request_timeout(2, REQUEST_TIMEOUT_MS);
        let process = Process::start_on(&host(&platform, "one", memory_mb, max_fds)).await;
        let site = Site { platform, process, _turn: turn };
        site.serves("00000000000000a1").await;
        site
    }

    /// Kills the process, in whose place the requests go to another one from now on.
    async fn replace_process(self, successor: Process) -> Site {
        self.process.kill().await;
        Site { process: successor, ..self }
    }

    /// Waits until an ordinary submission with a key is accepted.
    async fn accepts(&self, id: &str, key: &str) {
        let url = self.process.url(id);
        let is_accepted = || async {
            let response = call("POST", &url, key, &ordinary_job()).await;
            response.is_some_and(|(status, _)| status == 200)
        };
        until("an ordinary submission is accepted", is_accepted).await;
    }

    /// Waits until an ordinary submission is accepted and complete.
    async fn serves(&self, id: &str) {
        self.accepts(id, KEY).await;
        let url = self.process.url(id);
        let is_complete = || async {
            let response = call("GET", &url, KEY, "").await;
            response.is_some_and(|(_, body)| body.contains("complete"))
        };
        until("it is complete", is_complete).await;
    }
}

/// A host that grants its process limits.
fn host<'a>(platform: &Platform, name: &'a str, memory_mb: u32, max_fds: u32) -> Host<'a> {
    Host {
        memory_mb: Some(memory_mb),
        max_fds: Some(max_fds),
        ..Host::strong(name, platform.address)
    }
}

fn ordinary_job() -> String {
    let step = Step { tasks: 1, cpu_millis: 100, memory_mib: 10, estimate_ms: 100, after: vec![] };
    fenced::job("work", &[step]).to_string()
}
