// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/bundle_fold.h>
#include <cypressford/mutation.h>

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "libutil/crypto.h"
#include "libutil/json_fields.h"

namespace cypressford {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> kActionNames {"publish", "roll", "retire",
                                                        "evacuate", "end_evacuation"};
constexpr std::string_view kSnapshotKind = "snapshot";

json::object
to_json(const BundleRecord& record)
{
    const auto action = kActionNames.at(static_cast<std::size_t>(record.action));
    return {
        {"kind", action},          {"name", record.name}, {"version", record.version},
        {"bundle", record.bundle}, {"key", record.key},   {"signature", record.signature}};
}

std::optional<BundleRecord>
record_from(const json::object& object)
{
    const std::string kind = json_text(object, "kind");
    const auto* it = std::find(kActionNames.begin(), kActionNames.end(), kind);
    if (it == kActionNames.end())
        return std::nullopt;
    BundleRecord record;
    record.action = static_cast<BundleAction>(it - kActionNames.begin());
    record.name = json_text(object, "name");
    record.version = json_integer<std::uint64_t>(object, "version", 0);
    record.bundle = json_text(object, "bundle");
    record.key = json_text(object, "key");
    record.signature = json_text(object, "signature");
    return record;
}

/// False if the value is not a list of records.
bool
read_records(const json::value& value, std::vector<BundleRecord>& records)
{
    if (!value.is_array())
        return false;
    for (const json::value& item : value.as_array()) {
        auto record = item.is_object() ? record_from(item.as_object()) : std::nullopt;
        if (!record)
            return false;
        records.push_back(*std::move(record));
    }
    return true;
}

std::optional<BundleSnapshot>
snapshot_from(const json::object& object)
{
    const json::value* accepted = object.if_contains("accepted");
    if (json_text(object, "kind") != kSnapshotKind || !accepted || !accepted->is_array())
        return std::nullopt;
    BundleSnapshot snapshot;
    snapshot.covers = json_integer<Offset>(object, "covers", -1);
    snapshot.newest = json_integer<std::uint64_t>(object, "newest", 0);
    snapshot.in_force = json_integer<std::uint64_t>(object, "in_force", 0);
    snapshot.mac = json_text(object, "mac");
    if (!read_records(*accepted, snapshot.accepted))
        return std::nullopt;
    const json::value* evacuations = object.if_contains("evacuations");
    if (evacuations && !read_records(*evacuations, snapshot.evacuations))
        return std::nullopt;
    return snapshot;
}

json::array
to_json(const std::vector<BundleRecord>& records)
{
    json::array result;
    for (const BundleRecord& record : records)
        result.push_back(to_json(record));
    return result;
}

json::object
body_of(const BundleSnapshot& snapshot)
{
    json::object body {{"kind", kSnapshotKind},
                       {"covers", snapshot.covers},
                       {"newest", snapshot.newest},
                       {"in_force", snapshot.in_force},
                       {"accepted", to_json(snapshot.accepted)}};
    // Omitted if empty: daemons of an earlier version authenticate the text without
    // this member.
    if (!snapshot.evacuations.empty())
        body["evacuations"] = to_json(snapshot.evacuations);
    return body;
}

} // namespace

std::string_view
to_string(FoldResult result)
{
    switch (result) {
    case FoldResult::Accepted:
        return "accepted";
    case FoldResult::Repeated:
        return "repeated";
    case FoldResult::BadSignature:
        return "bad_signature";
    case FoldResult::BadBundle:
        return "bad_bundle";
    case FoldResult::Conflict:
        return "conflict";
    case FoldResult::NoBase:
        return "no_base";
    }
    return "unknown";
}

std::string
signed_text(const BundleRecord& record)
{
    BundleRecord copy = record;
    copy.signature.clear();
    return json::serialize(to_json(copy));
}

std::string
authenticated_text(const BundleSnapshot& snapshot)
{
    return json::serialize(body_of(snapshot));
}

Result<BundleRecord>
sign_record(BundleRecord record, std::string_view private_key_pem)
{
    auto key = public_key_of(private_key_pem);
    if (!key)
        return tl::unexpected(key.error());
    record.key = *key;
    auto signature = sign(private_key_pem, signed_text(record));
    if (!signature)
        return tl::unexpected(signature.error());
    record.signature = *signature;
    return record;
}

std::string
encode(const BundleRecord& record)
{
    return json::serialize(to_json(record));
}

std::string
encode(const BundleSnapshot& snapshot)
{
    json::object object = body_of(snapshot);
    object["mac"] = snapshot.mac;
    return json::serialize(object);
}

FoldResult
BundleFold::apply(Offset offset, std::string_view text)
{
    if (offset < m_next)
        return FoldResult::Repeated;
    on_first_retained(offset);
    m_next = offset + 1;
    const auto object = parse_json_object(text);
    if (!object)
        return FoldResult::BadBundle;
    if (const auto snapshot = snapshot_from(*object)) {
        // Valid only if no record lies between the last one it covers and itself.
        if (!authentic(*snapshot) || snapshot->covers != offset - 1)
            return FoldResult::Conflict;
        m_oldest_needed = offset;
        return m_has_base ? FoldResult::Repeated : load(*snapshot);
    }
    const auto record = record_from(*object);
    if (!record)
        return FoldResult::BadBundle;
    return m_has_base ? apply_operator(*record) : FoldResult::NoBase;
}

void
BundleFold::on_first_retained(Offset first)
{
    if (first <= m_next)
        return;
    // The missed records may have changed the state, so the state held here stays
    // in force, and only a snapshot can bring this fold up to date.
    m_next = first;
    m_has_base = false;
}

FoldResult
BundleFold::adopt(std::string_view encoded_snapshot)
{
    const auto object = parse_json_object(encoded_snapshot);
    const auto snapshot = object ? snapshot_from(*object) : std::nullopt;
    if (!snapshot || !authentic(*snapshot))
        return FoldResult::BadSignature;
    if (snapshot->covers < m_next && m_has_base)
        return FoldResult::Repeated;
    if (snapshot->covers + 1 < m_next)
        return FoldResult::Conflict;
    m_next = snapshot->covers + 1;
    m_oldest_needed = m_next;
    return load(*snapshot);
}

FoldResult
BundleFold::load(const BundleSnapshot& snapshot)
{
    std::map<std::uint64_t, Accepted> accepted;
    for (const BundleRecord& record : snapshot.accepted) {
        auto bundle = parse_bundle_json(record.bundle);
        if (!bundle || !trusts(record))
            return FoldResult::BadBundle;
        accepted.emplace(record.version, Accepted {record, *std::move(bundle)});
    }
    if (!std::all_of(snapshot.evacuations.begin(), snapshot.evacuations.end(),
                     [this](const BundleRecord& record) { return trusts(record); }))
        return FoldResult::BadSignature;
    // Versions never go back, whatever a snapshot contains.
    if (snapshot.in_force < m_in_force || snapshot.newest < m_newest)
        return FoldResult::Conflict;
    m_accepted = std::move(accepted);
    m_newest = snapshot.newest;
    m_in_force = snapshot.in_force;
    m_has_base = true;
    for (const BundleRecord& record : snapshot.evacuations)
        evacuate(record);
    return FoldResult::Accepted;
}

FoldResult
BundleFold::apply_operator(const BundleRecord& record)
{
    if (!trusts(record))
        return FoldResult::BadSignature;
    switch (record.action) {
    case BundleAction::Publish:
        return publish(record);
    case BundleAction::Roll:
        return roll(record.version);
    case BundleAction::Retire:
        return retire(record.version);
    case BundleAction::Evacuate:
    case BundleAction::EndEvacuation:
        return evacuate(record);
    }
    return FoldResult::BadBundle;
}

FoldResult
BundleFold::publish(const BundleRecord& record)
{
    auto bundle = parse_bundle_json(record.bundle);
    if (!bundle || bundle->version != record.version || bundle->name != record.name)
        return FoldResult::BadBundle;
    const auto known = m_accepted.find(record.version);
    if (known != m_accepted.end() && known->second.record.bundle == record.bundle)
        return FoldResult::Repeated;
    if (bundle->builds_on != m_newest)
        return FoldResult::Conflict;
    m_newest = record.version;
    m_accepted.emplace(record.version, Accepted {record, *std::move(bundle)});
    return FoldResult::Accepted;
}

FoldResult
BundleFold::roll(std::uint64_t version)
{
    if (version == m_in_force)
        return FoldResult::Repeated;
    const bool older = version < m_in_force && !mutated(Mutation::BundleGoesBack);
    if (older || m_accepted.count(version) == 0)
        return FoldResult::Conflict;
    m_in_force = version;
    // Versions before the one in force can't return; requests that were started under
    // them hold their own snapshot.
    if (!mutated(Mutation::BundleGoesBack))
        m_accepted.erase(m_accepted.begin(), m_accepted.find(version));
    return FoldResult::Accepted;
}

FoldResult
BundleFold::retire(std::uint64_t version)
{
    if (version == m_in_force)
        return FoldResult::Conflict;
    return m_accepted.erase(version) > 0 ? FoldResult::Accepted : FoldResult::Repeated;
}

FoldResult
BundleFold::evacuate(const BundleRecord& record)
{
    if (record.name.empty() || record.version == 0)
        return FoldResult::BadBundle;
    const auto at = static_cast<Offset>(record.version);
    const Offset newest = m_evacuations.newest(record.name);
    const bool evacuated = record.action == BundleAction::Evacuate;
    if (at < newest)
        return FoldResult::Conflict;
    if (at == newest)
        return m_evacuation_records.at(record.name).action == record.action
            ? FoldResult::Repeated
            : FoldResult::Conflict;
    m_evacuation_records[record.name] = record;
    m_evacuations.apply({record.name, evacuated}, at);
    return FoldResult::Accepted;
}

BundleSnapshot
BundleFold::snapshot() const
{
    BundleSnapshot snapshot;
    snapshot.covers = m_next - 1;
    snapshot.newest = m_newest;
    snapshot.in_force = m_in_force;
    for (const auto& [version, accepted] : m_accepted)
        snapshot.accepted.push_back(accepted.record);
    for (const auto& [hall, record] : m_evacuation_records)
        snapshot.evacuations.push_back(record);
    snapshot.mac = to_hex(hmac_sha256(m_trust.daemon_key, authenticated_text(snapshot)));
    return snapshot;
}

const Bundle*
BundleFold::in_force() const
{
    auto it = m_accepted.find(m_in_force);
    return it == m_accepted.end() ? nullptr : &it->second.bundle;
}

bool
BundleFold::authentic(const BundleSnapshot& snapshot) const
{
    const std::string expected
        = hmac_sha256(m_trust.daemon_key, authenticated_text(snapshot));
    return equal_secret(from_hex(snapshot.mac), expected);
}

bool
BundleFold::trusts(const BundleRecord& record) const
{
    const auto& operators = m_trust.operators;
    return std::find(operators.begin(), operators.end(), record.key) != operators.end()
        && verify(record.key, signed_text(record), record.signature);
}

} // namespace cypressford
