//! The rates of client accounts over all VMs together, without shared state.

mod account_bucket;
mod quota_ledger;

pub use account_bucket::AccountBucket;
pub use quota_ledger::QuotaLedger;
pub use quota_ledger::QuotaRefusal;
