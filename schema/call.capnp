@0xb1f0c3a7d2e45a07;

using Common = import "common.capnp";

# A call that one VM hands to another. Objects are named, as keys are local to a process.
struct ForwardRequest {
  requestId @0 :Common.RequestId;
  # The SHA-256 digest of the caller's key; empty without a key.
  keyDigest @1 :Data;
  # Empty without a client account.
  clientAccount @2 :Text;
  route @3 :Text;
  repeatability @4 :Repeatability;
  # Empty without an idempotency key.
  idempotencyKey @5 :Text;
  reservedTokens @6 :UInt64;
  # The time left until the deadline, counted from the moment of sending.
  remainingUs @7 :UInt64;
  visitedVms @8 :List(Text);
  visitedRegions @9 :List(Text);
  # Empty if the sender has no preference.
  preferredEndpoint @10 :Text;
  union {
    completion @11 :CompletionCall;
    service @12 :ServiceCall;
  }
}

enum Repeatability {
  idempotent @0;
  nonIdempotent @1;
}

struct CompletionCall {
  body @0 :Data;
  promptTokens @1 :UInt64;
  answerMaxTokens @2 :UInt64;
  isStream @3 :Bool;
  prefixHashes @4 :List(UInt64);
}

struct ServiceCall {
  method @0 :Text;
  pathAndQuery @1 :Text;
  hasContentType @2 :Bool;
  contentType @3 :Text;
  body @4 :Data;
}

# Events of one answer that were ready together.
struct AnswerBatch {
  requestId @0 :Common.RequestId;
  events @1 :List(AnswerItem);
}

struct AnswerItem {
  offset @0 :UInt64;
  union {
    # The peer has taken the call; the answer follows.
    accepted @1 :Void;
    # The peer is alive and has no event.
    waiting @2 :Void;
    head @3 :AnswerHead;
    chunk @4 :Data;
    keepAlive @5 :Void;
    end @6 :Usage;
    failure @7 :Failure;
  }
}

struct AnswerHead {
  status @0 :UInt16;
  contentType @1 :Text;
}

struct Usage {
  promptTokens @0 :UInt64;
  cachedTokens @1 :UInt64;
  answerTokens @2 :UInt64;
}

# A refusal or failure, as it is answered to the caller.
struct Failure {
  code @0 :Text;
  message @1 :Text;
  run @2 :RunState;
  hasRetryAfter @3 :Bool;
  retryAfterUs @4 :UInt64;
}

enum RunState {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}
