@0xd4a1c9f07be3a865;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandergrade::wire");

# One frame between two daemons. `id` pairs an answer with its question; a
# message that expects no answer has id 0.
struct PeerMessage {
  id @0 :UInt64;
  union {
    statement @1 :Statement;
    answer @2 :Answer;
    tokenRequest @3 :TokenRequest;
    tokenGrant @4 :TokenGrant;
    heartbeat @5 :Heartbeat;
    heartbeatReply @6 :Heartbeat;
    groupAnnouncement @7 :GroupRecord;
    configurationRequest @8 :UInt64;
    configuration @9 :ConfigurationRecord;
    traceRequest @10 :Text;
    traceReply @11 :Text;
    fleetReport @12 :FleetReport;
    fleetGrant @13 :FleetGrant;
    primaryNotice @14 :PrimaryNotice;
    noticeReceipt @15 :NoticeReceipt;
    snapshotRequest @16 :UInt64;
    snapshot @17 :FleetSnapshot;
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

# Times are in milliseconds, positions count log entries from 1.
struct Statement {
  requestNumber @0 :Text;
  account @1 :Text;
  database @2 :Text;
  target @3 :Text;
  kind @4 :UInt8;
  text @5 :Text;
  requestId @6 :Text;
  term @7 :UInt64;
  minPosition @8 :UInt64;
  maxAge @9 :UInt64;
  budget @10 :UInt64;
  transaction @11 :Text;
  keyId @12 :Text;
}

struct Answer {
  run @0 :UInt8;
  code @1 :UInt8;
  value @2 :Text;
  term @3 :UInt64;
  position @4 :UInt64;
  step @5 :Text;
  peer @6 :Text;
  message @7 :Text;
  retryAfter @8 :UInt64;
  transaction @9 :Text;
  repeated @10 :Bool;
  servedBy @11 :Text;
  queued @12 :UInt64;
}

# Units are thousandths of a token. Totals since the batch was lent, so that a repeat changes nothing.
struct TokenReport {
  batch @0 :UInt64;
  spent @1 :UInt32;
  returned @2 :UInt32;
}

struct TokenRequest {
  borrower @0 :Text;
  account @1 :Text;
  wanted @2 :UInt32;
  reports @3 :List(TokenReport);
}

struct TokenGrant {
  account @0 :Text;
  batch @1 :UInt64;
  units @2 :UInt32;
  # How long the units may be spent, from the sending of the request.
  validity @3 :UInt64;
  retryAfter @4 :UInt64;
  accepted @5 :Bool;
}

struct GroupRecord {
  database @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
  steady @3 :Bool;
}

struct DomainLead {
  failureDomain @0 :Text;
  vm @1 :Text;
}

# Lists are empty unless the receiver's digest showed that it lacks something.
struct Heartbeat {
  node @0 :Text;
  failureDomain @1 :Text;
  incarnation @2 :UInt64;
  configurationVersion @3 :UInt64;
  # Age of the newest proof that this version is the latest.
  confirmationAge @4 :UInt64;
  # Age of the newest proof that any domain heard from the platform.
  platformAge @5 :UInt64;
  # Age at which the sender's domain last heard from a majority of domains.
  majorityAge @6 :UInt64;
  lead @7 :Text;
  # Revision of the lead's lease.
  epoch @8 :UInt64;
  # The sender's own clock, and the receiver's clock as of its last reply.
  clock @9 :UInt64;
  echo @10 :UInt64;
  vms @11 :Text;
  leads @12 :List(DomainLead);
  groups @13 :List(GroupRecord);
  vmsDigest @14 :UInt64;
  leadsDigest @15 :UInt64;
  groupsDigest @16 :UInt64;
}

struct ConfigurationRecord {
  version @0 :UInt64;
  value @1 :Text;
}
