//! Reading from a client whose request has been read: what it sends ahead, and whether it has
//! disconnected.
use super::ClientConnection;
use crate::traits::{Runtime, sleep};
use async_channel::Receiver;
use futures_lite::future::{poll_once, yield_now};
use futures_lite::{AsyncRead, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall_protocol::client::Answer;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

/// Size of one read beyond the buffers.
pub(crate) const DISCARD_READ_BYTES: usize = 64 * 1024;
/// Number of bytes beyond the buffers that are discarded without a pause: more than the system holds
/// of one connection, so that a client that has disconnected behind them is noticed at once.
const UNPACED_DISCARD_BYTES: usize = 64 * 1024 * 1024;
/// Pause after each read beyond that number. A client that never stops costs little CPU.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// First event for a client that waits for an answer.
enum WaitEvent {
    Answered(Answer),
    /// Number of bytes that the client sent; 0 if it disconnected.
    Received(usize),
}

impl<R: Runtime> ClientConnection<R> {
    /// Waits for the answer to a request of `request_bytes`. Returns `None` if the client
    /// disconnects first. A client that closes only its sending side cannot be distinguished from
    /// one that disconnects, and counts as such.
    ///
    /// Bytes that the client sends meanwhile are buffered up to the limits and discarded beyond
    /// them, so that a disconnect is detected behind any number of bytes.
    pub(super) async fn wait_for_answer(
        &mut self,
        answer: &Receiver<Answer>,
        request_bytes: usize,
    ) -> Option<Answer> {
        let mut discarded_bytes = 0;
        loop {
            self.update_overflow(request_bytes);
            let answered = async { answer.recv().await.ok().map(WaitEvent::Answered) };
            let received = async { Some(WaitEvent::Received(self.receive().await)) };
            match answered.or(received).await? {
                WaitEvent::Answered(answer) => return Some(answer),
                WaitEvent::Received(0) => return None,
                WaitEvent::Received(count) => discarded_bytes += self.keep_or_discard(count),
            }
            self.take_turns(discarded_bytes).await;
        }
    }

    /// Returns whether the client has sent more than the request that was read last.
    pub(super) fn has_sent_ahead(&self) -> bool {
        self.has_overflowed || !self.reader.is_idle()
    }

    /// Reads what the client has sent behind a request of `request_bytes`. Returns false if it has
    /// disconnected.
    pub(super) async fn read_ahead(&mut self, request_bytes: usize) -> bool {
        let mut discarded_bytes = 0;
        while discarded_bytes < UNPACED_DISCARD_BYTES {
            self.update_overflow(request_bytes);
            match poll_once(self.receive()).await {
                None => return true,
                Some(0) => return false,
                Some(count) => discarded_bytes += self.keep_or_discard(count),
            }
            yield_now().await;
        }
        true
    }

    fn update_overflow(&mut self, request_bytes: usize) {
        let held_bytes = request_bytes + self.reader.buffered_bytes();
        self.has_overflowed |= !self.reader.has_capacity() || !self.slot.reserve_bytes(held_bytes);
    }

    /// Reads once, into the connection's own buffer or beyond it. Returns 0 at the end of the
    /// connection.
    async fn receive(&mut self) -> usize {
        let ClientConnection {
            context,
            stream,
            buffer,
            has_overflowed,
            ..
        } = self;
        let read = poll_fn(|cx| {
            let stream = Pin::new(&mut *stream);
            if *has_overflowed {
                stream.poll_read(cx, &mut context.discard_buffer.borrow_mut())
            } else {
                stream.poll_read(cx, buffer)
            }
        });
        read.await.unwrap_or(0)
    }

    /// Keeps received bytes within the limits. Returns the number of bytes that were discarded.
    fn keep_or_discard(&mut self, count: usize) -> usize {
        if self.has_overflowed {
            return count;
        }
        self.feed(count);
        0
    }

    /// Lets other tasks run. A client that sends faster than this task reads must not block them.
    async fn take_turns(&self, discarded_bytes: usize) {
        let is_paced = discarded_bytes >= UNPACED_DISCARD_BYTES
            || (discarded_bytes > 0 && is_active(Mutation::IgnoreBytesSentAhead));
        if !is_paced {
            yield_now().await;
        } else {
            sleep(&self.context.runtime, DISCARD_PAUSE).await;
        }
    }
}
