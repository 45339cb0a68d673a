//! MIXED: jobs that have not begun are left out of `pending` after a change of the owner.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Queue, Site, Step, ask, submission};

const NODES: usize = 3;
const WORKERS: usize = 8;
const JOBS: usize = 8;
const RUN_MS: u64 = 30_000;

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
    if has_trouble {
        site.workers[5].lose_power();
        site.ledger.say("w05 crashes, and is gone for good");
    }
    // Each job fills a worker.
    let step = Step {
        count: 1,
        cpu: 64_000,
        est_ms: RUN_MS,
        after: None,
        is_lasting: false,
        constraints: "",
        extra: "",
    };
    let body = submission(&format!("ms={RUN_MS}"), &[step]);
    for number in 0..JOBS {
        let job = format!("e0000000{number:08x}");
        let answer = ask(site.front(number), "POST", "quote", &job, 0, &body, 3_000);
        site.ledger.say(&format!("POST {job}: {answer:?}"));
        if !answer.is_some_and(|(status, _)| status == 200) {
            return Verdict::NotRun("a submission was not accepted".into());
        }
    }
    let accepted = Instant::now();
    std::thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        let Some(owner) = site.owner() else { return Verdict::NotRun("no owner".into()) };
        site.nodes[owner].kill();
        site.ledger
            .say(&format!("SIGKILL of {}, which last wrote to the store", site.nodes[owner].name));
        std::thread::sleep(Duration::from_secs(1));
        site.nodes[owner].start();
        site.ledger.say("it is started again");
    }
    let mut worst = None;
    while accepted.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(500));
        let begun = site.ledger.begun("e0000000");
        let answers: Vec<_> =
            (0..NODES).map(|at| ask(site.front(at), "GET", "quote", "", 0, "", 1_000)).collect();
        let waiting = JOBS - begun.max(site.ledger.begun("e0000000"));
        site.ledger.say(&format!("{waiting} jobs have not begun; GET pending: {answers:?}"));
        if accepted.elapsed() < Duration::from_secs(10) {
            // `visible_ms` and 2 s, and the settling of the processes after the kill.
            continue;
        }
        for (_, body) in answers.into_iter().flatten().filter(|(status, _)| *status == 200) {
            let number = body.chars().filter(char::is_ascii_digit).collect::<String>();
            let number: usize = number.parse().unwrap_or(usize::MAX);
            if 2 * number < waiting {
                worst = Some((number, waiting));
            }
        }
    }
    match worst {
        Some((number, waiting)) => Verdict::Broken(format!(
            "MIXED: {number} submissions are given as pending, and {waiting} that were accepted over 10 s \
             before have not begun"
        )),
        None => Verdict::Held,
    }
}
