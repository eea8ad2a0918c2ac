// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cypressford/stream_origin.h>

#include "cypressford.pb.h"

namespace cypressford {

using EncodedOrigins = google::protobuf::RepeatedPtrField<proto::StreamOrigins>;

void encode_origins(const RequestsByOrigin& origins, EncodedOrigins& out);
RequestsByOrigin decode_origins(const EncodedOrigins& in);

} // namespace cypressford
