//! Behaviour of selectors, configuration documents, identifiers and resources.

use sycamore_types::config::{Document, Key};
use sycamore_types::id;
use sycamore_types::label;
use sycamore_types::resources::{Dimension, Resources};
use sycamore_types::selector::Selector;
use yare::parameterized;

#[parameterized(
    equal = { "region=east", true },
    not_equal = { "gpu!=none", true },
    listed = { "tier in (gold,silver)", true },
    not_listed = { "tier notin (bronze)", true },
    absent = { "!spot", true },
    present = { "tier", true },
    all = { "region=east,gpu!=none,tier in (gold,silver),!spot", true },
    one_fails = { "region=east,spot", false },
    wrong_value = { "region=west", false },
    empty = { "", true },
)]
fn selector_matches(text: &str, expected: bool) {
    let labels = label::Set::from([("region", "east"), ("tier", "gold")]);
    let selector = Selector::parse(text).unwrap();
    assert_eq!(selector.matches(&labels), expected);
    assert_eq!(Selector::parse(&selector.to_string()).unwrap(), selector);
}

#[parameterized(
    double_comma = { "a=b,,c" },
    unclosed_list = { "a in (b" },
    bad_operator = { "a near (b)" },
    bad_word = { "a=b c" },
)]
fn invalid_selector_is_rejected(text: &str) {
    assert!(Selector::parse(text).is_err());
}

#[test]
fn document_errors_name_line_and_field() {
    let unknown = Document::parse("[teams.a]\nwieght = 2\n").unwrap_err().to_string();
    assert!(unknown.starts_with("line 2:") && unknown.contains("wieght"), "{unknown}");
    let dangling = Document::parse("[queues.q]\nteam = \"ghost\"\n").unwrap_err().to_string();
    assert!(dangling.contains("queues.q.team"), "{dangling}");
}

#[test]
fn document_round_trips() {
    let text = "[teams.a]\nlimit = 3\n[queues.q]\nteam = \"a\"\nselector = \"x=y\"\n";
    let document = Document::parse(text).unwrap();
    assert_eq!(Document::parse(&document.to_toml()).unwrap(), document);
}

#[test]
fn secrets_are_found_by_hash_only() {
    let mut document = Document::default();
    document.keys.insert("k".into(), Key::from_secret("a", "s3cret"));
    assert_eq!(document.team_of_secret("s3cret").as_deref(), Some("a"));
    assert_eq!(document.team_of_secret("s3cres"), None);
    assert!(!document.to_toml().contains("s3cret"));
}

#[test]
fn identifiers_round_trip() {
    let job = id::Job::new(id::Shard::new("sialkot-a", 3), 77);
    let task = id::Task { job: job.clone(), index: 4, attempt: 2 };
    assert_eq!(id::Job::parse(&job.to_string()), Ok(job));
    assert_eq!(id::Task::parse(&task.to_string()), Ok(task));
    assert!(id::Job::parse("nonsense").is_err());
}

#[test]
fn first_lacking_returns_the_exceeded_dimension() {
    let capacity = Resources { cpu_millis: 10, memory_mib: 10, slots: 1, ..Resources::default() };
    let size = Resources { cpu_millis: 5, accelerators: 1, ..Resources::default() };
    assert_eq!(size.first_lacking(&capacity), Some(Dimension::Accelerators));
    assert!(!size.fits_in(&capacity));
}
