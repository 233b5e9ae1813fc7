//! Tests of the sharing of capacity.

mod decision;
mod failure;
mod fleet;
mod simulation;
mod stream;
