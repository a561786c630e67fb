//! Permission to send an attempt. It is checked at the moment at which bytes are written, as the
//! limits of the decision to send may pass while the attempt waits.
use crate::traits::{Runtime, nanos};
use futures_lite::FutureExt;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, Outcome};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::task::{Poll, Waker};
use std::time::Duration;
use thiserror::Error;

/// Reason why a request was not written to its last byte, so that it did not run.
#[derive(Debug, Error)]
pub(super) enum SendError {
    /// The send deadline has passed, or the permit was revoked.
    #[error("the attempt may no longer be sent")]
    NotPermitted,
    /// The time-out that the request states no longer matches the time left.
    #[error("the stated time-out is out of date")]
    StaleTimeout,
    /// The worker did not accept the connection or the bytes in time.
    #[error("not accepted in time")]
    TimedOut,
    /// The connection could not be opened, or has failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
}

impl SendError {
    /// Returns the outcome of an attempt on a new connection. Only failures of the worker or the
    /// network count as a failed connection.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            SendError::NotPermitted | SendError::StaleTimeout => Outcome::NotSent,
            SendError::TimedOut | SendError::Connection(_) => Outcome::ConnectFailed,
        }
    }
}

/// Permission to write the last byte of one attempt. Has no effect once that byte is written.
pub struct SendPermit {
    send_by: Cell<Nanos>,
    is_revoked: Cell<bool>,
    /// Whether the permit has changed since [`SendPermit::changed`] last completed.
    has_changed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl SendPermit {
    /// Creates a permit that holds before `send_by`.
    pub fn new(send_by: Nanos) -> Self {
        SendPermit {
            send_by: Cell::new(send_by),
            is_revoked: Cell::new(false),
            has_changed: Cell::new(false),
            waker: RefCell::new(None),
        }
    }

    /// Ends the permit.
    pub fn revoke(&self) {
        self.is_revoked.set(true);
        self.notify();
    }

    /// Ends the permit at `send_by`, unless it ends sooner.
    pub fn advance(&self, send_by: Nanos) {
        self.send_by.set(self.send_by.get().min(send_by));
        self.notify();
    }

    /// Returns whether the permit holds.
    pub fn holds(&self, now: Nanos) -> bool {
        let in_time = now < self.send_by.get() || is_active(Mutation::IgnoreSendDeadline);
        in_time && !self.is_revoked.get()
    }

    fn notify(&self) {
        self.has_changed.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the permit is revoked or its end changes.
    async fn changed(&self) {
        poll_fn(|cx| {
            if self.has_changed.take() {
                return Poll::Ready(());
            }
            self.waker.borrow_mut().replace(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until the permit no longer holds, or for ever if it holds at `limit`.
    async fn ended<R: Runtime>(&self, runtime: &R, limit: Nanos) {
        while self.holds(runtime.now()) {
            let send_by = self.send_by.get();
            if send_by < limit && !is_active(Mutation::IgnoreSendDeadline) {
                runtime.sleep_until(send_by).or(self.changed()).await;
            } else {
                self.changed().await;
            }
        }
    }
}

/// Runs one step of sending. Ends it with [`SendError::NotPermitted`] as soon as the permit no longer
/// holds, and with [`SendError::TimedOut`] if it takes longer than `limit`.
pub(super) async fn while_permitted<R: Runtime, T>(
    runtime: &R,
    permit: &SendPermit,
    limit: Duration,
    step: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    let limit = runtime.now().saturating_add(nanos(limit));
    let permit_ended = async {
        permit.ended(runtime, limit).await;
        Err(SendError::NotPermitted)
    };
    let timed_out = async {
        runtime.sleep_until(limit).await;
        Err(SendError::TimedOut)
    };
    permit_ended.or(step).or(timed_out).await
}
