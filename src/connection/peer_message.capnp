@0xd4a1c9f07be3a865;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandergrade::wire");

# One frame between two daemons. `id` pairs an answer with its question; a
# message that expects no answer has id 0.
struct PeerMessage {
  id @0 :UInt64;
  union {
    fleetReport @1 :FleetReport;
    fleetGrant @2 :FleetGrant;
    primaryNotice @3 :PrimaryNotice;
    noticeReceipt @4 :NoticeReceipt;
    borrowRequest @5 :BorrowRequest;
    borrowReply @6 :BorrowReply;
    # The configuration's version that the sender has.
    snapshotRequest @7 :UInt64;
    snapshot @8 :FleetSnapshot;
  }
}

# What a VM cannot use at the moment, and since how long.
struct TargetTrouble {
  target @0 :Text;
  since @1 :UInt64;
}

# A VM's demand for an account, and the rate that it holds. Operations per
# second.
struct AccountDemand {
  account @0 :Text;
  wanted @1 :Float64;
  held @2 :Float64;
}

# An account's rate and burst for one VM.
struct AccountShare {
  account @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
}

struct FleetReport {
  vm @0 :Text;
  incarnation @1 :UInt64;
  # The store has acknowledged this VM's membership.
  isRegistered @2 :Bool;
  token @3 :UInt64;
  configurationVersion @4 :UInt64;
  troubles @5 :List(TargetTrouble);
  demands @6 :List(AccountDemand);
  # The stamp of the last grant that the holder with this token sent.
  echo @7 :UInt64;
  # Time since the VM got a grant of another holder.
  grantAge @8 :UInt64;
}

# The newest known position of a primary has the age that it had when this
# message was written.
struct PrimaryState {
  group @0 :Text;
  term @1 :UInt64;
  target @2 :Text;
  isOpen @3 :Bool;
  isPlanned @4 :Bool;
  revision @5 :UInt64;
  position @6 :UInt64;
  positionAge @7 :UInt64;
  hasPosition @8 :Bool;
}

struct FleetGrant {
  accepted @0 :Bool;
  token @1 :UInt64;
  # How long the grant holds, from the sending of the report.
  validity @2 :UInt64;
  members @3 :UInt32;
  configurationVersion @4 :UInt64;
  primaries @5 :List(PrimaryState);
  shares @6 :List(AccountShare);
  # Address of the duty's holder as the sender knows it.
  holder @7 :Text;
  # The holder's clock, which the next report sends back.
  stamp @8 :UInt64;
  # Digest of the registered targets as the holder knows them.
  targetsDigest @9 :UInt64;
  # Time since the holder has followed the store without a gap.
  storeAge @10 :UInt64;
}

struct PrimaryNotice {
  token @0 :UInt64;
  holder @1 :Text;
  primaries @2 :List(PrimaryState);
}

struct NoticeReceipt {
  vm @0 :Text;
  incarnation @1 :UInt64;
  token @2 :UInt64;
  accepted @3 :Bool;
  # Time since the VM got a grant of another holder.
  grantAge @4 :UInt64;
}

struct SnapshotItem {
  key @0 :Text;
  value @1 :Data;
}

# Copies of what the store holds, for VMs that it turns away.
struct FleetSnapshot {
  configurationVersion @0 :UInt64;
  configuration @1 :Data;
  targets @2 :List(SnapshotItem);
  members @3 :List(SnapshotItem);
}

# Asks for one operation of an account out of the holder's reserve.
struct BorrowRequest {
  vm @0 :Text;
  account @1 :Text;
}

struct BorrowReply {
  accepted @0 :Bool;
  admitted @1 :Bool;
  retryAfter @2 :UInt64;
}
