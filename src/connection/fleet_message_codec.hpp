/// Conversion between the messages of fleet_message.hpp and their Cap'n Proto
/// form.
#pragma once

#include "peer_message.capnp.h"

#include <oleandergrade/connection/fleet_message.hpp>

namespace oleandergrade
{

void write(wire::FleetReport::Builder out, const fleet_report& in);
fleet_report read(wire::FleetReport::Reader in);

void write(wire::FleetGrant::Builder out, const fleet_grant& in);
fleet_grant read(wire::FleetGrant::Reader in);

void write(wire::RelayedGrants::Builder out, const relayed_grants& in);
relayed_grants read(wire::RelayedGrants::Reader in);

void write(wire::PrimaryNotice::Builder out, const primary_notice& in);
primary_notice read(wire::PrimaryNotice::Reader in);

void write(wire::NoticeReceipt::Builder out, const notice_receipt& in);
notice_receipt read(wire::NoticeReceipt::Reader in);

void write(wire::BorrowRequest::Builder out, const borrow_request& in);
borrow_request read(wire::BorrowRequest::Reader in);

void write(wire::BorrowReply::Builder out, const borrow_reply& in);
borrow_reply read(wire::BorrowReply::Reader in);

void write(wire::FleetSnapshot::Builder out, const fleet_snapshot& in);
fleet_snapshot read(wire::FleetSnapshot::Reader in);

} // namespace oleandergrade
