//! A task that lasts loses two workers, one shortly after the other.

use std::time::{Duration, Instant};

use crate::Found;
use crate::json::{Json, num, table};
use crate::record::Record;
use crate::site::{ROSTER, Site};

const LASTING: &str = "00000000000000a4";
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const RUN_TIME: Duration = Duration::from_millis(1_500);

pub fn play(record: &Record, has_trouble: bool) -> Found {
    let site = Site::start(record, &[&ROSTER], 0)?;
    let lasting = table(vec![
        ("count", num(1)),
        ("cpu", num(2_000)),
        ("mem-mb", num(1_000)),
        ("est-ms", num(1_000)),
        ("long-running", Json::Bool(true)),
    ]);
    site.submit(&ROSTER, LASTING, "lasting", vec![lasting])?;
    site.wait_for_runs(LASTING, 1, Duration::from_secs(5))?;
    std::thread::sleep(Duration::from_secs(8));
    for _ in 0..2 {
        site.wait_for_runs(LASTING, 1, Duration::from_secs(12))?;
        std::thread::sleep(RUN_TIME);
        let (worker, ..) = site.runs_of(LASTING).into_iter().next().ok_or("no run")?;
        if has_trouble {
            site.workers[worker].crash();
            std::thread::sleep(DOWN_TIME);
            site.workers[worker].restart();
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    let end = Instant::now() + Duration::from_secs(15);
    let mut state = String::new();
    while Instant::now() < end && state != "failed" {
        std::thread::sleep(Duration::from_secs(1));
        state = site.state(&ROSTER, LASTING);
    }
    let runs = site.runs_of(LASTING).len();
    let seen = format!("the submission is {state} and has {runs} runs; no run has failed");
    record.line(&seen);
    Ok((state == "failed", seen))
}
