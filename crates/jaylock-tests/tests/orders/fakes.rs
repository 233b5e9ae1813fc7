use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use jaylock_control::ConfigView;
use jaylock_orders::{EngineClient, OrderError, OrderLog, PoolBackends, Result};
use jaylock_rpc::v1::{
    Adapter, Applied, BackendReport, BackendState, Command, Configuration, LoadedModel, Model,
    Order, applied, command,
};
use jaylock_types::PoolId;

/// Identifier of the only pool.
pub const POOL: &str = "jaylock-pool";

/// An in-memory log, a scheduler's registry and the engines.
#[derive(Clone, Default)]
pub struct FakeFleet {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    view: ConfigView,
    index: Cell<u64>,
    engines: RefCell<Vec<FakeEngine>>,
}

/// An engine that may check fencing numbers.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    pub checks_fence: bool,
    pub fence: u64,
    pub models: Vec<LoadedModel>,
}

impl FakeFleet {
    pub fn new(engines: Vec<FakeEngine>) -> Self {
        let fleet = Self::default();
        *fleet.shared.engines.borrow_mut() = engines;
        fleet
    }

    pub fn view(&self) -> ConfigView {
        self.shared.view.clone()
    }

    pub fn configure(&self, models: Vec<Model>, adapters: Vec<Adapter>) {
        self.change(|c| {
            c.models = models;
            c.adapters = adapters;
        });
    }

    pub fn engines(&self) -> Vec<FakeEngine> {
        self.shared.engines.borrow().clone()
    }

    pub fn reports(&self) -> Vec<BackendReport> {
        self.engines()
            .iter()
            .enumerate()
            .map(|(at, e)| report(at, e))
            .collect()
    }

    /// Delivers an order to an engine, possibly late.
    pub fn deliver(&self, at: usize, order: &Order) -> Result<()> {
        let engine = &mut self.shared.engines.borrow_mut()[at];
        if engine.checks_fence && order.fence < engine.fence {
            return Err(OrderError::Refused {
                address: address(at),
                status: 409,
            });
        }
        engine.fence = engine.fence.max(order.fence);
        engine.models.clone_from(&order.models);
        Ok(())
    }

    pub fn restart(&self, at: usize) {
        let engine = &mut self.shared.engines.borrow_mut()[at];
        engine.fence = 0;
        engine.models.clear();
    }

    fn change(&self, edit: impl FnOnce(&mut Configuration)) -> u64 {
        let index = self.shared.index.get() + 1;
        self.shared.index.set(index);
        let mut configuration = (*self.shared.view.current()).clone();
        edit(&mut configuration);
        configuration.index = index;
        assert!(self.shared.view.update(configuration));
        index
    }
}

impl OrderLog for FakeFleet {
    async fn propose(&self, command: Command) -> Result<Applied> {
        let Some(command::Body::IssueOrder(order)) = command.body else {
            return Err(OrderError::Log("only orders are expected".into()));
        };
        let fence = self.shared.index.get() + 1;
        let index = self.change(|c| {
            c.orders.retain(|o| o.backend != order.backend);
            c.orders.push(Order { fence, ..order });
            c.orders.sort_unstable_by(|a, b| a.backend.cmp(&b.backend));
        });
        Ok(Applied {
            index,
            revision: 0,
            result: Some(applied::Result::Fence(index)),
        })
    }
}

impl PoolBackends for FakeFleet {
    fn pools(&self) -> Vec<PoolId> {
        vec![POOL.parse().expect("a pool name")]
    }

    async fn backends(&self, _: &PoolId) -> Vec<BackendState> {
        let state = |report| BackendState {
            report: Some(report),
            ..Default::default()
        };
        self.reports().into_iter().map(state).collect()
    }
}

impl EngineClient for FakeFleet {
    async fn send(&self, to: SocketAddr, order: &Order) -> Result<()> {
        self.deliver(usize::from(to.port()) - 1, order)
    }
}

pub fn model(id: &str, version: &str, copies: u32) -> Model {
    Model {
        id: id.into(),
        version: version.into(),
        pool: POOL.into(),
        copies,
    }
}

pub fn loaded(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        model: model.into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

fn report(at: usize, engine: &FakeEngine) -> BackendReport {
    BackendReport {
        id: format!("engine-{at:02}"),
        address: address(at).to_string(),
        models: engine.models.clone(),
        fence: engine.fence,
        checks_orders: engine.checks_fence,
        slots: 8,
        pool: POOL.into(),
        ..Default::default()
    }
}

fn address(at: usize) -> SocketAddr {
    let port = u16::try_from(at + 1).expect("few engines");
    SocketAddr::from(([127, 0, 0, 1], port))
}
