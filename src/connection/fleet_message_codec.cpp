#include "fleet_message_codec.hpp"

#include "forwarded_statement_codec.hpp"
#include "wire_values.hpp"

#include <algorithm>

namespace oleandergrade
{

namespace
{

template <typename Value> unsigned size_of(const std::vector<Value>& values)
{
    return static_cast<unsigned>(values.size());
}

void write(wire::PrimaryState::Builder out, const primary_state& in)
{
    out.setGroup(text_to_wire(in.record.group));
    out.setTerm(in.record.term);
    out.setTarget(text_to_wire(in.record.target));
    out.setIsOpen(in.record.is_open);
    out.setIsPlanned(in.record.is_planned);
    out.setRevision(in.record.revision);
    out.setHasPosition(in.has_position);
    out.setPosition(in.position);
    out.setPositionAge(milliseconds_to_wire(in.position_age));
    out.setCandidate(text_to_wire(in.record.candidate));
    out.setKnownTerm(in.record.known_position.term);
    out.setKnownIndex(in.record.known_position.index);
    auto awaited = out.initAwaitedReplicas(size_of(in.awaited_replicas));
    for (unsigned i = 0; i < in.awaited_replicas.size(); ++i)
        awaited.set(i, text_to_wire(in.awaited_replicas[i]));
}

primary_state read(wire::PrimaryState::Reader in)
{
    primary_state out;
    out.record.group = string_from_wire(in.getGroup());
    out.record.term = in.getTerm();
    out.record.target = string_from_wire(in.getTarget());
    out.record.is_open = in.getIsOpen();
    out.record.is_planned = in.getIsPlanned();
    out.record.revision = in.getRevision();
    out.has_position = in.getHasPosition();
    out.position = in.getPosition();
    out.position_age = milliseconds_from_wire(in.getPositionAge());
    out.record.candidate = string_from_wire(in.getCandidate());
    out.record.known_position = {in.getKnownTerm(), in.getKnownIndex()};
    for (const auto replica : in.getAwaitedReplicas())
        out.awaited_replicas.push_back(string_from_wire(replica));
    return out;
}

void write(capnp::List<wire::PrimaryState>::Builder out,
           const std::vector<primary_state>& in)
{
    for (unsigned i = 0; i < in.size(); ++i)
        write(out[i], in[i]);
}

std::vector<primary_state> read(capnp::List<wire::PrimaryState>::Reader in)
{
    std::vector<primary_state> out;
    for (const auto state : in)
        out.push_back(read(state));
    return out;
}

void write(capnp::List<wire::SnapshotItem>::Builder out,
           const std::vector<snapshot_item>& in)
{
    for (unsigned i = 0; i < in.size(); ++i)
    {
        out[i].setKey(text_to_wire(in[i].key));
        out[i].setValue(bytes_to_wire(in[i].value));
    }
}

std::vector<snapshot_item> read(capnp::List<wire::SnapshotItem>::Reader in)
{
    std::vector<snapshot_item> out;
    for (const auto item : in)
        out.push_back({string_from_wire(item.getKey()),
                       bytes_from_wire(item.getValue())});
    return out;
}

void write(capnp::List<wire::AccountShare>::Builder out,
           const std::vector<account_share>& in)
{
    for (unsigned i = 0; i < in.size(); ++i)
    {
        out[i].setAccount(text_to_wire(in[i].account));
        out[i].setRate(in[i].rate);
        out[i].setBurst(in[i].burst);
    }
}

std::vector<account_share> read(capnp::List<wire::AccountShare>::Reader in)
{
    std::vector<account_share> out;
    for (const auto share : in)
        out.push_back({string_from_wire(share.getAccount()), share.getRate(),
                       share.getBurst()});
    return out;
}

void write(wire::LenderTable::Builder out, const lender_table& in)
{
    out.setVersion(in.version);
    out.setLendersPerAccount(in.lenders_per_account);
    auto lenders = out.initLenders(size_of(in.lenders));
    for (unsigned i = 0; i < in.lenders.size(); ++i)
    {
        lenders[i].setVm(text_to_wire(in.lenders[i].vm));
        lenders[i].setAddress(text_to_wire(in.lenders[i].address));
        lenders[i].setDomain(text_to_wire(in.lenders[i].failure_domain));
    }
    auto former = out.initFormerLenders(size_of(in.former_lenders));
    for (unsigned i = 0; i < in.former_lenders.size(); ++i)
        former.set(i, text_to_wire(in.former_lenders[i]));
}

lender_table read(wire::LenderTable::Reader in)
{
    lender_table out;
    out.version = in.getVersion();
    out.lenders_per_account = in.getLendersPerAccount();
    for (const auto listed : in.getLenders())
        out.lenders.push_back({string_from_wire(listed.getVm()),
                               string_from_wire(listed.getAddress()),
                               string_from_wire(listed.getDomain())});
    for (const auto vm : in.getFormerLenders())
        out.former_lenders.push_back(string_from_wire(vm));
    return out;
}

} // namespace

void write(wire::FleetReport::Builder out, const fleet_report& in)
{
    out.setVm(text_to_wire(in.vm));
    out.setIncarnation(in.incarnation);
    out.setIsRegistered(in.is_registered);
    out.setToken(in.highest_token);
    out.setConfigurationVersion(in.configuration_version);
    out.setEcho(in.echoed_stamp);
    out.setGrantAge(milliseconds_to_wire(in.other_leader_grant_age));
    out.setLostRelay(text_to_wire(in.lost_relay));
    out.setOmitsDemands(in.omits_demands);
    out.setHoldersVersion(in.holders_version);
    out.setIsStopping(in.is_stopping);
    out.setLendersVersion(in.lenders_version);
    auto failing_targets = out.initTroubles(size_of(in.failing_targets));
    for (unsigned i = 0; i < in.failing_targets.size(); ++i)
    {
        failing_targets[i].setTarget(
            text_to_wire(in.failing_targets[i].target));
        failing_targets[i].setSince(
            milliseconds_to_wire(in.failing_targets[i].failing_for));
    }
    auto demands = out.initDemands(size_of(in.demands));
    for (unsigned i = 0; i < in.demands.size(); ++i)
    {
        demands[i].setAccount(text_to_wire(in.demands[i].account));
        demands[i].setWanted(in.demands[i].wanted_rate);
        demands[i].setHeld(in.demands[i].held_rate);
    }
}

fleet_report read(wire::FleetReport::Reader in)
{
    fleet_report out;
    out.vm = string_from_wire(in.getVm());
    out.incarnation = in.getIncarnation();
    out.is_registered = in.getIsRegistered();
    out.highest_token = in.getToken();
    out.configuration_version = in.getConfigurationVersion();
    out.echoed_stamp = in.getEcho();
    out.other_leader_grant_age = milliseconds_from_wire(in.getGrantAge());
    out.lost_relay = string_from_wire(in.getLostRelay());
    out.omits_demands = in.getOmitsDemands();
    out.holders_version = in.getHoldersVersion();
    out.is_stopping = in.getIsStopping();
    out.lenders_version = in.getLendersVersion();
    for (const auto failure : in.getTroubles())
        out.failing_targets.push_back(
            {string_from_wire(failure.getTarget()),
             milliseconds_from_wire(failure.getSince())});
    for (const auto demand : in.getDemands())
        out.demands.push_back({string_from_wire(demand.getAccount()),
                               demand.getWanted(), demand.getHeld()});
    return out;
}

void write(wire::FleetGrant::Builder out, const fleet_grant& in)
{
    out.setAccepted(in.accepted);
    out.setToken(in.token);
    out.setValidity(milliseconds_to_wire(in.validity));
    out.setMembers(in.member_count);
    out.setHolder(text_to_wire(in.leader_address));
    out.setStamp(in.stamp);
    out.setTargetsDigest(in.targets_digest);
    out.setStoreAge(milliseconds_to_wire(in.store_age));
    out.setConfigurationVersion(in.configuration_version);
    write(out.initPrimaries(size_of(in.primaries)), in.primaries);
    write(out.initShares(size_of(in.shares)), in.shares);
    out.setRelay(text_to_wire(in.relay_address));
    if (in.holders.version != 0)
        write(out.initHolders(), in.holders);
    auto domains = out.initEvacuatedDomains(size_of(in.evacuated_domains));
    for (unsigned i = 0; i < in.evacuated_domains.size(); ++i)
        domains.set(i, text_to_wire(in.evacuated_domains[i]));
    if (in.lenders.version != 0)
        write(out.initLenders(), in.lenders);
    out.setLevel(in.level);
}

fleet_grant read(wire::FleetGrant::Reader in)
{
    fleet_grant out;
    out.accepted = in.getAccepted();
    out.token = in.getToken();
    out.validity = milliseconds_from_wire(in.getValidity());
    out.member_count = in.getMembers();
    out.leader_address = string_from_wire(in.getHolder());
    out.stamp = in.getStamp();
    out.targets_digest = in.getTargetsDigest();
    out.store_age = milliseconds_from_wire(in.getStoreAge());
    out.configuration_version = in.getConfigurationVersion();
    out.primaries = read(in.getPrimaries());
    out.shares = read(in.getShares());
    out.relay_address = string_from_wire(in.getRelay());
    out.holders = read(in.getHolders());
    for (const auto domain : in.getEvacuatedDomains())
        out.evacuated_domains.push_back(string_from_wire(domain));
    out.lenders = read(in.getLenders());
    out.level = in.getLevel();
    return out;
}

void write(wire::RelayedGrants::Builder out, const relayed_grants& in)
{
    write(out.initCommon(), in.common);
    auto grants = out.initGrants(size_of(in.grants));
    for (unsigned i = 0; i < in.grants.size(); ++i)
    {
        grants[i].setVm(text_to_wire(in.grants[i].vm));
        grants[i].setAccepted(in.grants[i].accepted);
        write(grants[i].initShares(size_of(in.grants[i].shares)),
              in.grants[i].shares);
        if (in.grants[i].holders.version != 0)
            write(grants[i].initHolders(), in.grants[i].holders);
    }
}

relayed_grants read(wire::RelayedGrants::Reader in)
{
    relayed_grants out;
    out.common = read(in.getCommon());
    for (const auto grant : in.getGrants())
        out.grants.push_back({string_from_wire(grant.getVm()),
                              grant.getAccepted(), read(grant.getShares()),
                              read(grant.getHolders())});
    return out;
}

void write(wire::PrimaryNotice::Builder out, const primary_notice& in)
{
    out.setToken(in.token);
    out.setHolder(text_to_wire(in.leader_address));
    write(out.initPrimaries(size_of(in.primaries)), in.primaries);
    auto groups = out.initInquiredGroups(size_of(in.inquired_groups));
    for (unsigned i = 0; i < in.inquired_groups.size(); ++i)
        groups.set(i, text_to_wire(in.inquired_groups[i]));
}

primary_notice read(wire::PrimaryNotice::Reader in)
{
    primary_notice out{in.getToken(),
                       string_from_wire(in.getHolder()),
                       read(in.getPrimaries()),
                       {}};
    for (const auto group : in.getInquiredGroups())
        out.inquired_groups.push_back(string_from_wire(group));
    return out;
}

void write(wire::NoticeReceipt::Builder out, const notice_receipt& in)
{
    out.setVm(text_to_wire(in.vm));
    out.setIncarnation(in.incarnation);
    out.setToken(in.token);
    out.setAccepted(in.accepted);
    out.setGrantAge(milliseconds_to_wire(in.other_leader_grant_age));
    out.setNamesHeldRecords(in.held_records.has_value());
    if (!in.held_records)
        return;
    auto held = out.initHeldRecords(size_of(*in.held_records));
    for (unsigned i = 0; i < in.held_records->size(); ++i)
        write(held[i], primary_state{(*in.held_records)[i], false, 0, {}});
}

notice_receipt read(wire::NoticeReceipt::Reader in)
{
    notice_receipt out{string_from_wire(in.getVm()),
                       in.getIncarnation(),
                       in.getToken(),
                       in.getAccepted(),
                       milliseconds_from_wire(in.getGrantAge()),
                       std::nullopt};
    if (!in.getNamesHeldRecords())
        return out;
    out.held_records.emplace();
    for (const auto state : in.getHeldRecords())
        out.held_records->push_back(read(state).record);
    return out;
}

void write(wire::BorrowRequest::Builder out, const borrow_request& in)
{
    out.setVm(text_to_wire(in.vm));
    out.setAccount(text_to_wire(in.account));
    out.setOperations(in.operations);
}

borrow_request read(wire::BorrowRequest::Reader in)
{
    // VMs of earlier versions request one operation and do not say so.
    return {string_from_wire(in.getVm()), string_from_wire(in.getAccount()),
            std::max(in.getOperations(), 1U)};
}

void write(wire::BorrowReply::Builder out, const borrow_reply& in)
{
    out.setAccepted(in.accepted);
    out.setAdmitted(in.admitted);
    out.setRetryAfter(milliseconds_to_wire(in.retry_after));
    out.setOperations(in.operations);
    out.setValidFor(milliseconds_to_wire(in.valid_for));
}

borrow_reply read(wire::BorrowReply::Reader in)
{
    return {in.getAccepted(), in.getAdmitted(),
            milliseconds_from_wire(in.getRetryAfter()), in.getOperations(),
            milliseconds_from_wire(in.getValidFor())};
}

void write(wire::FleetSnapshot::Builder out, const fleet_snapshot& in)
{
    out.setConfigurationVersion(in.configuration_version);
    out.setConfiguration(bytes_to_wire(in.configuration));
    write(out.initTargets(size_of(in.targets)), in.targets);
    write(out.initMembers(size_of(in.members)), in.members);
}

fleet_snapshot read(wire::FleetSnapshot::Reader in)
{
    return {in.getConfigurationVersion(),
            bytes_from_wire(in.getConfiguration()), read(in.getTargets()),
            read(in.getMembers())};
}

} // namespace oleandergrade
