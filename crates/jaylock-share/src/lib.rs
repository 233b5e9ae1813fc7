//! Sharing of model capacity: the scheduler of a pool and the routers' client of it.
