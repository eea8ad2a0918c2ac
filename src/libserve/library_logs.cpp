// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/library_logs.h"

#include <string>

#include <google/protobuf/stubs/logging.h>
#include <grpc/support/log.h>

#include "libutil/event_log.h"

namespace cypressford {

namespace {

void
write(std::string_view library, LogLevel level, std::string_view message)
{
    LogEvent("library_log", level).kv("library", library).kv("why", message);
}

void
on_protobuf_message(google::protobuf::LogLevel level, const char* /*file*/, int /*line*/,
                    const std::string& message)
{
    const bool is_problem = level >= google::protobuf::LOGLEVEL_WARNING;
    write("protobuf", is_problem ? LogLevel::Warn : LogLevel::Debug, message);
}

void
on_grpc_message(gpr_log_func_args* args)
{
    const bool is_error = args->severity == GPR_LOG_SEVERITY_ERROR;
    write("grpc", is_error ? LogLevel::Warn : LogLevel::Debug, args->message);
}

} // namespace

void
log_libraries()
{
    google::protobuf::SetLogHandler(on_protobuf_message);
    gpr_set_log_function(on_grpc_message);
}

} // namespace cypressford
