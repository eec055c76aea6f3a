//! The plan of a demo deployment.

/// The regions, client accounts and links of a demo deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentPlan {
    /// The regions.
    pub regions: Vec<RegionPlan>,
    /// The client accounts; the key of account `name` is `key-name`.
    pub client_accounts: Vec<AccountPlan>,
    /// The one-way latency that is published for each pair of regions, in microseconds.
    pub one_way_us: u64,
    /// The bandwidth that is published for each pair of regions, in bits per second.
    pub bandwidth_bits_per_s: u64,
}

/// The part of a deployment in one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionPlan {
    /// The name.
    pub name: &'static str,
    /// The number of entry VMs.
    pub vm_count: usize,
    /// The number of model engines.
    pub engine_count: usize,
    /// The number of servers of the booking service.
    pub service_count: usize,
}

/// A client account of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountPlan {
    /// The name.
    pub name: &'static str,
    /// The allowed regions; empty means all.
    pub allowed_regions: Vec<&'static str>,
    /// The rate, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst, in tokens.
    pub burst_tokens: u64,
}

impl DeploymentPlan {
    /// Returns a plan of three regions with three VMs each.
    pub fn three_regions() -> Self {
        let region = |name, engine_count| RegionPlan {
            name,
            vm_count: 3,
            engine_count,
            service_count: 1,
        };
        let account = |name, allowed_regions| AccountPlan {
            name,
            allowed_regions,
            rate_tokens_per_s: 200_000,
            burst_tokens: 600_000,
        };
        Self {
            regions: vec![
                region("brisbane", 2),
                region("townsville", 1),
                region("sydney", 2),
            ],
            client_accounts: vec![
                account("bloomplan", Vec::new()),
                account("toowoomba-nursery", vec!["brisbane"]),
                account("wet-tropics", vec!["townsville", "brisbane"]),
            ],
            one_way_us: 55_000,
            bandwidth_bits_per_s: 140_000_000,
        }
    }

    /// Returns a plan of one region with two engines and one server of the booking service.
    pub fn one_region(vm_count: usize) -> Self {
        let mut plan = Self::three_regions();
        plan.regions.truncate(1);
        plan.regions[0].vm_count = vm_count;
        plan.client_accounts.truncate(2);
        plan
    }
}
