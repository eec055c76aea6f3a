//! Published objects for tests and benchmarks of decisions.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use figramp::catalog::Catalog;
use figramp::catalog::CatalogBuilder;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::ClientAccountSpec;
use figramp::catalog::EndpointKey;
use figramp::catalog::EndpointKind;
use figramp::catalog::EndpointRole;
use figramp::catalog::EndpointSpec;
use figramp::catalog::LinkSpec;
use figramp::catalog::Name;
use figramp::catalog::ObjectSpec;
use figramp::catalog::RegionKey;
use figramp::catalog::RegionSpec;
use figramp::catalog::Repeatability;
use figramp::catalog::RouteKey;
use figramp::catalog::RouteKind;
use figramp::catalog::RouteSpec;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::catalog::VmKey;
use figramp::catalog::VmSpec;
use figramp::catalog::WorkClass;
use figramp::membership::Incarnation;
use figramp::membership::Liveness;
use figramp::membership::MembershipView;
use figramp::membership::RegionContact;
use figramp::membership::VmView;
use figramp::request::Call;
use figramp::request::CallBody;
use figramp::request::CompletionCall;
use figramp::request::RequestId;
use figramp::request::Visited;

/// Published objects by name.
#[derive(Clone, Debug, Default)]
pub struct Published {
    pub objects: Vec<(Name, ObjectSpec)>,
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

impl Published {
    /// Adds regions, with a link between each pair.
    pub fn regions(mut self, regions: &[&str], one_way_us: u64, bits_per_s: u64) -> Self {
        for region in regions {
            let links = regions
                .iter()
                .filter(|to| *to != region)
                .map(|to| LinkSpec {
                    to: name(to),
                    one_way_us,
                    bandwidth_bits_per_s: bits_per_s,
                })
                .collect();
            let spec = RegionSpec {
                availability_zones: vec![name(&format!("{region}-a"))],
                links,
            };
            self.objects.push((name(region), ObjectSpec::Region(spec)));
        }
        self
    }

    /// Adds VMs named `region-vm0`, `region-vm1` and so on.
    pub fn vms(mut self, region: &str, count: usize) -> Self {
        for index in 0..count {
            let spec = VmSpec {
                region: name(region),
                availability_zone: name(&format!("{region}-a")),
                caller_address: address(),
                peer_address: address(),
                operator_address: address(),
                state: ServiceState::Active,
            };
            let vm = name(&format!("{region}-vm{index}"));
            self.objects.push((vm, ObjectSpec::Vm(spec)));
        }
        self
    }

    /// Adds a route to a model, or to a plain service if `repeatability` is non-idempotent.
    pub fn route(mut self, route: &str, class: WorkClass, repeatability: Repeatability) -> Self {
        let kind = match repeatability {
            Repeatability::Idempotent => RouteKind::Model,
            Repeatability::NonIdempotent => RouteKind::Service {
                path_prefix: format!("/{route}"),
            },
        };
        let spec = RouteSpec {
            kind,
            is_open: false,
            class,
            repeatability,
            deadline_ms: 30_000,
            first_event_timeout_ms: 5_000,
            silence_timeout_ms: 5_000,
            answer_max_tokens: 4_096,
            call_cost_tokens: 1,
        };
        self.objects.push((name(route), ObjectSpec::Route(spec)));
        self
    }

    /// Adds endpoints named `region-route-0` and so on, after the first route.
    pub fn endpoints(mut self, region: &str, routes: &[&str], count: usize, slots: u32) -> Self {
        for index in 0..count {
            let spec = EndpointSpec {
                kind: EndpointKind::Engine,
                role: EndpointRole::Full,
                address: address(),
                region: name(region),
                availability_zone: name(&format!("{region}-a")),
                routes: routes.iter().map(|route| name(route)).collect(),
                state: ServiceState::Active,
                concurrency: slots,
                checks_fencing: true,
            };
            let endpoint = name(&format!("{region}-{}-{index}", routes[0]));
            self.objects.push((endpoint, ObjectSpec::Endpoint(spec)));
        }
        self
    }

    /// Adds a client account.
    pub fn account(mut self, account: &str, allowed_regions: &[&str], weight: u32) -> Self {
        let spec = ClientAccountSpec {
            allowed_regions: allowed_regions.iter().map(|region| name(region)).collect(),
            rate_tokens_per_s: 1_000,
            burst_tokens: 1_000,
            weight,
            region_shares: Vec::new(),
        };
        self.objects
            .push((name(account), ObjectSpec::ClientAccount(spec)));
        self
    }

    /// Builds the catalog that follows `previous`.
    pub fn build(&self, previous: &Catalog) -> Catalog {
        let objects = self.objects.iter().map(|(name, spec)| (name, spec));
        let (catalog, dangling) = CatalogBuilder::new(previous).build(TicketNumber(1), objects);
        assert_eq!(dangling, Vec::new());
        catalog
    }
}

pub fn region(catalog: &Catalog, text: &str) -> RegionKey {
    catalog.region_named(&name(text)).unwrap()
}

pub fn vm(catalog: &Catalog, text: &str) -> VmKey {
    catalog.vm_named(&name(text)).unwrap()
}

pub fn route(catalog: &Catalog, text: &str) -> RouteKey {
    catalog.route_named(&name(text)).unwrap()
}

pub fn account(catalog: &Catalog, text: &str) -> ClientAccountKey {
    catalog.client_account_named(&name(text)).unwrap()
}

pub fn endpoint(catalog: &Catalog, text: &str) -> EndpointKey {
    catalog.endpoint_named(&name(text)).unwrap()
}

/// Creates the view of a VM that sees all VMs as alive.
pub fn view(catalog: &Catalog, local_vm: VmKey) -> MembershipView {
    let alive = VmView {
        liveness: Liveness::Alive,
        is_leaving: false,
        incarnation: Incarnation(1),
        ticket_in_force: TicketNumber(1),
        load_permille: 0,
    };
    MembershipView {
        local_vm,
        incarnation: Incarnation(1),
        contact: RegionContact::Majority,
        vms: catalog.vms.keys().map(|vm| (vm, alive)).collect(),
    }
}

/// Creates a completion call.
pub fn completion(route: RouteKey, account: Option<ClientAccountKey>, prompt_tokens: u64) -> Call {
    Call {
        id: RequestId(1),
        key_digest: None,
        client_account: account,
        route,
        repeatability: Repeatability::Idempotent,
        body: CallBody::Completion(CompletionCall {
            body: Bytes::new(),
            prompt_tokens,
            answer_max_tokens: 100,
            is_answer_length_unset: false,
            is_stream: true,
            prefix_hashes: Vec::new(),
        }),
        idempotency_key: None,
        reserved_tokens: prompt_tokens + 100,
        remaining: Duration::from_secs(30),
        visited: Visited::default(),
    }
}
