@0x9eed6dfa1a4073ce;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chivedeal::membership::wire");

# Gossip and streams travel packed, since RPC itself does not pack and links between regions are
# billed by volume.
interface Peer {
  exchange @0 (gossip :Data) -> (gossip :Data);
  # Without a host the peer itself is meant; else it probes that node.
  probe @1 (host :Text, port :UInt16) -> (reached :Bool);
  recordsFrom @2 (offset :UInt64) -> (records :List(Record), refusal :Text);
  snapshot @3 () -> (data :Data, refusal :Text);
  handOff @4 (stream :Data) -> (refusal :Text);
}

struct Record {
  offset @0 :UInt64;
  data @1 :Text;
}

struct Node {
  id @0 :Text;
  # Absent when it is the RPC host.
  httpHost @1 :Text;
  rpcHost @2 :Text;
  region @3 :Text;
  zone @4 :Text;
  incarnation @5 :UInt64;
  appliedOffset @6 :UInt64;
  httpPort @7 :UInt16;
  rpcPort @8 :UInt16;
  status @9 :Status;
  ready @10 :Bool;

  enum Status {
    alive @0;
    suspect @1;
    dead @2;
    leaving @3;
  }
}

struct Fact {
  union {
    leaving :group {
      endpoint @0 :Text;
      # -1 when the time is not known.
      remainingMs @1 :Int64;
    }
    bad :group {
      service @2 :Text;
      version @3 :Text;
      declaredOffset @4 :UInt64;
      reason @5 :Text;
    }
  }
}

struct Demand {
  node @0 :Text;
  workspace @1 :Text;
  sequence @2 :UInt64;
  rate @3 :Float64;
  openRequests @4 :UInt32;
}

struct Outcome {
  sequence @0 :UInt64;
  node @1 :Text;
  service @2 :Text;
  version @3 :Text;
  declaredOffset @4 :UInt64;
  route @5 :Text;
  loadBand @6 :UInt8;
  requests @7 :UInt64;
  errors @8 :UInt64;
  slow @9 :UInt64;
}

struct Gossip {
  sender @0 :Node;
  digest @1 :List(UInt32);
  knownNodes @2 :UInt32;
  push @3 :Bool;
  catchUp @4 :Bool;
  nodes @5 :List(Node);
  facts @6 :List(Fact);
  demand @7 :List(Demand);
  outcomes @8 :List(Outcome);
}

struct Stream {
  request @0 :Text;
  workspace @1 :Text;
  service @2 :Text;
  version @3 :Text;
  route @4 :Text;
  priority @5 :Int32;
  attempt @6 :Int32;
  # -1 when there is no deadline.
  remainingMs @7 :Int64;
  body @8 :Text;
  tokens @9 :List(Text);
  finished @10 :Bool;
  outcome @11 :Text;
}
