//! Replicated log and group state as pure step functions.
