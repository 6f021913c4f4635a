//! Runs an instance of a fleet with service discovery until it is drained.

use metrics_exporter_prometheus::PrometheusHandle;
use snafu::ResultExt;
use spdlog::info;
use wheel_ingress::{HttpLimits, HttpServer, full_body};
use wheel_memory::process_budget;

use crate::fleet_control::FleetControl;
use crate::fleet_ingress::FleetIngress;
use crate::metrics_recorder::{UPKEEP_INTERVAL, install_recorder};
use crate::running_daemon::ListenSnafu;
use crate::{FleetDialects, FleetRole, FleetSettings, StartError};

/// Eighths of the process's memory that may hold bytes of upstreams and callers. The rest is for the
/// process itself and for the buffers of its connections.
const FOREIGN_EIGHTHS: usize = 3;

/// A running instance.
pub struct RunningFleet {
    instance: RoleInstance,
}

enum RoleInstance {
    Ingress(FleetIngress),
    Control(FleetControl),
}

impl RunningFleet {
    /// Starts every part that the role needs.
    ///
    /// # Errors
    /// [`StartError`] if one can't start.
    pub async fn spawn(
        settings: FleetSettings,
        dialects: FleetDialects,
    ) -> Result<Self, StartError> {
        let recorder = install_recorder(UPKEEP_INTERVAL)?;
        if let Some(memory) = settings.memory {
            process_budget().set_limit(memory / 8 * FOREIGN_EIGHTHS);
        }
        if let Some(address) = settings.metrics {
            bind_metrics(address, recorder).await?;
        }
        let instance = match &settings.role {
            FleetRole::Entry { .. } => {
                RoleInstance::Ingress(FleetIngress::spawn(&settings, &dialects).await?)
            }
            FleetRole::Control { .. } => {
                RoleInstance::Control(FleetControl::spawn(&settings, &dialects).await?)
            }
        };
        info!("instance_started", kv: {
            instance = settings.label.to_string(), peer = settings.peer.to_string(),
            data_centre = settings.centre.to_string(), role:? = settings.role
        });
        Ok(Self { instance })
    }

    /// Shuts down gracefully.
    pub async fn drain(self) {
        info!("drain_started");
        match self.instance {
            RoleInstance::Ingress(ingress) => ingress.drain().await,
            RoleInstance::Control(control) => control.drain().await,
        }
        info!("instance_stopped");
    }
}

async fn bind_metrics(
    address: std::net::SocketAddr,
    recorder: PrometheusHandle,
) -> Result<(), StartError> {
    HttpServer::bind(address, HttpLimits::default(), move |_| {
        std::future::ready(http::Response::new(full_body(recorder.render())))
    })
    .await
    .context(ListenSnafu)?;
    Ok(())
}
