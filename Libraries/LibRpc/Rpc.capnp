@0xb3a9c52e7f1d4460;

# Calls between processes of primroseshift. Fields and methods are only added, never renumbered, so that processes of
# neighbouring versions work together during an upgrade.

using Cxx = import "/capnp/c++.capnp";
using Control = import "/LibControl/Control.capnp";
$Cxx.namespace("Rpc::Wire");

# Raised by one for each change that older processes cannot handle.
const protocolVersion :UInt32 = 1;

struct ViewServer { server @0 :Control.Server; state @1 :UInt8; coldSince @2 :UInt64; }

struct ViewSlots {
  pool @0 :Text;
  # One item per slot each.
  phases @1 :Data;
  epochs @2 :List(UInt64);
  servers @3 :List(UInt32);
}

struct QuarantinedRequest { fingerprint @0 :Control.Digest; route @1 :Text; }

struct View {
  version @0 :UInt64;
  revision @1 :UInt64;
  tables @2 :Control.Tables;
  servers @3 :List(ViewServer);
  slots @4 :List(ViewSlots);
  entryHosts @5 :List(Control.EntryHost);
  quarantine @6 :List(QuarantinedRequest);
}

struct EpochSlot { slot @0 :UInt32; epoch @1 :UInt64; }

struct Announcement {
  server @0 :Control.Server;
  cold @1 :Bool;
  draining @2 :Bool;
  busySlots @3 :Float64;
  released @4 :List(EpochSlot);
}

struct SlotRef { pool @0 :Text; slot @1 :UInt32; }
struct SlotWork { slot @0 :SlotRef; busyNanoseconds @1 :Int64; }

struct Heartbeat {
  host @0 :Control.EntryHost;
  sequence @1 :UInt64;
  appliedVersion @2 :UInt64;
  announcements @3 :List(Announcement);
  heldReleases @4 :List(SlotRef);
  work @5 :List(SlotWork);
}

struct Grant {
  server @0 :Text;
  incarnation @1 :UInt64;
  timeToLiveNanoseconds @2 :Int64;
  slots @3 :List(EpochSlot);
  release @4 :List(EpochSlot);
}

struct HeartbeatAnswer {
  viewLeaseNanoseconds @0 :Int64;
  view @1 :View;
  grants @2 :List(Grant);
  # The view version that is in effect at every live entry host.
  effectiveVersion @3 :UInt64;
}

# The receiver is not the leader or has no quorum. Empty text: the leader is not known.
struct NotLeader { leader @0 :Text; }

struct HeartbeatReply {
  union {
    notLeader @0 :NotLeader;
    answer @1 :HeartbeatAnswer;
  }
}

struct OrderReply {
  union {
    notLeader @0 :NotLeader;
    # The command may or may not be committed.
    unresolved @1 :Void;
    claimed @2 :Void;
    inProgress @3 :Void;
    completed :group { hasAnswer @4 :Bool; answer @5 :Control.KeptAnswer; }
    unknown @6 :Void;
    mismatch @7 :Void;
    abandoned @8 :Void;
    ledgerFull @9 :Void;
    claimantNotLive @10 :Void;
    invalid @11 :Void;
    recorded @12 :Void;
    notClaimed @13 :Void;
  }
}

struct ConfirmReply {
  union {
    notLeader @0 :NotLeader;
    confirmed @1 :Void;
    notOwner @2 :Void;
  }
}

struct AcquireRequest {
  requestId @0 :Control.RequestId;
  holder @1 :Text;
  pool @2 :Text;
  group @3 :UInt32;
  hasOwner @4 :Bool;
  owner @5 :Text;
  route @6 :Text;
  caller @7 :Text;
  priority @8 :UInt8;
  requestClass @9 :UInt8;
  # Time left, since clocks of different hosts cannot be compared.
  remainingNanoseconds @10 :Int64;
  kind @11 :UInt8;
  fingerprint @12 :Control.Digest;
  excluded @13 :List(Text);
  hasPreviousOutcome @14 :Bool;
  previousOutcome @15 :UInt8;
}

struct AcquireReply {
  union {
    granted :group { permit @0 :UInt64; server @1 :Text; hedgeAfterNanoseconds @2 :Int64; }
    refused :group { reason @3 :UInt8; retryAfterNanoseconds @4 :Int64; }
  }
}

struct ReleaseReport {
  permit @0 :UInt64;
  outcome @1 :UInt8;
  latencyNanoseconds @2 :Int64;
  serverUnreachable @3 :Bool;
}

struct HeldPermit { permit @0 :UInt64; server @1 :Text; route @2 :Text; fingerprint @3 :Control.Digest; }

interface Host {
  # Between control hosts: an encoded consensus message. No answer is needed; a lost message is sent again by Raft.
  deliver @0 (message :Data);

  # From entry hosts to the control leader.
  heartbeat @1 (heartbeat :Heartbeat) -> (reply :HeartbeatReply);
  # An encoded control command on the order ledger.
  order @2 (command :Data) -> (reply :OrderReply);
  confirmOwner @3 (pool :Text, slot :UInt32, epoch :UInt64) -> (reply :ConfirmReply);
  # A dispatcher saw a backend server fail while it ran the request, or saw the suspect run alone and succeed.
  reportCrash @4 (fingerprint :Control.Digest, server :Text, route :Text, cleared :Bool);

  # From entry hosts to the dispatcher of a group.
  acquire @5 (request :AcquireRequest) -> (reply :AcquireReply);
  release @6 (pool :Text, group :UInt32, report :ReleaseReport);
  registerHeld @7 (pool :Text, group :UInt32, holder :Text, permits :List(HeldPermit));

  # What operators' requests need to know about a process.
  info @8 () -> (host :Text, operatorApi :Text, version :UInt32);

  # From entry hosts to each control host: usage batches, one line each. Answered when they are durable.
  reportUsage @9 (batches :List(Text));
}
