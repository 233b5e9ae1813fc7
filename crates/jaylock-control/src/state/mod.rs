//! The replicated state machine that the log entries are applied to.

mod changes;
mod claims;
mod departures;
mod document;
mod evacuations;
mod events;
mod fleet;
mod keys;
mod recent;
mod results;
mod sorted;

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{
    Applied, Change, Command, Configuration, Document, Done, Entry, Event, Member, WatchReply,
};
use prost::Message;

use self::claims::Claims;
use self::events::EventLog;
use self::recent::RecentChanges;
use self::results::Results;
use crate::storage::Snapshot;

pub use self::departures::has_departed;
pub use self::document::{KeyRequirement, key_requirement};
pub(crate) use self::document::{check_shared_keys, validate};
pub use self::evacuations::{find_evacuation, is_evacuated, is_known_domain};
pub(crate) use self::fleet::{find_instance, put_member, remove_member};

/// The state after applying the entries up to an index; equal on all replicas.
#[derive(Debug, Default)]
pub(crate) struct State {
    index: u64,
    term: u64,
    at_ms: u64,
    configuration: Rc<Configuration>,
    /// Made for the first watcher or reader that needs it, and shared by the others.
    encoded_configuration: OnceCell<Bytes>,
    results: Results,
    claims: Claims,
    events: EventLog,
    recent_changes: RecentChanges,
    /// Source text of the active document.
    document_source: Bytes,
}

/// Who makes a kind of change to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeKind {
    /// An operator; the change raises revision and index.
    Operator,
    /// The fleet itself; the change raises only the index.
    Fleet,
    /// The command does not change the configuration and raises neither.
    Other,
}

impl State {
    /// The state before the first entry.
    pub fn initial(members: Vec<Member>) -> Self {
        let configuration = Configuration {
            members,
            ..Configuration::default()
        };
        Self {
            configuration: Rc::new(configuration),
            ..Self::default()
        }
    }

    /// Restores the state from a snapshot.
    pub fn restore(snapshot: Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            at_ms: snapshot.at_ms,
            configuration: Rc::new(evacuations::derive_domains(
                snapshot.configuration.unwrap_or_default(),
            )),
            encoded_configuration: OnceCell::new(),
            results: Results::restore(snapshot.results, snapshot.evicted_ms),
            claims: Claims::restore(snapshot.claims, snapshot.last_sweep_ms),
            events: EventLog::restore(snapshot.events),
            recent_changes: RecentChanges::default(),
            document_source: snapshot.document_source,
        }
    }

    /// Makes a snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.index,
            term: self.term,
            at_ms: self.at_ms,
            configuration: Some((*self.configuration).clone()),
            results: self.results.to_records(),
            evicted_ms: self.results.evicted_ms(),
            claims: self.claims.records(),
            last_sweep_ms: self.claims.last_sweep_ms(),
            events: self.events.newest(u32::MAX),
            document_source: self.document_source.clone(),
        }
    }

    /// Index of the last entry applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Term of the last entry applied.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time of the last entry applied, Unix ms.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// Source text of the active document; empty before the first one.
    pub fn document_source(&self) -> &Bytes {
        &self.document_source
    }

    /// The configuration as it is sent.
    pub fn encoded_configuration(&self) -> Bytes {
        let encode = || self.configuration.encode_to_vec().into();
        self.encoded_configuration.get_or_init(encode).clone()
    }

    /// What a watcher with the configuration of `index` needs: the changes since then, or the whole configuration if they
    /// are no longer kept.
    pub fn watch_reply(&self, index: u64) -> WatchReply {
        match self.recent_changes.after(index) {
            Some(changes) => WatchReply {
                whole: None,
                changes: changes.cloned().collect(),
            },
            None => self.whole_reply(),
        }
    }

    /// What a watcher needs whose configuration is unknown.
    pub fn whole_reply(&self) -> WatchReply {
        WatchReply {
            whole: Some(self.encoded_configuration()),
            changes: Vec::new(),
        }
    }

    /// Size of what a watcher with the configuration of `index` needs, in bytes.
    pub fn watch_bytes(&self, index: u64) -> usize {
        match self.recent_changes.after(index) {
            Some(changes) => changes.map(Bytes::len).sum(),
            None if index == self.configuration.index => 0,
            None => self.encoded_configuration().len(),
        }
    }

    /// Size of the changes kept for watchers, in bytes of their encoding.
    pub fn change_bytes(&self) -> usize {
        self.recent_changes.bytes()
    }

    /// The newest `max` events, oldest first.
    pub fn events(&self, max: u32) -> Vec<Event> {
        self.events.newest(max)
    }

    /// Applies the next entry and returns the result of its command.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.index = entry.index;
        self.term = entry.term;
        self.at_ms = self.at_ms.max(entry.at_ms);
        self.claims.sweep(self.at_ms);
        let Some(command) = &entry.command else {
            return self.applied(Outcome::Done(Done {}));
        };
        if let Some(first) = self.results.find(&command.id) {
            return first.clone();
        }
        let outcome = self.execute(command);
        let applied = self.applied(outcome);
        if is_deduplicated(command) {
            self.results
                .insert(&command.id, applied.clone(), self.at_ms);
        }
        applied
    }

    fn applied(&self, outcome: Outcome) -> Applied {
        Applied {
            index: self.index,
            revision: self.configuration.revision,
            result: Some(outcome),
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        let Some(body) = &command.body else {
            return refused("the command is empty: send one of the known changes");
        };
        let revision = self.configuration.revision;
        if command.expected_revision.is_some_and(|e| e != revision) {
            return Outcome::Conflict(revision);
        }
        if is_deduplicated(command) && self.results.may_be_evicted(&command.id) {
            return refused(
                "the command is older than the answers that are remembered: read the configuration and send it under a new id",
            );
        }
        match self.execute_body(command, body) {
            Ok(outcome) => outcome,
            Err(reason) => Outcome::Refused(reason),
        }
    }

    fn execute_body(&mut self, command: &Command, body: &Body) -> Result<Outcome, String> {
        match body {
            Body::Claim(claim) => return self.claims.claim(claim, self.at_ms, &self.configuration),
            Body::Settle(settle) => return self.claims.settle(settle),
            Body::ReleaseClaim(release) => return self.claims.release(release),
            Body::RecordEvent(event) => {
                self.record_event(&event.part, event.text.clone());
                return Ok(Outcome::Done(Done {}));
            }
            Body::Noop(_) => return Ok(Outcome::Done(Done {})),
            Body::PutDocument(document) if self.is_superseded(document)? => {
                return Ok(Outcome::Done(Done {}));
            }
            Body::SetEvacuation(order) => {
                let unchanged = evacuations::result_without_change(&self.configuration, order)?;
                if let Some(outcome) = unchanged {
                    return Ok(outcome);
                }
            }
            _ => {}
        }
        // A copy is made only while somebody reads the present one; a refused change has no effect on either.
        let next = Rc::make_mut(&mut self.configuration);
        let change = changes::apply_change(next, body, self.index, self.at_ms)?;
        if is_operator_change(body) {
            next.revision += 1;
        }
        self.recent_changes.push(&Change {
            prior_index: next.index,
            index: self.index,
            revision: next.revision,
            at_ms: self.at_ms,
            command: Some(document::without_source(command)),
        });
        self.encoded_configuration.take();
        next.index = self.index;
        if let Body::PutDocument(document) = body {
            self.document_source.clone_from(&document.source);
        }
        if let Body::RemoveInstance(gone) = body {
            self.claims.orphan(&gone.id, gone.incarnation);
        }
        if let Body::PutInstance(instance) = body {
            self.claims.orphan(&instance.id, instance.incarnation - 1);
        }
        if let Some(text) = change.event {
            self.record_event("control", text);
        }
        Ok(change.outcome)
    }

    /// The result of a command that was sent before, or whose document is in force already.
    pub fn first_result(&self, command: &Command) -> Option<Applied> {
        let Some(Body::PutDocument(document)) = &command.body else {
            return None;
        };
        if let Some(first) = self.results.find(&command.id) {
            return Some(first.clone());
        }
        let is_done = command.expected_revision.is_none() && self.is_in_force(document);
        is_done.then(|| self.applied(Outcome::Done(Done {})))
    }

    /// The result of a command that is known without an entry: that of a document which a document in force replaces.
    ///
    /// A document has several megabytes, and whoever gets no answer in time sends it again.
    pub fn known_result(
        &self,
        command: &Command,
        validity: &Result<(), String>,
    ) -> Option<Applied> {
        let Some(Body::PutDocument(document)) = &command.body else {
            return None;
        };
        let first = self.first_result(command);
        if first.is_some() || command.expected_revision.is_some() {
            return first;
        }
        if let Err(reason) = validity {
            return Some(self.applied(Outcome::Refused(reason.clone())));
        }
        let is_superseded = document::is_superseded(&self.configuration, document);
        is_superseded.then(|| self.applied(Outcome::Done(Done {})))
    }

    /// Whether a document is the one in force, word for word.
    fn is_in_force(&self, document: &Document) -> bool {
        document.version == self.configuration.document_version
            && !document.source.is_empty()
            && document.source == self.document_source
    }

    /// Whether a document in force replaces a valid document; the error says why the document is invalid.
    fn is_superseded(&self, document: &Document) -> Result<bool, String> {
        if self.is_in_force(document) {
            return Ok(true);
        }
        document::validate(document)?;
        Ok(document::is_superseded(&self.configuration, document))
    }

    fn record_event(&mut self, part: &str, text: String) {
        self.events.push(Event {
            index: self.index,
            at_ms: self.at_ms,
            part: part.into(),
            text,
        });
    }
}

/// Applies a committed change to the configuration that directly precedes it.
///
/// Returns `None` if `current` is not that configuration, or if the kind of change is unknown.
pub(crate) fn apply_change(current: &mut Rc<Configuration>, change: &Change) -> Option<()> {
    if change.prior_index != current.index {
        return None;
    }
    let body = change.command.as_ref()?.body.as_ref()?;
    let next = Rc::make_mut(current);
    changes::apply_change(next, body, change.index, change.at_ms).ok()?;
    next.index = change.index;
    next.revision = change.revision;
    Some(())
}

/// Whether a change is made by operators, not by the fleet itself.
#[must_use]
pub fn is_operator_change(body: &Body) -> bool {
    change_kind(body) == ChangeKind::Operator
}

fn change_kind(body: &Body) -> ChangeKind {
    match body {
        Body::PutOrganisation(_)
        | Body::RemoveOrganisation(_)
        | Body::PutModel(_)
        | Body::RemoveModel(_)
        | Body::PutAdapter(_)
        | Body::RemoveAdapter(_)
        | Body::PutService(_)
        | Body::RemoveService(_)
        | Body::DrainBackend(_)
        | Body::UndrainBackend(_)
        | Body::PutRoute(_)
        | Body::RemoveRoute(_)
        | Body::PutDocument(_)
        | Body::RequireKeys(_) => ChangeKind::Operator,
        Body::PutInstance(_)
        | Body::RemoveInstance(_)
        | Body::SetEvacuation(_)
        | Body::AssignPool(_)
        | Body::PutQuarantine(_)
        | Body::PutCrashCause(_)
        | Body::PutDeparture(_)
        | Body::IssueOrder(_)
        | Body::PutMember(_)
        | Body::RemoveMember(_) => ChangeKind::Fleet,
        Body::Claim(_)
        | Body::Settle(_)
        | Body::ReleaseClaim(_)
        | Body::RecordEvent(_)
        | Body::Noop(_) => ChangeKind::Other,
    }
}

/// Whether the result of a command is kept, so that a retry gets the same result.
///
/// Commands about claims handle retries themselves, and all others come only from the leader.
fn is_deduplicated(command: &Command) -> bool {
    let Some(body) = &command.body else {
        return false;
    };
    is_operator_change(body)
        || matches!(
            body,
            Body::SetEvacuation(_)
                | Body::PutQuarantine(_)
                | Body::PutCrashCause(_)
                | Body::PutDeparture(_)
                | Body::IssueOrder(_)
                | Body::RecordEvent(_)
        )
}

fn refused(reason: &str) -> Outcome {
    Outcome::Refused(reason.into())
}
