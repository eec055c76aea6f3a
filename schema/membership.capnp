@0xb1f0c3a7d2e45a03;

struct MembershipMessage {
  placeholder @0 :Void;
}
