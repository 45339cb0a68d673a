//! Frames and raw bytes on one stream, with the flow control of `h2`.

mod reader;
mod writer;

pub use reader::Reader;
pub use writer::Writer;

/// Largest frame accepted, in bytes. A configuration document is the largest.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Length of the number that goes before a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
