use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_control::{ConfigView, ControlClient};
use jaylock_rpc::v1::operator_server::Operator;
use jaylock_rpc::{ChannelSettings, local_future, local_value, v1};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use crate::command_check::check_command;
use crate::destination::Destination;
use crate::fleet_client::FleetClient;

/// gRPC service for operators, served by every instance.
pub struct OperatorService {
    inner: SendWrapper<Rc<Inner>>,
}

struct Inner {
    control: ControlClient,
    view: ConfigView,
    fleet: FleetClient,
    objectives: Vec<v1::Objective>,
}

impl OperatorService {
    /// Creates the service of an instance; no connection is opened before the first call.
    #[must_use]
    pub fn new(control: ControlClient, view: ConfigView, channel: ChannelSettings) -> Self {
        Self::with_objectives(control, view, channel, Vec::new())
    }

    /// Creates the service of an instance that reports service-level objectives.
    #[must_use]
    pub fn with_objectives(
        control: ControlClient,
        view: ConfigView,
        channel: ChannelSettings,
        objectives: Vec<v1::Objective>,
    ) -> Self {
        let fleet = FleetClient::new(view.clone(), channel);
        let inner = Inner {
            control,
            view,
            fleet,
            objectives,
        };
        Self {
            inner: local_value(Rc::new(inner)),
        }
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn change(
        &self,
        request: Request<v1::ProposeRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        local_future(self.inner.change(request.into_inner()))
            .await
            .map(Response::new)
    }

    async fn get_configuration(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        let configuration = local_future(self.inner.control.read());
        configuration.await.map(Response::new).map_err(status_of)
    }

    async fn get_document(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::DocumentReply>, Status> {
        let document = local_future(self.inner.control.read_document());
        document.await.map(Response::new).map_err(status_of)
    }

    async fn wait_revision(
        &self,
        request: Request<v1::WaitRequest>,
    ) -> Result<Response<v1::WaitReply>, Status> {
        local_future(self.inner.wait_revision(request.into_inner()))
            .await
            .map(Response::new)
    }

    async fn list_backends(
        &self,
        request: Request<v1::ListBackendsRequest>,
    ) -> Result<Response<v1::ListBackendsReply>, Status> {
        let pool = request.into_inner().pool;
        let replies = local_future(self.inner.fleet.pools(&pool)).await;
        let backends = replies.received.into_iter().flat_map(|(_, r)| r.backends);
        Ok(Response::new(v1::ListBackendsReply {
            backends: backends.collect(),
            unheard: replies.unresponsive,
        }))
    }

    async fn list_pools(
        &self,
        request: Request<v1::ListPoolsRequest>,
    ) -> Result<Response<v1::ListPoolsReply>, Status> {
        let pool = request.into_inner().pool;
        let replies = local_future(self.inner.fleet.pools(&pool)).await;
        let pools = replies.received.into_iter().map(|(_, report)| report);
        Ok(Response::new(v1::ListPoolsReply {
            pools: pools.collect(),
            unheard: replies.unresponsive,
        }))
    }

    async fn list_events(
        &self,
        request: Request<v1::EventsRequest>,
    ) -> Result<Response<v1::EventsReply>, Status> {
        let events = local_future(self.inner.control.events(request.into_inner().most));
        events.await.map(Response::new).map_err(status_of)
    }

    async fn report_burn(
        &self,
        request: Request<v1::BurnRequest>,
    ) -> Result<Response<v1::BurnReport>, Status> {
        let replies = local_future(self.inner.fleet.burn_minutes(request.into_inner())).await;
        let minutes = replies.received.into_iter().flat_map(|(_, r)| r.minutes);
        Ok(Response::new(v1::BurnReport {
            minutes: minutes.collect(),
            objectives: self.inner.objectives.clone(),
            unheard: replies.unresponsive,
        }))
    }

    async fn explain(
        &self,
        request: Request<v1::TraceRequest>,
    ) -> Result<Response<v1::TraceReport>, Status> {
        let report = local_future(self.inner.explain(request.into_inner())).await;
        Ok(Response::new(report))
    }

    async fn preview(
        &self,
        request: Request<v1::PreviewRequest>,
    ) -> Result<Response<v1::PreviewReply>, Status> {
        let reply = local_future(self.inner.preview(request.into_inner())).await;
        reply.map(Response::new)
    }
}

impl Inner {
    async fn change(&self, request: v1::ProposeRequest) -> Result<v1::ChangeReply, Status> {
        let command = check_command(request.command)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        log::info!(target: "operator", "received command {}", command.id);
        let applied = self.control.propose(command).await.map_err(status_of)?;
        Ok(v1::ChangeReply {
            applied: Some(applied),
        })
    }

    async fn wait_revision(&self, request: v1::WaitRequest) -> Result<v1::WaitReply, Status> {
        let timeout = Duration::from_millis(request.timeout_ms.into()).min(MAX_WAIT);
        let end = Instant::now() + timeout;
        loop {
            let lagging = self.lagging(request.revision).await?;
            let in_force = lagging.is_empty();
            if in_force || Instant::now() >= end {
                return Ok(v1::WaitReply { in_force, lagging });
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Live instances that have not reported this revision to the leader; all instances when the
    /// revision doesn't exist yet.
    async fn lagging(&self, revision: u64) -> Result<Vec<v1::InstanceLag>, Status> {
        let configuration = self.control.read().await.map_err(status_of)?;
        let reply = self.control.lag().await.map_err(status_of)?;
        let reported = |id: &str| reply.instances.iter().find(|lag| lag.instance == id);
        let lags = configuration.instances.iter().map(|instance| {
            reported(&instance.id)
                .cloned()
                .unwrap_or_else(|| v1::InstanceLag {
                    instance: instance.id.clone(),
                    ..Default::default()
                })
        });
        Ok(lags.filter(|lag| lag.revision < revision).collect())
    }

    async fn explain(&self, request: v1::TraceRequest) -> v1::TraceReport {
        let request_id = request.request.clone();
        let (routers, pools) = futures_util::join!(self.fleet.trace(request), self.fleet.pools(""));
        let mut steps = Vec::new();
        for (instance, reply) in routers.received {
            steps.extend(reply.steps.into_iter().map(|step| v1::TraceEntry {
                instance: instance.clone(),
                at_ms: step.at_ms,
                text: step.text,
            }));
        }
        for (_, report) in pools.received {
            let matching = report.decisions.iter().filter(|d| d.request == request_id);
            steps.extend(matching.map(|decision| decision_step(&report, decision)));
        }
        steps.sort_by_key(|step| step.at_ms);
        let mut unheard = routers.unresponsive;
        unheard.extend(pools.unresponsive);
        v1::TraceReport { steps, unheard }
    }
}

impl Inner {
    /// Asks the schedulers of the pools to which a request may go.
    async fn preview(&self, request: v1::PreviewRequest) -> Result<v1::PreviewReply, Status> {
        let configuration = self.view.current();
        let destination = Destination::find(&configuration, &request)?;
        let placements = destination.placement_requests(&request);
        let replies = self.fleet.placements(placements).await;
        let placements = replies.received.into_iter().map(|(pool, placement)| {
            let share_percent = destination.share_percent(&pool);
            v1::Placement {
                share_percent,
                ..placement
            }
        });
        Ok(v1::PreviewReply {
            placements: placements.collect(),
            unheard: replies.unresponsive,
            route: destination.route,
            organisation: destination.organisation,
            objective_ms: destination.objective_ms,
        })
    }
}

fn decision_step(report: &v1::PoolReport, decision: &v1::Decision) -> v1::TraceEntry {
    let v1::Decision {
        backend,
        waited_ms,
        reason,
        ..
    } = decision;
    let destination = if backend.is_empty() {
        "nowhere"
    } else {
        backend
    };
    v1::TraceEntry {
        instance: report.instance.clone(),
        at_ms: decision.at_ms,
        text: format!(
            "scheduler of pool {} sent it to {destination} after {waited_ms} ms: {reason}",
            report.pool
        ),
    }
}

/// The status for an error of the control client.
#[allow(clippy::needless_pass_by_value)]
fn status_of(error: jaylock_control::Error) -> Status {
    match error {
        jaylock_control::Error::Refused(reason) => Status::failed_precondition(reason),
        other => Status::unavailable(other.to_string()),
    }
}

/// Interval at which a wait checks the revisions of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a revision in one call; for a longer one, clients call again.
const MAX_WAIT: Duration = Duration::from_mins(1);
