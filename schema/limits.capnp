@0xb1f0c3a7d2e45a04;

# Objects are named by the 64-bit xxh3 hash of their names.

struct LimitsMessage {
  union {
    leaseRequest @0 :LeaseRequest;
    leaseAnswer @1 :LeaseAnswer;
    leaseRelease @2 :LeaseRelease;
    draw @3 :Draw;
    grant @4 :Grant;
  }
}

struct LeaseRequest {
  incarnation @0 :UInt64;
  rosterHash @1 :UInt64;
  # One bit a shard.
  shards @2 :UInt64;
  held @3 :UInt64;
  sequence @4 :UInt32;
}

struct LeaseAnswer {
  incarnation @0 :UInt64;
  shards @1 :UInt64;
  sequence @2 :UInt32;
}

struct LeaseRelease {
  incarnation @0 :UInt64;
  shards @1 :UInt64;
  sequence @2 :UInt32;
}

struct Draw {
  holder @0 :UInt64;
  incarnation @1 :UInt64;
  isRelayed @2 :Bool;
  accounts @3 :List(AccountDraw);
}

struct AccountDraw {
  account @0 :UInt64;
  number @1 :UInt32;
  needTokens @2 :UInt32;
  unitTokens @3 :UInt32;
  aheadTokens @4 :UInt32;
  reports @5 :List(LotReport);
}

# All counts are cumulative.
struct LotReport {
  number @0 :UInt32;
  spentTokens @1 :UInt32;
  usedTokens @2 :UInt32;
  refundedTokens @3 :UInt32;
  returnedTokens @4 :UInt32;
}

struct Grant {
  incarnation @0 :UInt64;
  accounts @1 :List(AccountGrant);
}

struct AccountGrant {
  account @0 :UInt64;
  number @1 :UInt32;
  tokens @2 :UInt32;
  lifetimeMs @3 :UInt32;
  retryAfterMs @4 :UInt32;
}
