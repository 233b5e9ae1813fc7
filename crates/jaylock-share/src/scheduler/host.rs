use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use jaylock_control::ConfigView;
use jaylock_rpc::v1::pool_server::{Pool, PoolServer};
use jaylock_rpc::v1::{
    Configuration, DescribeRequest, Hello, Placement, PlacementRequest, PoolReport, RouterFrame,
    SchedulerFrame,
};
use jaylock_rpc::{local_future, local_value, with_timeout};
use jaylock_types::{Incarnation, Index, InstanceId};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status, Streaming};

use crate::SchedulerSettings;
use crate::crashes::cause_log::CauseLog;
use crate::scheduler::task::{Event, FrameSender, Preview, Scheduler, SchedulerContext};

/// Capacity of a scheduler's event channel; a full one slows the routers down.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Capacity of a router's message channel; the stream of a router that fills it is closed.
const FRAME_QUEUE_CAPACITY: usize = 64;
/// Timeout for the first message of a stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the schedulers of the pools whose leases name this instance.
pub struct SchedulerHost {
    shared: Rc<Shared>,
}

struct Shared {
    incarnation: Incarnation,
    context: SchedulerContext,
    // Sorted by pool.
    running: RefCell<Vec<RunningScheduler>>,
    next_session: Cell<u64>,
}

struct RunningScheduler {
    pool: CompactString,
    epoch: u64,
    events: mpsc::Sender<Event>,
}

impl SchedulerHost {
    /// Creates the host; `has_lease` returns whether the instance's lease is valid now.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        view: ConfigView,
        has_lease: impl Fn() -> bool + 'static,
        settings: SchedulerSettings,
    ) -> Self {
        let context = SchedulerContext {
            instance,
            view,
            has_lease: Rc::new(has_lease),
            cause_log: None,
            settings,
        };
        let shared = Shared {
            incarnation,
            context,
            running: RefCell::default(),
            next_session: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Sets the log in which the schedulers record causes of crashes, before the service is created.
    #[must_use]
    pub fn with_cause_log(mut self, log: impl CauseLog + 'static) -> Self {
        if let Some(shared) = Rc::get_mut(&mut self.shared) {
            shared.context.cause_log = Some(Rc::new(log));
        }
        self
    }

    /// The gRPC service through which routers and operators reach the schedulers.
    #[must_use]
    pub fn service(&self) -> PoolServer<PoolService> {
        PoolServer::new(PoolService {
            shared: local_value(self.shared.clone()),
        })
    }

    /// Starts and stops schedulers to match the configuration, until the future is dropped.
    pub async fn run(self) {
        let mut index = Index(0);
        loop {
            let configuration = self.shared.context.view.wait_newer_than(index).await;
            index = Index(configuration.index);
            self.shared.apply_configuration(&configuration);
        }
    }
}

impl Shared {
    fn apply_configuration(&self, configuration: &Configuration) {
        let mut running = self.running.borrow_mut();
        running.retain_mut(|scheduler| {
            let is_kept = self.is_assigned(configuration, &scheduler.pool, scheduler.epoch);
            if !is_kept {
                log::info!(
                    target: "share",
                    "stopped the scheduler of pool {} at epoch {}",
                    scheduler.pool, scheduler.epoch
                );
                scheduler.events.close_channel();
            }
            is_kept
        });
        for lease in &configuration.pools {
            if !self.is_assigned(configuration, &lease.pool, lease.epoch) {
                continue;
            }
            let search =
                running.binary_search_by(|scheduler| scheduler.pool.as_str().cmp(&lease.pool));
            if let Err(index) = search {
                running.insert(index, self.start(&lease.pool, lease.epoch));
            }
        }
    }

    fn is_assigned(&self, configuration: &Configuration, pool: &str, epoch: u64) -> bool {
        configuration.pools.iter().any(|lease| {
            lease.pool == pool
                && lease.epoch == epoch
                && lease.instance == self.context.instance.as_str()
                && lease.incarnation == self.incarnation.0
        })
    }

    fn start(&self, pool: &str, epoch: u64) -> RunningScheduler {
        log::info!(target: "share", "started the scheduler of pool {pool} at epoch {epoch}");
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let scheduler = Scheduler::new(pool, epoch, self.context.clone(), receiver);
        compio::runtime::spawn(scheduler.run()).detach();
        RunningScheduler {
            pool: pool.into(),
            epoch,
            events,
        }
    }

    fn find(&self, pool: &str) -> Result<(u64, mpsc::Sender<Event>), Status> {
        let running = self.running.borrow();
        let search = running.binary_search_by(|scheduler| scheduler.pool.as_str().cmp(pool));
        let search = search.map(|index| (running[index].epoch, running[index].events.clone()));
        search.map_err(|_| {
            Status::unavailable(format!(
                "instance {} does not run the scheduler of {pool}: ask the one in the configuration",
                self.context.instance
            ))
        })
    }

    /// Opens the reply stream at once, so that the call returns to the router, and then waits for the hello.
    fn attach(self: &Rc<Self>, inbound: Streaming<RouterFrame>) -> Frames {
        let (frames, receiver) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let shared = self.clone();
        compio::runtime::spawn(async move { shared.serve(inbound, frames).await }).detach();
        Box::pin(receiver)
    }

    /// Forwards a router's messages; only the scheduler holds `frames`, so that it can close the stream.
    async fn serve(&self, mut inbound: Streaming<RouterFrame>, mut frames: FrameSender) {
        let (hello, first, mut events) = match self.read_hello(&mut inbound).await {
            Ok(opening) => opening,
            Err(status) => {
                let _ = frames.send(Err(status)).await;
                return;
            }
        };
        let session = self.next_session.get();
        self.next_session.set(session + 1);
        let attach = Event::Attach {
            session,
            hello,
            frames,
        };
        let frame = Event::Frame {
            session,
            frame: Box::new(first),
        };
        if events.send(attach).await.is_ok() && events.send(frame).await.is_ok() {
            forward_frames(inbound, session, events).await;
        }
    }

    /// Reads a router's first message with the hello, and finds the scheduler.
    async fn read_hello(
        &self,
        inbound: &mut Streaming<RouterFrame>,
    ) -> Result<(Hello, RouterFrame, mpsc::Sender<Event>), Status> {
        let first = with_timeout(HELLO_TIMEOUT, inbound.message()).await?;
        let mut first = first.ok_or_else(no_hello)?;
        let hello = first.hello.take().ok_or_else(no_hello)?;
        let (epoch, events) = self.find(&hello.pool)?;
        check_epoch(&hello, epoch)?;
        Ok((hello, first, events))
    }

    async fn describe(&self, pool: &str) -> Result<PoolReport, Status> {
        let (_, mut events) = self.find(pool)?;
        let (reply, report) = oneshot::channel();
        events
            .send(Event::Describe(reply))
            .await
            .map_err(|_| scheduler_stopped())?;
        report.await.map_err(|_| scheduler_stopped())
    }

    async fn preview(&self, request: PlacementRequest) -> Result<Placement, Status> {
        let (_, mut events) = self.find(&request.pool)?;
        let (reply, placement) = oneshot::channel();
        events
            .send(Event::Preview(Preview { request, reply }))
            .await
            .map_err(|_| scheduler_stopped())?;
        placement.await.map_err(|_| scheduler_stopped())
    }
}

type Frames = Pin<Box<dyn Stream<Item = Result<SchedulerFrame, Status>> + Send>>;

/// The `Pool` service of an instance.
pub struct PoolService {
    shared: SendWrapper<Rc<Shared>>,
}

#[tonic::async_trait]
impl Pool for PoolService {
    type AttachStream = Frames;

    async fn attach(
        &self,
        request: Request<Streaming<RouterFrame>>,
    ) -> Result<Response<Frames>, Status> {
        if !(self.shared.context.has_lease)() {
            return Err(Status::unavailable(
                "this instance has lost its lease: ask again",
            ));
        }
        Ok(Response::new(self.shared.attach(request.into_inner())))
    }

    async fn describe(
        &self,
        request: Request<DescribeRequest>,
    ) -> Result<Response<PoolReport>, Status> {
        let pool = request.into_inner().pool;
        local_future(self.shared.describe(&pool))
            .await
            .map(Response::new)
    }

    async fn preview(
        &self,
        request: Request<PlacementRequest>,
    ) -> Result<Response<Placement>, Status> {
        local_future(self.shared.preview(request.into_inner()))
            .await
            .map(Response::new)
    }
}

/// Forwards a router's messages to the scheduler.
async fn forward_frames(
    mut inbound: Streaming<RouterFrame>,
    session: u64,
    mut events: mpsc::Sender<Event>,
) {
    while let Ok(Some(frame)) = inbound.message().await {
        let frame = Box::new(frame);
        if events.send(Event::Frame { session, frame }).await.is_err() {
            return;
        }
    }
    let _ = events.send(Event::Detach { session }).await;
}

fn scheduler_stopped() -> Status {
    Status::unavailable("the scheduler stops: follow the configuration")
}

fn no_hello() -> Status {
    Status::invalid_argument("the first message of a stream must hold a hello")
}

fn check_epoch(hello: &Hello, epoch: u64) -> Result<(), Status> {
    if hello.epoch > epoch {
        let text = "the router has seen a newer scheduler: follow the configuration";
        return Err(Status::failed_precondition(text));
    }
    Ok(())
}
