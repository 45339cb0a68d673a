//! Plays one case: `rig-2 CASE TROUBLE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use site::Children;

/// Time after which a case is given up.
const MOST: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, trouble, path] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE TROUBLE RECORD");
        return ExitCode::from(2);
    };
    let Some(case) = cases::find(name) else {
        eprintln!("no case {name}");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let children = Children::default();
    let (watched, noted) = (children.clone(), record.clone());
    std::thread::spawn(move || {
        std::thread::sleep(MOST);
        noted.note("out of time");
        site::end_all(&watched);
        std::process::exit(2);
    });
    let has_trouble = trouble != "0";
    record.note(&format!("case {name}, with trouble: {has_trouble}"));
    let verdict = case(has_trouble, record.clone(), children.clone());
    site::end_all(&children);
    let (code, words) = match verdict {
        Ok(None) => (0, "the rule held".to_string()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&words);
    println!("{words}");
    ExitCode::from(code)
}
