@0xd1f7a3c45b0e8262;

# Replicated commands and the snapshot of the control state. Fields are only added, never renumbered: logs and snapshots
# of earlier versions must stay readable.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Control::Wire");

struct Digest { high @0 :UInt64; low @1 :UInt64; }
struct RequestId { high @0 :UInt64; low @1 :UInt64; }

struct Server {
  name @0 :Text;
  pool @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  failureDomain @4 :Text;
  incarnation @5 :UInt64;
  slots @6 :UInt32;
  connections @7 :UInt32;
  checksFencing @8 :Bool;
}

struct EntryHost {
  name @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  joinedAt @5 :UInt64;
}

struct PoolDemand { pool @0 :Text; busySlots @1 :Float64; }

struct Pool {
  name @0 :Text;
  kind @1 :UInt8;
  slotCount @2 :UInt32;
  dispatchGroups @3 :UInt32;
}

struct Route {
  name @0 :Text;
  pool @1 :Text;
  host @2 :Text;
  methods @3 :List(Text);
  pathPrefix @4 :Text;
  hasHeader @5 :Bool;
  headerName @6 :Text;
  headerValue @7 :Text;
  key :union {
    none @8 :Void;
    pathSegment @9 :UInt32;
    query @10 :Text;
    header @11 :Text;
  }
  requestClass @12 :UInt8;
  priority @13 :UInt8;
  deadlineNanoseconds @14 :Int64;
  maxBodyBytes @15 :UInt64;
}

struct Tables { pools @0 :List(Pool); routes @1 :List(Route); }

struct EditOperation {
  union {
    putPool @0 :Pool;
    removePool @1 :Text;
    putRoute @2 :Route;
    removeRoute @3 :Text;
  }
  replace @4 :Bool;
}

struct OrderKey { route @0 :Text; caller @1 :Text; idempotencyKey @2 :Data; }
struct KeptAnswer { status @0 :UInt16; contentType @1 :Text; body @2 :Data; }

struct SlotRelease { slot @0 :UInt32; epoch @1 :UInt64; from @2 :UInt32; to @3 :UInt32; }
struct SlotAssign { slot @0 :UInt32; epoch @1 :UInt64; to @2 :UInt32; basis @3 :UInt8; }

struct Command {
  union {
    registerServer :group { server @0 :Server; cold @1 :Bool; }
    serverLost :group { server @2 :Text; incarnation @3 :UInt64; }
    drainServer :group { server @4 :Text; cause @5 :UInt8; force @6 :Bool; demand @7 :List(PoolDemand); }
    returnServer :group { server @8 :Text; cause @9 :UInt8; }
    drainDomain :group { domain @10 :Text; force @11 :Bool; demand @12 :List(PoolDemand); }
    returnDomain @13 :Text;
    joinEntryHost @14 :EntryHost;
    removeEntryHost :group { host @15 :Text; incarnation @16 :UInt64; joinedAt @47 :UInt64; }
    # Servers are indices into `names`, since few servers are named by many slots.
    beginRelease :group { pool @17 :Text; names @18 :List(Text); slots @19 :List(SlotRelease); }
    assignSlots :group {
      pool @20 :Text;
      names @21 :List(Text);
      slots @22 :List(SlotAssign);
      acknowledged @23 :UInt64;
    }
    submitEdit :group {
      id @24 :Text;
      baseRevision @25 :UInt64;
      author @26 :Text;
      wallClockMilliseconds @27 :Int64;
      content :union {
        tables @28 :Tables;
        operations @29 :List(EditOperation);
      }
    }
    claimOrder :group {
      key @30 :OrderKey;
      fingerprint @31 :Digest;
      requestId @32 :RequestId;
      host @33 :Text;
      incarnation @34 :UInt64;
    }
    completeOrder :group { key @35 :OrderKey; requestId @36 :RequestId; hasAnswer @37 :Bool; answer @38 :KeptAnswer; }
    abandonOrder :group { key @39 :OrderKey; requestId @40 :RequestId; }
    markOrderUnknown :group { key @41 :OrderKey; requestId @42 :RequestId; }
    addQuarantine :group { fingerprint @43 :Digest; route @44 :Text; }
    liftQuarantine @45 :Digest;
    expireRecordsNanoseconds @46 :Int64;
  }
}

struct ServerRecord {
  server @0 :Server;
  lost @1 :Bool;
  drainedByOperator @2 :Bool;
  drainedByAnnouncement @3 :Bool;
  reportedCold @4 :Bool;
  lostAtNanoseconds @5 :Int64;
  coldSince @6 :UInt64;
}

struct SlotRecord {
  phase @0 :UInt8;
  ownerChecksFencing @1 :Bool;
  # Indices into `SlotTable.names`; 0 is the empty name.
  owner @2 :UInt32;
  successor @3 :UInt32;
  epoch @4 :UInt64;
  ownerIncarnation @5 :UInt64;
  changedAt @6 :UInt64;
}

struct SlotTable { pool @0 :Text; names @1 :List(Text); records @2 :List(SlotRecord); }

struct OrderRecord {
  key @0 :OrderKey;
  fingerprint @1 :Digest;
  requestId @2 :RequestId;
  host @3 :Text;
  incarnation @4 :UInt64;
  phase @5 :UInt8;
  recordedAtNanoseconds @6 :Int64;
  hasAnswer @7 :Bool;
  answer @8 :KeptAnswer;
}

struct EditProblem { kind @0 :UInt8; subject @1 :Text; other @2 :Text; }

struct KnownEdit {
  id @0 :Text;
  content @1 :Digest;
  recordedAtNanoseconds @2 :Int64;
  outcome :union {
    accepted :group { revision @3 :UInt64; version @4 :UInt64; }
    conflict @5 :UInt64;
    invalid @6 :List(EditProblem);
  }
}

struct HistoryEntry {
  revision @0 :UInt64;
  id @1 :Text;
  author @2 :Text;
  wallClockMilliseconds @3 :Int64;
  poolsAfter @4 :UInt32;
  routesAfter @5 :UInt32;
}

struct Quarantined { fingerprint @0 :Digest; route @1 :Text; addedAtNanoseconds @2 :Int64; }

struct Snapshot {
  formatVersion @0 :UInt32;
  appliedIndex @1 :UInt64;
  viewVersion @2 :UInt64;
  clockNanoseconds @3 :Int64;
  epochFloor @4 :UInt64;
  revision @5 :UInt64;
  tables @6 :Tables;
  history @7 :List(HistoryEntry);
  knownEdits @8 :List(KnownEdit);
  orders @9 :List(OrderRecord);
  servers @10 :List(ServerRecord);
  entryHosts @11 :List(EntryHost);
  drainedDomains @12 :List(Text);
  slotTables @13 :List(SlotTable);
  quarantine @14 :List(Quarantined);
}
