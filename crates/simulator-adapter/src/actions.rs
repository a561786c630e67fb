//! Encoding of actions as records of a reply.
use crate::codec::Reply;
use crate::codes::{PEER_LOAD_LENGTH, action};
use rosewall::types::{Action, PeerLoad, RequestId, WorkerId};

/// Time-out of an attempt in nanoseconds; 0 for none. An attempt lasts until its client gives up.
const NO_TIMEOUT: u64 = 0;

/// Field of [`action::WATCH_ENDPOINTS`] that subscribes to changes of the endpoint list.
const WATCH: u8 = 1;

/// Adds a record that names the instance of the following records.
pub fn write_instance(instance: u32, reply: &mut Reply) {
    reply.record(action::INSTANCE, &[&instance.to_le_bytes()]);
}

/// Adds the record of one action to the reply.
pub fn write(action: &Action, reply: &mut Reply) {
    match action {
        // The simulator sends at once, so the send deadline cannot pass.
        Action::SendAttempt {
            request_id, worker, ..
        } => send_attempt(*request_id, *worker, reply),
        // Defined by the protocol, although the policy requests no health checks.
        Action::CheckHealth { worker } => reply.record(
            action::CHECK_HEALTH,
            &[&worker.addr, &worker.port.to_le_bytes()],
        ),
        Action::Reject {
            request_id,
            retry_after,
        } => reply.record(
            action::REJECT,
            &[&request_id.to_le_bytes(), &retry_after.to_le_bytes()],
        ),
        Action::Fail { request_id } => reply.record(action::FAIL, &[&request_id.to_le_bytes()]),
        Action::WatchEndpoints => reply.record(action::WATCH_ENDPOINTS, &[&[WATCH]]),
        Action::SendPeerLoad { to, load } => send_peer_load(*to, load, reply),
        // The simulator's dispatchers are not members of a cluster, so these actions have no
        // recipient.
        Action::RequestWarmUpGrant { .. } | Action::SetWarmUpBudget { .. } => {}
        Action::SetTimer { at, token } => reply.record(
            action::SET_TIMER,
            &[&at.to_le_bytes(), &token.to_le_bytes()],
        ),
        Action::Log(text) => log(text, reply),
    }
}

fn send_attempt(request_id: RequestId, worker: WorkerId, reply: &mut Reply) {
    reply.record(
        action::SEND_ATTEMPT,
        &[
            &request_id.to_le_bytes(),
            &worker.addr,
            &worker.port.to_le_bytes(),
            &NO_TIMEOUT.to_le_bytes(),
        ],
    );
}

fn send_peer_load(to: u16, load: &PeerLoad, reply: &mut Reply) {
    reply.record(
        action::PEER_MESSAGE,
        &[
            &to.to_le_bytes(),
            &PEER_LOAD_LENGTH.to_le_bytes(),
            &load.worker.addr,
            &load.worker.port.to_le_bytes(),
            &[load.half_slots],
            &load.work_units.to_le_bytes(),
            &[load.speed_code],
        ],
    );
}

fn log(text: &str, reply: &mut Reply) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    reply.record(action::LOG, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
}
