//! Tests of the sharing of capacity.

mod backend;
mod decision;
mod failure;
mod fixture;
mod fleet;
mod simulation;
mod stream;
