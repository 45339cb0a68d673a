//! The cases, by the number of their folder.

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;
#[path = "../4/case.rs"]
mod case_4;

use crate::Found;
use crate::record::Record;

pub fn play(number: &str, record: &Record, has_trouble: bool) -> Found {
    match number {
        "1" => case_1::play(record, has_trouble),
        "2" => case_2::play(record, has_trouble),
        "3" => case_3::play(record, has_trouble),
        "4" => case_4::play(record, has_trouble),
        other => Err(format!("no case {other}")),
    }
}
