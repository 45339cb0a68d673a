//! LOST: the steps of a job that any worker could run wait for ever behind a task that none can run.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
const WORKERS: usize = 8;
const RUN_MS: u64 = 4_000;
/// Time from the start of the run to the crash of its worker.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time after the crash until which the state is watched: `finish_s` (14 s) and 3 s, with much to spare.
const WATCHED: Duration = Duration::from_secs(32);
const JOB: &str = "7a21d94b36f85c0e";

pub fn play(has_trouble: bool, record: &str) -> Verdict {
    let queues = [Queue { name: "roster", priority: 1, attempts: 4 }];
    let Some(site) = Site::start(NODES, WORKERS, &queues, 1) else {
        return Verdict::NotRun("the deployment did not start".into());
    };
    let verdict = run(&site, has_trouble);
    site.ledger.save(record);
    verdict
}

fn run(site: &Site, has_trouble: bool) -> Verdict {
    // One worker of kind b, the others of kind a.
    let worker = site.workers[3].clone();
    worker.set_kind("b");
    site.ledger.say(&format!("{} is the only worker of kind b", worker.id));
    std::thread::sleep(Duration::from_secs(2));
    let step = |after, constraints| Step {
        count: 1,
        cpu: 4_000,
        est_ms: RUN_MS,
        after,
        is_lasting: false,
        constraints,
        extra: "",
    };
    // Step 0 needs kind b. Steps 1, 2 and 3 run anywhere, one after the other.
    let steps = [step(None, "b"), step(None, ""), step(Some(1), ""), step(Some(2), "")];
    let body = submission(&format!("ms={RUN_MS}"), &steps);
    let answer = ask(site.front(0), "POST", "roster", JOB, 0, &body, 3_000);
    site.ledger.say(&format!("POST {JOB}: {answer:?}"));
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the submission was not accepted".into());
    }
    let first = format!("{JOB}.0.0.0");
    let Some(other) = site.wait_for_run(&first, Duration::from_secs(10)) else {
        return Verdict::NotRun("step 0 did not start".into());
    };
    site.ledger.say(&format!("step 0 runs on {}", other.id));
    if has_trouble {
        std::thread::sleep(CRASH_AFTER);
        worker.crash();
        site.ledger.say(&format!("{} crashes", worker.id));
        std::thread::sleep(DOWN);
        worker.set_kind("a");
        worker.restart();
        site.ledger.say(&format!("{} is up again, of kind a", worker.id));
    }
    // How long nothing of the job has been running while step 2 or 3 was due.
    let (crashed, mut idle_since, mut longest) = (Instant::now(), None::<Instant>, Duration::ZERO);
    let mut rounds = 0;
    while crashed.elapsed() < WATCHED {
        std::thread::sleep(Duration::from_millis(100));
        rounds += 1;
        let is_running = site
            .workers
            .iter()
            .any(|worker| worker.running().iter().any(|(task, _)| task.starts_with(JOB)));
        let is_due = site.ledger.has_ended(&format!("{JOB}.0.1.0"), "done")
            && !site.ledger.has_ended(&format!("{JOB}.0.3.0"), "done");
        if is_running || !is_due {
            idle_since = None;
        } else {
            longest = longest.max(idle_since.get_or_insert_with(Instant::now).elapsed());
        }
        if rounds % 50 == 0 {
            let state = ask(site.front(rounds), "GET", "roster", JOB, 0, "", 1_000);
            site.ledger.say(&format!("GET {JOB}: {state:?}; a run of it exists: {is_running}"));
            if state.is_some_and(|(_, body)| body.contains("complete")) {
                break;
            }
        }
    }
    site.ledger.say(&format!(
        "nothing of it ran for {:.1} s while a task's turn had come",
        longest.as_secs_f64()
    ));
    // The page's bound is 3 s, and it looks `finish_s` after the end of the traffic.
    if idle_since.is_some_and(|since| since.elapsed() >= Duration::from_secs(14 + 3)) {
        return Verdict::Broken(format!(
            "LOST: nothing of the submission has run for {:.1} s while the turn of step 2 or 3 had come, \
             and 8 workers of 64 cores are idle",
            longest.as_secs_f64()
        ));
    }
    Verdict::Held
}
