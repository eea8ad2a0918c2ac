// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Admits every request.  Baseline for comparisons.

#include <cypressford/admission.h>
#include <cypressford/registry.h>

namespace cypressford {

class OpenAdmission final : public Admission {
public:
    AdmissionVerdict admit(const AdmissionQuery&) const override { return {}; }
    bool queues_in_daemon() const override { return false; }
    bool drops_late() const override { return false; }
};

static const Registration<Admission, OpenAdmission> s_registration("open");

} // namespace cypressford
