//! Tests of the sharing of model capacity.

mod backend;
mod crashes;
mod decision;
mod exclusions;
mod failure;
mod fixture;
mod fleet;
mod prefill;
mod prompt_parts;
mod rate_limits;
mod simulation;
mod stream;
