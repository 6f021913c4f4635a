//! Small stand-ins for an engine, a plain service, the weight store and the instance list, for tests and the quickstart.
