//! Admission, queueing, routing, placement, load order and forecast: pure, with time passed in.
