/// \file
/// Responses of discovery as the two processes of a hot restart pass them on to each other. For discovery
/// both are one broker: what one of them has been told, the other has to know.
#pragma once

#include "discovery/list_response.hpp"

#include <functional>
#include <string>

namespace marblewood::discovery {

/// A response that one process has applied.
struct RelayedList {
    std::string source; ///< whose sequence of revisions it belongs to
    std::int64_t since =
        kNoRevision; ///< the revision that changes apply to; of no meaning for a complete list
    ListResponse response;
};

/// Encodes the list as JSON, with the entries as they were received.
std::string encode(const RelayedList &list);
/// Decodes what encode() has written. `decode_response` decodes a response of discovery for the same list.
/// Throws config::Error.
RelayedList decode_relayed_list(const std::string &text,
                                const std::function<ListResponse(Json::Value)> &decode_response);

} // namespace marblewood::discovery
