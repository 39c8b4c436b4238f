#include "policy/priority.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::policy {
namespace {

constexpr double kBandsPerDoubling = 4; // number of bands within a factor of two of priority
constexpr double kSameKeyFactor = 1.5; // a request costs the node less if its key is that of the last request
constexpr double kMinWeight = 1e-9;    // keeps the logarithm finite

} // namespace

double Priority::band(const Request &request, const Node &node, bool timely) const {
    const bool same_key =
        request.arrival.key && node.last_key == request.arrival.key && request.attempts.empty();
    const double value = weight(request, timely) * (same_key ? kSameKeyFactor : 1);
    return std::floor(kBandsPerDoubling * std::log2(std::max(value, kMinWeight)));
}

} // namespace marblewood::policy
