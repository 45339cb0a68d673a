//! The cases. Each returns what broke the rule, if something did.

use std::time::Duration;

use crate::json::{Json, number, object};
use crate::record::{Record, Run};
use crate::site::{Children, LOW_PREFIX, PREFIX, Plan, Result, Site, Tenant};

type Case = fn(bool, Record, Children) -> Result<Option<String>>;

/// How long a crashed worker is down, `for_s` of the sites' `srv_crash`.
const DOWN: Duration = Duration::from_millis(4_500);

/// How long a worker fails what it is sent, `for_s` of the sites' `srv_grey`.
const BUSY_MS: u64 = 6_500;

/// `ack-ms` of the small sites.
const ACK_MS: u64 = 4_000;

const KEY: &str = "k1k1k1k1k1k1k1k1";
const OTHER_KEY: &str = "k2k2k2k2k2k2k2k2";

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "given-up" => given_up,
        "blocked" => blocked,
        "starved" => starved,
        "fills" => fills,
        "pending" => pending,
        "done" => done,
        "flood" => flood,
        "gang" => gang,
        "innocent" => innocent,
        _ => return None,
    })
}

fn plan(workers: Vec<(&'static str, u64)>) -> Plan {
    let tenants = vec![
        Tenant { name: "first", key: KEY, cap_cpu: 200_000 },
        Tenant { name: "second", key: OTHER_KEY, cap_cpu: 200_000 },
    ];
    Plan { workers, tenants, attempts: 4 }
}

fn flag(name: &'static str) -> (&'static str, Json) {
    (name, Json::Bool(true))
}

fn step<const N: usize>(count: u64, cpu: u64, est_ms: u64, more: [(&str, Json); N]) -> Json {
    let fixed = [
        ("count", number(count)),
        ("cpu", number(cpu)),
        ("mem-mb", number(500)),
        ("est-ms", number(est_ms)),
    ];
    let Json::Object(mut all) = object(fixed) else { return Json::Null };
    all.extend(more.into_iter().map(|(key, value)| (key.to_string(), value)));
    Json::Object(all)
}

fn submission(spec: &str, steps: Vec<Json>) -> Json {
    object([("spec", Json::text(spec)), ("steps", Json::List(steps))])
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a number of runs of a task have started.
fn wait_for_starts(site: &Site, prefix: &str, count: usize, most_s: u64) -> bool {
    site.wait_for(Duration::from_secs(most_s), |site| site.record.runs(prefix).len() >= count)
}

/// A submission that lasts loses two workers, one after the other.
fn given_up(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    let id = "5e00000000000001";
    let more = [flag("long-running"), ("max-per-server", number(1))];
    site.submit(id, KEY, &submission("lasts", vec![step(2, 2_000, 1_000, more)]))?;
    if !wait_for_starts(&site, id, 2, 10) {
        return Err("the tasks don't start".to_string());
    }
    sleep_ms(4_000);
    let task = format!("{id}.0.0.0");
    if has_trouble {
        let first = site.worker_of(&task).ok_or("the task does not run")?;
        site.workers[first].crash();
        std::thread::sleep(DOWN);
        site.workers[first].start(&format!("i-w{first}-2"), "a").map_err(|e| e.to_string())?;
        if !wait_for_starts(&site, &task, 2, 15) {
            return Ok(Some(format!("{task} is not started again after the crash of its worker")));
        }
        sleep_ms(1_000);
        let second = site.worker_of(&task).ok_or("the task does not run")?;
        site.workers[second].crash();
        std::thread::sleep(DOWN);
        site.workers[second].start(&format!("i-w{second}-3"), "a").map_err(|e| e.to_string())?;
    }
    for _ in 0..12 {
        sleep_ms(1_000);
        if site.state(id, KEY).as_deref() == Some("failed") {
            let failed = site.record.runs(id).into_iter().filter_map(|run| run.ended);
            let failed = failed.filter(|(_, how)| how == "failed").count();
            return Ok(Some(format!(
                "LOST: {id} is shown as failed, after {failed} ends `failed` of its tasks; nobody has cancelled it"
            )));
        }
    }
    Ok(None)
}

/// A step whose turn has come waits for another step of its submission, whose worker has crashed.
fn blocked(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut kinds = vec![("a", 16_000); 8];
    kinds[0].0 = "k9";
    kinds[1].0 = "k9";
    let mut site = Site::start(&plan(kinds), record, children)?;
    let on = |kind| ("constraints", Json::text(kind));
    // Work that lasts uses one of the two workers of the kind.
    let other = "0c00000000000001";
    let steps = vec![step(1, 15_000, 1_000, [flag("long-running"), on("k9")])];
    site.submit(other, OTHER_KEY, &submission("lasts", steps))?;
    if !wait_for_starts(&site, other, 1, 10) {
        return Err("the task that lasts does not start".to_string());
    }
    let id = "b10c000000000001";
    let steps = vec![
        step(1, 2_000, 8_000, [on("k9")]),
        step(1, 2_000, 8_000, [on("a")]),
        step(1, 2_000, 8_000, [on("a"), ("after", Json::List(vec![number(1)]))]),
    ];
    site.submit(id, KEY, &submission("ms=8000", steps))?;
    if !wait_for_starts(&site, id, 2, 10) {
        return Err("the first two steps don't start".to_string());
    }
    sleep_ms(2_000);
    if has_trouble {
        let lost = site.worker_of(&format!("{id}.0.0.0")).ok_or("the first step does not run")?;
        site.workers[lost].crash();
        std::thread::sleep(DOWN);
        site.workers[lost].start(&format!("i-w{lost}-2"), "a").map_err(|e| e.to_string())?;
    }
    let second = format!("{id}.0.1.0");
    let is_done = |site: &Site| {
        let runs = site.record.runs(&second);
        runs.iter().any(|run| run.ended.as_ref().is_some_and(|(_, how)| how == "done"))
    };
    if !site.wait_for(Duration::from_secs(12), is_done) {
        return Err("the second step does not end".to_string());
    }
    let turn_ms = site.record.now_ms();
    site.record.note("the turn of the third step has come");
    let third = format!("{id}.0.2.0");
    // 4 s without disruption, 3 s in which nothing of the submission runs, and as much again and more.
    if wait_for_starts(&site, &third, 1, 20) {
        return Ok(None);
    }
    site.state(id, KEY);
    let waited_ms = site.record.now_ms() - turn_ms;
    Ok(Some(format!(
        "LOST: nothing of {id} has run for {waited_ms} ms though the turn of {third} has come and seven workers are idle"
    )))
}

/// Submissions wait while another tenant's submission can never be done.
fn starved(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    if has_trouble {
        let steps = vec![step(128, 1_000, 60_000, [flag("long-running")])];
        site.submit("ba00000000000001", KEY, &submission("lasts fails-after=40", steps))?;
    }
    sleep_ms(8_000);
    let mut accepted = Vec::new();
    for at in 0..80 {
        let id = format!("a0000000000{at:05x}");
        let steps = vec![step(1, 1_000, 200, [])];
        accepted.push((id.clone(), site.submit(&id, OTHER_KEY, &submission("ms=200", steps))?));
        sleep_ms(250);
    }
    sleep_ms(6_000);
    let end_ms = site.record.now_ms();
    // Spans in which less than half of the capacity is in use; each task uses one core.
    let idle = idle_spans(&site.record.runs(""), 8 * 16 / 2, end_ms);
    let mut waits = Vec::new();
    for (id, accepted_ms) in &accepted {
        let started_ms = site.record.runs(id).first().map(|run| run.started_ms);
        let until_ms = started_ms.unwrap_or(end_ms);
        let within =
            |(from, to): &(u64, u64)| (*to).min(until_ms).saturating_sub((*from).max(*accepted_ms));
        let longest = idle.iter().map(within).max().unwrap_or(0);
        let (waited, word) = (until_ms.saturating_sub(*accepted_ms), started_ms.is_some());
        site.record.note(&format!(
            "{id} has waited for {waited} ms (started: {word}), {longest} ms of it on end with half of the capacity idle"
        ));
        waits.push((longest, waited, started_ms.is_some()));
    }
    let long: Vec<_> = waits.iter().filter(|(longest, ..)| *longest > 3_000).collect();
    let never = long.iter().filter(|(.., has_started)| !has_started).count();
    let most = long.iter().map(|(_, waited, _)| *waited).max().unwrap_or(0);
    Ok((!long.is_empty()).then(|| {
        format!(
            "LOST: {} of {} accepted submissions had nothing running for over 3 s with half of the capacity idle; \
             the longest waited for {most} ms, {never} had not begun at the end",
            long.len(),
            waits.len()
        )
    }))
}

/// Returns the spans of time in which fewer runs than `most` were there.
fn idle_spans(runs: &[Run], most: i64, end_ms: u64) -> Vec<(u64, u64)> {
    let mut changes = Vec::new();
    for run in runs {
        changes.push((run.started_ms, 1));
        changes.push((run.ended.as_ref().map_or(end_ms, |(ms, _)| *ms), -1));
    }
    changes.sort_unstable();
    let (mut spans, mut running, mut since) = (Vec::new(), 0i64, Some(0));
    for (ms, change) in changes {
        running += change;
        match since {
            Some(from) if running >= most => {
                spans.push((from, ms));
                since = None;
            }
            None if running < most => since = Some(ms),
            _ => {}
        }
    }
    spans.extend(since.map(|from| (from, end_ms)));
    spans
}

/// Submissions wait while a gang waits for long tasks to end.
fn gang(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    let long = "1000000000000001";
    let steps = vec![step(3, 16_000, 50_000, [])];
    site.submit(long, KEY, &submission("ms=50000", steps))?;
    if !wait_for_starts(&site, long, 3, 10) {
        return Err("the long tasks don't start".to_string());
    }
    if has_trouble {
        let steps = vec![step(6, 16_000, 10_000, [flag("gang")])];
        site.submit("6a00000000000001", KEY, &submission("ms=10000", steps))?;
        sleep_ms(500);
    }
    let mut accepted = Vec::new();
    for at in 0..10 {
        let id = format!("a0000000000{at:05x}");
        let body = submission("ms=1000", vec![step(1, 1_000, 5_000, [])]);
        accepted.push((id.clone(), site.submit_to(LOW_PREFIX, &id, OTHER_KEY, &body)?));
    }
    sleep_ms(30_000);
    let end_ms = site.record.now_ms();
    let mut waits = Vec::new();
    for (id, accepted_ms) in &accepted {
        let started_ms = site.record.runs(id).first().map(|run| run.started_ms);
        let waited_ms = started_ms.unwrap_or(end_ms).saturating_sub(*accepted_ms);
        site.record.note(&format!("{id} has waited for {waited_ms} ms"));
        waits.push(waited_ms);
    }
    let long = waits.iter().filter(|ms| **ms > 3_000).count();
    let most = waits.iter().max().copied().unwrap_or(0);
    Ok((long > 0).then(|| {
        format!(
            "LOST: {long} of 10 submissions had nothing running for over 3 s, up to {most} ms, with 3 of 8 workers in use"
        )
    }))
}

/// Many submissions that began together lose their worker once.
fn innocent(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    sleep_ms(1_500);
    let ids: Vec<String> = (0..60).map(|at| format!("1c0000000000{at:04x}")).collect();
    let site_ref = &site;
    std::thread::scope(|scope| {
        for id in &ids {
            let body = submission("ms=70000", vec![step(1, 100, 70_000, [])]);
            scope.spawn(move || site_ref.submit(id, KEY, &body));
        }
    });
    let all_run = |site: &Site| ids.iter().all(|id| !site.record.runs(id).is_empty());
    if !site.wait_for(Duration::from_secs(10), all_run) {
        return Err("the tasks don't start".to_string());
    }
    sleep_ms(3_000);
    if !has_trouble {
        sleep_ms(20_000);
        let are_there = ids.iter().all(|id| site.worker_of(id).is_some());
        return Ok((!are_there).then(|| "tasks don't run".to_string()));
    }
    let lost = site.worker_of(&ids[30]).ok_or("a task does not run")?;
    let hit: Vec<&String> = ids.iter().filter(|id| site.workers[lost].runs(id)).collect();
    let crash_ms = site.record.now_ms();
    site.workers[lost].crash();
    std::thread::sleep(DOWN);
    site.workers[lost].start(&format!("i-w{lost}-2"), "a").map_err(|e| e.to_string())?;
    let back_ms = site.record.now_ms();
    sleep_ms(25_000);
    let end_ms = site.record.now_ms();
    // 4 s without disruption, and then 3 s without a run.
    let due_ms = back_ms + 4_000 + 3_000;
    let mut late = Vec::new();
    for id in &hit {
        let again = site.record.runs(id).get(1).map_or(end_ms, |run| run.started_ms);
        site.record.note(&format!("{id} had nothing running for {} ms", again - crash_ms));
        if again > due_ms {
            late.push(again - crash_ms);
        }
    }
    let most = late.iter().max().copied().unwrap_or(0);
    Ok((!late.is_empty()).then(|| {
        format!(
            "LOST: {} of {} submissions that lost their worker have nothing running 7 s after it is back, up to {most} ms after the crash, beside idle workers",
            late.len(),
            hit.len()
        )
    }))
}

/// A submission that fills loses its worker while each other one runs a task with a goal.
fn fills(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    let (serving, filling) = ("5e00000000000002", "f100000000000001");
    let more = [flag("long-running"), ("max-per-server", number(1)), ("goal-ms", number(200))];
    site.submit(serving, KEY, &submission("lasts", vec![step(7, 2_000, 1_000, more)]))?;
    if !wait_for_starts(&site, serving, 7, 10) {
        return Err("the serving tasks don't start".to_string());
    }
    let more = [flag("long-running"), flag("fills")];
    site.submit(filling, OTHER_KEY, &submission("lasts", vec![step(1, 2_000, 1_000, more)]))?;
    if !wait_for_starts(&site, filling, 1, 10) {
        return Err("the filling task does not start".to_string());
    }
    sleep_ms(3_000);
    if !has_trouble {
        sleep_ms(15_000);
        let is_there = site.worker_of(filling).is_some();
        return Ok((!is_there).then(|| "the filling task does not run".to_string()));
    }
    let lost = site.worker_of(filling).ok_or("the filling task does not run")?;
    let lost_ms = site.record.now_ms();
    site.workers[lost].crash();
    if wait_for_starts(&site, filling, 2, 30) {
        return Ok(None);
    }
    let waited_ms = site.record.now_ms() - lost_ms;
    site.state(filling, OTHER_KEY);
    Ok(Some(format!(
        "LOST: {filling} has nothing running for {waited_ms} ms since its worker was lost; seven workers use 2 of 16 cores each"
    )))
}

/// The number of submissions that wait, after a worker has refused their starts and the owner is lost.
fn pending(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut kinds = vec![("a", 16_000); 8];
    kinds[0].0 = "k9";
    let mut site = Site::start(&plan(kinds), record, children)?;
    sleep_ms(1_000);
    let begun_ms = site.record.now_ms();
    if has_trouble {
        site.workers[0].set_busy(true);
    }
    let mut accepted_ms = 0;
    let ids: Vec<String> = (0..12).map(|at| format!("9e0000000000{at:04x}")).collect();
    for id in &ids {
        let steps = vec![step(1, 1_000, 500, [("constraints", Json::text("k9"))])];
        accepted_ms = site.submit(id, KEY, &submission("ms=500", steps))?;
    }
    sleep_ms(1_500);
    let owner = site.owner().ok_or("there is no owner record")?;
    if has_trouble {
        site.kill_and_restart(owner, Duration::from_millis(500))?;
    }
    // Counts may be 2 s old, and submissions are counted `visible_ms` after their acceptance.
    let due_ms = accepted_ms + 3_000 + 2_000 + 100;
    sleep_ms(due_ms.saturating_sub(site.record.now_ms()));
    let mut wrong = None;
    for at in (0..site.nodes.len()).filter(|at| *at != owner) {
        let answered = site.request(at, "GET", PREFIX, KEY, "");
        let Some((200, body)) = answered else { continue };
        let count = Json::parse(&body).and_then(|body| body.get("pending").as_u64()).unwrap_or(0);
        let begun = ids.iter().filter(|id| !site.record.runs(id).is_empty()).count();
        let waiting = (ids.len() - begun) as u64;
        if 2 * count < waiting {
            wrong = Some(format!(
                "MIXED: {} gives {count} as pending, while {waiting} accepted submissions have not begun",
                site.nodes[at].name
            ));
        }
    }
    let busy_ms = site.record.now_ms() - begun_ms;
    site.workers[0].set_busy(false);
    site.record.note(&format!("the worker refused starts for {busy_ms} ms"));
    sleep_ms(4_000);
    Ok(wrong)
}

/// The tasks of a submission that lasts end as done.
fn done(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let site = Site::start(&plan(vec![("a", 16_000); 8]), record, children)?;
    let id = "d000000000000001";
    let spec = if has_trouble { "lasts done-after=5000" } else { "lasts" };
    site.submit(id, KEY, &submission(spec, vec![step(2, 2_000, 1_000, [flag("long-running")])]))?;
    if !wait_for_starts(&site, id, 2, 10) {
        return Err("the tasks don't start".to_string());
    }
    sleep_ms(5_500);
    if !has_trouble {
        sleep_ms(14_000);
        return Ok((site.record.runs(id).len() != 2).then(|| "tasks start again".to_string()));
    }
    if wait_for_starts(&site, id, 4, 20) {
        return Ok(None);
    }
    let state = site.state(id, KEY).unwrap_or_default();
    Ok(Some(format!("LOST: the tasks of {id} are not started again; it is shown as {state}")))
}

/// Cancels of accepted submissions while one worker refuses starts.
fn flood(has_trouble: bool, record: Record, children: Children) -> Result<Option<String>> {
    let mut kinds = vec![("a", 16_000); 24];
    kinds[0].0 = "k9";
    kinds[1].0 = "k9";
    let site = Site::start(&plan(kinds), record, children)?;
    let lasting: Vec<String> = (0..10).map(|at| format!("ca0000000000{at:04x}")).collect();
    for id in &lasting {
        let on_others = ("constraints", Json::text("a"));
        let steps = vec![step(1, 1_000, 1_000, [flag("long-running"), on_others])];
        site.submit(id, OTHER_KEY, &submission("lasts", steps))?;
    }
    let all_run = |site: &Site| lasting.iter().all(|id| !site.record.runs(id).is_empty());
    if !site.wait_for(Duration::from_secs(10), all_run) {
        return Err("the tasks that last don't start".to_string());
    }
    // Work for the only worker of its kind, more than it has room for.
    for at in 0..6 {
        let steps = vec![step(60, 200, 4_000, [("constraints", Json::text("k9"))])];
        site.submit(&format!("9e0000000000{at:04x}"), KEY, &submission("ms=4000", steps))?;
    }
    sleep_ms(2_000);
    let begun_ms = site.record.now_ms();
    if has_trouble {
        site.workers[0].set_busy(true);
        site.workers[1].set_busy(true);
    }
    sleep_ms(6_200);
    // Each caller cancels one submission, and tries again at another process until there is an answer.
    let site_ref = &site;
    let waits: Vec<Option<u64>> = std::thread::scope(|scope| {
        let callers: Vec<_> = lasting
            .iter()
            .enumerate()
            .map(|(at, id)| scope.spawn(move || cancel(site_ref, id, at, 12_000)))
            .collect();
        let busy = scope.spawn(move || {
            let left_ms = (begun_ms + BUSY_MS).saturating_sub(site_ref.record.now_ms());
            sleep_ms(left_ms);
            site_ref.workers[0].set_busy(false);
            site_ref.workers[1].set_busy(false);
        });
        let _ = busy.join();
        callers.into_iter().map(|caller| caller.join().unwrap_or(None)).collect()
    });
    let probe_ms = site.record.now_ms();
    let probe = submission("ms=200", vec![step(1, 1_000, 200, [])]);
    let probed = site.submit("a000000000000001", OTHER_KEY, &probe);
    let took_ms = site.record.now_ms() - probe_ms;
    site.record.note(&format!("a further submission: {probed:?} after {took_ms} ms"));
    let is_late = |wait: &&Option<u64>| wait.is_none_or(|ms| ms > ACK_MS);
    let late = waits.iter().filter(is_late).count();
    let is_broken = late * 10 > waits.len();
    Ok(is_broken.then(|| {
        format!(
            "Acks: {late} of {} cancels of accepted submissions have no 2xx or 410 after {ACK_MS} ms; answered after {waits:?} ms",
            waits.len()
        )
    }))
}

/// Cancels a submission. Returns the time until it was acknowledged, in milliseconds.
fn cancel(site: &Site, id: &str, first: usize, most_ms: u64) -> Option<u64> {
    let sent_ms = site.record.now_ms();
    for attempt in 0.. {
        let at = (first + attempt) % site.nodes.len();
        let answered = site.request(at, "DELETE", &format!("{PREFIX}{id}"), OTHER_KEY, "");
        let took_ms = site.record.now_ms() - sent_ms;
        match answered {
            Some((status, _)) if status / 100 == 2 || status == 410 => return Some(took_ms),
            _ if took_ms > most_ms => return None,
            _ => sleep_ms(200),
        }
    }
    None
}
