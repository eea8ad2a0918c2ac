// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/codec.h>

#include "cypressford.pb.h"

namespace cypressford {

namespace {

void
write(const ClaimId& id, proto::ClaimId& out)
{
    out.set_maker(id.maker);
    out.set_number(id.number);
}

ClaimId
read_id(const proto::ClaimId& in)
{
    return {in.maker(), in.number()};
}

std::optional<ClaimOutcome>
outcome_from(int value)
{
    if (value < 0 || value > static_cast<int>(ClaimOutcome::Unknown))
        return std::nullopt;
    return static_cast<ClaimOutcome>(value);
}

} // namespace

std::string
encode(const ClaimBatch& batch)
{
    proto::ClaimBatch out;
    out.set_maker(batch.maker);
    out.set_made_at_ms(batch.made_at);
    out.set_seen(batch.seen);
    for (const ClaimMade& claim : batch.claims) {
        auto* item = out.add_claims();
        write(claim.id, *item->mutable_id());
        item->set_key(claim.key);
        item->set_fingerprint(claim.fingerprint);
        item->set_key_time_ms(claim.key_time);
    }
    for (const ClaimEnded& end : batch.ends) {
        auto* item = out.add_ends();
        write(end.id, *item->mutable_id());
        item->set_key(end.key);
        item->set_key_time_ms(end.key_time);
        item->set_outcome(static_cast<int>(end.outcome));
        item->set_has_answer(end.answer.has_value());
        if (end.answer) {
            item->set_content_type(end.answer->content_type);
            item->set_body(end.answer->body);
        }
    }
    return out.SerializeAsString();
}

std::optional<ClaimBatch>
decode_claims(std::string_view bytes)
{
    proto::ClaimBatch in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    ClaimBatch batch;
    batch.maker = in.maker();
    batch.made_at = in.made_at_ms();
    batch.seen = in.seen();
    for (const auto& item : in.claims())
        batch.claims.push_back(
            {read_id(item.id()), item.key(), item.fingerprint(), item.key_time_ms()});
    for (const auto& item : in.ends()) {
        const auto outcome = outcome_from(item.outcome());
        if (!outcome)
            return std::nullopt;
        ClaimEnded end {read_id(item.id()), item.key(), item.key_time_ms(), *outcome,
                        std::nullopt};
        if (item.has_answer())
            end.answer = RecordedAnswer {item.content_type(), item.body()};
        batch.ends.push_back(std::move(end));
    }
    return batch;
}

} // namespace cypressford
