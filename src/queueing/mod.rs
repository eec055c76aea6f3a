//! Bounded queues and fair scheduling over client accounts.
