//! The workers of a task that lasts are taken away one after the other; then the owner is killed.

use std::time::{Duration, Instant};

use crate::Found;
use crate::json::{Json, num, table};
use crate::record::Record;
use crate::site::{ROSTER, Site};

const LASTING: &str = "00000000000000a4";
const DEPARTURES: usize = 4;
/// Time for which the task runs again, undisturbed, before the next worker leaves.
const SOUND_TIME: Duration = Duration::from_secs(5);

pub fn play(record: &Record, has_trouble: bool) -> Found {
    let mut site = Site::start(record, &[&ROSTER], 0)?;
    let lasting = table(vec![
        ("count", num(1)),
        ("cpu", num(2_000)),
        ("mem-mb", num(1_000)),
        ("est-ms", num(1_000)),
        ("long-running", Json::Bool(true)),
    ]);
    site.submit(&ROSTER, LASTING, "lasting", vec![lasting])?;
    for _ in 0..DEPARTURES {
        site.wait_for_runs(LASTING, 1, Duration::from_secs(12))?;
        std::thread::sleep(SOUND_TIME);
        let (worker, ..) = site.runs_of(LASTING).into_iter().next().ok_or("no run")?;
        site.workers[worker].leave();
    }
    site.wait_for_runs(LASTING, 1, Duration::from_secs(12))?;
    std::thread::sleep(SOUND_TIME);
    let before = site.state(&ROSTER, LASTING);
    record.line(&format!("the submission is {before}"));
    if has_trouble {
        let leader = site.leader()?;
        site.kill(leader);
        site.restart(leader)?;
    }
    let end = Instant::now() + Duration::from_secs(12);
    let mut state = String::new();
    while Instant::now() < end && state != "failed" {
        std::thread::sleep(Duration::from_secs(1));
        state = site.state(&ROSTER, LASTING);
    }
    let runs = site.runs_of(LASTING).len();
    let seen = format!("the submission was {before}, is {state} and has {runs} runs; no run failed");
    Ok((state == "failed", seen))
}
