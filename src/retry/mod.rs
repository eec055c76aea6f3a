//! Retry decisions and retry budgets.
