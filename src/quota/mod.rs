//! Rate limits of client accounts over all VMs together, by gossip instead of shared state.

mod account_bucket;
mod quota_limiter;

pub use account_bucket::AccountBucket;
pub use quota_limiter::QuotaLimiter;
pub use quota_limiter::QuotaRefusal;
