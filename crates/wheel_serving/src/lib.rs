//! A request's way from the entry instance through the owner to the upstream.
