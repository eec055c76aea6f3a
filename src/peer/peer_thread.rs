//! Threads for capnp-rpc, whose objects live on one thread each.

use std::future::Future;
use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the future that `make` returns on a thread of its own, to its end.
///
/// Tasks that the future spawned locally end with it.
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
