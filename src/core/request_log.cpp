#include "core/request_log.hpp"

#include "core/log.hpp"

namespace marblewood::core {
namespace {

std::string spell(std::span<const Status> ended, std::size_t begun) {
    std::string text;
    for (const Status status : ended)
        text += fmt::format(" {}", name(status));
    if (ended.size() < begun)
        text += fmt::format(" and {} still out", begun - ended.size());
    return text;
}

} // namespace

void RequestLog::request_ended(const Request &request, const Outcome &outcome, std::span<const Status> ended,
                               std::size_t begun) {
    const bool refused = outcome.kind == Outcome::Kind::Refused;
    if (outcome.kind == Outcome::Kind::Served || (refused && begun == 0) || !may_write())
        return;
    log("request {} of client {} {} after {} ms of {}: attempts{}", request.id, request.connection,
        refused ? "refused" : "failed", (clock_.now() - request.sent) / 1000, request.wait / 1000,
        begun == 0 ? " none" : spell(ended, begun));
}

bool RequestLog::may_write() {
    if (!limit_.allows(clock_.now()))
        return false;
    if (const auto left_out = limit_.take_left_out(); left_out > 0)
        log("requests that ended badly: {} lines left out", left_out);
    return true;
}

} // namespace marblewood::core
