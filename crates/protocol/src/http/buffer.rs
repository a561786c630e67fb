//! Buffer for received bytes that no reader has consumed yet.
use super::{HttpError, MAX_HEAD_BYTES};
use rosewall::mutation::{Mutation, is_active};

/// Memory that an empty buffer keeps for the next message, in bytes.
const MAX_IDLE_CAPACITY: usize = 16 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Received bytes that have not been consumed yet.
#[derive(Default)]
pub struct ReadBuffer {
    /// The bytes, oldest first.
    pub bytes: Vec<u8>,
    /// Number of bytes that have been searched for the end of a head.
    scanned: usize,
}

impl ReadBuffer {
    /// Returns the length of the head at the front once it is complete.
    ///
    /// # Errors
    /// [`HttpError::HeadTooLarge`] if the head is longer than [`MAX_HEAD_BYTES`].
    pub fn head_length(&mut self) -> Result<Option<usize>, HttpError> {
        // Only new bytes are searched, so that a head that arrives byte by byte costs linear time.
        let start = self.scanned.saturating_sub(END_OF_HEAD.len() - 1);
        let head_end = self.bytes[start..]
            .windows(END_OF_HEAD.len())
            .position(|window| window == END_OF_HEAD)
            .map(|at| start + at + END_OF_HEAD.len());
        self.scanned = self.bytes.len();
        match head_end {
            Some(end) if end <= MAX_HEAD_BYTES => Ok(Some(end)),
            None if self.bytes.len() <= MAX_HEAD_BYTES => Ok(None),
            _ => Err(HttpError::HeadTooLarge),
        }
    }

    /// Removes `count` bytes at the front. An empty buffer keeps no more memory than a usual head
    /// needs.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.scanned = 0;
        let is_idle = self.bytes.is_empty() && !is_active(Mutation::KeepBufferMemory);
        if is_idle && self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = Vec::new();
        }
    }

    /// Removes line ends at the front, which may precede a request.
    pub fn skip_empty_lines(&mut self) {
        let count = self
            .bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        if count > 0 {
            self.consume(count);
        }
    }
}
