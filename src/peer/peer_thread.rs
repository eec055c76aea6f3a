//! Threads for capnp-rpc, whose objects are bound to one thread.

use std::future::Future;
use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the future that `make` returns to completion on a new thread.
///
/// Local tasks that the future has spawned are dropped when it completes.
pub(super) fn spawn_local_thread<F>(
    name: &str,
    make: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, make()))?;
    Ok(())
}
