//! Replays recorded traces through wheel_policy in virtual time and compares baselines.
