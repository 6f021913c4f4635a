//! Drives the replicated log of a control instance and follows the accepted text at every instance.
