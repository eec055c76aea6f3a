//! A minimal HTTP server for stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Answers requests to `address` with `answer` until the returned task is aborted, which closes the
/// listening socket and all connections; also returns the bound address.
pub(super) async fn serve<F, A, B>(
    address: SocketAddr,
    answer: A,
) -> io::Result<(SocketAddr, JoinHandle<()>)>
where
    A: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    serve_ending(address, Arc::default(), answer).await
}

/// Why connections end although the server goes on.
#[derive(Debug, Default)]
pub(super) struct ConnectionEnds {
    /// Closes one connection at each notification, after the answer in progress.
    pub(super) closing: Notify,
    /// The idle time after which a connection is closed; `None` for none.
    pub(super) idle_timeout: Mutex<Option<Duration>>,
}

/// As [`serve`], with connections that end by themselves.
pub(super) async fn serve_ending<F, A, B>(
    address: SocketAddr,
    ends: Arc<ConnectionEnds>,
    answer: A,
) -> io::Result<(SocketAddr, JoinHandle<()>)>
where
    A: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, ends) = (Arc::clone(&answer), Arc::clone(&ends));
            while connections.try_join_next().is_some() {}
            connections.spawn(async move {
                let service = service_fn(move |request| answer(request));
                let mut builder = http1::Builder::new();
                let idle_timeout = *ends.idle_timeout.lock();
                if let Some(idle_timeout) = idle_timeout {
                    let builder = builder.timer(TokioTimer::new());
                    builder.header_read_timeout(idle_timeout);
                }
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                let mut connection = pin!(connection);
                let ended = tokio::select! {
                    ended = connection.as_mut() => ended,
                    () = ends.closing.notified() => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                };
                if let Err(error) = ended {
                    log::debug!("a connection of a stand-in failed: {error}");
                }
            });
        }
    });
    Ok((address, task))
}
