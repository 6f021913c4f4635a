//! The HTTP front for callers and operators.
