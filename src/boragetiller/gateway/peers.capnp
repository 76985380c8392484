@0xd1a5c8e27f3b9046;
# Messages between routers. For compatibility, new fields are only appended.

struct Envelope {
  union {
    hello @0 :Hello;
    report @1 :Report;
    items @2 :List(Item);
    routers @3 :List(Address);
  }
}

struct Hello {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  port @3 :UInt16;
  usageOnly @4 :Bool;  # reports on this connection have counts of requests and nothing else
  asksForConfig @5 :Bool;  # the sender needs no configuration unasked, and reads compact items
}

struct Address {
  address @0 :Text;
  port @1 :UInt16;
}

struct Report {
  configRevision @0 :UInt64;
  serversRevision @1 :UInt64;
  loads @2 :List(Load);
  prompts @3 :List(ReadPrompt);
  failures @4 :List(Failure);
  storeReads @5 :UInt32;
  reachesStore @6 :Bool;
  watches @7 :Bool;  # whether the sender watches the list of backend servers itself
  partCrashes @8 :List(PartCrash);
  limits @9 :List(Limit);
  configEra @10 :UInt32;  # eras of the two revisions, 0 from routers that know none
  serversEra @11 :UInt32;
  speeds @12 :List(ServerSpeed);
  usage @13 :List(UsageCounts);
  hedges @14 :List(LatencySummary);
  announcements @15 :List(Announcement);
  entriesDigest @16 :UInt64;  # of the known configuration and servers; 0 from older routers
  configSource @17 :Text;  # name of the router that is asked for the newest configuration
  followsConfig @18 :Bool;  # whether the sender reads the configuration in the store itself
  isConfigQuick @19 :Bool;  # whether the link of the sender takes little time for it
}

struct ServerSpeed {
  server @0 :Text;
  workPercent @1 :UInt16;  # how long work takes there, 100 as usual
  ageMs @2 :UInt16;
}

struct UsageCounts {
  windowNo @0 :UInt64;
  router @1 :Text;
  incarnation @2 :UInt64;
  wallClockMs @3 :UInt64;  # of the sender, when the report was built
  counts @4 :List(CustomerCount);
}

struct CustomerCount {
  customer @0 :Text;
  requests @1 :UInt32;
}

struct LatencySummary {
  route @0 :Text;
  sketch @1 :Data;
}

struct Announcement {
  server @0 :Text;
  leaving @1 :Bool;
  startedMs @2 :Int64;  # of the incarnation, as its entry in the list names it
}

struct Limit {
  server @0 :Text;
  limitPerS @1 :Float64;
  ended @2 :Bool;  # the server names no limit any more
  ageMs @3 :UInt32;
}

struct PartCrash {
  part @0 :Text;
  crashId @1 :Text;  # name and start time of the engine
  companions @2 :List(Text);
  weight @3 :UInt16;
  ageMs @4 :UInt32;
  cleared @5 :Bool;
}

struct Failure {
  fingerprint @0 :Data;
  server @1 :Text;
  crashed @2 :Bool;
}

struct Load {
  server @0 :Text;
  inFlight @1 :UInt16;
  unreadTokens @2 :List(UInt32);  # by urgency, 0 to 9
  sensitivity @3 :Float32;
  committedTokens @4 :UInt32;  # of the memory for tokens; 0 from routers that do not report it
}

struct ReadPrompt {
  server @0 :Text;
  model @1 :Text;
  inputTokens @2 :UInt32;
  outputTokens @3 :UInt32;
  parts @4 :List(Part);
}

struct Part {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  removed @3 :Bool;
  era @4 :UInt32;
  removedVersion @5 :EntryVersion;  # of a removed entry, if known
  deflated @6 :Data;  # the value in zlib format, in place of `value`
}

struct EntryVersion {
  writerStartedMs @0 :Int64;
  number @1 :Int64;
}
