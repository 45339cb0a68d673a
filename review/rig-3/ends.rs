//! TWICE: more ends wait at a worker than one report lists, and a new owner comes.

use std::time::Duration;

use crate::Verdict;
use crate::ledger::twice;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
const WORKERS: usize = 4;
/// Tasks of the submission: 600 a worker, a tenth of a core each.
const TASKS: u64 = 2_400;
const RUN_MS: u64 = 2_000;
/// Time from the last start to the freeze, half a second before the tasks end.
const FREEZE_AFTER: Duration = Duration::from_millis(RUN_MS - 500);
/// Time for which the process is frozen, below the limit of 4 s with the time that the sleeps add.
const FROZEN: Duration = Duration::from_millis(3_800);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn play(has_trouble: bool, record: &str) -> Verdict {
    let queues = [Queue { name: "quote", priority: 1, attempts: 4 }];
    let Some(mut site) = Site::start(NODES, WORKERS, &queues, 1) else {
        return Verdict::NotRun("the deployment did not start".into());
    };
    let verdict = run(&mut site, has_trouble);
    site.ledger.save(record);
    verdict
}

fn run(site: &mut Site, has_trouble: bool) -> Verdict {
    let step = Step {
        count: TASKS,
        cpu: 100,
        est_ms: RUN_MS,
        after: None,
        is_lasting: false,
        constraints: "",
        extra: "",
    };
    let body = submission(&format!("ms={RUN_MS}"), &[step]);
    let answer = ask(site.front(0), "POST", "quote", JOB, 0, &body, 3_000);
    site.ledger.say(&format!("POST {JOB} with {TASKS} tasks: {answer:?}"));
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the submission was not accepted".into());
    }
    for _ in 0..400 {
        if site.ledger.starts(JOB) as u64 >= TASKS {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    site.ledger.say(&format!("{} tasks have started", site.ledger.starts(JOB)));
    if has_trouble {
        std::thread::sleep(FREEZE_AFTER);
        let Some(owner) = site.owner() else {
            return Verdict::NotRun("the store names no owner".into());
        };
        site.nodes[owner].freeze(true);
        let name = site.nodes[owner].name.clone();
        site.ledger.say(&format!("{name}, which last wrote to the store, is frozen"));
        for _ in 0..8 {
            std::thread::sleep(FROZEN / 8);
            site.ledger.say(&format!("ends listed by the workers: {:?}", listed_ends(site)));
        }
        site.nodes[owner].freeze(false);
        site.ledger.say(&format!("{name} goes on"));
    }
    let mut state = None;
    for round in 0..200 {
        std::thread::sleep(Duration::from_millis(100));
        if round % 10 == 0 {
            site.ledger.say(&format!("ends listed by the workers: {:?}", listed_ends(site)));
        }
        state = ask(site.front(round), "GET", "quote", JOB, 0, "", 1_000);
        if state.as_ref().is_some_and(|(_, body)| body.contains("complete")) && round > 20 {
            break;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    site.ledger.say(&format!("GET {JOB}: {state:?}"));
    let entries = site.ledger.entries();
    let found = twice(&entries);
    site.ledger.say(&format!("{} starts in all for {TASKS} tasks", site.ledger.starts(JOB)));
    match found.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "TWICE: {} tasks were started after a run of them had ended `done`, an end that was taken note \
             of; the first: {}, run {} ended done on {} at {} ms, run {} started on {} at {} ms",
            found.len(),
            first.task,
            first.done.attempt,
            first.done.worker,
            first.done.at_ms,
            first.start.attempt,
            first.start.worker,
            first.start.at_ms
        )),
    }
}

fn listed_ends(site: &Site) -> Vec<usize> {
    site.workers.iter().map(|worker| worker.listed_ends()).collect()
}
