//! Compression of what VMs transfer to each other.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;

/// The value of `Accept-Encoding` and `Content-Encoding`.
pub(super) const ENCODING: &str = "deflate";

/// Compresses a body.
///
/// # Errors
///
/// Returns an error if the library cannot compress it.
pub(super) fn compress(body: &[u8]) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses a body to at most `max_bytes`.
///
/// # Errors
///
/// Returns an error if the body is malformed, truncated, or longer than allowed.
pub(super) fn decompress(body: &[u8], max_bytes: usize) -> io::Result<Bytes> {
    let mut decompressed = Vec::new();
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut decoder = ZlibDecoder::new(body).take(limit.saturating_add(1));
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() > max_bytes {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the decompressed body is too long",
        ));
    }
    Ok(Bytes::from(decompressed))
}
