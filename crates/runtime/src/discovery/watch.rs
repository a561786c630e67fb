//! One watch on the endpoint list: a snapshot or the changes since a known version, followed by
//! later changes.
use super::exchange::{ListAnswer, exchange, first_answer};
use super::follow::Follower;
use crate::event::EngineEvent;
use crate::traits::Runtime;
use rosewall_protocol::discovery::{
    EndpointListError, Watch, decode_endpoint_list, encode_list_request,
};
use std::io;
use std::time::Duration;

/// Reason why a watch ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("request for the endpoint list failed: {0}")]
    RequestFailed(#[source] io::Error),
    #[error("malformed endpoint list: {0}")]
    Malformed(#[source] EndpointListError),
}

impl WatchError {
    /// Returns whether the service did not answer in time.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, WatchError::RequestFailed(error) if error.kind() == io::ErrorKind::TimedOut)
    }
}

impl<R: Runtime> Follower<'_, R> {
    /// Watches the list until a request fails or a list is malformed.
    pub(super) async fn watch(&mut self) -> WatchError {
        self.has_list = false;
        let mut connection = None;
        loop {
            let answer = match self.request_list(connection.take()).await {
                Ok(answer) => answer,
                Err(error) => return WatchError::RequestFailed(error),
            };
            let list = match decode_endpoint_list(&answer.body, &self.context.names) {
                Ok(list) => list,
                Err(error) => {
                    // The next watch starts with a snapshot.
                    self.context.counters.lists_malformed.add();
                    self.version = None;
                    return WatchError::Malformed(error);
                }
            };
            // A delta with an older version means that the service has lost its state: the next
            // request is for a snapshot.
            let version_decreased =
                self.version.is_some_and(|known| list.version < known) && !list.is_snapshot;
            self.has_list = true;
            self.version = (!version_decreased).then_some(list.version);
            self.context.counters.lists.add();
            self.context.report(EngineEvent::EndpointList(list));
            let _ = self.on_list.try_send(());
            connection = answer.reusable.then_some(answer.stream);
        }
    }

    async fn request_list(
        &self,
        connection: Option<R::Stream>,
    ) -> io::Result<ListAnswer<R::Stream>> {
        let runtime = &self.context.runtime;
        let watch = self.version.map(|version| Watch {
            version,
            wait_ms: self.timing.wait_ms,
        });
        let request = encode_list_request(&self.address.to_string(), watch);
        let begin_timeout = watch.map_or(self.timing.snapshot_timeout, |watch| {
            Duration::from_millis(watch.wait_ms) + self.timing.answer_delay
        });
        let call = |connection: Option<R::Stream>| {
            exchange(runtime, self.address, connection, &request, begin_timeout)
        };
        match connection {
            None if watch.is_none() => {
                first_answer(runtime, self.timing.snapshot_retry, || call(None)).await
            }
            connection => call(connection).await,
        }
    }
}
