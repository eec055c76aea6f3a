@0xb3d0f1c86a5e2947;

# The datagrams by which the VMs of a deployment tell and ask each other which software version began a
# stream.

struct OriginMessage {
  origins @0 :List(StreamOrigin);
  # The streams that the sender asks for.
  questions @1 :List(UInt64);
  # The streams that the sender was asked for and doesn't know.
  unknown @2 :List(UInt64);
}

struct StreamOrigin {
  stream @0 :UInt64;
  # A hash of the version.
  version @1 :UInt64;
}
