@0xb3f1c1a9d2e4f601;
# Messages of the control exchange. New fields may only be added at the end
# of a struct.

struct Envelope {
  union {
    hello @0 :Hello;
    proof @1 :Data;
    report @2 :Report;
    pageVersions @3 :PageVersions;
    pageRequest @4 :List(UInt16);
    pageResponse @5 :PageResponse;
    strikeList @6 :List(Strike);
    shareRequest @7 :Share;
    shareGrant @8 :Share;
    goodbye @9 :Text;
  }
}

enum Role {
  router @0;
  agent @1;
}

struct Hello {
  version @0 :UInt16;
  role @1 :Role;
  name @2 :Text;
  incarnation @3 :UInt64;
  failureDomain @4 :Text;
  region @5 :Text;
  nonce @6 :Data;
}

struct Report {
  pagesDigest @0 :UInt32;
  running @1 :UInt16;
  maxRunning @2 :UInt16;
  serviceTenthsMs @3 :UInt32;
  firstTokenTenthsMs @4 :UInt32;
  betweenTokensTenthsMs @5 :UInt32;
  draining @6 :Bool;
  hasShards @7 :Bool;
  queued0 @8 :UInt16;
  queued1 @9 :UInt16;
  queued2 @10 :UInt16;
  queued3 @11 :UInt16;
  ownedShards @12 :List(UInt16);
  strikes @13 :List(Strike);
  hasProtectedRunning @14 :Bool;
  protectedRunning @15 :UInt16;
}

struct PageRevision {
  index @0 :UInt16;
  revision @1 :UInt64;
}

struct PageVersions {
  complete @0 :Bool;
  pages @1 :List(PageRevision);
  partial @2 :Bool;
}

struct PageResponse {
  index @0 :UInt16;
  revision @1 :UInt64;
  zlibBody @2 :Data;
}

struct Strike {
  fingerprint @0 :Data;
  backendServer @1 :Text;
  ageMs @2 :UInt32;
}

struct Share {
  customer @0 :Text;
  millionths @1 :UInt32;
}
