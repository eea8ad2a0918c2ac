// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A directory dialect for tests of decisions from records, without a platform's format.

#pragma once

#include <string>

#include <cypressford/directory.h>

namespace cypressford {

/// Records as plain text: a version, or "sequence" with "!" for an upstream that is leaving
/// and "@BORN" for its start; under "evacuation/HALL" any text while the hall is evacuated.
/// A value that begins with "?" can't be parsed.
class TextDialect : public DirectoryDialect {
public:
    HttpRequest newest(DirectoryTopic, std::string_view) const override { return {}; }
    HttpRequest read(DirectoryTopic, Offset, Micros) const override { return {}; }
    HttpRequest append(DirectoryTopic, const DirectoryRecord&) const override { return {}; }
    LogGeneration generation_of(const HttpResponse&) const override { return 0; }
    Result<DirectoryPage> decode_newest(const HttpResponse&) const override { return {}; }
    Result<DirectoryPage> decode_read(const HttpResponse&) const override { return {}; }

    Result<Bundle> decode_configuration(const DirectoryRecord& record,
                                        const Bundle*) const override
    {
        Bundle bundle;
        bundle.name = "text";
        bundle.version = std::stoull(record.value);
        UpstreamSetSpec set;
        set.name = "set";
        set.kind = "service";
        bundle.upstream_sets.push_back(set);
        PipelineSpec pipeline;
        pipeline.name = "pipeline";
        pipeline.relayed = true;
        pipeline.host = "host";
        pipeline.path_prefix = "/";
        pipeline.deadline = kSecond;
        StageSpec stage;
        stage.name = "answer";
        stage.upstream_set = "set";
        pipeline.stages.push_back(stage);
        bundle.pipelines.push_back(pipeline);
        return bundle;
    }
    std::optional<EvacuationRecord>
    decode_evacuation(const DirectoryRecord& record) const override
    {
        constexpr std::string_view prefix = "evacuation/";
        if (!record.key.starts_with(prefix))
            return std::nullopt;
        return EvacuationRecord {record.key.substr(prefix.size()), !record.value.empty()};
    }
    Result<UpstreamRecord> decode_upstream(const DirectoryRecord& record) const override
    {
        if (record.value.starts_with('?'))
            return fail(ErrorKind::BadRequest, "not an upstream");
        UpstreamRecord result;
        if (const auto at = record.value.find('@'); at != std::string::npos)
            result.member.born = std::stoll(record.value.substr(at + 1));
        result.sequence = std::stoull(record.value);
        result.member.identity = record.key;
        result.member.upstream_set = "set";
        result.member.address = "127.0.0.1:1";
        result.member.leaving = record.value.back() == '!';
        return result;
    }
};

} // namespace cypressford
