// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Determines which bundle is in force and which halls are evacuated, by a deterministic
/// fold over the records of the bundles stream.  Daemons that have read the same records
/// have the same state.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <cypressford/bundle.h>
#include <cypressford/claims.h>
#include <cypressford/evacuation.h>

namespace cypressford {

/// An operator's action on a bundle version or on a hall.
enum class BundleAction : unsigned char { Publish, Roll, Retire, Evacuate, EndEvacuation };

/// One record, signed by an operator.
struct BundleRecord {
    BundleAction action = BundleAction::Publish;
    std::string name; ///< of the bundle, or of the hall
    /// For a hall: increases with each record, so that an older record that is appended
    /// late has no effect.
    std::uint64_t version = 0;
    std::string bundle; ///< canonical form, with Publish
    std::string key; ///< operator's public key, hex
    std::string signature; ///< over signed_text(), hex
};

/// The live state as a record: a daemon appends it before the log drops the records
/// from which the state was computed.
struct BundleSnapshot {
    Offset covers = -1; ///< last offset folded in
    std::uint64_t newest = 0; ///< newest version accepted
    std::uint64_t in_force = 0; ///< 0 for none
    std::vector<BundleRecord> accepted; ///< not retired, in order of version
    std::vector<BundleRecord> evacuations; ///< the newest record of each hall
    std::string mac; ///< made with the key common to all daemons, hex
};

/// The effect of a record on the fold.
enum class FoldResult : unsigned char {
    Accepted,
    Repeated, ///< already in effect; nothing changed
    BadSignature, ///< not signed by a known operator
    BadBundle, ///< can't be parsed or fails its checks
    Conflict, ///< does not build on the newest version, or is older
    NoBase, ///< earlier records were dropped and no snapshot has been read yet
};

std::string_view to_string(FoldResult result);

/// The bytes that an operator signs.
std::string signed_text(const BundleRecord& record);
/// The bytes that are authenticated with the daemons' key.
std::string authenticated_text(const BundleSnapshot& snapshot);

/// Signs a record with an operator's private key.
Result<BundleRecord> sign_record(BundleRecord record, std::string_view private_key_pem);

/// Records as text, as they are stored in the log.
std::string encode(const BundleRecord& record);
std::string encode(const BundleSnapshot& snapshot);

/// Keys that the fold trusts.
struct BundleTrust {
    std::vector<std::string> operators; ///< public keys, hex
    std::string daemon_key; ///< common to all daemons, raw bytes
};

/// Computes the live state from the records.
class BundleFold {
public:
    explicit BundleFold(BundleTrust trust)
        : m_trust(std::move(trust))
    {
    }

    /// Applies the record at `offset`.
    FoldResult apply(Offset offset, std::string_view record);

    /// Records before `first` are no longer readable.
    void on_first_retained(Offset first);

    /// Adopts a peer's state if it covers more records than this fold has read.
    FoldResult adopt(std::string_view encoded_snapshot);

    /// The live state, with its MAC.
    BundleSnapshot snapshot() const;

    const Bundle* in_force() const;
    const EvacuationTable& evacuations() const { return m_evacuations; }
    std::uint64_t in_force_version() const { return m_in_force; }
    std::uint64_t newest_version() const { return m_newest; }
    Offset next() const { return m_next; }
    /// Offset of the oldest record that is still needed to compute the live state.
    Offset oldest_needed() const { return m_oldest_needed; }
    bool has_base() const { return m_has_base; }

private:
    struct Accepted {
        BundleRecord record;
        Bundle bundle;
    };

    FoldResult apply_operator(const BundleRecord& record);
    FoldResult publish(const BundleRecord& record);
    FoldResult roll(std::uint64_t version);
    FoldResult retire(std::uint64_t version);
    FoldResult evacuate(const BundleRecord& record);
    FoldResult load(const BundleSnapshot& snapshot);
    bool authentic(const BundleSnapshot& snapshot) const;
    bool trusts(const BundleRecord& record) const;

    BundleTrust m_trust;
    bool m_has_base = true;
    Offset m_next = 0;
    Offset m_oldest_needed = 0;
    std::uint64_t m_newest = 0;
    std::uint64_t m_in_force = 0;
    std::map<std::uint64_t, Accepted> m_accepted;
    EvacuationTable m_evacuations;
    std::map<std::string, BundleRecord> m_evacuation_records; ///< by hall
};

} // namespace cypressford
