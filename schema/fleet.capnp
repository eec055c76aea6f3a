@0xc4f5a90be1d3726f;

# The datagrams by which the VMs of a deployment tell each other what they know.

struct FleetMessage {
  # The sender's clock, in milliseconds since its start.
  sentAtMs @0 :UInt64;
  # The time in the message that this one answers; 0 for a question.
  echoedMs @1 :UInt64;
  digest @2 :BeliefDigest;
  # The first row is the sender's own.
  rows @3 :List(VmRow);
  listing @4 :Listing;
  # Answers that broke off between their head and their first event.
  crashes @5 :List(Crash);
  # The parts of these crashes that were answered.
  answeredParts @6 :List(AnsweredPart);
  # Only in messages between VMs of one region.
  namedRates @7 :List(NamedRate);
  # The time for which the sender knows each software version that was in use; zero for none.
  versionsCompleteMs @8 :UInt32;
  versionSightings @9 :List(VersionSighting);
  # The refusals for want of room that endpoints bear; only in messages between VMs of one region.
  refusalRates @10 :List(NamedRate);
  # Only in messages between VMs of one region.
  processEnds @11 :List(ProcessEnd);
  # What the sender has seen of the processes that may have ended by the message that this one answers.
  processSightings @12 :List(ProcessSighting);
}

# The process of an endpoint may have ended, without its record saying so; ages are counted to the sending of the
# message.
struct ProcessEnd {
  endpoint @0 :UInt32;
  endedAgeMs @1 :UInt32;
  # The age of the first sign of a process after it; the largest number if there was none.
  returnedAgeMs @2 :UInt32;
  # Whether a connection was refused.
  isCertain @3 :Bool;
}

# One process of an endpoint was seen over this time.
struct ProcessSighting {
  endpoint @0 :UInt32;
  sinceAgeMs @1 :UInt32;
  seenAgeMs @2 :UInt32;
}

struct VersionSighting {
  service @0 :UInt32;
  # The time from its last use to the sending of the message.
  seenAgeMs @1 :UInt32;
  # A hash of the version; zero if it is not known.
  version @2 :UInt64;
}

struct BeliefDigest {
  # Zero if the sender has no configuration.
  configurationVersion @0 :UInt64;
  configurationAgeMs @1 :UInt32;
  listingRevision @2 :UInt64;
  listingHash @3 :UInt64;
  listingAgeMs @4 :UInt32;
  # The era of the store in which the revision was assigned; zero if it reports none.
  listingEra @5 :UInt64;
}

struct VmRow {
  ip @0 :UInt32;
  zone @1 :UInt16;
  incarnation @2 :UInt64;
  beat @3 :UInt64;
  phase @4 :Phase;
  readsStore @5 :Bool;
  waits @6 :List(ServiceWait);
  usage @7 :List(AccountUsage);
  # Only in messages between VMs of one region.
  backlogs @8 :List(EndpointBacklog);
  # Whether the VM reaches no endpoint of its region.
  isCutOff @9 :Bool;
  # Only in messages between VMs of one region.
  loads @10 :List(ServiceLoad);
}

enum Phase {
  starting @0;
  ready @1;
  leaving @2;
}

struct ServiceWait {
  service @0 :UInt32;
  waitMs @1 :UInt16;
}

struct ServiceLoad {
  service @0 :UInt32;
  endpoints @1 :List(EndpointLoad);
}

# Mean numbers of requests at an endpoint, in hundredths.
struct EndpointLoad {
  endpoint @0 :UInt32;
  # Those of this VM.
  localCenti @1 :UInt32;
  # Those of all VMs, by the reports of the endpoint; zero if it is not known.
  totalCenti @2 :UInt32;
}

struct EndpointBacklog {
  endpoint @0 :UInt32;
  # Rounded to multiples of 16.
  prefillTokens16 @1 :UInt16;
  priority @2 :UInt8;
}

struct AccountUsage {
  account @0 :UInt32;
  # All units since the start of the incarnation.
  units @1 :UInt64;
}

struct Crash {
  endpoint @0 :UInt32;
  # Ages are counted to the sending of the message.
  beganAgeMs @1 :UInt32;
  crashedAgeMs @2 :UInt32;
  parts @3 :List(UInt64);
}

struct AnsweredPart {
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

# The rate that an endpoint named in its answers; ages are counted to the sending of the message.
struct NamedRate {
  endpoint @0 :UInt32;
  # Thousandths of a request per second.
  rateMilli @1 :UInt32;
  # The age of the newest answer that named the rate.
  namedAgeMs @2 :UInt32;
  # The age of the newest answer that named none; the largest number if there was none.
  unlimitedAgeMs @3 :UInt32;
}

struct Listing {
  endpoints @0 :List(EndpointRow);
  evacuatedZones @1 :List(UInt16);
}

struct EndpointRow {
  id @0 :Text;
  startedUnixMs @1 :UInt64;
  service @2 :Text;
  ip @3 :UInt32;
  port @4 :UInt16;
  zone @5 :UInt16;
  slots @6 :UInt32;
  isDraining @7 :Bool;
  coldRemainingMs @8 :UInt32;
  sequence @9 :UInt64;
  # A hash of the version of its software; zero if it is not known.
  softwareVersion @10 :UInt64;
}
