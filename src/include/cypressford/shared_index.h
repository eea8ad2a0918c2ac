// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An index from hashes to numbers whose copies share what they have in common.

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace cypressford {

/// Numbers by 64-bit hash; a hash may have several.  A copy, and a change to a copy, cost a
/// fixed amount and the size of one shard: a configuration of thousands of routes of which
/// one changes is indexed anew in microseconds.  Not thread-safe while it is changed.
class SharedIndex {
public:
    using Value = std::uint32_t;

    void add(std::uint64_t hash, Value value)
    {
        Shard shard = copy_of(hash);
        shard.insert(std::upper_bound(shard.begin(), shard.end(), hash, is_before),
                     {hash, value});
        replace(hash, std::move(shard));
    }

    void remove(std::uint64_t hash, Value value)
    {
        Shard shard = copy_of(hash);
        std::erase_if(shard, [&](const Entry& entry) {
            return entry.hash == hash && entry.value == value;
        });
        replace(hash, std::move(shard));
    }

    /// Calls `visit` with each value of the hash, in the order in which they were added,
    /// until it returns true.
    template <class F> void visit(std::uint64_t hash, F&& visit) const
    {
        const ShardPtr& shard = m_shards[shard_of(hash)];
        if (!shard)
            return;
        for (auto at = std::lower_bound(shard->begin(), shard->end(), hash, is_after);
             at != shard->end() && at->hash == hash; ++at)
            if (visit(at->value))
                return;
    }

private:
    struct Entry {
        std::uint64_t hash;
        Value value;
    };
    using Shard = std::vector<Entry>; ///< sorted by hash
    using ShardPtr = std::shared_ptr<const Shard>;
    /// 20,000 entries are 20 in each shard, which is what a change copies.
    static constexpr std::size_t kShards = 1024;

    static bool is_before(std::uint64_t hash, const Entry& entry)
    {
        return hash < entry.hash;
    }
    static bool is_after(const Entry& entry, std::uint64_t hash)
    {
        return entry.hash < hash;
    }
    static std::size_t shard_of(std::uint64_t hash) { return hash % kShards; }

    Shard copy_of(std::uint64_t hash) const
    {
        const ShardPtr& shard = m_shards[shard_of(hash)];
        return shard ? *shard : Shard {};
    }
    void replace(std::uint64_t hash, Shard shard)
    {
        m_shards[shard_of(hash)] = std::make_shared<const Shard>(std::move(shard));
    }

    std::vector<ShardPtr> m_shards {kShards};
};

} // namespace cypressford
