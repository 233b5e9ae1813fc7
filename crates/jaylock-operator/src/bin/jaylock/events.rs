use jaylock_rpc::v1;

use crate::error::Result;
use crate::session::Session;

/// The newest events of the event log, oldest first.
pub async fn events(session: &Session, most: u32) -> Result<Vec<v1::Event>> {
    let request = v1::EventsRequest { most };
    let call = session.call(async |mut client| client.list_events(request).await);
    Ok(call.await?.events)
}
