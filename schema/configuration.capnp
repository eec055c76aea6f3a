@0xb1f0c3a7d2e45a02;

# A message between VMs about change tickets.
struct ConfigurationMessage {
  union {
    summary @0 :Summary;
    buckets @1 :List(UInt64);
    versions @2 :List(BucketVersions);
    wanted @3 :List(UInt64);
    objects @4 :List(ObjectRecord);
  }
}

struct Summary {
  root @0 :UInt64;
  ticket @1 :UInt64;
  phase @2 :Phase;
  reply @3 :ReplyMode;
}

enum Phase {
  booting @0;
  ready @1;
}

enum ReplyMode {
  notWanted @0;
  wanted @1;
}

struct BucketVersions {
  bucket @0 :UInt8;
  versions @1 :List(ObjectVersion);
}

struct ObjectVersion {
  object @0 :UInt64;
  ticket @1 :UInt64;
  content @2 :UInt64;
}

# An object with its version; an empty value is a tombstone.
struct ObjectRecord {
  kind @0 :ObjectKind;
  name @1 :Text;
  ticket @2 :UInt64;
  # The value in canonical JSON, as in change tickets.
  value @3 :Data;
}

enum ObjectKind {
  region @0;
  vm @1;
  clientAccount @2;
  apiKey @3;
  route @4;
  endpoint @5;
  placementRule @6;
}
