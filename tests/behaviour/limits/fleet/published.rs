//! The published objects of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use figramp::catalog::Catalog;
use figramp::catalog::CatalogBuilder;
use figramp::catalog::ClientAccountSpec;
use figramp::catalog::LinkSpec;
use figramp::catalog::Name;
use figramp::catalog::ObjectSpec;
use figramp::catalog::RegionShareSpec;
use figramp::catalog::RegionSpec;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::catalog::VmSpec;

/// An account, and the weights of its shares by region; empty for equal shares.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    pub rate: u64,
    pub burst: u64,
    pub shares: Vec<u32>,
}

/// The published objects, with one catalog for each ticket.
#[derive(Debug, Default)]
pub struct Published {
    specs: BTreeMap<Name, ObjectSpec>,
    pub catalogs: Vec<Arc<Catalog>>,
}

impl Published {
    pub fn new(regions: usize, vms_per_region: usize, accounts: &[AccountPlan]) -> Self {
        let mut published = Self::default();
        for region in 0..regions {
            published.put(region_name(region), region_spec(region, regions));
            for vm in 0..vms_per_region {
                published.put(vm_name(region, vm), vm_spec(region));
            }
        }
        for (index, plan) in accounts.iter().enumerate() {
            published.put(account_name(index), account_spec(regions, plan));
        }
        published.publish();
        published
    }

    pub fn latest(&self) -> &Arc<Catalog> {
        self.catalogs.last().unwrap()
    }

    pub fn add_vm(&mut self, region: usize, vm: usize) {
        self.put(vm_name(region, vm), vm_spec(region));
        self.publish();
    }

    pub fn remove_vm(&mut self, name: &Name) {
        self.specs.remove(name);
        self.publish();
    }

    fn put(&mut self, name: Name, spec: ObjectSpec) {
        self.specs.insert(name, spec);
    }

    fn publish(&mut self) {
        let ticket = TicketNumber(self.catalogs.len() as u64 + 1);
        let previous = self.catalogs.last().cloned().unwrap_or_default();
        let builder = CatalogBuilder::new(&previous);
        let (catalog, _) = builder.build(ticket, self.specs.iter());
        self.catalogs.push(Arc::new(catalog));
    }
}

pub fn vm_name(region: usize, vm: usize) -> Name {
    Name::new(format!("vm-{region}-{vm}")).unwrap()
}

pub fn account_name(index: usize) -> Name {
    Name::new(format!("account-{index}")).unwrap()
}

pub fn region_name(region: usize) -> Name {
    Name::new(format!("region-{region}")).unwrap()
}

fn zone_name(region: usize) -> Name {
    Name::new(format!("zone-{region}")).unwrap()
}

fn region_spec(region: usize, regions: usize) -> ObjectSpec {
    let others = (0..regions).filter(|other| *other != region);
    ObjectSpec::Region(RegionSpec {
        availability_zones: vec![zone_name(region)],
        links: others
            .map(|other| LinkSpec {
                to: region_name(other),
                one_way_us: 55_000,
                bandwidth_bits_per_s: 140_000_000,
            })
            .collect(),
    })
}

fn vm_spec(region: usize) -> ObjectSpec {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    ObjectSpec::Vm(VmSpec {
        region: region_name(region),
        availability_zone: zone_name(region),
        caller_address: address,
        peer_address: address,
        operator_address: address,
        state: ServiceState::Active,
    })
}

fn account_spec(regions: usize, plan: &AccountPlan) -> ObjectSpec {
    let share = |(region, weight): (usize, &u32)| RegionShareSpec {
        region: region_name(region),
        weight: *weight,
    };
    ObjectSpec::ClientAccount(ClientAccountSpec {
        allowed_regions: (0..regions).map(region_name).collect(),
        rate_tokens_per_s: plan.rate,
        burst_tokens: plan.burst,
        weight: 1,
        region_shares: plan.shares.iter().enumerate().map(share).collect(),
    })
}
