//! Router of an instance, against fakes of its ports and scripted backend servers.

mod addresses;
mod api;
mod backend;
mod claims;
mod connection;
mod events;
mod fairness;
mod fakes;
mod harness;
mod heads;
mod hedging;
mod history;
mod limits;
mod odd_answers;
mod overload;
mod properties;
mod quarantine;
mod relays;
mod repeated_refusals;
mod router_model;
mod run_times;
mod shutdown;
mod streams;
