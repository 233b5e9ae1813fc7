//! The callers' and backend servers' side: routing, limits, retries and whole answers.

mod account;
mod address;
mod announce;
mod answer;
mod assembly;
mod attempt;
mod background;
mod body;
mod budget;
mod call;
mod chat;
mod claim;
mod completion;
mod event;
mod generation;
mod link;
mod memory;
mod organisation;
mod piece;
mod port;
mod proposal;
mod quarantine;
mod retry;
mod router;
mod server;
mod service;
mod settings;
mod signal;
mod slot;

pub use self::budget::RetryBudget;
pub use self::event::{Event, EventParser};
pub use self::memory::{BodyMemory, Room};
pub use self::piece::{Check, Piece, PieceChecker};
pub use self::port::{Capacity, Claims, NoControl};
pub use self::router::Router;
pub use self::settings::{RouterIdentity, RouterSettings};
