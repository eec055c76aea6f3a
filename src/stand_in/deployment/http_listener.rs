//! A minimal HTTP server for stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
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
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            while connections.try_join_next().is_some() {}
            connections.spawn(async move {
                let service = service_fn(move |request| answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    log::debug!("a connection of a stand-in failed: {error}");
                }
            });
        }
    });
    Ok((address, task))
}
