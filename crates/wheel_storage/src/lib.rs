//! Durable log, vote and snapshots under one data folder.
