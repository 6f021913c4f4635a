//! Heartbeats, suspicion and incarnations of the instances in one data centre, as a pure step function.
