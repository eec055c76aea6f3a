//! A whole deployment of stand-ins and VMs in one process.
