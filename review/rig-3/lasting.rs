//! LOST: a task that lasts stays away for longer than the page allows after its worker is lost.

use std::time::Duration;

use crate::Verdict;
use crate::ledger::What;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
/// One lost worker is an eighth of them.
const WORKERS: usize = 8;
const JOB: &str = "94b36f85c0e7a21d";
/// The page's bounds, from the end of the run: 6 s, and 3 s in which nothing runs.
const BOUND_MS: u64 = 6_000 + 3_000;

pub fn play(has_trouble: bool, record: &str) -> Verdict {
    let queues = [Queue { name: "desk", priority: 0, attempts: 4 }];
    let Some(site) = Site::start_grown(NODES, WORKERS, &queues, 1) else {
        return Verdict::NotRun("the deployment did not start".into());
    };
    let verdict = run(&site, has_trouble);
    site.ledger.save(record);
    verdict
}

fn run(site: &Site, has_trouble: bool) -> Verdict {
    let step = Step {
        count: 1,
        cpu: 4_000,
        est_ms: 600_000,
        after: None,
        is_lasting: true,
        constraints: "",
        extra: "",
    };
    let answer =
        ask(site.front(0), "POST", "desk", JOB, 0, &submission("ms=600000", &[step]), 3_000);
    site.ledger.say(&format!("POST {JOB}, one task that lasts: {answer:?}"));
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the submission was not accepted".into());
    }
    let Some(worker) = site.wait_for_run(JOB, Duration::from_secs(10)) else {
        return Verdict::NotRun("the task did not start".into());
    };
    site.ledger.say(&format!("the task runs on {}", worker.id));
    // Longer than the 4 s that have to be calm before.
    std::thread::sleep(Duration::from_secs(8));
    if has_trouble {
        worker.lose_power();
        site.ledger.say(&format!("{} is lost for good", worker.id));
    }
    for _ in 0..4 {
        std::thread::sleep(Duration::from_secs(5));
        let runs = site.workers.iter().filter(|worker| !worker.running().is_empty()).count();
        let state = ask(site.front(0), "GET", "desk", JOB, 0, "", 1_000);
        site.ledger.say(&format!("runs: {runs}; GET {JOB}: {state:?}"));
    }
    let entries = site.ledger.entries();
    let ended = entries.iter().find(|entry| entry.what == What::Ended("crashed"));
    let Some(ended) = ended else { return Verdict::Held };
    let again =
        entries.iter().find(|entry| entry.what == What::Started && entry.at_ms >= ended.at_ms);
    let away_ms = again.map_or(site.ledger.now_ms(), |entry| entry.at_ms) - ended.at_ms;
    site.ledger.say(&format!("the task was away for {away_ms} ms"));
    if away_ms > BOUND_MS {
        return Verdict::Broken(format!(
            "LOST: a task that lasts ran nowhere for {away_ms} ms after its run, with 7 idle workers of 64 \
             cores; {BOUND_MS} ms are allowed, the last 7 s of which were calm"
        ));
    }
    Verdict::Held
}
