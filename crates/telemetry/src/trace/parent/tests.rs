use super::*;

#[test]
fn header_survives_a_round_trip() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let parent = TraceContext::parse(text).expect("well formed");
    assert_eq!(parent.to_string(), text);
    assert_eq!(parent.child().trace_id, parent.trace_id);
}

#[test]
fn malformed_headers_are_refused() {
    for text in ["", "00-1-2-3", "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"] {
        assert_eq!(TraceContext::parse(text), None, "{text}");
    }
}
