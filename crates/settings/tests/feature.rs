//! Settings as an operator passes them: precedence, error reports and hidden secrets.

use sycamore_settings::{Parsed, Parser, Setting};

fn parser() -> Parser {
    let setting = |flag, variable, default, is_secret| Setting {
        flag,
        variable,
        hint: "VALUE",
        help: "for the test",
        default,
        is_secret,
    };
    Parser::new(
        "sycamore-test",
        "A program for the test.",
        vec![
            setting("listen", "SYCAMORE_LISTEN", None, false),
            setting("count", "SYCAMORE_COUNT", Some("3"), false),
            setting("key", "SYCAMORE_KEY", Some(""), true),
        ],
    )
}

fn run(args: &[&str], variable: Option<(&str, &str)>) -> Parsed {
    let args = args.iter().map(|arg| arg.to_string());
    let lookup = |name: &str| variable.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string());
    parser().parse(args, lookup).unwrap()
}

#[test]
fn flags_override_variables_and_variables_override_defaults() {
    let variable = Some(("SYCAMORE_COUNT", "5"));
    let Parsed::Run(mut values) = run(&["--listen", "here"], variable) else { panic!() };
    assert_eq!(values.required::<u32>("count"), Some(5));
    let Parsed::Run(mut values) = run(&["--count", "7"], variable) else { panic!() };
    assert_eq!(values.required::<u32>("count"), Some(7));
    let Parsed::Run(mut values) = run(&[], None) else { panic!() };
    assert_eq!(values.required::<u32>("count"), Some(3));
}

#[test]
fn all_errors_are_reported_together() {
    let Parsed::Run(mut values) = run(&["--count", "many"], None) else { panic!() };
    values.required::<String>("listen");
    values.required::<u32>("count");
    let text = values.finish().unwrap_err().to_string();
    assert!(text.contains("--listen (or SYCAMORE_LISTEN) is required"), "{text}");
    assert!(text.contains("--count: invalid digit"), "{text}");
}

#[test]
fn secrets_are_not_printed() {
    let Parsed::Print(text) = run(&["--key", "s3cret", "--print-settings"], None) else { panic!() };
    assert!(text.contains("SYCAMORE_KEY=(hidden)") && !text.contains("s3cret"), "{text}");
}

#[test]
fn unknown_flags_are_rejected() {
    let args = ["--lisen".to_string()].into_iter();
    assert!(parser().parse(args, |_| None).is_err());
}
