//! The operators' tool wisteriactl.
