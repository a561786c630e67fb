//! When the bytes of a connection were read.
use rosewall::types::Nanos;
use std::collections::VecDeque;

/// Bytes read within this time count as read together: deadlines allow for as much.
const RESOLUTION: Nanos = 5_000_000;
/// Maximum number of times kept. Beyond it, bytes count as read with the ones before.
const MAX_READS: usize = 256;

/// Bytes that were read together.
#[derive(Debug)]
struct Read {
    /// Number of bytes of the connection up to and including these.
    end: u64,
    at: Nanos,
}

/// Times at which the bytes of one connection were read, as far as they are still buffered. The
/// deadline of a request counts from its last byte, which may be read long before the request ahead
/// of it is answered.
#[derive(Debug, Default)]
pub struct ReadTimes {
    reads: VecDeque<Read>,
    read_bytes: u64,
}

impl ReadTimes {
    /// Records that `count` more bytes were read.
    pub fn record(&mut self, now: Nanos, count: usize) {
        self.read_bytes += count as u64;
        let is_full = self.reads.len() >= MAX_READS;
        match self.reads.back_mut() {
            Some(last) if is_full || now < last.at + RESOLUTION => last.end = self.read_bytes,
            _ => self.reads.push_back(Read {
                end: self.read_bytes,
                at: now,
            }),
        }
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.reads.len()
    }

    /// Returns when the last byte before the `unused` newest ones was read, and forgets the times of
    /// all bytes before it; `None` if no byte was read.
    pub fn time_before(&mut self, unused: usize) -> Option<Nanos> {
        let end = self.read_bytes.saturating_sub(unused as u64);
        while self.reads.len() > 1 && self.reads.front().is_some_and(|read| read.end < end) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}
