//! A configuration with the bytes it was decoded from.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;

use crate::deployment::Deployment;

/// A configuration and the bytes that are sent to other VMs.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The decoded form.
    pub deployment: Rc<Deployment>,
    /// The form in which the platform published it.
    pub encoded: Bytes,
    /// That form compressed, once a VM has asked for it.
    pub compressed: Rc<OnceCell<Bytes>>,
}
