//! LOST: a job of which no task has failed is shown as failed, because two workers crashed.

use std::time::Duration;

use crate::Verdict;
use crate::ledger::What;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
/// One crash at a time is an eighth of the workers.
const WORKERS: usize = 8;
const RUN_MS: u64 = 6_000;
/// Time from the start of a run to the crash of its worker.
const CRASH_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a worker is down.
const DOWN: Duration = Duration::from_millis(1_500);
const JOB: &str = "4f1d0c92a7be5530";

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
    let step = Step {
        count: 1,
        cpu: 18_000,
        est_ms: RUN_MS,
        after: None,
        is_lasting: false,
        constraints: "",
    };
    let body = submission(&format!("ms={RUN_MS}"), &[step]);
    let answer = ask(site.front(0), "POST", "roster", JOB, 0, &body, 3_000);
    site.ledger.say(&format!("POST {JOB}: {answer:?}"));
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the submission was not accepted".into());
    }
    for crash in 1..=2 {
        if !has_trouble {
            break;
        }
        let Some(worker) = site.wait_for_run(JOB, Duration::from_secs(15)) else {
            return Verdict::NotRun("the task did not start".into());
        };
        site.ledger.say(&format!("the task runs on {}", worker.id));
        std::thread::sleep(CRASH_AFTER);
        worker.crash();
        site.ledger.say(&format!("{} crashes (crash {crash})", worker.id));
        std::thread::sleep(DOWN);
        worker.restart();
        site.ledger.say(&format!("{} is up again", worker.id));
    }
    let mut state = None;
    for round in 0..250 {
        std::thread::sleep(Duration::from_millis(100));
        state = ask(site.front(round), "GET", "roster", JOB, 0, "", 1_000);
        let is_final = |text: &str| text.contains("complete") || text.contains("failed");
        if state.as_ref().is_some_and(|(_, body)| is_final(body)) {
            break;
        }
    }
    site.ledger.say(&format!("GET {JOB}: {state:?}"));
    let entries = site.ledger.entries();
    let failed = entries.iter().filter(|entry| entry.what == What::Ended("failed")).count();
    site.ledger.say(&format!("runs that ended `failed`: {failed}"));
    match state {
        Some((200, body)) if body.contains("\"failed\"") && failed < 4 => Verdict::Broken(format!(
            "LOST: the submission is shown as failed, and {failed} runs of it have ended `failed`, of 4 \
             attempts"
        )),
        Some((200, body)) if body.contains("complete") => Verdict::Held,
        other => Verdict::NotRun(format!("the submission had no end in time: {other:?}")),
    }
}
