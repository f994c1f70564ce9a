/// Conversion between the messages of forwarded_statement.hpp and
/// holder_table.hpp and their Cap'n Proto form.
#pragma once

#include "peer_message.capnp.h"

#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/connection/holder_table.hpp>

namespace oleandergrade
{

void write(wire::HolderTable::Builder out, const holder_table& in);
holder_table read(wire::HolderTable::Reader in);

void write(wire::ForwardedStatement::Builder out,
           const forwarded_statement& in);
forwarded_statement read(wire::ForwardedStatement::Reader in);

void write(wire::ForwardedAnswer::Builder out, const forwarded_answer& in);
forwarded_answer read(wire::ForwardedAnswer::Reader in);

void write(wire::ForwardedEnd::Builder out, const forwarded_end& in);
forwarded_end read(wire::ForwardedEnd::Reader in);

} // namespace oleandergrade
