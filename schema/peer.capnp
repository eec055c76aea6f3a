@0xb1f0c3a7d2e45a06;

using Call = import "call.capnp";
using Configuration = import "configuration.capnp";
using Idempotency = import "idempotency.capnp";
using Limits = import "limits.capnp";
using Membership = import "membership.capnp";

# What one VM offers to another on an authenticated connection.
interface Peer {
  # Takes control messages that were ready together.
  control @0 (messages :List(ControlMessage)) -> ();
  # Serves a call; the events of the answer go to `sink`. The caller cancels by dropping the call.
  forward @1 (request :Call.ForwardRequest, sink :AnswerSink) -> ();
  # Answers at once.
  ping @2 () -> ();
}

# Takes the events of one answer.
interface AnswerSink {
  # Returns when the receiver has room for more.
  push @0 (batch :Call.AnswerBatch) -> ();
}

# One control message between VMs.
struct ControlMessage {
  union {
    membership @0 :Membership.MembershipMessage;
    configuration @1 :Configuration.ConfigurationMessage;
    limits @2 :Limits.LimitsMessage;
    idempotency @3 :Idempotency.IdempotencyMessage;
  }
}
