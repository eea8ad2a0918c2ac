// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A fixed limit on requests in progress.  Baseline for comparisons.

#include <cypressford/admission.h>
#include <cypressford/registry.h>

namespace cypressford {

class FixedAdmission final : public Admission {
public:
    static constexpr int kLimit = 64; ///< requests in progress in one daemon

    AdmissionVerdict admit(const AdmissionQuery& query) const override
    {
        if (query.in_progress < kLimit)
            return {};
        return {false, ErrorKind::QueueFull, kSecond};
    }
    bool queues_in_daemon() const override { return false; }
    bool drops_late() const override { return false; }
};

static const Registration<Admission, FixedAdmission> s_registration("fixed");

} // namespace cypressford
