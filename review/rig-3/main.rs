//! Cases of the third review: each plays a few seconds of a small deployment, with a disruption that the
//! platform's pages name, and checks one rule by what clients and workers have seen.
//!
//! Usage: rig CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod ends;
mod fills;
mod held;
mod http;
mod json;
mod lasting;
mod ledger;
mod pending;
mod site;
mod store;
mod worker;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = format!("{folder}/record.txt");
    let verdict = match case.as_str() {
        "fills" => fills::play(has_trouble, &record),
        "ends" => ends::play(has_trouble, &record),
        "held" => held::play(has_trouble, &record),
        "lasting" => lasting::play(has_trouble, &record),
        "pending" => pending::play(has_trouble, &record),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    println!("{text}");
    if let Ok(mut file) = std::fs::OpenOptions::new().append(true).open(&record) {
        let _ = std::io::Write::write_all(&mut file, format!("{text}\n").as_bytes());
    }
    std::process::exit(code);
}
