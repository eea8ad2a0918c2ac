// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/capacity_ledger.h>

namespace cypressford {

CapacityVerdict
CapacityLedger::reserve(const CapacityQuery&, const SetCapacity&, Micros)
{
    return {};
}

void
CapacityLedger::on_ordered(const std::string&)
{
}

void
CapacityLedger::release(const std::string&)
{
}

void
CapacityLedger::record_call(int, bool, Micros)
{
}

std::size_t
CapacityLedger::size() const
{
    return 0;
}

} // namespace cypressford
