//! The daemon wisteriawheeld: settings, wiring and signals.
