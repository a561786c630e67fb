//! The learner: commits chosen documents, but never an older one than the committed one.
use super::types::AfterPersist;
use super::{Document, DocumentId, Effect, Register};
use rosewall::mutation::{Mutation, is_active};
use std::rc::Rc;

impl Register {
    /// Commits a document that was fetched on [`Effect::Fetch`]; returns false if it is not the chosen
    /// one.
    pub fn handle_fetched(
        &mut self,
        chosen: DocumentId,
        document: Document,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if document.id() != chosen && !is_active(Mutation::ApplyPartialDocument) {
            self.malformed += 1;
            return false;
        }
        self.commit(Rc::new(document), effects);
        true
    }

    /// Commits the accepted document if it is the chosen one; otherwise fetches the chosen one.
    pub(super) fn handle_chosen(&mut self, chosen: DocumentId, effects: &mut Vec<Effect>) {
        if chosen.version <= self.persistent.committed.version {
            return;
        }
        let is_chosen = |document: &Rc<Document>| {
            document.version == chosen.version
                && (document.digest() == chosen.digest || is_active(Mutation::SkipDigestCheck))
        };
        let accepted = self.persistent.accepted.as_ref();
        let accepted = accepted.map(|value| value.document.clone());
        match accepted.filter(is_chosen) {
            Some(document) => self.commit(document, effects),
            None => effects.push(Effect::Fetch(chosen)),
        }
    }

    /// Applies a chosen document once it is persisted, unless a newer one is committed.
    pub(super) fn commit(&mut self, document: Rc<Document>, effects: &mut Vec<Effect>) {
        if document.version <= self.persistent.committed.version
            && !is_active(Mutation::ApplyOlderDocument)
        {
            return;
        }
        self.persistent.committed = document.clone();
        self.persist(AfterPersist::Commit(document), effects);
    }
}
