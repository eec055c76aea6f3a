//! One VM of the simulation.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::EndpointKey;
use figramp::catalog::VmKey;
use figramp::clock::Monotonic;
use figramp::membership::MembershipView;
use figramp::queueing::FairQueue;
use figramp::queueing::QueueItem;
use figramp::queueing::QueueLimits;
use figramp::request::Call;
use figramp::routing::choose;
use figramp::routing::EndpointLoads;
use figramp::routing::RouteChoice;
use figramp::routing::RouteQuery;
use rand::rngs::StdRng;

use crate::published;

/// The queue of a VM, either fair or first come, first served.
#[allow(clippy::large_enum_variant)]
pub enum Queue {
    Fair(FairQueue<usize>),
    FirstCome(VecDeque<QueueItem<usize>>),
}

pub struct VmNode {
    pub key: VmKey,
    pub region: usize,
    pub loads: EndpointLoads,
    pub view: MembershipView,
    pub queue: Queue,
}

impl VmNode {
    pub fn new(catalog: &Catalog, name: &str, region: usize, is_fair: bool) -> Self {
        let key = published::vm(catalog, name);
        let queue = if is_fair {
            Queue::Fair(FairQueue::new(QueueLimits::default()))
        } else {
            Queue::FirstCome(VecDeque::new())
        };
        Self {
            key,
            region,
            loads: EndpointLoads::default().for_catalog(catalog),
            view: published::view(catalog, key),
            queue,
        }
    }

    /// Chooses the route of a call; `None` if the call is refused.
    pub fn choose(
        &self,
        now: Monotonic,
        catalog: &Catalog,
        call: &Call,
        excluded: &[EndpointKey],
        forwards_max: usize,
        rng: &mut StdRng,
    ) -> Option<RouteChoice> {
        let queue_wait = self.queue_wait(now, catalog, call);
        let query = RouteQuery {
            catalog,
            view: &self.view,
            loads: &self.loads,
            call,
            excluded,
            forwards_max,
            queue_wait,
        };
        choose(now, &query, rng)
            .ok()
            .map(|decision| decision.choice)
    }

    fn queue_wait(&self, now: Monotonic, catalog: &Catalog, call: &Call) -> Duration {
        let class = catalog.routes[call.route].class;
        match &self.queue {
            Queue::Fair(queue) => queue.expected_wait(now, call.client_account, 1, class),
            Queue::FirstCome(_) => Duration::ZERO,
        }
    }

    /// Removes and returns the next request that can start, with its endpoint.
    pub fn next(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        calls: &[Call],
        excluded: &[Vec<EndpointKey>],
        rng: &mut StdRng,
    ) -> Option<(usize, EndpointKey)> {
        let Self {
            loads, view, queue, ..
        } = self;
        let mut endpoints: HashMap<usize, EndpointKey> = HashMap::new();
        let mut can_start = |item: &QueueItem<usize>| {
            let query = RouteQuery {
                catalog,
                view,
                loads,
                call: &calls[item.payload],
                excluded: &excluded[item.payload],
                forwards_max: 0,
                queue_wait: Duration::ZERO,
            };
            match choose(now, &query, rng).map(|decision| decision.choice) {
                Ok(RouteChoice::Local(endpoint)) => {
                    endpoints.insert(item.payload, endpoint);
                    true
                }
                _ => false,
            }
        };
        let item = match queue {
            Queue::Fair(queue) => queue.next(now, can_start)?,
            Queue::FirstCome(queue) => {
                if !can_start(queue.front()?) {
                    return None;
                }
                queue.pop_front()?
            }
        };
        Some((item.payload, endpoints[&item.payload]))
    }

    /// Puts a request into the queue; if it is refused, the error is the time after which to retry.
    pub fn offer(&mut self, now: Monotonic, item: QueueItem<usize>) -> Result<(), Duration> {
        match &mut self.queue {
            Queue::Fair(queue) => match queue.offer(now, item) {
                Ok(_) => Ok(()),
                Err(refused) => Err(refused.retry_after),
            },
            Queue::FirstCome(queue) => {
                queue.push_back(item);
                Ok(())
            }
        }
    }

    /// Removes and returns the requests that can no longer start in time.
    pub fn expire(&mut self, now: Monotonic) -> Vec<usize> {
        let expired = match &mut self.queue {
            Queue::Fair(queue) => queue.expire(now),
            Queue::FirstCome(queue) => {
                let late = queue.iter().filter(|item| item.start_by < now).cloned();
                let late: Vec<_> = late.collect();
                queue.retain(|item| item.start_by >= now);
                late
            }
        };
        expired.into_iter().map(|item| item.payload).collect()
    }

    pub fn is_idle(&self) -> bool {
        match &self.queue {
            Queue::Fair(queue) => queue.is_empty(),
            Queue::FirstCome(queue) => queue.is_empty(),
        }
    }

    pub fn local_requests(&self) -> u32 {
        self.loads
            .iter()
            .map(|(_, load)| load.local_requests())
            .sum()
    }
}

/// Creates the queue item of a request.
pub fn item(
    catalog: &Catalog,
    call: &Call,
    request: usize,
    start_by: Monotonic,
) -> QueueItem<usize> {
    let account: Option<ClientAccountKey> = call.client_account;
    QueueItem {
        client_account: account,
        key_digest: None,
        weight: 1,
        class: catalog.routes[call.route].class,
        route: call.route,
        cost_tokens: call.reserved_tokens,
        start_by,
        payload: request,
    }
}
