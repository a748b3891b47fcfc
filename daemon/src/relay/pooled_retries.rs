//! Retries from the pool of the hall, requested from its owner like permits for limited servers.

use badgerferry_lib::relay::permit_wire::PermitDecision;
use badgerferry_lib::relay::permit_wire::PermitFrame;
use badgerferry_lib::relay::permit_wire::PermitResponse;
use badgerferry_lib::relay::permit_wire::RetryRequest;
use badgerferry_lib::relay::quota_owner::QuotaOwner;
use badgerferry_lib::relay::retry_pool;
use badgerferry_lib::relay::retry_pool::PoolScope;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::server_paths::ServiceKey;
use badgerferry_lib::relay::state_pull::BoxAddresses;

use crate::relay::server_gate::ServerGate;
use crate::traffic::lock;

impl ServerGate {
    /// Requests a retry from the pool of this hall. Returns whether it is granted.
    pub async fn request_retry(&self, service: &ServiceName) -> bool {
        let service = ServiceKey::of(service);
        let decision = match self.pool_owner() {
            QuotaOwner::Local { shares } => self.grant_retry(service, shares),
            QuotaOwner::Remote(address) => {
                let id = rand::random();
                let frame = PermitFrame::Retry(RetryRequest { id, service });
                self.request_from_owner(address, id, frame).await
            }
            QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        matches!(decision, PermitDecision::Granted { .. })
    }

    /// Owner of the retry pool of this hall. Also called periodically, so that a pool that this box
    /// owns is not taken for a new one.
    pub fn pool_owner(&self) -> QuotaOwner {
        let now = self.now();
        let (own, hall) = (&self.context.own, &self.context.hall);
        let owner = lock(&self.context.cluster_view).quota_owner(now, own, hall, false);
        let boxes = lock(&self.context.cluster_view).budget_boxes(now);
        let is_owner = matches!(owner, QuotaOwner::Local { .. })
            && retry_pool::is_used(&self.context.retries, boxes);
        lock(&self.retry_pool).set_owner(now, is_owner);
        owner
    }

    /// Grants a retry from the pool, which this box owns, or one of `owners` parts of it.
    fn grant_retry(&self, service: ServiceKey, owners: usize) -> PermitDecision {
        let scope = {
            let cluster_view = lock(&self.context.cluster_view);
            let is_in_hall = |member: &&BoxAddresses| member.hall == self.context.hall.as_str();
            PoolScope {
                boxes: cluster_view.budget_boxes(self.now()),
                hall_boxes: cluster_view.boxes.values().filter(is_in_hall).count(),
                owners,
            }
        };
        if scope.boxes == 0 {
            return PermitDecision::Full { retry_in: 0 };
        }
        let (now, budget) = (self.now(), &self.context.retries);
        if lock(&self.retry_pool).try_grant(now, service, budget, scope) {
            PermitDecision::Granted { after: 0 }
        } else {
            PermitDecision::Full { retry_in: 0 }
        }
    }

    pub(super) fn respond_to_retry(&self, request: RetryRequest) -> PermitResponse {
        let RetryRequest { id, service } = request;
        if let Some(decision) = lock(&self.quotas).cached_response(id) {
            return PermitResponse { id, decision };
        }
        let decision = match self.pool_owner() {
            QuotaOwner::Local { shares } => self.grant_retry(service, shares),
            QuotaOwner::Remote(_) | QuotaOwner::Unknown => PermitDecision::NotOwner,
        };
        lock(&self.quotas).cache_response(id, decision);
        PermitResponse { id, decision }
    }
}
