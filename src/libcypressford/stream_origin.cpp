// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/stream_origin.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "cypressford.pb.h"
#include "libutil/crypto.h"
#include "mix.h"
#include "origin_codec.h"

namespace cypressford {

std::string
encode(const StreamOriginBatch& batch)
{
    proto::StreamOriginBatch out;
    encode_origins(batch.known, *out.mutable_known());
    encode_origins(batch.to_store, *out.mutable_to_store());
    for (const std::string& request : batch.wanted)
        out.add_wanted(request);
    out.set_upstream_set(batch.upstream_set);
    if (batch.sole) {
        out.mutable_sole()->set_version(batch.sole->version);
        out.mutable_sole()->set_age_ms(
            static_cast<std::uint64_t>(batch.sole->since / kMillisecond));
        if (batch.sole->recorded_since)
            out.mutable_sole()->set_recorded_age_ms(
                static_cast<std::uint64_t>(*batch.sole->recorded_since / kMillisecond));
    }
    if (batch.differed)
        out.set_differed_age_ms(static_cast<std::uint64_t>(*batch.differed / kMillisecond));
    return out.SerializeAsString();
}

namespace {

Micros
age_from(std::uint64_t ms)
{
    constexpr std::uint64_t longest_ms = 1'000'000'000;
    return static_cast<Micros>(std::min(ms, longest_ms)) * kMillisecond;
}

} // namespace

Result<StreamOriginBatch>
decode_stream_origins(std::string_view bytes)
{
    proto::StreamOriginBatch in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed origins of streams");
    StreamOriginBatch batch;
    batch.known = decode_origins(in.known());
    batch.to_store = decode_origins(in.to_store());
    batch.wanted.assign(in.wanted().begin(), in.wanted().end());
    batch.upstream_set = in.upstream_set();
    if (in.has_sole()) {
        batch.sole
            = SoleVersion {in.sole().version(), age_from(in.sole().age_ms()), std::nullopt};
        if (in.sole().has_recorded_age_ms())
            batch.sole->recorded_since = age_from(in.sole().recorded_age_ms());
    }
    if (in.has_differed_age_ms())
        batch.differed = age_from(in.differed_age_ms());
    return batch;
}

void
StreamOriginTable::record(const std::string& request, const StreamOrigin& origin,
                          bool is_own, Micros now)
{
    if (request.empty() || request.size() > kMaxIdChars)
        return;
    expire(now);
    Stream& stream = m_streams[request];
    stream.origin = origin;
    stream.is_own = stream.is_own || is_own;
    stream.at = now;
    m_order.emplace_back(now, request);
}

std::optional<StreamOrigin>
StreamOriginTable::find(const std::string& request, Micros now)
{
    expire(now);
    const auto it = m_streams.find(request);
    if (it == m_streams.end())
        return std::nullopt;
    return it->second.origin;
}

std::map<std::string, std::vector<std::string>>
StreamOriginTable::own_streams(const std::string& set_name, Micros now)
{
    expire(now);
    std::map<std::string, std::vector<std::string>> by_version;
    for (const auto& [request, stream] : m_streams)
        if (stream.is_own && stream.origin.upstream_set == set_name)
            by_version[stream.origin.version].push_back(request);
    return by_version;
}

void
StreamOriginTable::expire(Micros now)
{
    while (!m_order.empty()
           && (now - m_order.front().first > kLifetime || m_order.size() > kMaxStreams)) {
        const auto& [at, request] = m_order.front();
        const auto it = m_streams.find(request);
        // An origin that was recorded again has a later place in the order.
        if (it != m_streams.end() && it->second.at == at)
            m_streams.erase(it);
        m_order.pop_front();
    }
}

namespace {

std::uint64_t
weight_of(const TunnelPeer& daemon, std::uint64_t key)
{
    return mix(fast_hash(daemon.address) ^ key);
}

struct Ranked {
    std::uint64_t weight = 0;
    const TunnelPeer* daemon = nullptr;
};

/// Adds the first `count` daemons, other than `own`, that are not in `addresses` yet.
void
add_first(std::vector<Ranked>& ranked, const TunnelPeer& own, std::size_t count,
          std::vector<std::string>& addresses)
{
    const std::size_t first = std::min(count, ranked.size());
    const auto outweighs
        = [](const Ranked& a, const Ranked& b) { return a.weight > b.weight; };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(first),
                      ranked.end(), outweighs);
    for (std::size_t i = 0; i < first; ++i) {
        const std::string& address = ranked[i].daemon->address;
        const bool is_known
            = std::find(addresses.begin(), addresses.end(), address) != addresses.end();
        if (address != own.address && !is_known)
            addresses.push_back(address);
    }
}

} // namespace

std::vector<std::string>
origin_holders(const TunnelPeers& others, const TunnelPeer& own, std::string_view request,
               std::size_t count, std::size_t count_in_hall)
{
    const std::uint64_t key = fast_hash(request);
    const auto rank = [key](const TunnelPeer& daemon) {
        return Ranked {weight_of(daemon, key), &daemon};
    };
    std::vector<Ranked> ranked {rank(own)};
    ranked.reserve(others.size() + 1);
    for (const TunnelPeer& daemon : others)
        ranked.push_back(rank(daemon));
    std::vector<std::string> addresses;
    add_first(ranked, own, count, addresses);
    std::erase_if(ranked, [&own](const Ranked& r) { return r.daemon->hall != own.hall; });
    add_first(ranked, own, count_in_hall, addresses);
    return addresses;
}

std::size_t
holder_rank(const TunnelPeers& others, const TunnelPeer& own, std::string_view key)
{
    const std::uint64_t hash = fast_hash(key);
    const std::uint64_t own_weight = weight_of(own, hash);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&](const TunnelPeer& daemon) {
            return weight_of(daemon, hash) > own_weight;
        }));
}

SoleVersions
sole_versions(const SoleVersions& before, const Snapshot& snapshot, const VersionGaps& gaps,
              Micros now)
{
    SoleVersions result;
    for (const UpstreamSet& set : snapshot.sets) {
        const auto known = before.find(set.spec.name);
        if (set.versions.size() > 1)
            continue;
        const bool has_gap = gaps.is_unobserved || gaps.brief_sets.contains(set.spec.name);
        if (set.versions.empty()) {
            if (known != before.end())
                result.insert(*known).first->second.since
                    = has_gap ? now : known->second.since;
            continue;
        }
        const std::string& version = set.versions.begin()->first;
        const bool is_same
            = known != before.end() && known->second.version == version && !has_gap;
        result[set.spec.name]
            = {version, is_same ? known->second.since : now, std::nullopt};
    }
    return result;
}

std::set<std::string>
sets_with_brief_versions(const VersionsBySet& applied, const SoleVersions& before,
                         const Snapshot& snapshot)
{
    std::set<std::string> brief_sets;
    for (const UpstreamSet& set : snapshot.sets) {
        const auto of_set = applied.find(set.spec.name);
        const auto sole = before.find(set.spec.name);
        if (of_set == applied.end() || sole == before.end())
            continue;
        for (const std::string& version : of_set->second)
            if (version != sole->second.version && !set.versions.contains(version))
                brief_sets.insert(set.spec.name);
    }
    return brief_sets;
}

std::optional<SoleVersion>
agreed_version(const std::vector<std::optional<SoleVersion>>& seen,
               std::size_t needed_records)
{
    std::optional<SoleVersion> agreed;
    std::optional<Micros> recorded;
    std::size_t records = 0;
    for (const std::optional<SoleVersion>& one : seen) {
        if (!one || (agreed && agreed->version != one->version))
            return std::nullopt;
        if (!agreed || one->since < agreed->since)
            agreed = SoleVersion {one->version, one->since, std::nullopt};
        if (!one->recorded_since)
            continue;
        ++records;
        recorded = std::max(recorded.value_or(*one->recorded_since), *one->recorded_since);
    }
    if (agreed && recorded && records >= needed_records)
        agreed->since = std::min(agreed->since, *recorded);
    return agreed;
}

ResumeVerdict
decide_resume(const ResumeQuery& query)
{
    const std::optional<StreamOrigin>& origin = query.history.origin;
    if (origin && origin->upstream_set != query.set.spec.name)
        return {ResumeDecision::OtherSet, origin->version};
    const bool names_versions = query.set.names_versions();
    if (origin && (names_versions || !origin->version.empty()))
        return {ResumeDecision::AtVersion, origin->version};
    // A daemon that has read the start and the end of a version at once knows less than one
    // that has seen it.
    const std::optional<Micros>& differed_at = query.history.differed_at;
    if (!origin && differed_at && query.now - *differed_at < query.longest_stream)
        return {ResumeDecision::Unknown, {}};
    if (!names_versions)
        return {ResumeDecision::Anywhere, {}};
    const std::optional<SoleVersion>& sole = query.history.sole;
    const bool is_known_to_all = query.is_directory_current
        || query.history.witnesses >= ResumeQuery::kNeededWitnesses;
    const bool is_sole
        = sole && is_known_to_all && query.now - sole->since >= query.longest_stream;
    if (!is_sole)
        return {ResumeDecision::Unknown, {}};
    return {ResumeDecision::AtVersion, sole->version};
}

} // namespace cypressford
