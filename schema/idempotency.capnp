@0xb1f0c3a7d2e45a05;

# The name of a call; an empty account stands for callers without a key.
struct RecordId {
  clientAccount @0 :Text;
  key @1 :Text;
}

# One submission at one coordinator.
struct AttemptId {
  coordinator @0 :Text;
  boot @1 :UInt64;
  sequence @2 :UInt64;
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
  promptTokens @3 :UInt64;
  cachedTokens @4 :UInt64;
  answerTokens @5 :UInt64;
}

struct RecordCopy {
  id @0 :RecordId;
  route @1 :Text;
  fingerprintHigh @2 :UInt64;
  fingerprintLow @3 :UInt64;
  attempt @4 :AttemptId;
  ageMs @5 :UInt64;
  state :union {
    prepared @6 :Void;
    completed @7 :StoredAnswer;
    ranUnkept @8 :Void;
    unknown @9 :Void;
    notRun @10 :Void;
  }
}

# A submission of a call.
struct Submission {
  id @0 :RecordId;
  attempt @1 :AttemptId;
}

struct Known {
  asked @0 :AttemptId;
  copy @1 :RecordCopy;
}

struct SyncRequest {
  boot @0 :UInt64;
  after @1 :RecordId;
}

struct SyncPage {
  boot @0 :UInt64;
  after @1 :RecordId;
  records @2 :List(RecordCopy);
  next @3 :RecordId;
}

struct IdempotencyMessage {
  union {
    prepare @0 :RecordCopy;
    prepared @1 :Submission;
    unsettled @2 :Submission;
    known @3 :Known;
    update @4 :RecordCopy;
    query @5 :Submission;
    release @6 :Submission;
    syncRequest @7 :SyncRequest;
    syncPage @8 :SyncPage;
  }
}
