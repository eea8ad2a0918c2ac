// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <algorithm>
#include <limits>

namespace cypressford {

PiecePlan::PiecePlan(const std::vector<PieceStageSpec>& stages, std::vector<int> counts)
    : m_counts(std::move(counts))
    , m_stages(stages.size())
{
    m_counts.resize(stages.size());
    for (std::size_t at = 0; at < stages.size(); ++at)
        for (const std::size_t before : stages[at].after)
            if (m_counts[before] > 0)
                m_stages[at].after.push_back(before);
}

bool
PiecePlan::is_ready(const Stage& stage) const
{
    return std::all_of(stage.after.begin(), stage.after.end(),
                       [this](std::size_t before) { return m_stages[before].made; });
}

std::vector<std::size_t>
PiecePlan::take_ready()
{
    std::vector<std::size_t> ready;
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        Stage& stage = m_stages[at];
        if (m_counts[at] == 0 || stage.dispatched || !is_ready(stage))
            continue;
        stage.dispatched = true;
        ready.push_back(at);
    }
    return ready;
}

/// By how much each stage could start later without delaying the request: the longest
/// path through all stages, less the longest path through that stage (critical path
/// method).
std::vector<Micros>
PiecePlan::slack_by_stage(const std::vector<Micros>& left) const
{
    const std::size_t count = m_stages.size();
    std::vector<Micros> end(count, 0); // of each stage, if all start as early as possible
    std::vector<Micros> after_end(count, 0); // from its end to the end of the last reader
    // Stages may be listed in any order, so `count` passes are needed to settle all of
    // them.
    for (std::size_t pass = 0; pass < count; ++pass)
        for (std::size_t at = 0; at < count; ++at) {
            if (m_counts[at] == 0)
                continue;
            Micros start = 0;
            for (const std::size_t before : m_stages[at].after) {
                start = std::max(start, end[before]);
                after_end[before] = std::max(after_end[before], left[at] + after_end[at]);
            }
            end[at] = start + left[at];
        }
    const Micros last = count == 0 ? 0 : *std::max_element(end.begin(), end.end());
    std::vector<Micros> slack(count, 0);
    for (std::size_t at = 0; at < count; ++at)
        slack[at] = last - end[at] - after_end[at];
    return slack;
}

ReadyStages
PiecePlan::take_due(const std::vector<Micros>& left, Micros tolerance)
{
    const std::vector<Micros> slack = slack_by_stage(left);
    ReadyStages result;
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        Stage& stage = m_stages[at];
        if (m_counts[at] == 0 || stage.dispatched || !is_ready(stage))
            continue;
        if (slack[at] <= tolerance) {
            stage.dispatched = true;
            result.now.push_back(at);
        } else {
            result.next_in = std::min(slack[at], result.next_in.value_or(slack[at]));
        }
    }
    return result;
}

std::vector<std::string>
PiecePlan::inputs_of(std::size_t stage) const
{
    std::vector<std::string> inputs;
    for (const std::size_t before : m_stages[stage].after)
        inputs.insert(inputs.end(), m_stages[before].handles.begin(),
                      m_stages[before].handles.end());
    return inputs;
}

void
PiecePlan::set_stage_results(std::size_t stage, std::vector<std::string> handles)
{
    m_stages[stage].made = true;
    m_stages[stage].handles = std::move(handles);
}

bool
PiecePlan::is_done() const
{
    for (std::size_t at = 0; at < m_stages.size(); ++at)
        if (m_counts[at] > 0 && !m_stages[at].made)
            return false;
    return true;
}

bool
PiecePlan::is_last(std::size_t stage) const
{
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        const auto& after = m_stages[at].after;
        const bool reads = std::find(after.begin(), after.end(), stage) != after.end();
        if (reads && m_counts[at] > 0)
            return false;
    }
    return true;
}

bool
PiecePlan::has_readers_left(std::size_t stage) const
{
    if (is_last(stage))
        return true;
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        const auto& after = m_stages[at].after;
        const bool reads = std::find(after.begin(), after.end(), stage) != after.end();
        if (reads && m_counts[at] > 0 && !m_stages[at].made)
            return true;
    }
    return false;
}

std::vector<std::string>
PiecePlan::final_inputs() const
{
    std::vector<std::string> inputs;
    for (std::size_t at = 0; at < m_stages.size(); ++at)
        if (is_last(at))
            inputs.insert(inputs.end(), m_stages[at].handles.begin(),
                          m_stages[at].handles.end());
    return inputs;
}

std::vector<std::string>
PiecePlan::take_releasable()
{
    std::vector<std::string> released;
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        Stage& stage = m_stages[at];
        if (!stage.made || stage.released || has_readers_left(at))
            continue;
        stage.released = true;
        released.insert(released.end(), stage.handles.begin(), stage.handles.end());
    }
    return released;
}

std::size_t
PiecePlan::stage_of(const std::string& handle) const
{
    for (std::size_t at = 0; at < m_stages.size(); ++at) {
        const auto& handles = m_stages[at].handles;
        if (std::find(handles.begin(), handles.end(), handle) != handles.end())
            return at;
    }
    return 0;
}

std::vector<std::string>
PiecePlan::unreleased() const
{
    std::vector<std::string> left;
    for (const Stage& stage : m_stages)
        if (stage.made && !stage.released)
            left.insert(left.end(), stage.handles.begin(), stage.handles.end());
    return left;
}

Micros
call_time(const UpstreamSetSpec& set, int pieces)
{
    if (!set.batch)
        return 0;
    const int items = std::min(pieces, set.batch->items);
    return set.batch->call_time + items * set.batch->item_time;
}

Micros
full_call_time(const UpstreamSetSpec& set)
{
    return call_time(set, std::numeric_limits<int>::max());
}

Micros
pieces_time(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
            const std::vector<int>& counts)
{
    const auto& stages = pipeline.spec.piece_stages;
    std::vector<Micros> finish(stages.size(), 0);
    // Stages may be listed in any order, so a pass for each is needed to settle all of
    // them.
    for (std::size_t pass = 0; pass < stages.size(); ++pass)
        for (std::size_t at = 0; at < stages.size(); ++at) {
            if (counts[at] == 0)
                continue;
            Micros start = 0;
            for (const std::size_t before : stages[at].after)
                start = std::max(start, finish[before]);
            const UpstreamSetSpec& set = snapshot.sets[pipeline.piece_sets[at]].spec;
            finish[at] = start + call_time(set, counts[at]);
        }
    return finish.empty() ? 0 : *std::max_element(finish.begin(), finish.end());
}

Micros
time_from_stage(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                const std::vector<int>& counts, std::size_t stage)
{
    const auto& stages = pipeline.spec.piece_stages;
    std::vector<Micros> left(stages.size(), 0);
    for (std::size_t pass = 0; pass < stages.size(); ++pass)
        for (std::size_t at = 0; at < stages.size(); ++at) {
            if (counts[at] == 0)
                continue;
            Micros later = 0;
            for (std::size_t next = 0; next < stages.size(); ++next) {
                const auto& after = stages[next].after;
                if (std::find(after.begin(), after.end(), at) != after.end())
                    later = std::max(later, left[next]);
            }
            const UpstreamSetSpec& set = snapshot.sets[pipeline.piece_sets[at]].spec;
            left[at] = later + full_call_time(set);
        }
    return left[stage];
}

} // namespace cypressford
