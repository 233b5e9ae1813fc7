//! Tests of the sharing of model capacity.

mod backend;
mod crashes;
mod decision;
mod failure;
mod fixture;
mod fleet;
mod prefill;
mod simulation;
mod stream;
