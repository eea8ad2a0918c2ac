// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/piece_order.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "cypressford.pb.h"

namespace cypressford {

std::string_view
to_string(PieceOutcome outcome)
{
    switch (outcome) {
    case PieceOutcome::Made:
        return "made";
    case PieceOutcome::Late:
        return "queue";
    case PieceOutcome::InputGone:
        return "input";
    case PieceOutcome::NoMemory:
        return "memory";
    case PieceOutcome::Failed:
        return "upstream";
    case PieceOutcome::NoRetry:
        return "retry_limit";
    }
    return "unknown";
}

namespace {

/// Leaves the field absent if all halls are allowed.
template <class Message>
void
write_halls(const HallLimit& limit, Message& out)
{
    if (limit.is_set())
        out.mutable_halls()->mutable_halls()->Assign(limit.halls().begin(),
                                                     limit.halls().end());
}

template <class Message>
HallLimit
read_halls(const Message& in)
{
    if (!in.has_halls())
        return {};
    return HallLimit({in.halls().halls().begin(), in.halls().halls().end()});
}

} // namespace

std::string
encode(const PieceOrder& order)
{
    proto::PieceOrder out;
    out.set_upstream_set(order.upstream_set);
    out.set_priority(order.priority);
    out.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<Micros>(0, order.time_left) / kMillisecond));
    out.set_due_ms(static_cast<std::int32_t>(order.due_left / kMillisecond));
    out.set_near(order.near);
    out.set_result_bytes(order.result_bytes);
    out.set_again(order.is_retry);
    write_halls(order.halls, out);
    for (const PieceItem& item : order.pieces) {
        proto::PieceWanted* piece = out.add_pieces();
        piece->set_attempt(item.attempt);
        piece->set_stage(item.stage);
        piece->set_segment(item.segment);
        piece->set_piece_key(item.piece_key);
        for (const std::string& input : item.inputs)
            piece->add_inputs(input);
    }
    return out.SerializeAsString();
}

Result<PieceOrder>
decode_piece_order(std::string_view bytes)
{
    proto::PieceOrder in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed piece order");
    PieceOrder order;
    order.upstream_set = in.upstream_set();
    order.priority = std::clamp(in.priority(), 0, kLowestPriority);
    order.time_left = in.remaining_ms() * kMillisecond;
    order.due_left = in.due_ms() * kMillisecond;
    order.near = in.near();
    order.result_bytes = in.result_bytes();
    order.is_retry = in.again();
    order.halls = read_halls(in);
    for (const proto::PieceWanted& piece : in.pieces()) {
        PieceItem item;
        item.attempt = piece.attempt();
        item.stage = piece.stage();
        item.segment = piece.segment();
        item.piece_key = piece.piece_key();
        item.inputs.assign(piece.inputs().begin(), piece.inputs().end());
        order.pieces.push_back(std::move(item));
    }
    return order;
}

std::string
encode(const Releases& releases)
{
    proto::Releases out;
    out.set_upstream_set(releases.upstream_set);
    for (const std::string& handle : releases.handles)
        out.add_handles(handle);
    for (const std::string& attempt : releases.started)
        out.add_begun(attempt);
    for (const std::string& attempt : releases.ended)
        out.add_ended(attempt);
    for (const std::string& attempt : releases.unreachable)
        out.add_unreached(attempt);
    for (const std::string& attempt : releases.withdrawn)
        out.add_withdrawn(attempt);
    return out.SerializeAsString();
}

Result<Releases>
decode_releases(std::string_view bytes)
{
    proto::Releases in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed list of releases");
    return Releases {in.upstream_set(),
                     {in.handles().begin(), in.handles().end()},
                     {in.begun().begin(), in.begun().end()},
                     {in.ended().begin(), in.ended().end()},
                     {in.unreached().begin(), in.unreached().end()},
                     {in.withdrawn().begin(), in.withdrawn().end()}};
}

namespace {

using LimitWords = google::protobuf::RepeatedPtrField<proto::LimitWord>;

void
write_limits(const LimitReports& limits, LimitWords& out)
{
    for (const LimitReport& report : limits) {
        proto::LimitWord* item = out.Add();
        item->set_identity(report.run.identity);
        item->set_born(report.run.born);
        item->set_per_s(report.per_s);
        item->set_ago_us(report.ago);
    }
}

/// Skips reports with invalid values, and those beyond kMaxLimitReports.
LimitReports
read_limits(const LimitWords& in)
{
    LimitReports limits;
    for (const proto::LimitWord& item : in) {
        const bool makes_sense
            = std::isfinite(item.per_s()) && item.per_s() >= 0 && item.ago_us() >= 0;
        if (makes_sense && limits.size() < kMaxLimitReports)
            limits.push_back({{item.identity(), item.born()}, item.per_s(), item.ago_us()});
    }
    return limits;
}

} // namespace

std::string
encode(const PlaceQuery& query)
{
    proto::PlaceQuery out;
    const PromptQuery& prompt = query.prompt;
    out.set_upstream_set(query.upstream_set);
    out.set_attempt(prompt.attempt);
    out.set_tokens(prompt.tokens);
    out.set_affinity(prompt.affinity);
    out.set_near(prompt.near);
    out.set_near_bytes(prompt.near_bytes);
    write_halls(prompt.halls, out);
    out.set_from(prompt.from);
    out.set_reserve(prompt.reserve);
    out.mutable_hall_parts()->insert(prompt.hall_parts.begin(), prompt.hall_parts.end());
    for (const PrefixPart& part : prompt.parts) {
        proto::PromptPart* item = out.add_parts();
        item->set_id(part.id);
        item->set_tokens(part.tokens);
    }
    for (const std::string& identity : prompt.avoid)
        out.add_avoid(identity);
    write_limits(prompt.limits, *out.mutable_limits());
    write_limits(prompt.rejections, *out.mutable_rejections());
    if (prompt.version)
        out.mutable_version()->set_version(*prompt.version);
    return out.SerializeAsString();
}

Result<PlaceQuery>
decode_place_query(std::string_view bytes)
{
    proto::PlaceQuery in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed prompt placement query");
    PlaceQuery query;
    query.upstream_set = in.upstream_set();
    query.prompt.attempt = in.attempt();
    query.prompt.tokens = in.tokens();
    query.prompt.affinity = in.affinity();
    query.prompt.near = in.near();
    query.prompt.near_bytes = in.near_bytes();
    query.prompt.from = in.from();
    query.prompt.halls = read_halls(in);
    query.prompt.reserve = in.reserve();
    query.prompt.hall_parts = {in.hall_parts().begin(), in.hall_parts().end()};
    query.prompt.avoid.assign(in.avoid().begin(), in.avoid().end());
    for (const proto::PromptPart& part : in.parts())
        query.prompt.parts.push_back({part.id(), part.tokens()});
    query.prompt.limits = read_limits(in.limits());
    query.prompt.rejections = read_limits(in.rejections());
    if (in.has_version())
        query.prompt.version = in.version().version();
    return query;
}

std::string
encode(const PlaceAnswer& answer)
{
    proto::PlaceAnswer out;
    out.set_identity(answer.identity);
    out.set_hall(answer.hall);
    out.set_counted(answer.is_counted);
    write_limits(answer.limits, *out.mutable_limits());
    out.set_full(answer.is_full);
    out.set_has_slot(answer.has_slot);
    return out.SerializeAsString();
}

Result<PlaceAnswer>
decode_place_answer(std::string_view bytes)
{
    proto::PlaceAnswer in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed prompt placement answer");
    return PlaceAnswer {in.identity(), in.hall(),    in.counted(), read_limits(in.limits()),
                        in.full(),     in.has_slot()};
}

std::string
encode(const PieceAnswer& answer)
{
    proto::PieceAnswer out;
    out.set_expected_wait_ms(static_cast<std::uint32_t>(
        std::max<Micros>(0, answer.expected_wait) / kMillisecond));
    for (const PieceResult& result : answer.pieces) {
        proto::PieceMade* piece = out.add_pieces();
        piece->set_outcome(static_cast<int>(result.outcome));
        piece->set_handle(result.handle);
    }
    return out.SerializeAsString();
}

Result<PieceAnswer>
decode_piece_answer(std::string_view bytes)
{
    proto::PieceAnswer in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed answer to a piece order");
    PieceAnswer answer;
    answer.expected_wait = in.expected_wait_ms() * kMillisecond;
    for (const proto::PieceMade& piece : in.pieces()) {
        const int last = static_cast<int>(PieceOutcome::NoRetry);
        const int outcome = std::clamp(piece.outcome(), 0, last);
        answer.pieces.push_back({static_cast<PieceOutcome>(outcome), piece.handle()});
    }
    return answer;
}

namespace {

/// Milliseconds in the range of the field's type.
template <class Field>
Field
to_ms(Micros time)
{
    return static_cast<Field>(std::clamp<Micros>(time / kMillisecond,
                                                 std::numeric_limits<Field>::min(),
                                                 std::numeric_limits<Field>::max()));
}

} // namespace

std::string
encode(const SetQueries& queries)
{
    proto::CapacityQueries out;
    for (const auto& [upstream_set, need] : queries) {
        proto::CapacityQuery* query = out.add_queries();
        query->set_upstream_set(upstream_set);
        query->set_attempt(need.attempt);
        query->set_account(need.account);
        query->set_priority(need.priority);
        query->set_pieces(static_cast<std::uint32_t>(std::max(0, need.pieces)));
        query->set_starts_ms(to_ms<std::int32_t>(need.starts_in));
        query->set_due_ms(to_ms<std::int32_t>(need.due_in));
        query->set_remaining_ms(to_ms<std::uint32_t>(need.expires_in));
    }
    return out.SerializeAsString();
}

Result<SetQueries>
decode_capacity_queries(std::string_view bytes)
{
    constexpr std::uint32_t max_pieces = std::numeric_limits<int>::max();
    proto::CapacityQueries in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed capacity queries");
    SetQueries queries;
    for (const proto::CapacityQuery& item : in.queries()) {
        SetQuery query {item.upstream_set(), {}};
        query.need.attempt = item.attempt();
        query.need.account = item.account();
        query.need.priority = std::clamp(item.priority(), 0, kLowestPriority);
        query.need.pieces = static_cast<int>(std::min(item.pieces(), max_pieces));
        query.need.starts_in = item.starts_ms() * kMillisecond;
        query.need.due_in = item.due_ms() * kMillisecond;
        query.need.expires_in = item.remaining_ms() * kMillisecond;
        queries.push_back(std::move(query));
    }
    return queries;
}

std::string
encode(const CapacityVerdicts& verdicts)
{
    proto::CapacityVerdicts out;
    for (const CapacityVerdict& verdict : verdicts) {
        proto::CapacityVerdict* item = out.add_verdicts();
        item->set_admitted(verdict.admitted);
        item->set_expected_wait_ms(to_ms<std::uint32_t>(verdict.expected_wait));
        item->set_retry_after_ms(to_ms<std::uint32_t>(verdict.retry_after));
    }
    return out.SerializeAsString();
}

Result<CapacityVerdicts>
decode_capacity_verdicts(std::string_view bytes)
{
    proto::CapacityVerdicts in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed capacity verdicts");
    CapacityVerdicts verdicts;
    for (const proto::CapacityVerdict& item : in.verdicts())
        verdicts.push_back({item.admitted(), item.expected_wait_ms() * kMillisecond,
                            item.retry_after_ms() * kMillisecond});
    return verdicts;
}

} // namespace cypressford
