//! Stand-ins for a model engine, a plain service and a weight store, for tests and the demonstration.

mod address;
mod answer;
pub mod arguments;
mod backend;
mod cache;
mod caller;
mod chat;
mod client;
mod engine;
mod errand;
mod events;
mod fault;
mod http;
mod process;
mod run;
mod runs;
mod service;
mod slots;
mod store;
mod verdict;

pub use self::address::{AddressBook, Routers};
pub use self::answer::Answer;
pub use self::backend::{Announcement, Backend, Heartbeat, LoadedModel, Registration};
pub use self::caller::{Caller, CallerSettings};
pub use self::chat::{ChatRequest, Choice, Chunk, Completion, Delta, Message, Usage};
pub use self::client::{HttpError, post, read_json, send};
pub use self::engine::{Engine, EngineSettings};
pub use self::errand::{Account, Attempt, AttemptEnd, Errand, Outcome, RunClaim};
pub use self::events::{Event, Events};
pub use self::fault::Fault;
pub use self::http::{Body, Closed, json, not_run, read, serve, whole};
pub use self::process::{Server, log_to_stderr, run, terminated};
pub use self::runs::{RunNote, digest};
pub use self::service::{PlainService, ServiceSettings};
pub use self::slots::{Slot, Slots};
pub use self::store::{Store, StoreSettings};
