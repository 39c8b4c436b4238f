#include "policy/priority.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::policy {
namespace {

constexpr double kBandsPerDoubling = 4; // bands of weight to a factor of two
constexpr double kSameKeyFactor = 1.5;  // a node spends less on a request of the key that it served last
constexpr double kMinWeight = 1e-9;     // keeps the logarithm finite

} // namespace

double Priority::band(const Request &request, const Node &node, bool timely) const {
    const bool same_key =
        request.arrival.key && node.last_key == request.arrival.key && request.attempts.empty();
    const double value = weight(request, timely) * (same_key ? kSameKeyFactor : 1);
    return std::floor(kBandsPerDoubling * std::log2(std::max(value, kMinWeight)));
}

} // namespace marblewood::policy
