//! Parsing and formatting of the `traceparent` header.

use super::*;

#[test]
fn header_round_trips() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let context = TraceContext::parse(text).expect("well formed");
    assert_eq!(context.to_string(), text);
    assert_eq!(context.child().trace_id, context.trace_id);
}

#[test]
fn malformed_headers_are_rejected() {
    for text in ["", "00-1-2-3", "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"] {
        assert_eq!(TraceContext::parse(text), None, "{text}");
    }
}
