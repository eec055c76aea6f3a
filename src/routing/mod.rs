//! The choice of region, VM and endpoint for a request.
