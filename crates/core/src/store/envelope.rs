//! The form of a stored value: the identifier of its write, then the body.
//!
//! After a lost reply the identifier tells a process whether it has written the value itself.
//! The revision only shows that some process has.

/// Identifies one write among all writes of all processes.
pub type WriteId = u128;

/// Length of the [`WriteId`] line at the start of a stored value, with its line end.
const HEADER_BYTES: usize = 33;

/// Builds a stored value: the identifier of the write, then the body.
///
/// The identifier is hexadecimal on a line of its own, so that operators can
/// still read a value with the platform's own tools.
pub fn encode_value(write: WriteId, body: &[u8]) -> Vec<u8> {
    let mut value = format!("{write:032x}\n").into_bytes();
    value.extend_from_slice(body);
    value
}

/// Splits a stored value into the identifier of its write and its body.
///
/// Returns `None` for a value that [`encode_value`] did not build.
pub fn decode_value(value: &[u8]) -> Option<(WriteId, &[u8])> {
    let header = value.get(..HEADER_BYTES)?;
    let digits = std::str::from_utf8(header.strip_suffix(b"\n")?).ok()?;
    let write = WriteId::from_str_radix(digits, 16).ok()?;
    Some((write, &value[HEADER_BYTES..]))
}
