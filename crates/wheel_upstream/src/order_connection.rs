//! The connection of one order.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use wheel_memory::{LeasedBuffer, process_budget};
use wheel_types::{EngineOrder, OrderReason, OrderReply, RequestId};

use crate::call_body::CallBody;
use crate::upstream_connection::UpstreamConnection;
use crate::{CallFailure, EngineDialect, EngineSettings, OrderPermit, OrderResponse};

/// Sends one order to an engine that has just answered a probe.
pub(crate) struct OrderConnection<'a> {
    connection: UpstreamConnection,
    settings: &'a EngineSettings,
    permit: Arc<dyn OrderPermit>,
}

impl<'a> OrderConnection<'a> {
    /// Opens the connection. Nothing is written to it unless `permit` is valid.
    pub(crate) async fn open(
        settings: &'a EngineSettings,
        permit: Arc<dyn OrderPermit>,
    ) -> Result<Self, CallFailure> {
        let connection = UpstreamConnection::open_for_order(
            settings.address,
            settings.timeouts.connect,
            settings.order_life,
            permit.clone(),
        );
        Ok(Self { connection: connection.await?, settings, permit })
    }

    /// True if the engine answers this probe. A frozen engine would read the order from its socket when it
    /// resumes, however late, so that none is sent until it has answered on this connection.
    pub(crate) async fn probe(&mut self, id: &RequestId, probe: Request<Bytes>) -> bool {
        let limit = self.settings.limits.probe_timeout;
        let answered = timeout(limit, self.exchange(id, probe.map(CallBody::new))).await;
        let Ok(Some((status, _))) = answered else { return false };
        let ready = timeout(limit, self.connection.send.ready()).await;
        status.is_success() && matches!(ready, Ok(Ok(())))
    }

    /// Sends the order and waits for its answer, at most for the order life of the settings.
    pub(crate) async fn send(
        mut self,
        order: &EngineOrder,
        id: &RequestId,
        request: Request<Bytes>,
    ) -> OrderResponse {
        let written_before = self.connection.gate.written();
        let (head, body) = request.into_parts();
        let (body, body_read) = CallBody::with_permit(body, self.permit.clone());
        let life = self.settings.order_life;
        let answer = timeout(life, self.exchange(id, Request::from_parts(head, body))).await;
        let was_written = self.connection.gate.seal() > written_before;
        let reply = match answer {
            Ok(Some((status, body))) => read_reply(&*self.settings.dialect, order, status, &body),
            _ => None,
        };
        match reply {
            Some(reply) if reply.accepted => OrderResponse::Accepted,
            Some(reply) => OrderResponse::Refused(reply.reason.unwrap_or(OrderReason::Other)),
            None if was_written && body_read.load(Ordering::Acquire) => OrderResponse::Unknown,
            None => OrderResponse::NotSent,
        }
    }

    /// Status and body of the answer that bears `id`; `None` if another one arrives, or none.
    async fn exchange(
        &mut self,
        id: &RequestId,
        request: Request<CallBody>,
    ) -> Option<(StatusCode, Bytes)> {
        self.connection.gate.begin_request();
        let answer = self.connection.send.send_request(request).await.ok()?;
        self.connection.gate.end_head();
        let (head, body) = answer.into_parts();
        if self.settings.dialect.answer_id(&head.headers) != Some(id.as_str()) {
            return None;
        }
        Some((head.status, read_body(body, self.settings.limits.max_answer_bytes).await?))
    }
}

/// Reads a whole body of at most `limit` bytes.
async fn read_body(mut body: Incoming, limit: usize) -> Option<Bytes> {
    let mut whole = LeasedBuffer::new(process_budget().lease());
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.ok()?.into_data() else { continue };
        if whole.len() + piece.len() > limit {
            return None;
        }
        whole.push(&piece).ok()?;
    }
    Some(whole.freeze())
}

/// The reply, if it belongs to this order and agrees with the status.
fn read_reply(
    dialect: &dyn EngineDialect,
    order: &EngineOrder,
    status: StatusCode,
    body: &[u8],
) -> Option<OrderReply> {
    let reply = dialect.order_reply(body).ok()?;
    let status_fits = match status {
        StatusCode::OK => reply.accepted,
        StatusCode::CONFLICT => !reply.accepted,
        _ => false,
    };
    Some(reply).filter(|reply| status_fits && reply.order_id == order.order_id)
}
