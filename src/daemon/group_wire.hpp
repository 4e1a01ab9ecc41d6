#pragma once

#include "configuration/applied.hpp"
#include "vm/membership.hpp"

namespace dandelionstep::wire {
class Change;
class ExchangeMessage;
} // namespace dandelionstep::wire

namespace dandelionstep {

//! Writes what is said about members into a message between daemons.
void fill(wire::ExchangeMessage& out, const member_message& message);
//! Reads what is said about members; absent when the sender can't be read.
std::optional<member_message> read_members(const wire::ExchangeMessage& message);

void fill(wire::Change& out, const accepted_change& change);
accepted_change read_change(const wire::Change& change);

} // namespace dandelionstep
