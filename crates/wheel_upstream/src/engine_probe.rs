//! Probes of an engine.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request};
use wheel_types::RequestId;

use crate::EngineDialect;
use crate::engine_client::with_host;
use crate::idle_probe::IdleProbe;

/// Builds the probes of an engine.
pub(crate) struct EngineProbe {
    pub(crate) dialect: Arc<dyn EngineDialect>,
    pub(crate) host: HeaderValue,
}

impl IdleProbe for EngineProbe {
    fn request(&self, id: &RequestId) -> Option<Request<Bytes>> {
        let mut request = with_host(self.dialect.probe(), &self.host);
        self.dialect.set_id(request.headers_mut(), id).ok()?;
        Some(request)
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        self.dialect.answer_id(headers)
    }
}
