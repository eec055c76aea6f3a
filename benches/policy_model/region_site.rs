//! The sizes of the users' systems, published as a catalog.

use figramp::catalog::Catalog;
use figramp::catalog::Repeatability;
use figramp::catalog::WorkClass;

use super::engine::Engine;
use crate::published::Published;

/// The size of one user's system; arrays have an item for each region.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub name: &'static str,
    pub regions: [&'static str; 3],
    pub vms: [usize; 3],
    pub engines: [usize; 3],
    pub concurrency: u32,
    pub accounts: usize,
    pub one_way_us: u64,
    pub bits_per_s: u64,
}

pub const BLOOMPLAN: Size = Size {
    name: "Bracken & Bloom",
    regions: ["brisbane", "townsville", "sydney"],
    vms: [5, 4, 4],
    engines: [4, 3, 3],
    concurrency: 16,
    accounts: 5,
    one_way_us: 55_000,
    bits_per_s: 140_000_000,
};

pub const CONSORCIO: Size = Size {
    name: "Consorcio",
    regions: ["boyaca", "santander", "cundinamarca"],
    vms: [7, 7, 7],
    engines: [8, 6, 6],
    concurrency: 16,
    accounts: 5,
    one_way_us: 55_000,
    bits_per_s: 2_000_000_000,
};

impl Size {
    /// Builds the catalog; interactive and long requests share the engines.
    pub fn catalog(&self) -> Catalog {
        let mut published = Published::default()
            .regions(&self.regions, self.one_way_us, self.bits_per_s)
            .route("tips", WorkClass::Interactive, Repeatability::Idempotent)
            .route("reviews", WorkClass::Long, Repeatability::Idempotent);
        for account in 0..self.accounts {
            published = published.account(&format!("account-{account}"), &self.regions, 1);
        }
        for (index, region) in self.regions.into_iter().enumerate() {
            published = published.vms(region, self.vms[index]).endpoints(
                region,
                &["tips", "reviews"],
                self.engines[index],
                self.concurrency,
            );
        }
        published.build(&Catalog::default())
    }

    pub fn engines(&self) -> Vec<Engine> {
        let concurrency = self.concurrency as usize;
        (0..3)
            .flat_map(|region| {
                (0..self.engines[region]).map(move |_| Engine::new(region, concurrency))
            })
            .collect()
    }
}
