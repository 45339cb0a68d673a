//! LOST: a task that lasts and fills is not started again after its worker is lost, beside idle room.

use std::time::Duration;

use crate::Verdict;
use crate::ledger::What;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
/// One lost worker is an eighth of them.
const WORKERS: usize = 8;
const SERVING: &str = "0e7a21d94b36f85c";
const FILLING: &str = "21d94b36f85c0e7a";
/// The page's bounds, from the end of the run: 6 s, and 3 s in which nothing runs.
const BOUND_MS: u64 = 6_000 + 3_000;

pub fn play(has_trouble: bool, record: &str) -> Verdict {
    let queues = [
        Queue { name: "serve", priority: 0, attempts: 4 },
        Queue { name: "fill", priority: 2, attempts: 4 },
    ];
    let Some(site) = Site::start(NODES, WORKERS, &queues, 1) else {
        return Verdict::NotRun("the deployment did not start".into());
    };
    let verdict = run(&site, has_trouble);
    site.ledger.save(record);
    verdict
}

fn submit(site: &Site, queue: &str, job: &str, step: Step) -> bool {
    let body = submission("ms=600000", &[step]);
    let answer = ask(site.front(0), "POST", queue, job, 0, &body, 3_000);
    site.ledger.say(&format!("POST {queue} {body}: {answer:?}"));
    answer.is_some_and(|(status, _)| status == 200)
}

fn run(site: &Site, has_trouble: bool) -> Verdict {
    let serving = Step {
        count: 7,
        cpu: 4_000,
        est_ms: 600_000,
        after: None,
        is_lasting: true,
        constraints: "",
        extra: ",\"image\":\"web\",\"goal-ms\":200,\"max-per-server\":1",
    };
    let filling = Step {
        count: 1,
        cpu: 4_000,
        est_ms: 600_000,
        after: None,
        is_lasting: true,
        constraints: "",
        extra: ",\"image\":\"batch\",\"fills\":true",
    };
    if !submit(site, "serve", SERVING, serving) || !submit(site, "fill", FILLING, filling) {
        return Verdict::NotRun("a submission was not accepted".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let Some(worker) = site.wait_for_run(FILLING, Duration::from_secs(10)) else {
        return Verdict::NotRun("the filling task did not start".into());
    };
    let own = worker.running();
    site.ledger.say(&format!(
        "the filling task runs on {}, with {} others",
        worker.id,
        own.len() - 1
    ));
    // Longer than the 4 s that have to be calm before.
    std::thread::sleep(Duration::from_secs(6));
    if has_trouble {
        worker.lose_power();
        site.ledger.say(&format!("{} is lost for good", worker.id));
    }
    for _ in 0..6 {
        std::thread::sleep(Duration::from_secs(5));
        let running = |job: &str| -> usize {
            let runs = site.workers.iter().flat_map(|worker| worker.running());
            runs.filter(|(task, _)| task.starts_with(job)).count()
        };
        let (serving, filling) = (running(SERVING), running(FILLING));
        let state = ask(site.front(0), "GET", "fill", FILLING, 0, "", 1_000);
        site.ledger
            .say(&format!("serving tasks: {serving}, filling tasks: {filling}; GET: {state:?}"));
    }
    let entries = site.ledger.entries();
    let is_filling = |entry: &&crate::ledger::Entry| entry.task.starts_with(FILLING);
    let ended =
        entries.iter().filter(is_filling).find(|entry| entry.what == What::Ended("crashed"));
    let Some(ended) = ended else { return Verdict::Held };
    let again = entries
        .iter()
        .filter(is_filling)
        .find(|entry| entry.what == What::Started && entry.at_ms >= ended.at_ms);
    let away_ms = again.map_or(site.ledger.now_ms(), |entry| entry.at_ms) - ended.at_ms;
    site.ledger.say(&format!("the filling task was away for {away_ms} ms"));
    if away_ms > BOUND_MS {
        return Verdict::Broken(format!(
            "LOST: a task that lasts ran nowhere for {away_ms} ms after its run, with 60 idle cores on each \
             of 7 workers; {BOUND_MS} ms are allowed"
        ));
    }
    Verdict::Held
}
