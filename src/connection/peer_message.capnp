@0xd4a1c9f07be3a865;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandergrade::wire");

# The content of one frame between two VMs. A reply has the `id` of its request;
# a message that expects no reply has id 0. All times are in milliseconds.
struct PeerMessage {
  id @0 :UInt64;
  union {
    fleetReport @1 :FleetReport;
    fleetGrant @2 :FleetGrant;
    primaryNotice @3 :PrimaryNotice;
    noticeReceipt @4 :NoticeReceipt;
    borrowRequest @5 :BorrowRequest;
    borrowReply @6 :BorrowReply;
    # Version of the configuration that the sender has.
    snapshotRequest @7 :UInt64;
    snapshot @8 :FleetSnapshot;
    # A report that the receiver is to pass on to the leader. The reply is the
    # leader's grant.
    relayRequest @9 :FleetReport;
    # Reports that a VM passes on to the leader.
    relayedReports @10 :List(FleetReport);
    relayedGrants @11 :RelayedGrants;
  }
}

# A target that a VM has failed to reach; `since` is for how long.
struct TargetTrouble {
  target @0 :Text;
  since @1 :UInt64;
}

# A VM's demand for operations of a client account, and the rate that it holds,
# both in operations per second.
struct AccountDemand {
  account @0 :Text;
  wanted @1 :Float64;
  held @2 :Float64;
}

# One VM's share of a client account's limits: operations per second, and
# operations that may be admitted at once.
struct AccountShare {
  account @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
}

struct FleetReport {
  vm @0 :Text;
  incarnation @1 :UInt64;
  # The store has acknowledged this VM's registration.
  isRegistered @2 :Bool;
  # Highest fencing token that the VM has observed.
  token @3 :UInt64;
  configurationVersion @4 :UInt64;
  troubles @5 :List(TargetTrouble);
  demands @6 :List(AccountDemand);
  # The stamp of the last grant that the VM received from the leader with this
  # token, or 0.
  echo @7 :UInt64;
  # Time since the VM last received a grant of another leader, in milliseconds.
  grantAge @8 :UInt64;
  # Address of a relay that has not answered; empty if there is none.
  lostRelay @9 :Text;
  # `demands` is left out of this report, and the VM's shares are unchanged.
  omitsDemands @10 :Bool;
}

# A primary record with the newest known position of the primary's log.
# `positionAge` is the position's age when this message was written.
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
  # How long the grant is valid, counted from when the report was sent.
  validity @2 :UInt64;
  members @3 :UInt32;
  configurationVersion @4 :UInt64;
  primaries @5 :List(PrimaryState);
  shares @6 :List(AccountShare);
  # Address of the leader that the sender last observed; may be empty.
  holder @7 :Text;
  # The leader's clock in nanoseconds, which the next report returns as `echo`.
  stamp @8 :UInt64;
  # Digest of the registered targets as the leader has observed them.
  targetsDigest @9 :UInt64;
  # Time since the store last confirmed the leader's lease. If the leader does
  # not observe all changes of targets in the store, the longest time for which
  # it grants without the store.
  storeAge @10 :UInt64;
  # Address of the VM that is to pass on the receiver's next reports; empty if
  # it is to report to the leader.
  relay @11 :Text;
}

# What is of its own in a grant that is relayed.
struct RelayedGrant {
  vm @0 :Text;
  accepted @1 :Bool;
  shares @2 :List(AccountShare);
}

# Answers to relayed reports, in the same order.
struct RelayedGrants {
  common @0 :FleetGrant;
  grants @1 :List(RelayedGrant);
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
  # Time since the VM last received a grant of another leader, in milliseconds.
  grantAge @4 :UInt64;
}

struct SnapshotItem {
  key @0 :Text;
  value @1 :Data;
}

# Copies of records of the store, for VMs that cannot read it.
struct FleetSnapshot {
  configurationVersion @0 :UInt64;
  configuration @1 :Data;
  targets @2 :List(SnapshotItem);
  members @3 :List(SnapshotItem);
}

# Requests one operation of a client account out of the leader's reserve.
struct BorrowRequest {
  vm @0 :Text;
  account @1 :Text;
}

struct BorrowReply {
  accepted @0 :Bool;
  admitted @1 :Bool;
  retryAfter @2 :UInt64;
}
