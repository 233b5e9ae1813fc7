use std::rc::Rc;
use std::time::{Duration, Instant};

use jaylock_control::{ConfigView, ControlClient};
use jaylock_rpc::v1::operator_server::Operator;
use jaylock_rpc::{ChannelSettings, local_future, local_value, v1};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use crate::gather::Gatherer;
use crate::permitted::permitted;

/// Answers operators; every instance runs one.
pub struct OperatorService {
    parts: SendWrapper<Rc<Parts>>,
}

struct Parts {
    client: ControlClient,
    gatherer: Gatherer,
    objectives: Vec<v1::Objective>,
}

impl OperatorService {
    /// Makes the service of one instance; nothing is sent before the first call.
    #[must_use]
    pub fn new(client: ControlClient, view: ConfigView, channel: ChannelSettings) -> Self {
        Self::with_objectives(client, view, channel, Vec::new())
    }

    /// Makes the service of an instance that knows its service-level objectives.
    #[must_use]
    pub fn with_objectives(
        client: ControlClient,
        view: ConfigView,
        channel: ChannelSettings,
        objectives: Vec<v1::Objective>,
    ) -> Self {
        let gatherer = Gatherer::new(view, channel);
        let parts = Parts {
            client,
            gatherer,
            objectives,
        };
        Self {
            parts: local_value(Rc::new(parts)),
        }
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn change(
        &self,
        request: Request<v1::ProposeRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        local_future(self.parts.change(request.into_inner()))
            .await
            .map(Response::new)
    }

    async fn get_configuration(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        let reading = local_future(self.parts.client.read());
        reading.await.map(Response::new).map_err(unavailable)
    }

    async fn get_document(
        &self,
        _: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::DocumentReply>, Status> {
        let reading = local_future(self.parts.client.read_document());
        reading.await.map(Response::new).map_err(unavailable)
    }

    async fn wait_revision(
        &self,
        request: Request<v1::WaitRequest>,
    ) -> Result<Response<v1::WaitReply>, Status> {
        local_future(self.parts.wait(request.into_inner()))
            .await
            .map(Response::new)
    }

    async fn list_backends(
        &self,
        request: Request<v1::ListBackendsRequest>,
    ) -> Result<Response<v1::ListBackendsReply>, Status> {
        let pool = request.into_inner().pool;
        let found = local_future(self.parts.gatherer.pools(&pool)).await;
        let backends = found.answers.into_iter().flat_map(|(_, r)| r.backends);
        Ok(Response::new(v1::ListBackendsReply {
            backends: backends.collect(),
            unheard: found.unheard,
        }))
    }

    async fn list_pools(
        &self,
        request: Request<v1::ListPoolsRequest>,
    ) -> Result<Response<v1::ListPoolsReply>, Status> {
        let pool = request.into_inner().pool;
        let found = local_future(self.parts.gatherer.pools(&pool)).await;
        let pools = found.answers.into_iter().map(|(_, report)| report);
        Ok(Response::new(v1::ListPoolsReply {
            pools: pools.collect(),
            unheard: found.unheard,
        }))
    }

    async fn list_events(
        &self,
        request: Request<v1::EventsRequest>,
    ) -> Result<Response<v1::EventsReply>, Status> {
        let asking = local_future(self.parts.client.events(request.into_inner().most));
        asking.await.map(Response::new).map_err(unavailable)
    }

    async fn report_burn(
        &self,
        request: Request<v1::BurnRequest>,
    ) -> Result<Response<v1::BurnReport>, Status> {
        let found = local_future(self.parts.gatherer.burn(request.into_inner())).await;
        let minutes = found.answers.into_iter().flat_map(|(_, r)| r.minutes);
        Ok(Response::new(v1::BurnReport {
            minutes: minutes.collect(),
            objectives: self.parts.objectives.clone(),
            unheard: found.unheard,
        }))
    }

    async fn explain(
        &self,
        request: Request<v1::TraceRequest>,
    ) -> Result<Response<v1::TraceReport>, Status> {
        let report = local_future(self.parts.explain(request.into_inner())).await;
        Ok(Response::new(report))
    }
}

impl Parts {
    async fn change(&self, request: v1::ProposeRequest) -> Result<v1::ChangeReply, Status> {
        let command = permitted(request.command)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        log::info!(target: "operator", "command {} arrived", command.id);
        let applied = self.client.propose(command).await.map_err(unavailable)?;
        Ok(v1::ChangeReply {
            applied: Some(applied),
        })
    }

    async fn wait(&self, request: v1::WaitRequest) -> Result<v1::WaitReply, Status> {
        let limit = Duration::from_millis(request.timeout_ms.into()).min(LONGEST_WAIT);
        let end = Instant::now() + limit;
        loop {
            let lagging = self.lagging(request.revision).await?;
            let in_force = lagging.is_empty();
            if in_force || Instant::now() >= end {
                return Ok(v1::WaitReply { in_force, lagging });
            }
            compio::time::sleep(WAIT_PAUSE).await;
        }
    }

    /// Live instances that have not told the leader of the revision; all when it is not reached.
    async fn lagging(&self, revision: u64) -> Result<Vec<v1::InstanceLag>, Status> {
        let config = self.client.read().await.map_err(unavailable)?;
        let lag = self.client.lag().await.map_err(unavailable)?;
        let told = |id: &str| lag.instances.iter().find(|known| known.instance == id);
        let all = config.instances.iter().map(|instance| {
            told(&instance.id)
                .cloned()
                .unwrap_or_else(|| v1::InstanceLag {
                    instance: instance.id.clone(),
                    ..Default::default()
                })
        });
        Ok(all.filter(|known| known.revision < revision).collect())
    }

    async fn explain(&self, request: v1::TraceRequest) -> v1::TraceReport {
        let request_id = request.request.clone();
        let (routers, pools) =
            futures_util::join!(self.gatherer.trace(request), self.gatherer.pools(""));
        let mut steps = Vec::new();
        for (instance, reply) in routers.answers {
            steps.extend(reply.steps.into_iter().map(|step| v1::TraceEntry {
                instance: instance.clone(),
                at_ms: step.at_ms,
                text: step.text,
            }));
        }
        for (_, report) in pools.answers {
            let own = report.decisions.iter().filter(|d| d.request == request_id);
            steps.extend(own.map(|decision| decision_step(&report, decision)));
        }
        steps.sort_by_key(|step| step.at_ms);
        let mut unheard = routers.unheard;
        unheard.extend(pools.unheard);
        v1::TraceReport { steps, unheard }
    }
}

fn decision_step(report: &v1::PoolReport, decision: &v1::Decision) -> v1::TraceEntry {
    let v1::Decision {
        backend,
        waited_ms,
        reason,
        ..
    } = decision;
    let place = if backend.is_empty() {
        "nowhere"
    } else {
        backend
    };
    v1::TraceEntry {
        instance: report.instance.clone(),
        at_ms: decision.at_ms,
        text: format!(
            "scheduler of pool {} sent it to {place} after {waited_ms} ms: {reason}",
            report.pool
        ),
    }
}

/// The status of an operation that control did not confirm.
#[allow(clippy::needless_pass_by_value)]
fn unavailable(error: jaylock_control::Error) -> Status {
    match error {
        jaylock_control::Error::Refused(reason) => Status::failed_precondition(reason),
        other => Status::unavailable(other.to_string()),
    }
}

/// Time between two looks at what is in force.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for a revision; a longer one is asked again.
const LONGEST_WAIT: Duration = Duration::from_mins(1);
