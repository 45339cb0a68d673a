//! Plays one case: `cases NUMBER FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod http;
mod json;
mod ledger;
mod record;
mod site;
mod store;
mod worker;

mod cases;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Time after which a case that hangs is given up. Its processes are ended by `run.sh`.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case has found: whether the rule was broken, and what was seen.
pub type Found = Result<(bool, String), String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        println!("can't run: it takes too long");
        std::process::exit(124);
    });
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let (status, shown) = match cases::play(case, &record, has_trouble) {
        Ok((true, seen)) => (1, format!("broken: {seen}")),
        Ok((false, seen)) => (0, format!("held: {seen}")),
        Err(error) => (2, format!("can't run: {error}")),
    };
    record.line(&shown);
    println!("{shown}");
    ExitCode::from(status)
}
