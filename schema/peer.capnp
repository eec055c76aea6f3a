@0xb1f0c3a7d2e45a06;

using Call = import "call.capnp";
using Configuration = import "configuration.capnp";
using Idempotency = import "idempotency.capnp";
using Limits = import "limits.capnp";
using Membership = import "membership.capnp";

# What one VM offers to another on an authenticated connection for forwarded calls.
interface Peer {
  # Serves a call; the events of the answer go to `sink`. The caller cancels by dropping the call.
  forward @0 (request :Call.ForwardRequest, sink :AnswerSink) -> ();
  # Answers at once.
  ping @1 () -> ();
}

# What crosses an authenticated connection for control, packed, either way.
struct ControlFrame {
  union {
    # Messages that were ready together.
    messages @0 :List(ControlMessage);
    # The number of frames of messages that have come so far.
    acknowledged @1 :UInt64;
  }
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
