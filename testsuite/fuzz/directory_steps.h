// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The steps of a DirectoryWorld, which change its daemons and the log that they read, and
/// their weights.

#pragma once

#include <array>
#include <cstddef>
#include <utility>

namespace cypressford::fuzz {

enum class StepKind : unsigned char {
    Keepalive,
    Drain,
    Remove,
    RestartUpstream,
    WriteDelayed,
    Configure,
    WriteOlderConfiguration,
    Evacuate,
    Truncate,
    Restore,
    Read,
    SendQuery,
    AnswerQuery,
    DeliverAnswer,
    RestartDaemon,
    Advance
};

/// Relative frequency with which each kind is drawn.
constexpr std::array<std::pair<StepKind, std::size_t>, 16> kWeights {{
    {StepKind::Keepalive, 16},
    {StepKind::Drain, 1},
    {StepKind::Remove, 3},
    {StepKind::RestartUpstream, 2},
    {StepKind::WriteDelayed, 10},
    {StepKind::Configure, 2},
    {StepKind::WriteOlderConfiguration, 2},
    {StepKind::Evacuate, 3},
    {StepKind::Truncate, 1},
    {StepKind::Restore, 1},
    {StepKind::Read, 10},
    {StepKind::SendQuery, 24},
    {StepKind::AnswerQuery, 24},
    {StepKind::DeliverAnswer, 24},
    {StepKind::RestartDaemon, 1},
    {StepKind::Advance, 6},
}};

constexpr std::size_t
sum_of_weights()
{
    std::size_t sum = 0;
    for (const auto& [kind, weight] : kWeights)
        sum += weight;
    return sum;
}

/// The kind at a position of a sequence in which each kind occurs as many times as its
/// weight.
inline StepKind
kind_at(std::size_t position)
{
    for (const auto& [kind, weight] : kWeights) {
        if (position < weight)
            return kind;
        position -= weight;
    }
    return StepKind::Advance;
}

struct Step {
    StepKind kind;
    std::size_t a;
    std::size_t b;
};

} // namespace cypressford::fuzz
