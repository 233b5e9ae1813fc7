//! Stand-ins for a model engine, a plain service and a weight store, for tests and the demonstration.
