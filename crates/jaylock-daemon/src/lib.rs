//! The daemon: one instance of the fleet, assembled from its parts.
