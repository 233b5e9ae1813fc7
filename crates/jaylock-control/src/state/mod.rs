//! The state machine: what the entries of the log amount to.

mod answers;
mod changes;
mod claims;
mod document;
mod events;
mod fleet;
mod ordered;
mod recent;

use std::rc::Rc;

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Change, Command, Configuration, Done, Entry, Event, Member};

use self::answers::Answers;
use self::claims::Claims;
use self::events::Events;
use self::recent::Recent;
use crate::storage::Snapshot;

pub(crate) use self::fleet::{find_instance, put_member, remove_member};

/// The state after the entries up to an index; equal on every replica.
#[derive(Debug, Default)]
pub(crate) struct State {
    index: u64,
    term: u64,
    at_ms: u64,
    configuration: Rc<Configuration>,
    answers: Answers,
    claims: Claims,
    events: Events,
    recent: Recent,
    /// The document in force as its author wrote it.
    source: Vec<u8>,
}

/// Whether a command is a decision of operators, the fleet's own, or leaves the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// Raises revision and index.
    Operator,
    /// Raises the index alone.
    Fleet,
    /// Raises neither.
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

    /// The state that an snapshot holds.
    pub fn restore(snapshot: Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            at_ms: snapshot.at_ms,
            configuration: Rc::new(snapshot.configuration.unwrap_or_default()),
            answers: Answers::restore(snapshot.answers, snapshot.forgotten_ms),
            claims: Claims::restore(snapshot.claims, snapshot.swept_ms),
            events: Events::restore(snapshot.events),
            recent: Recent::default(),
            source: snapshot.source,
        }
    }

    /// An snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.index,
            term: self.term,
            at_ms: self.at_ms,
            configuration: Some((*self.configuration).clone()),
            answers: self.answers.records(),
            forgotten_ms: self.answers.forgotten_ms(),
            claims: self.claims.records(),
            swept_ms: self.claims.swept_ms(),
            events: self.events.newest(u32::MAX),
            source: self.source.clone(),
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

    /// The document in force as its author wrote it; empty before the first one.
    pub fn source(&self) -> &[u8] {
        &self.source
    }

    /// The changes since the configuration of an index, unless they are no longer at hand.
    pub fn changes_after(&self, index: u64) -> Option<Vec<Change>> {
        self.recent.after(index)
    }

    /// The newest `most` events, oldest first.
    pub fn events(&self, most: u32) -> Vec<Event> {
        self.events.newest(most)
    }

    /// Applies the next entry and says what became of its command.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.index = entry.index;
        self.term = entry.term;
        self.at_ms = self.at_ms.max(entry.at_ms);
        self.claims.sweep(self.at_ms);
        let Some(command) = &entry.command else {
            return self.applied(Outcome::Done(Done {}));
        };
        if let Some(first) = self.answers.find(&command.id) {
            return first.clone();
        }
        let outcome = self.execute(command);
        let applied = self.applied(outcome);
        if is_remembered(command) {
            self.answers
                .remember(&command.id, applied.clone(), self.at_ms);
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
        if is_remembered(command) && self.answers.is_forgotten(&command.id) {
            return refused(
                "the command is older than the answers that are remembered: read the configuration and send it under a new id",
            );
        }
        match self.change(command, body) {
            Ok(outcome) => outcome,
            Err(reason) => Outcome::Refused(reason),
        }
    }

    fn change(&mut self, command: &Command, body: &Body) -> Result<Outcome, String> {
        match body {
            Body::Claim(claim) => return self.claims.claim(claim, self.at_ms, &self.configuration),
            Body::Settle(settle) => return self.claims.settle(settle),
            Body::ReleaseClaim(release) => return self.claims.release(release),
            Body::RecordEvent(event) => {
                self.record(&event.part, event.text.clone());
                return Ok(Outcome::Done(Done {}));
            }
            Body::Noop(_) => return Ok(Outcome::Done(Done {})),
            Body::PutDocument(document) => {
                document::validate(document)?;
                if document::is_overtaken(&self.configuration, document) {
                    return Ok(Outcome::Done(Done {}));
                }
            }
            _ => {}
        }
        // The change is tried on a copy that is shared with nobody, so that a refusal leaves no trace.
        let mut next = (*self.configuration).clone();
        let change = changes::change(&mut next, body, self.index, self.at_ms)?;
        if is_operator_change(body) {
            next.revision += 1;
        }
        next.index = self.index;
        self.recent.push(Change {
            prior_index: self.configuration.index,
            index: next.index,
            revision: next.revision,
            at_ms: self.at_ms,
            command: Some(document::without_source(command)),
        });
        self.configuration = Rc::new(next);
        if let Body::PutDocument(document) = body {
            self.source.clone_from(&document.source);
        }
        if let Body::RemoveInstance(gone) = body {
            self.claims.lose(&gone.id, gone.incarnation);
        }
        if let Body::PutInstance(instance) = body {
            self.claims.lose(&instance.id, instance.incarnation - 1);
        }
        if let Some(text) = change.event {
            self.record("control", text);
        }
        Ok(change.outcome)
    }

    fn record(&mut self, part: &str, text: String) {
        self.events.push(Event {
            index: self.index,
            at_ms: self.at_ms,
            part: part.into(),
            text,
        });
    }
}

/// Makes a committed change to the configuration that it was made to.
///
/// Returns nothing when it was made to another one, or is of a kind that is not known here.
pub(crate) fn follow(current: &Configuration, change: &Change) -> Option<Configuration> {
    if change.prior_index != current.index {
        return None;
    }
    let body = change.command.as_ref()?.body.as_ref()?;
    let mut next = current.clone();
    changes::change(&mut next, body, change.index, change.at_ms).ok()?;
    next.index = change.index;
    next.revision = change.revision;
    Some(next)
}

/// Whether a change is a decision of operators; the others are the fleet's own.
#[must_use]
pub fn is_operator_change(body: &Body) -> bool {
    class(body) == Class::Operator
}

fn class(body: &Body) -> Class {
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
        | Body::PutDocument(_) => Class::Operator,
        Body::PutInstance(_)
        | Body::RemoveInstance(_)
        | Body::AssignPool(_)
        | Body::PutQuarantine(_)
        | Body::IssueOrder(_)
        | Body::PutMember(_)
        | Body::RemoveMember(_) => Class::Fleet,
        Body::Claim(_)
        | Body::Settle(_)
        | Body::ReleaseClaim(_)
        | Body::RecordEvent(_)
        | Body::Noop(_) => Class::Other,
    }
}

/// Whether a resend gets the remembered answer.
///
/// Claims answer a resend by themselves, and the rest comes from the leader alone.
fn is_remembered(command: &Command) -> bool {
    let Some(body) = &command.body else {
        return false;
    };
    is_operator_change(body)
        || matches!(
            body,
            Body::PutQuarantine(_) | Body::IssueOrder(_) | Body::RecordEvent(_)
        )
}

fn refused(reason: &str) -> Outcome {
    Outcome::Refused(reason.into())
}
