#include "policy/concurrency_limit.hpp"

namespace marblewood::policy {

void ConcurrencyLimit::record_outcome(Status status, double ratio, Micros now) {
    const double mean = latency_.mean();
    switch (status) {
    case Status::Ok:
        latency_.add(ratio, now);
        break;
    case Status::Rejected: // a node that answers quickly has no full queue: the cause lies in the request
        latency_.add(mean < kQuickRatio ? mean : std::max(ratio, kRejectedRatio), now);
        break;
    case Status::Timeout:
    case Status::Reset: // the latency is a lower bound; a reset is no sign of load
        latency_.add(std::max(ratio, mean), now);
        break;
    case Status::Error:
    case Status::ConnectFailed: // a quick failure must not count as a quick answer
        latency_.add(std::max({ratio, kTargetLatencyRatio, mean}), now);
        break;
    case Status::Cancelled:
    case Status::Superseded: // ended by this host: says nothing about the node
        break;
    }
}

} // namespace marblewood::policy
