//! The data centre lease, fencing numbers and the accounts of engine orders, as pure step functions.
