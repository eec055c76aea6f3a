@0xb1f0c3a7d2e45a05;

struct IdempotencyMessage {
  placeholder @0 :Void;
}
