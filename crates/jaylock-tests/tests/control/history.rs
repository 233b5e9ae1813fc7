//! A checker of what concurrent callers saw.

use std::cell::{Cell, RefCell};

use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::{Applied, Configuration};
use prost::Message;

/// What callers, followers and holders of leases saw, in the order of one clock.
#[derive(Default)]
pub struct History {
    clock: Cell<u64>,
    operations: RefCell<Vec<Operation>>,
    /// Encoded configuration under each index, sorted by index.
    contents: RefCell<Vec<(u64, Vec<u8>)>>,
    faults: RefCell<Vec<String>>,
}

/// A call that was answered.
struct Operation {
    start: u64,
    end: u64,
    /// Revision that was read, made, or named in a conflict.
    revision: u64,
    /// Organisation that was made.
    made: Option<String>,
    /// Organisations that were read.
    read: Option<Vec<String>>,
}

impl History {
    pub fn tick(&self) -> u64 {
        self.clock.set(self.clock.get() + 1);
        self.clock.get()
    }

    pub fn fault(&self, text: String) {
        self.faults.borrow_mut().push(text);
    }

    pub fn length(&self) -> usize {
        self.operations.borrow().len()
    }

    /// Notes the answer to a command that creates an organisation.
    pub fn note_write(&self, start: u64, id: &str, applied: &Applied) {
        let (revision, made) = match &applied.result {
            Some(Outcome::Done(_)) => (applied.revision, Some(id.to_owned())),
            Some(Outcome::Conflict(revision)) => (*revision, None),
            other => return self.fault(format!("{id} was answered by {other:?}")),
        };
        let end = self.tick();
        self.operations.borrow_mut().push(Operation {
            start,
            end,
            revision,
            made,
            read: None,
        });
    }

    pub fn note_read(&self, start: u64, configuration: &Configuration) {
        self.note_content(configuration);
        let names = configuration.organisations.iter().map(|o| o.id.clone());
        let end = self.tick();
        self.operations.borrow_mut().push(Operation {
            start,
            end,
            revision: configuration.revision,
            made: None,
            read: Some(names.collect()),
        });
    }

    /// Notes a configuration that any replica showed: one index never has two contents.
    pub fn note_content(&self, configuration: &Configuration) {
        let encoded = configuration.encode_to_vec();
        let mut contents = self.contents.borrow_mut();
        match contents.binary_search_by_key(&configuration.index, |(index, _)| *index) {
            Ok(at) if contents[at].1 != encoded => {
                self.fault(format!("index {} has two contents", configuration.index));
            }
            Ok(_) => {}
            Err(at) => contents.insert(at, (configuration.index, encoded)),
        }
    }

    /// Everything that breaks the promises.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.faults.borrow().clone();
        let operations = self.operations.borrow();
        for later in operations.iter() {
            check_content(later, &operations, &mut found);
            for earlier in operations.iter().filter(|o| o.end < later.start) {
                let least = earlier.revision + u64::from(later.made.is_some());
                if later.revision < least {
                    let (a, b) = (earlier.revision, later.revision);
                    found.push(format!("revision {b} was answered after {a}"));
                }
            }
        }
        found
    }
}

/// Holds what was read, or made, against every write that was answered.
fn check_content(operation: &Operation, all: &[Operation], found: &mut Vec<String>) {
    for write in all {
        let Some(id) = &write.made else {
            continue;
        };
        if operation.made.as_ref().is_some_and(|own| own != id)
            && operation.revision == write.revision
        {
            found.push(format!("revision {} was made twice", write.revision));
        }
        let Some(read) = &operation.read else {
            continue;
        };
        if read.contains(id) != (write.revision <= operation.revision) {
            let revision = operation.revision;
            found.push(format!("{id} of revision {} in {revision}", write.revision));
        }
    }
    let read = operation.read.as_ref();
    if read.is_some_and(|names| names.len() as u64 != operation.revision) {
        found.push(format!("revision {} is not whole", operation.revision));
    }
}
