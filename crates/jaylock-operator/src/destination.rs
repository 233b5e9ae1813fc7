use jaylock_control::{KeyRequirement, find_route, key_requirement};
use jaylock_rpc::v1::{Ask, Configuration, PlacementRequest, PreviewRequest, Route};
use tonic::Status;

/// Organisation of requests that need no key.
const PUBLIC_ORGANISATION: &str = "public";

/// The pools to which a request may go, by the configuration.
#[derive(Debug)]
pub(crate) struct Destination {
    /// Identifier of the route; empty if the operator named a pool.
    pub route: String,
    pub organisation: String,
    pub objective_ms: u32,
    /// Pools with their weights.
    targets: Vec<(String, u32)>,
}

impl Destination {
    /// Finds the route of a request as a router does, or takes the pool that it names.
    pub fn find(configuration: &Configuration, request: &PreviewRequest) -> Result<Self, Status> {
        if !request.pool.is_empty() {
            return Ok(Self {
                route: String::new(),
                organisation: named_organisation(configuration, request, false)?,
                objective_ms: request.objective_ms,
                targets: vec![(request.pool.clone(), 1)],
            });
        }
        let route = find_route(configuration, &request.host, &request.path)
            .ok_or_else(|| Status::not_found("404: no route has this host and path"))?;
        let objective_ms = match request.objective_ms {
            0 => route.objective_ms,
            named => named,
        };
        let targets = route.targets.iter().filter(|target| target.weight > 0);
        let targets = targets.map(|target| (target.service.clone(), target.weight));
        Ok(Self {
            route: route.id.clone(),
            organisation: route_organisation(configuration, route, request)?,
            objective_ms,
            targets: targets.collect(),
        })
    }

    /// A question to the scheduler of each pool.
    pub fn placement_requests(&self, request: &PreviewRequest) -> Vec<PlacementRequest> {
        let ask = Ask {
            organisation: self.organisation.clone(),
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
            limit: request.limit,
            prompt_tokens: request.prompt_tokens,
            parts: request.parts.clone(),
            objective_ms: self.objective_ms,
            ..Ask::default()
        };
        let requests = self.targets.iter().map(|(pool, _)| PlacementRequest {
            pool: pool.clone(),
            ask: Some(ask.clone()),
            domain: request.domain.clone(),
        });
        requests.collect()
    }

    /// Share of the requests that goes to a pool, in percent; 0 if the operator named the pool.
    pub fn share_percent(&self, pool: &str) -> u32 {
        if self.route.is_empty() {
            return 0;
        }
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let target = self.targets.iter().find(|(name, _)| name == pool);
        let weight = target.map_or(0, |(_, weight)| u64::from(*weight));
        u32::try_from(weight * 100 / total.max(1)).unwrap_or(0)
    }
}

/// Organisation that the request of a route counts for.
fn route_organisation(
    configuration: &Configuration,
    route: &Route,
    request: &PreviewRequest,
) -> Result<String, Status> {
    if route.public {
        return Ok(PUBLIC_ORGANISATION.into());
    }
    match key_requirement(configuration) {
        KeyRequirement::Required => named_organisation(configuration, request, true),
        KeyRequirement::NotRequired => Ok(PUBLIC_ORGANISATION.into()),
        KeyRequirement::Unknown => Err(Status::failed_precondition(
            "503: it is not known whether callers of this route need a key",
        )),
    }
}

/// The organisation that the operator named.
fn named_organisation(
    configuration: &Configuration,
    request: &PreviewRequest,
    is_required: bool,
) -> Result<String, Status> {
    let name = &request.organisation;
    if name.is_empty() && !is_required {
        return Ok(PUBLIC_ORGANISATION.into());
    }
    if name.is_empty() {
        let text = "401 without a key: name the organisation of the caller with --organisation";
        return Err(Status::failed_precondition(text));
    }
    let is_known = configuration.organisations.iter().any(|o| o.id == *name);
    if is_known || name == PUBLIC_ORGANISATION {
        return Ok(name.clone());
    }
    Err(Status::failed_precondition(format!(
        "there is no organisation {name}: see \"jaylock organisation list\""
    )))
}
