/// \file
/// A call to discovery that one process has begun and another one of the same broker ends. What discovery
/// writes to a connection counts as told to the broker, also while the process that has called is ending.
#pragma once

#include "discovery/list_response.hpp"
#include "net/descriptor.hpp"

#include <string>

namespace marblewood::discovery {

struct HandedOverCall {
    std::string host;                          ///< the address that was called, as configured
    std::int64_t known_revision = kNoRevision; ///< since which changes were requested
    bool complete = false;                     ///< the complete list was requested instead
    Micros deadline = 0;                       ///< Unix time until which the response is awaited
    std::string received;                      ///< of the response
    net::Descriptor connection;
};

/// Encodes all but the connection.
std::string encode(const HandedOverCall &call);
/// Decodes what encode() has written. Throws config::Error.
HandedOverCall decode_handed_over_call(const std::string &text, net::Descriptor connection);

} // namespace marblewood::discovery
