//! The hyper client side: calls, streams, orders and connection health of upstreams.
