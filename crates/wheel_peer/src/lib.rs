//! Cap'n Proto RPC between instances.
