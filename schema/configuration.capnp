@0xb1f0c3a7d2e45a02;

struct ConfigurationMessage {
  placeholder @0 :Void;
}
