#include "policy/concurrency_limit.hpp"

namespace marblewood::policy {

void ConcurrencyLimit::record_outcome(Status status, double ratio, Micros now) {
    const double mean = latency_.mean();
    switch (status) {
    case Status::Ok:
        latency_.add(ratio, now);
        break;
    case Status::Rejected: // where answers are quick no queue is full: it was the request
        latency_.add(mean < kQuickRatio ? mean : std::max(ratio, kRejectedRatio), now);
        break;
    case Status::Timeout:
    case Status::Reset: // it took at least so long; no sign of load
        latency_.add(std::max(ratio, mean), now);
        break;
    case Status::Error:
    case Status::ConnectFailed: // a quick failure must not look like a quick answer
        latency_.add(std::max({ratio, kTargetLatencyRatio, mean}), now);
        break;
    case Status::Cancelled:
    case Status::Superseded: // ended from here: says nothing
        break;
    }
}

} // namespace marblewood::policy
