//! Checks the consistency of the results that concurrent callers got.

use std::cell::{Cell, RefCell};

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::{Applied, Configuration};
use prost::Message;

/// Observations of callers, followers and lease holders, ordered by one logical clock.
#[derive(Default)]
pub struct History {
    clock: Cell<u64>,
    operations: RefCell<Vec<Operation>>,
    /// Encoded configuration under each index, sorted by index.
    contents: RefCell<Vec<(u64, Vec<u8>)>>,
    reported: RefCell<Vec<String>>,
}

/// A call that got a reply.
struct Operation {
    start: u64,
    end: u64,
    /// Revision that was read, created, or reported in a conflict.
    revision: u64,
    /// Organisation that was created.
    created: Option<String>,
    /// Organisations that were read.
    read: Option<Vec<String>>,
}

impl History {
    pub fn tick(&self) -> u64 {
        self.clock.set(self.clock.get() + 1);
        self.clock.get()
    }

    pub fn add_violation(&self, text: String) {
        self.reported.borrow_mut().push(text);
    }

    pub fn len(&self) -> usize {
        self.operations.borrow().len()
    }

    /// Records the result of a command that creates an organisation.
    pub fn record_write(&self, start: u64, id: &str, applied: &Applied) {
        let (revision, created) = match &applied.result {
            Some(Outcome::Done(_)) => (applied.revision, Some(id.to_owned())),
            Some(Outcome::Conflict(revision)) => (*revision, None),
            other => return self.add_violation(format!("{id} got the result {other:?}")),
        };
        let end = self.tick();
        self.operations.borrow_mut().push(Operation {
            start,
            end,
            revision,
            created,
            read: None,
        });
    }

    pub fn record_read(&self, start: u64, configuration: &Configuration) {
        self.record_content(configuration);
        let names = configuration.organisations.iter().map(|o| o.id.clone());
        let end = self.tick();
        self.operations.borrow_mut().push(Operation {
            start,
            end,
            revision: configuration.revision,
            created: None,
            read: Some(names.collect()),
        });
    }

    /// Records a configuration of any replica; one index must never have two contents.
    pub fn record_content(&self, configuration: &Configuration) {
        let encoded = configuration.encode_to_vec();
        let mut contents = self.contents.borrow_mut();
        match contents.binary_search_by_key(&configuration.index, |(index, _)| *index) {
            Ok(at) if contents[at].1 != encoded => {
                self.add_violation(format!("index {} has two contents", configuration.index));
            }
            Ok(_) => {}
            Err(at) => contents.insert(at, (configuration.index, encoded)),
        }
    }

    /// All violations of the consistency guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.reported.borrow().clone();
        let operations = self.operations.borrow();
        for later in operations.iter() {
            check_content(later, &operations, &mut found);
            for earlier in operations.iter().filter(|o| o.end < later.start) {
                let minimum = earlier.revision + u64::from(later.created.is_some());
                if later.revision < minimum {
                    let (a, b) = (earlier.revision, later.revision);
                    found.push(format!("revision {b} was returned after revision {a}"));
                }
            }
        }
        found
    }
}

/// Checks what an operation read or created against all successful writes.
fn check_content(operation: &Operation, all: &[Operation], found: &mut Vec<String>) {
    for write in all {
        let Some(id) = &write.created else {
            continue;
        };
        if operation.created.as_ref().is_some_and(|own| own != id)
            && operation.revision == write.revision
        {
            found.push(format!("revision {} was created twice", write.revision));
        }
        let Some(read) = &operation.read else {
            continue;
        };
        if read.contains(id) != (write.revision <= operation.revision) {
            let revision = operation.revision;
            found.push(format!(
                "read at revision {revision}: {id}, created in revision {}, is unexpectedly present or missing",
                write.revision
            ));
        }
    }
    let read = operation.read.as_ref();
    if read.is_some_and(|names| names.len() as u64 != operation.revision) {
        found.push(format!("revision {} is incomplete", operation.revision));
    }
}
