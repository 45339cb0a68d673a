//! Past use of teams in the order of waiting work.

use sycamore_graph::catalog::{Catalog, Team};
use sycamore_graph::{
    Action, Engine, Event, Grounds, Moment, Reading, Record, Recovered, Report, StartOutcome,
    TeamUse, Timing, Verdict,
};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::fixture::{QUEUE, catalog, host, id, job, queue, step};

const HEAVY: &str = "heavy";
const LIGHT: &str = "light";

/// Half-life that the deployment of the users sets, in milliseconds.
const HALF_LIFE_MS: u64 = 3_600_000;

/// Wall clock at the start, in milliseconds since 1970.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// An engine with one worker of four cores on which nothing ever ends.
struct Owner {
    engine: Engine,
    now_ms: u64,
    unix_ms: u64,
    log: Vec<Record>,
    placed: Vec<(Name, Grounds)>,
}

/// Two teams that are entitled to a quarter each, and an idle one.
fn two_teams() -> Catalog {
    let mut catalog = catalog(queue());
    for team in [HEAVY, LIGHT] {
        let team = Name::from(team);
        catalog.teams.insert(team, Team { weight: 1, limit: Resources::default() });
    }
    catalog.teams.remove(crate::fixture::TEAM);
    let idle = Team { weight: 2, limit: Resources::default() };
    catalog.teams.insert(Name::from("idle"), idle);
    catalog
}

fn timing() -> Timing {
    Timing { usage_half_life_ms: HALF_LIFE_MS, ..Timing::default() }
}

/// The record of a team that had the whole site for an hour.
fn heavy_hour(at_unix_ms: u64) -> Record {
    Record::TeamUse(TeamUse { at_unix_ms, teams: vec![(Name::from(HEAVY), 2_600.0)] })
}

impl Owner {
    fn new(timing: Timing, catalog: Catalog, log: Vec<Record>) -> Owner {
        Owner::at(START_UNIX_MS, timing, catalog, log)
    }

    fn at(unix_ms: u64, timing: Timing, catalog: Catalog, log: Vec<Record>) -> Owner {
        let mut recovered = Recovered::default();
        log.iter().cloned().for_each(|record| recovered.apply(record));
        let moment = Moment { monotonic_ms: 0, unix_ms };
        let engine = Engine::new(moment, timing, catalog, recovered);
        let mut owner = Owner { engine, now_ms: 0, unix_ms, log, placed: Vec::new() };
        owner.handle(Event::Listed(vec![host(0)]));
        owner.run(100);
        owner
    }

    fn moment(&self) -> Moment {
        Moment { monotonic_ms: self.now_ms, unix_ms: self.unix_ms + self.now_ms }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.engine.handle(self.moment(), event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    self.log.push(record);
                    let durable = self.engine.appended_records();
                    self.handle(Event::Committed(durable));
                }
                Action::Start(start) => self.handle(Event::Started {
                    host: start.host,
                    task: start.task,
                    attempt: start.attempt,
                    outcome: StartOutcome::Started,
                    clock_ms: 0,
                }),
                Action::Poll(poll) if poll.wait_ms == 0 => {
                    let report =
                        Report { incarnation: 1, clock_ms: self.now_ms, ..Report::default() };
                    self.handle(Event::Polled { host: poll.host, poll: poll.number, report });
                }
                Action::RecordDecision(decision) => {
                    if let Verdict::Placed { grounds, .. } = decision.verdict {
                        self.placed.push((decision.team, grounds));
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now_ms += 50;
            let entry = host(0);
            let (host, incarnation) = (entry.id, entry.incarnation);
            let reading = Reading { host, incarnation, written_ms: self.now_ms, remaining_ms: 0 };
            self.handle(Event::Dated(vec![reading]));
            let at_ms = self.now_ms;
            self.handle(Event::Confirmed { at_ms, by_store_ms: at_ms });
            self.handle(Event::Tick);
            let actions = self.engine.dispatch(self.moment());
            self.execute(actions);
        }
    }

    /// Submits a job of one task.
    fn submit(&mut self, number: u64, team: &str, cpu_millis: u32) {
        let (queue, team) = (Name::from(QUEUE), Name::from(team));
        let spec = job(vec![step(1, cpu_millis)]);
        self.handle(Event::Submit { token: number, job: id(number), queue, team, spec });
    }

    /// Returns the teams of the tasks that were started, in order.
    fn order(&self) -> Vec<&str> {
        self.placed.iter().map(|(team, _)| &**team).collect()
    }

    fn logged_use(&self) -> Vec<&TeamUse> {
        let mut found = Vec::new();
        for record in &self.log {
            if let Record::TeamUse(team_use) = record {
                found.push(team_use);
            }
        }
        found
    }

    /// Both teams use 1.5 of 4 cores, and each has a task that waits; the heavy team's was first.
    fn submit_under_full_load(&mut self) {
        self.submit(1, HEAVY, 1_500);
        self.submit(2, LIGHT, 1_500);
        self.run(100);
        self.submit(3, HEAVY, 1_000);
        self.run(50);
        self.submit(4, LIGHT, 1_000);
    }
}

/// The team that had used everything for an hour was served like one that had used nothing.
#[test]
fn the_heavy_user_of_the_last_hour_comes_after_others() {
    let mut owner = Owner::new(timing(), two_teams(), vec![heavy_hour(START_UNIX_MS)]);
    owner.submit(1, HEAVY, 1_500);
    owner.submit(2, LIGHT, 1_500);
    owner.run(100);

    // Both wait for the same pass, and there is room for one of them.
    owner.submit(3, HEAVY, 1_000);
    owner.submit(4, LIGHT, 1_000);
    owner.run(50);

    assert_eq!(owner.order(), [HEAVY, LIGHT, LIGHT]);
    let (_, grounds) = &owner.placed[0];
    let factor = grounds.usage_factor.unwrap_or(1.0);
    assert!((0.5..0.51).contains(&factor), "{factor}");
}

/// Work that can be in time within its team's share is served by need: past use must not make it
/// late.
#[test]
fn work_within_the_share_is_served_by_slack() {
    let mut owner = Owner::new(timing(), two_teams(), vec![heavy_hour(START_UNIX_MS)]);
    owner.submit(1, HEAVY, 500);
    owner.submit(2, LIGHT, 2_500);
    owner.run(100);

    owner.submit(3, HEAVY, 1_000);
    owner.run(50);
    owner.submit(4, LIGHT, 1_000);
    owner.run(50);

    assert_eq!(owner.order(), [HEAVY, LIGHT, HEAVY]);
}

/// Without the option, and without use, the order and the records have to stay as they were.
#[test]
fn without_past_use_the_order_is_that_of_slack() {
    for (timing, factor) in [(Timing::default(), None), (timing(), Some(1.0))] {
        let log = if factor.is_none() { vec![heavy_hour(START_UNIX_MS)] } else { Vec::new() };
        let mut owner = Owner::new(timing, two_teams(), log);

        owner.submit_under_full_load();
        owner.run(100);

        assert_eq!(owner.order(), [HEAVY, LIGHT, HEAVY]);
        assert!(owner.placed.iter().all(|(_, grounds)| grounds.usage_factor == factor));
    }
}

/// Past use must not keep a team from capacity that nobody else asks for.
#[test]
fn while_there_is_room_the_heavy_user_is_served() {
    let mut owner = Owner::new(timing(), two_teams(), vec![heavy_hour(START_UNIX_MS)]);

    (1..5).for_each(|number| owner.submit(number, HEAVY, 1_000));
    owner.run(100);

    assert_eq!(owner.order(), [HEAVY; 4]);
}

/// A restart must not forget use: a successor goes on from the last record, at most ten seconds
/// old.
#[test]
fn use_is_kept_over_a_takeover() {
    let mut owner = Owner::new(timing(), two_teams(), Vec::new());
    owner.submit(1, HEAVY, 4_000);
    owner.run(120_000);

    let successor = Owner::new(timing(), two_teams(), owner.log.clone());
    let restored = successor.engine.team_use_record();

    let Some(Record::TeamUse(restored)) = restored else { panic!("no use was restored") };
    let (team, used_s) = &restored.teams[0];
    assert_eq!(&**team, HEAVY);
    assert!((110.0..=120.0).contains(used_s), "{used_s} s of 120");
    let intervals: Vec<u64> =
        owner.logged_use().windows(2).map(|two| two[1].at_unix_ms - two[0].at_unix_ms).collect();
    assert!(intervals.len() >= 10 && intervals.iter().all(|ms| *ms >= 10_000), "{intervals:?}");
}

/// The wall clocks of two owners differ by any amount. Use must neither grow nor vanish by that.
#[test]
fn a_clock_that_jumps_neither_multiplies_nor_erases_use() {
    let log = vec![heavy_hour(START_UNIX_MS)];
    let day_ms = 24 * 3_600_000;
    for (unix_ms, least) in [
        (START_UNIX_MS - day_ms, 2_599.0),
        (START_UNIX_MS, 2_599.0),
        (START_UNIX_MS + 2_000, 2_590.0),
        (START_UNIX_MS + 30 * day_ms, 1_299.0),
    ] {
        let owner = Owner::at(unix_ms, timing(), two_teams(), log.clone());

        let Some(Record::TeamUse(restored)) = owner.engine.team_use_record() else {
            panic!("use was erased");
        };
        let used_s = restored.teams[0].1;
        assert!((least..=2_600.0).contains(&used_s), "{used_s} at {unix_ms}");
    }
}

/// A team that is renamed starts anew under its new name; what the old name used stays in the sum
/// of all until it has decayed, so that a rename takes nothing from others.
#[test]
fn use_of_a_team_that_is_no_longer_configured_decays_and_is_forgotten() {
    let mut log = vec![heavy_hour(START_UNIX_MS)];
    log.push(Record::TeamUse(TeamUse {
        at_unix_ms: START_UNIX_MS,
        teams: vec![
            (Name::from(HEAVY), 2_600.0),
            (Name::from("old"), 1_000.0),
            ("gone".into(), 1.0),
        ],
    }));
    let mut owner = Owner::new(timing(), two_teams(), log);

    owner.run(2_000);

    let Some(Record::TeamUse(kept)) = owner.engine.team_use_record() else { panic!("no use") };
    let names: Vec<&str> = kept.teams.iter().map(|(name, _)| &**name).collect();
    assert_eq!(names, [HEAVY, "old"]);
}

/// A log of an earlier version has no such record, and values that are not numbers must not spread.
#[test]
fn a_log_without_use_or_with_unsound_values_gives_no_factor() {
    let unsound = Record::TeamUse(TeamUse {
        at_unix_ms: START_UNIX_MS,
        teams: vec![(Name::from(HEAVY), f64::NAN), (Name::from(LIGHT), -5.0)],
    });
    for log in [Vec::new(), vec![unsound]] {
        let mut owner = Owner::new(timing(), two_teams(), log);

        owner.submit_under_full_load();
        owner.run(100);

        assert_eq!(owner.order(), [HEAVY, LIGHT, HEAVY]);
    }
}
