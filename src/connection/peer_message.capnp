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
    # A statement that the receiver is to run at a target.
    forwardedStatement @12 :ForwardedStatement;
    forwardedAnswer @13 :ForwardedAnswer;
    # Ends a forwarded transaction with a rollback. The reply is a
    # `forwardedAnswer`.
    forwardedEnd @14 :ForwardedEnd;
    # Asks whether the receiver is alive; the reply has the same type and value.
    livenessProbe @15 :UInt64;
    livenessReply @16 :UInt64;
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
  # Version of the holder table that the VM has.
  holdersVersion @11 :UInt64;
  # The VM takes no more forwarded statements because it stops.
  isStopping @12 :Bool;
  # Version of the lender table that the VM has.
  lendersVersion @13 :UInt64;
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
  # Empty and 0 in messages of VMs that do not know these fields.
  candidate @9 :Text;
  knownTerm @10 :UInt64;
  knownIndex @11 :UInt64;
  # Replicas whose logs are awaited before a target can be promoted.
  awaitedReplicas @12 :List(Text);
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
  # Left out (version 0) unless the VM has reported another version.
  holders @12 :HolderTable;
  # Failure domains whose targets get no more work, as the leader knows them.
  evacuatedDomains @13 :List(Text);
  # Left out (version 0) unless the VM has reported another version.
  lenders @14 :LenderTable;
  # The level of the protocol in force.
  level @15 :UInt32;
}

# Which VMs lend operations of the client accounts' limits.
struct LenderTable {
  version @0 :UInt64;
  lendersPerAccount @1 :UInt32;
  lenders @2 :List(Lender);
  formerLenders @3 :List(Text);
}

struct Lender {
  vm @0 :Text;
  address @1 :Text;
  domain @2 :Text;
}

# Which VMs hold the sessions at the targets of each group.
struct HolderTable {
  version @0 :UInt64;
  groups @1 :List(GroupHolders);
}

# The client accounts of a group are divided among its slices.
struct GroupHolders {
  group @0 :Text;
  slices @1 :List(SliceHolder);
}

# Addresses of the VM that holds a slice's sessions, and of the VM that serves
# the slice while the holder does not answer; the latter may be empty.
struct SliceHolder {
  holder @0 :Text;
  standby @1 :Text;
}

# What is of its own in a grant that is relayed.
struct RelayedGrant {
  vm @0 :Text;
  accepted @1 :Bool;
  shares @2 :List(AccountShare);
  # Left out (version 0) unless the VM has reported another version.
  holders @3 :HolderTable;
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
  # Groups whose records the receiver is only asked for.
  inquiredGroups @3 :List(Text);
}

struct NoticeReceipt {
  vm @0 :Text;
  incarnation @1 :UInt64;
  token @2 :UInt64;
  accepted @3 :Bool;
  # Time since the VM last received a grant of another leader, in milliseconds.
  grantAge @4 :UInt64;
  # The records that the VM holds of the groups that the notice names.
  heldRecords @5 :List(PrimaryState);
  # False in messages of VMs that do not know the field before.
  namesHeldRecords @6 :Bool;
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
  # Number of operations that the VM wants; 0 counts as 1.
  operations @2 :UInt32;
}

struct BorrowReply {
  accepted @0 :Bool;
  admitted @1 :Bool;
  retryAfter @2 :UInt64;
  # Number of operations lent, and how long the VM may spend them, counted from
  # when the request was sent.
  operations @3 :UInt32;
  validFor @4 :UInt64;
}

struct NameValue {
  name @0 :Text;
  value @1 :Data;
}

# A statement of a caller's session at the sender, with everything that a VM
# needs to run it at a target.
struct ForwardedStatement {
  # The sender, the incarnation of its process, and the number of the caller's
  # session there.
  vm @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
  request @3 :Text;
  verb @4 :UInt8;
  name @5 :Text;
  item @6 :Text;
  data @7 :Data;
  text @8 :Data;
  # The prepared statement that an EXECUTE names.
  hasPrepared @9 :Bool;
  preparedWrites @10 :Bool;
  preparedShape @11 :Data;
  values @12 :List(NameValue);
  account @13 :Text;
  # The route.
  database @14 :Text;
  group @15 :Text;
  consistency @16 :UInt8;
  maxAge @17 :UInt64;
  priority @18 :UInt32;
  statementTimeout @19 :UInt64;
  latencyObjective @20 :UInt64;
  # Remaining time in milliseconds, when this message is written, until the
  # statement's deadline.
  timeLeft @21 :UInt64;
  # Time that the statement has spent at the sender.
  timeSpent @22 :UInt64;
  # Position of the session's last commit.
  hasPosition @23 :Bool;
  positionTerm @24 :UInt64;
  positionIndex @25 :UInt64;
  # The statement belongs to a transaction; `beginsTransaction` marks the first
  # statement of it that is forwarded.
  inTransaction @26 :Bool;
  beginsTransaction @27 :Bool;
  isReadOnly @28 :Bool;
}

struct ForwardedAnswer {
  # False: the statement has not run, and nothing of a transaction that it was
  # to begin is left. The sender may have it run elsewhere.
  accepted @0 :Bool;
  # The encoded answer for the caller, without the state of its session.
  answer @1 :Data;
  failure @2 :UInt8;
  reason @3 :Text;
  target @4 :Text;
  attempts @5 :UInt32;
  retryAfter @6 :UInt64;
  # State of the transaction after the statement.
  transaction @7 :UInt8;
  # Position of a commit that this statement made.
  hasPosition @8 :Bool;
  positionTerm @9 :UInt64;
  positionIndex @10 :UInt64;
}

struct ForwardedEnd {
  vm @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
}
