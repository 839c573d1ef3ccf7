@0xd1c5f0a3b9e84c27;
# Messages between control hosts, and the durable records of the log. Fields may be added; numbers must not be reused.
# `generate.sh` makes the committed C++ code from this file.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Consensus::Wire");

struct Member {
  name @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
}

struct Configuration {
  voters @0 :List(Member);
  learners @1 :List(Member);
}

struct Entry {
  term @0 :UInt64;
  index @1 :UInt64;
  union {
    noop @2 :Void;
    command @3 :Data;
    configuration @4 :Configuration;
  }
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :Text;  # empty for none
}

struct SnapshotMetadata {
  index @0 :UInt64;
  term @1 :UInt64;
  configuration @2 :Configuration;
  configurationIndex @3 :UInt64;
  size @4 :UInt64;
  checksum @5 :UInt64;
}

struct VoteRequest {
  electionTerm @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  isPreVote @3 :Bool;
  isTransfer @4 :Bool;
}

struct VoteResponse {
  electionTerm @0 :UInt64;
  isGranted @1 :Bool;
  isPreVote @2 :Bool;
}

struct Heartbeat {
  round @0 :UInt64;
  commitIndex @1 :UInt64;
  isReceiverVoter @2 :Bool;
}

struct HeartbeatResponse {
  round @0 :UInt64;
  matchIndex @1 :UInt64;
  receivedIndex @2 :UInt64;
}

struct AppendRequest {
  round @0 :UInt64;
  previousIndex @1 :UInt64;
  previousTerm @2 :UInt64;
  commitIndex @3 :UInt64;
  isReceiverVoter @4 :Bool;
  entries @5 :List(Entry);
}

enum AppendOutcome {
  accepted @0;
  mismatch @1;
  dataLost @2;
}

struct AppendResponse {
  round @0 :UInt64;
  outcome @1 :AppendOutcome;
  matchIndex @2 :UInt64;
  receivedIndex @3 :UInt64;
  rejectedIndex @4 :UInt64;
  hintIndex @5 :UInt64;
  hintTerm @6 :UInt64;
}

struct SnapshotChunk {
  round @0 :UInt64;
  metadata @1 :SnapshotMetadata;
  isReceiverVoter @2 :Bool;
  offset @3 :UInt64;
  data @4 :Data;
}

struct SnapshotResponse {
  round @0 :UInt64;
  snapshotIndex @1 :UInt64;
  nextOffset @2 :UInt64;
}

struct Message {
  clusterId @0 :Text;
  from @1 :Text;
  to @2 :Text;
  term @3 :UInt64;
  union {
    voteRequest @4 :VoteRequest;
    voteResponse @5 :VoteResponse;
    heartbeat @6 :Heartbeat;
    heartbeatResponse @7 :HeartbeatResponse;
    appendRequest @8 :AppendRequest;
    appendResponse @9 :AppendResponse;
    snapshotChunk @10 :SnapshotChunk;
    snapshotResponse @11 :SnapshotResponse;
    timeoutNow @12 :Void;
  }
}
