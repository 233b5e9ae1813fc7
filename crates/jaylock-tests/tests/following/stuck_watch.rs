//! A replica whose watches deliver nothing, while the leader confirms changes.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_util::{Stream, stream};
use googletest::prelude::*;
use jaylock_control::{ConfigView, Follower, FollowerSettings};
use jaylock_rpc::v1::control_server::{Control, ControlServer};
use jaylock_rpc::v1::{
    Configuration, DocumentReply, EventsReply, EventsRequest, Instance, LagReply, LagRequest,
    ProposeReply, ProposeRequest, ReadReply, ReadRequest, RenewReply, RenewRequest, WatchReply,
    WatchRequest,
};
use jaylock_rpc::{Access, Routes, ServerSettings, serve};
use jaylock_types::{Index, Secret};
use prost::Message;
use tonic::{Request, Response, Status};

use crate::{TIMEOUT, Traffic, client};

type RpcResult<T> = std::result::Result<Response<T>, Status>;

/// Time between two renewals, so short that the first one after a change comes at once.
const RENEW_INTERVAL: Duration = Duration::from_millis(100);

/// A control service whose watches never deliver.
#[derive(Clone, Default)]
struct StuckControl {
    /// Index of its newest configuration.
    newest: Arc<AtomicU64>,
    /// Size of what a watch has to deliver.
    watch_bytes: u64,
    /// How often the configuration was read.
    reads: Arc<AtomicU64>,
}

impl StuckControl {
    fn newest(&self) -> Configuration {
        Configuration {
            index: self.newest.load(Ordering::Relaxed),
            ..Configuration::default()
        }
    }
}

#[tonic::async_trait]
impl Control for StuckControl {
    type WatchStream = Pin<Box<dyn Stream<Item = std::result::Result<WatchReply, Status>> + Send>>;

    async fn propose(&self, _: Request<ProposeRequest>) -> RpcResult<ProposeReply> {
        Err(Status::unimplemented("not called in this test"))
    }

    async fn read(&self, _: Request<ReadRequest>) -> RpcResult<ReadReply> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(ReadReply {
            configuration: Some(self.newest().encode_to_vec().into()),
            leader_address: None,
        }))
    }

    async fn read_document(&self, _: Request<ReadRequest>) -> RpcResult<DocumentReply> {
        Err(Status::unimplemented("not called in this test"))
    }

    async fn watch(&self, _: Request<WatchRequest>) -> RpcResult<Self::WatchStream> {
        Ok(Response::new(Box::pin(stream::pending())))
    }

    async fn renew(&self, _: Request<RenewRequest>) -> RpcResult<RenewReply> {
        Ok(Response::new(RenewReply {
            lease_ms: 3000,
            index: self.newest().index,
            watch_bytes: self.watch_bytes,
            ..RenewReply::default()
        }))
    }

    async fn lag(&self, _: Request<LagRequest>) -> RpcResult<LagReply> {
        Err(Status::unimplemented("not called in this test"))
    }

    async fn events(&self, _: Request<EventsRequest>) -> RpcResult<EventsReply> {
        Err(Status::unimplemented("not called in this test"))
    }
}

/// Starts a follower of a control service.
async fn follow(control: &StuckControl) -> ConfigView {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let routes = Routes::default().with(Access::Instances, ControlServer::new(control.clone()));
    let settings = ServerSettings {
        peer_secret: Secret::new(""),
        ..ServerSettings::default()
    };
    compio::runtime::spawn(serve(listener, routes, settings)).detach();
    let view = ConfigView::default();
    let instance = Instance {
        id: "one".into(),
        incarnation: 1,
        peer_address: address.to_string(),
        ..Instance::default()
    };
    let settings = FollowerSettings {
        renew_interval: RENEW_INTERVAL,
        ..FollowerSettings::default()
    };
    let follower = Follower::new(client(address), view.clone(), instance, settings);
    compio::runtime::spawn(follower.run()).detach();
    view
}

jaylock_tests::cases! {
    async follower_with_a_stuck_watch_reads_from_the_leader => {
        let _traffic = Traffic::shared();
        let control = StuckControl::default();
        control.newest.store(1, Ordering::Relaxed);
        let view = follow(&control).await;
        for index in [1, 2, 3] {
            control.newest.store(index, Ordering::Relaxed);
            let active = view.wait_newer_than(Index(index - 1));
            let updated = compio::time::timeout(TIMEOUT, active).await;
            expect_that!(updated.is_ok(), eq(true), "index {index}");
        }
    };

    // Guards against hundreds of instances that ask the leader for megabytes that their watches are about to deliver.
    async follower_waits_longer_for_a_large_configuration_but_not_for_good => {
        let _traffic = Traffic::shared();
        let control = StuckControl { watch_bytes: 2 << 20, ..StuckControl::default() };
        control.newest.store(1, Ordering::Relaxed);
        let view = follow(&control).await;
        view.wait_newer_than(Index(0)).await;
        let reads_before = control.reads.load(Ordering::Relaxed);
        control.newest.store(2, Ordering::Relaxed);
        let started = Instant::now();
        let active = compio::time::timeout(TIMEOUT, view.wait_newer_than(Index(1))).await;
        expect_that!(active.is_ok(), eq(true));
        expect_that!(started.elapsed(), ge(FollowerSettings::default().max_watch_delay * 3));
        expect_that!(control.reads.load(Ordering::Relaxed), eq(reads_before + 1));
    };
}
