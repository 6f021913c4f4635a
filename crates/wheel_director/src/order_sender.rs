//! Sends admitted orders to engines.

use std::sync::Arc;

use spdlog::info;
use tokio::sync::mpsc::UnboundedSender;
use wheel_lease::OrderResult;
use wheel_types::{EngineOrder, FencingNumber, RequestId, UpstreamName};
use wheel_upstream::{EngineClient, OrderResponse};

use crate::LeaseDriver;
use crate::lease_permit::LeasePermit;

/// The result of an order that was sent.
#[derive(Debug)]
pub(crate) struct OrderOutcome {
    pub(crate) order_id: RequestId,
    pub(crate) upstream: UpstreamName,
    pub(crate) result: OrderResult,
}

/// Sends each order in its own task; the ledger bounds their number.
#[derive(Clone)]
pub(crate) struct OrderSender {
    pub(crate) driver: Arc<LeaseDriver>,
    pub(crate) outcomes: UnboundedSender<OrderOutcome>,
}

impl OrderSender {
    /// Sends `order`; its result is sent to the channel.
    pub(crate) fn send(&self, upstream: &UpstreamName, client: EngineClient, order: EngineOrder) {
        let number: FencingNumber = order.fencing_number;
        let permit = Arc::new(LeasePermit { driver: Arc::clone(&self.driver), number });
        let (sender, upstream) = (self.clone(), upstream.clone());
        tokio::spawn(async move {
            let answer = client.order(&order, permit).await;
            info!("order_sent", kv: {
                upstream = upstream.as_str(),
                order = order.order_id.as_str(),
                number = number.0,
                action:? = order.action,
                answer:? = answer
            });
            let result = match answer {
                OrderResponse::Accepted => OrderResult::Done,
                OrderResponse::Refused(_) | OrderResponse::NotSent => OrderResult::Refused,
                OrderResponse::Unknown => OrderResult::Unknown,
            };
            // Fails only after the director has stopped.
            let _ =
                sender.outcomes.send(OrderOutcome { order_id: order.order_id, upstream, result });
        });
    }
}
