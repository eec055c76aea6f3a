//! Keys of endpoints.

use slotmap::new_key_type;

new_key_type! {
    /// An instance of an endpoint in the [`EndpointTable`](super::EndpointTable).
    pub struct EndpointKey;
}
