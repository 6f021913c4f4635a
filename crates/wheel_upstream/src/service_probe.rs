//! Probes of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request};
use wheel_types::RequestId;

use crate::ServiceDialect;
use crate::engine_client::with_host;
use crate::idle_probe::IdleProbe;

/// Builds the probes of a plain service.
pub(crate) struct ServiceProbe {
    pub(crate) dialect: Arc<dyn ServiceDialect>,
    pub(crate) host: HeaderValue,
}

impl IdleProbe for ServiceProbe {
    fn request(&self, id: &RequestId) -> Option<Request<Bytes>> {
        Some(with_host(self.dialect.probe(id)?, &self.host))
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        self.dialect.answer_id(headers)
    }
}
