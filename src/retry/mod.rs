//! Retries: the policy, its decisions and the retry budgets.

mod attempt_failure;
mod fleet_retry_budget;
mod retry_budget;
mod retry_decision;
mod retry_policy;

pub use attempt_failure::AttemptFailure;
pub use fleet_retry_budget::FleetRetryBudget;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_policy::RetryPolicy;
