@0xb1f0c3a7d2e45a04;

struct LimitsMessage {
  placeholder @0 :Void;
}
