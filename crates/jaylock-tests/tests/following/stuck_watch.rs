//! A replica whose watches deliver nothing, while the leader confirms changes.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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
use tonic::{Request, Response, Status};

use crate::{TIMEOUT, client};

type RpcResult<T> = std::result::Result<Response<T>, Status>;

/// A control service whose watches never deliver; holds the index of its newest configuration.
#[derive(Clone)]
struct StuckControl(Arc<AtomicU64>);

impl StuckControl {
    fn newest(&self) -> Configuration {
        Configuration {
            index: self.0.load(Ordering::Relaxed),
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
        Ok(Response::new(ReadReply {
            configuration: Some(self.newest()),
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

jaylock_tests::cases! {
    async follower_with_a_stuck_watch_reads_from_the_leader => {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let newest = Arc::new(AtomicU64::new(1));
        let routes = Routes::default()
            .with(Access::Instances, ControlServer::new(StuckControl(newest.clone())));
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
        let settings = FollowerSettings::default();
        let follower = Follower::new(client(address), view.clone(), instance, settings);
        compio::runtime::spawn(follower.run()).detach();
        for index in [1, 2, 3] {
            newest.store(index, Ordering::Relaxed);
            let active = view.wait_newer_than(Index(index - 1));
            let updated = compio::time::timeout(TIMEOUT, active).await;
            expect_that!(updated.is_ok(), eq(true), "index {index}");
        }
    };
}
