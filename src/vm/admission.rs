//! Admission: reserves the tokens of a request before the request is routed.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::RequestContext;
use super::TokenOutcome;
use crate::catalog::ClientAccount;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::limits::DenialReason;
use crate::limits::Reservation;
use crate::limits::Shortfall;
use crate::limits::TokenPool;
use crate::request::Call;
use crate::telemetry::RateStanding;

/// The longest time that a request waits for tokens of its account.
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(500);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// The tokens reserved for a running request.
#[derive(Debug)]
pub(super) struct HeldTokens {
    pool: Arc<TokenPool>,
    reservation: Reservation,
}

impl HeldTokens {
    /// Charges `used_tokens` and returns the rest to the pool.
    pub(super) fn settle(self, used_tokens: u64) {
        self.pool.settle(self.reservation, used_tokens);
    }
}

/// Why a request was not admitted.
#[derive(Debug)]
pub(super) struct AdmissionRefusal {
    /// The refusal sent to the caller.
    pub(super) error: GatewayError,
    /// Whether the account was within its rate.
    pub(super) standing: RateStanding,
}

/// Reserves the tokens of a call; returns `None` for a call without a client account.
pub(super) async fn reserve(
    context: &RequestContext,
    call: &Call,
) -> Result<Option<HeldTokens>, AdmissionRefusal> {
    let Some(account_key) = call.client_account else {
        return Ok(None);
    };
    let catalog = context.blackboard.catalog.load_full();
    let pools = context.blackboard.token_pools.load_full();
    let account = catalog.client_accounts.get(account_key);
    let (Some(account), Some(pool)) = (account, pools.get(account_key)) else {
        let error = GatewayError::new(
            ErrorKind::NotReady,
            "the account is not set up on this VM yet",
        );
        return Err(AdmissionRefusal {
            error: error.with_retry_after(RETRY_AFTER_MIN),
            standing: RateStanding::Inside,
        });
    };
    if call.reserved_tokens > account.burst_tokens {
        return Err(exceeds_burst(account, call.reserved_tokens));
    }
    let started_at = context.clock.now();
    loop {
        let now = context.clock.now();
        let shortfall = match pool.reserve(now, call.reserved_tokens) {
            Ok(reservation) => {
                return Ok(Some(HeldTokens {
                    pool: Arc::clone(pool),
                    reservation,
                }))
            }
            Err(shortfall) => shortfall,
        };
        let wait = TOKEN_WAIT_MAX.saturating_sub(now.since(started_at));
        let outcome = context
            .control
            .request_tokens(account_key, shortfall.missing_tokens);
        match timeout(wait, outcome).await {
            Ok(Some(TokenOutcome::Arrived)) => {}
            Ok(Some(TokenOutcome::Denied(DenialReason::Spent))) => {
                return Err(rate_limited(account, shortfall, RateStanding::Over))
            }
            Ok(Some(TokenOutcome::Denied(DenialReason::NoHome))) => return Err(no_home(shortfall)),
            Ok(None) | Err(_) => {
                return Err(rate_limited(account, shortfall, RateStanding::Inside))
            }
        }
    }
}

fn exceeds_burst(account: &ClientAccount, tokens: u64) -> AdmissionRefusal {
    let burst = account.burst_tokens;
    let message = format!("the request needs {tokens} tokens, the account's burst is {burst}");
    AdmissionRefusal {
        error: GatewayError::new(ErrorKind::ExceedsBurst, message),
        standing: RateStanding::Over,
    }
}

fn no_home(shortfall: Shortfall) -> AdmissionRefusal {
    let message = "no reachable VM grants tokens of the account yet";
    let retry_after = shortfall.retry_after.unwrap_or(RETRY_AFTER_MIN);
    let error = GatewayError::new(ErrorKind::NotReady, message)
        .with_retry_after(retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
    AdmissionRefusal {
        error,
        standing: RateStanding::Inside,
    }
}

fn rate_limited(
    account: &ClientAccount,
    shortfall: Shortfall,
    standing: RateStanding,
) -> AdmissionRefusal {
    let missing_ms = shortfall.missing_tokens.saturating_mul(1_000);
    let accrual = Duration::from_millis(missing_ms / account.rate_tokens_per_s.max(1));
    let retry_after = shortfall.retry_after.unwrap_or_default().max(accrual);
    let message = match standing {
        RateStanding::Over => "the account is over its rate",
        RateStanding::Inside | RateStanding::Unknown => "no tokens were granted in time",
    };
    let error = GatewayError::new(ErrorKind::RateLimited, message)
        .with_retry_after(retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
    AdmissionRefusal { error, standing }
}
