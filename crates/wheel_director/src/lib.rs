//! Drives a data centre's lease, its placement and its orders to engines.
