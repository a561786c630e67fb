//! The table of active requests.
use super::Effect;
use super::request_ids::RequestIds;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, RequestId, WorkerId};
use rosewall_protocol::client::ClientRequest;
use rustc_hash::FxHashMap;
use slab::Slab;

/// Request that is not answered or has an attempt in flight.
pub(super) struct ActiveRequest {
    pub(super) request_id: RequestId,
    pub(super) request: ClientRequest,
    pub(super) deadline: Nanos,
    /// True until the final answer is sent or the client disconnects.
    pub(super) answer_pending: bool,
    /// Worker of each attempt by attempt index; `None` once the attempt has ended or if it was not
    /// sent.
    attempts: Vec<Option<WorkerId>>,
}

impl ActiveRequest {
    pub(super) fn new(request_id: RequestId, request: ClientRequest, deadline: Nanos) -> Self {
        ActiveRequest {
            request_id,
            request,
            deadline,
            answer_pending: true,
            attempts: Vec::new(),
        }
    }

    pub(super) fn attempt_count(&self) -> u8 {
        self.attempts.len() as u8
    }

    pub(super) fn is_in_flight(&self, attempt_index: u8) -> bool {
        self.attempts
            .get(usize::from(attempt_index))
            .is_some_and(Option::is_some)
    }

    /// Adds an attempt to `worker`, or with `None` an attempt that was not sent.
    pub(super) fn add_attempt(&mut self, worker: Option<WorkerId>) {
        self.attempts.push(worker);
    }

    /// Marks an attempt as ended. Returns false if it was not in flight.
    pub(super) fn end_attempt(&mut self, attempt_index: u8) -> bool {
        self.attempts
            .get_mut(usize::from(attempt_index))
            .is_some_and(|worker| worker.take().is_some())
    }

    /// Cancels the attempts in flight to workers for which `selects` is true, unless they are
    /// completely sent.
    pub(super) fn cancel_unsent(
        &self,
        selects: impl Fn(&WorkerId) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        for (attempt_index, worker) in self.attempts.iter().enumerate() {
            if worker.as_ref().is_some_and(&selects) {
                effects.push(Effect::CancelUnsent {
                    request_id: self.request_id,
                    attempt_index: attempt_index as u8,
                });
            }
        }
    }

    /// Advances the send deadlines of the attempts in flight.
    pub(super) fn advance_send_deadlines(&self, send_by: Nanos, effects: &mut Vec<Effect>) {
        for (attempt_index, worker) in self.attempts.iter().enumerate() {
            if worker.is_some() {
                effects.push(Effect::AdvanceSendDeadline {
                    request_id: self.request_id,
                    attempt_index: attempt_index as u8,
                    send_by,
                });
            }
        }
    }

    fn is_complete(&self) -> bool {
        !self.answer_pending && self.attempts.iter().all(Option::is_none)
    }
}

pub(super) struct RequestTable {
    requests: Slab<ActiveRequest>,
    slab_keys: FxHashMap<RequestId, usize>,
    ids: RequestIds,
}

impl RequestTable {
    /// Creates an empty table. `id_seed` makes the digests of client ids unpredictable.
    pub(super) fn new(id_seed: u64) -> Self {
        RequestTable {
            requests: Slab::new(),
            slab_keys: FxHashMap::default(),
            ids: RequestIds::new(id_seed),
        }
    }

    /// Reserves a client id. Returns false if it belongs to a request that is active or was sent
    /// before.
    pub(super) fn reserve_id(&mut self, id: &str) -> bool {
        self.ids.reserve(id)
    }

    pub(super) fn insert(&mut self, active: ActiveRequest) {
        let request_id = active.request_id;
        let key = self.requests.insert(active);
        self.slab_keys.insert(request_id, key);
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn get(&self, request_id: RequestId) -> Option<&ActiveRequest> {
        self.requests.get(*self.slab_keys.get(&request_id)?)
    }

    pub(super) fn get_mut(&mut self, request_id: RequestId) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(*self.slab_keys.get(&request_id)?)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ActiveRequest> {
        self.requests.iter().map(|(_, active)| active)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ActiveRequest> {
        self.requests.iter_mut().map(|(_, active)| active)
    }

    pub(super) fn is_in_flight(&self, request_id: RequestId, attempt_index: u8) -> bool {
        self.get(request_id)
            .is_some_and(|active| active.is_in_flight(attempt_index))
    }

    /// Marks the answer of a request as sent. Returns false if the request is not active or was
    /// answered before. No further attempt is made, so the request's content is dropped even if an
    /// attempt goes on: it no longer counts against the memory limit of its client.
    pub(super) fn take_pending_answer(&mut self, request_id: RequestId) -> bool {
        self.get_mut(request_id).is_some_and(|active| {
            if !is_active(Mutation::KeepContentWithoutClient) {
                active.request.release_content();
            }
            std::mem::take(&mut active.answer_pending)
        })
    }

    /// Removes a request that is answered and has no attempt in flight. Retains its id if an
    /// attempt was made.
    pub(super) fn remove_if_complete(&mut self, request_id: RequestId) {
        let Some(active) = self.get(request_id) else {
            return;
        };
        if is_active(Mutation::LeakRequest) && active.attempts.len() > 1 {
            return;
        }
        if !active.is_complete() {
            return;
        }
        if let Some(key) = self.slab_keys.remove(&request_id) {
            let active = self.requests.remove(key);
            self.retire_id(&active);
        }
    }

    fn retire_id(&mut self, completed: &ActiveRequest) {
        let id = &completed.request.id;
        if completed.attempts.is_empty() {
            self.ids.release(id);
        } else {
            self.ids.retain(id);
        }
    }
}
