//! Tests of the sharing of capacity.

mod decision;
mod fleet;
mod simulation;
mod stream;
