//! Frames and raw bytes on one HTTP/2 stream.
//!
//! Both directions use HTTP/2 flow control, so a slow receiver slows the sender down
//! instead of filling its memory.

mod reader;
mod writer;

pub use reader::Reader;
pub use writer::{Writer, encode_frame};

/// Largest frame that a reader accepts, in bytes. Configuration documents are the largest frames.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the big-endian length in front of each frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
