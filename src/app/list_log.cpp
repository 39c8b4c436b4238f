#include "app/list_log.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace marblewood::app {
namespace {

/// The names that the log uses for the enumerators of ListOrigin, in their order.
constexpr std::array<std::string_view, 2> kOriginNames{"configuration", "discovery"};

} // namespace

void log_applied_list(const discovery::ListResponse &list, ListOrigin origin) {
    const auto count = [&](NodeState state) {
        return std::ranges::count(list.update.entries, state, &NodeEntry::state);
    };
    core::log("endpoint_list_applied revision={} origin={} complete={} entries={} draining={} gone={}",
              list.revision, kOriginNames[static_cast<std::size_t>(origin)],
              list.update.kind != ListUpdate::Kind::Changes, list.update.entries.size(),
              count(NodeState::Draining), count(NodeState::Gone));
}

} // namespace marblewood::app
