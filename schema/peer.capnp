@0xb1f0c3a7d2e45a06;

using Configuration = import "configuration.capnp";
using Idempotency = import "idempotency.capnp";
using Limits = import "limits.capnp";
using Membership = import "membership.capnp";

# One control message between VMs.
struct ControlMessage {
  union {
    membership @0 :Membership.MembershipMessage;
    configuration @1 :Configuration.ConfigurationMessage;
    limits @2 :Limits.LimitsMessage;
    idempotency @3 :Idempotency.IdempotencyMessage;
  }
}
