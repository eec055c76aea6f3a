@0xb1f0c3a7d2e45a01;

# A request identifier.
struct RequestId {
  high @0 :UInt64;
  low @1 :UInt64;
}
