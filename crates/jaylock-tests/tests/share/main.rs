//! Tests of the sharing of capacity.

mod backend;
mod decision;
mod failure;
mod fixture;
mod fleet;
mod prompts;
mod simulation;
mod stream;
