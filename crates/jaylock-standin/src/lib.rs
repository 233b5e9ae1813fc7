//! Stand-ins for a model engine, a plain service and a weight store, for tests and the demonstration.

mod address;
pub mod arguments;
mod backend;
mod cache;
mod caller;
mod chat;
mod check;
mod client;
mod engine;
mod event_stream;
mod fault;
mod generated_text;
mod http;
mod process;
mod request;
mod run;
mod run_log;
mod service;
mod slots;
mod store;

pub use self::address::{AddressCache, RouterList};
pub use self::backend::{Announcement, Backend, Heartbeat, LoadedModel, Registration};
pub use self::caller::{Caller, CallerSettings};
pub use self::chat::{ChatRequest, Choice, Chunk, Completion, Delta, Message, Usage};
pub use self::client::{HttpError, post, read_json, send};
pub use self::engine::{Engine, EngineSettings};
pub use self::event_stream::{Event, EventStream};
pub use self::fault::Fault;
pub use self::generated_text::GeneratedText;
pub use self::http::{
    Body, NoResponse, full_response, json_response, not_run_response, read_body, serve,
};
pub use self::process::{Server, log_to_stderr, run_server, wait_for_sigterm};
pub use self::request::{Attempt, AttemptResult, CallerRequest, Outcome, RequestResult, RunStatus};
pub use self::run_log::{RunRecord, sha256_hex};
pub use self::service::{PlainService, ServiceSettings};
pub use self::slots::{Slot, Slots};
pub use self::store::{Store, StoreSettings};
