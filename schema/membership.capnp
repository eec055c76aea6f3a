@0xb1f0c3a7d2e45a03;

# Objects are named by the 64-bit xxh3 hash of their names.

struct MembershipMessage {
  heartbeats @0 :List(Heartbeat);
  summaries @1 :List(RegionSummary);
}

struct Heartbeat {
  vm @0 :UInt64;
  incarnation @1 :UInt64;
  counter @2 :UInt32;
  loadPermille @3 :UInt16;
  isLeaving @4 :Bool;
  ticketInForce @5 :UInt64;
}

struct RegionSummary {
  region @0 :UInt64;
  rosterHash @1 :UInt64;
  ageMs @2 :UInt32;
  # One byte a VM, in the order of the roster's names.
  vms @3 :Data;
}
