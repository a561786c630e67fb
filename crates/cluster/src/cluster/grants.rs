//! Exchange of warm-up grants between this process, the lease holder and the dispatch decisions.
use super::{Cluster, Effect};
use crate::datagram::Part;
use crate::grants::{GrantRequest, GrantTerms, RequesterId, WORK_UNIT};
use crate::member::MemberRecord;
use crate::time::MILLISECOND;
use rosewall::types::{Nanos, WorkerId};
use std::net::SocketAddr;

/// The lease holder, which answers this process's grant requests.
enum Issuer {
    ThisProcess,
    Member(SocketAddr),
}

/// Converts the terms of a grant from the units of a datagram.
pub(super) fn terms_of(work_ms: u32, validity_ms: u16) -> GrantTerms {
    GrantTerms {
        work: Nanos::from(work_ms) * WORK_UNIT,
        validity: Nanos::from(validity_ms) * MILLISECOND,
    }
}

impl Cluster {
    /// Requests a grant to send `work`, in ns of one concurrency slot, to a warming worker.
    ///
    /// No request is sent while the process is on standby, no lease holder is known, or the quota of
    /// requests is used up.
    pub fn request_grant(
        &mut self,
        now: Nanos,
        worker: WorkerId,
        work: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        // Rounded up so that the grant covers the request.
        let Ok(work_ms) = u32::try_from(work.div_ceil(WORK_UNIT)) else {
            return;
        };
        if self.membership.is_standby() || self.quorum.is_empty() {
            return;
        }
        let Some(issuer) = self.issuer(now) else {
            return;
        };
        let work = Nanos::from(work_ms) * WORK_UNIT;
        let Some(seq) = self.grant_holder.start_request(now, worker, work) else {
            return;
        };
        match issuer {
            Issuer::ThisProcess => {
                let request = GrantRequest {
                    requester: RequesterId::of(self.membership.own_record()),
                    seq,
                    worker,
                    work,
                };
                // The default terms are a refusal, which ends the pending request.
                let terms = self.issue_grant(now, request).unwrap_or_default();
                self.accept_grant(now, seq, worker, terms, effects);
            }
            Issuer::Member(addr) => {
                let request = Part::GrantRequest {
                    seq,
                    worker,
                    work_ms,
                };
                self.outbox.send(addr, vec![request]);
            }
        }
        self.flush(effects);
    }

    /// Sets the work that the fleet may send to a warming worker by grants in each window; 0 ends the
    /// warm-up.
    pub fn set_warm_up_budget(&mut self, worker: WorkerId, work: Nanos, window: Nanos) {
        self.grant_issuer.set_budget(worker, work, window);
    }

    /// Returns the lease holder known to this process, if any.
    fn issuer(&self, now: Nanos) -> Option<Issuer> {
        if self.lease_candidate.holds(now) {
            return Some(Issuer::ThisProcess);
        }
        let records = self.quorum.iter().filter_map(|name| {
            let member = self.membership.get(name)?;
            Some(&member.record)
        });
        let mut issuers = records.filter(|record| record.issues_grants && record.state.is_live());
        issuers.next().map(|record| Issuer::Member(record.addr))
    }

    fn issue_grant(&mut self, now: Nanos, request: GrantRequest) -> Option<GrantTerms> {
        let lease_since = self.lease_candidate.held_since(now)?;
        self.grant_issuer.issue(now, lease_since, request)
    }

    /// Answers a request of another process. A refusal is not answered: the requester sends a new
    /// request, and a duplicate was answered before.
    pub(super) fn handle_grant_request(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &MemberRecord,
        seq: u32,
        worker: WorkerId,
        work_ms: u32,
    ) {
        let request = GrantRequest {
            requester: RequesterId::of(sender),
            seq,
            worker,
            work: Nanos::from(work_ms) * WORK_UNIT,
        };
        if let Some(terms) = self.issue_grant(now, request) {
            let grant = Part::Grant {
                seq,
                worker,
                work_ms: (terms.work / WORK_UNIT) as u32,
                validity_ms: (terms.validity / MILLISECOND) as u16,
            };
            self.outbox.send(from, vec![grant]);
        }
    }

    pub(super) fn accept_grant(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        terms: GrantTerms,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(grant) = self.grant_holder.accept(now, seq, worker, terms) {
            effects.push(Effect::WarmUpGranted {
                worker,
                work: grant.work,
                until: grant.expires_at,
            });
        }
    }
}
