#include "policy/outlier_detector.hpp"

namespace marblewood::policy {

HealthChange OutlierDetector::record_outcome(NodeHealth &node, Status status, JitterSource &jitter,
                                             Micros now) const {
    HealthChange change = HealthChange::None;
    switch (status) {
    case Status::Ok:
        node.consecutive_failures = 0;
        node.consecutive_failed_connects = 0;
        node.last_success = now;
        if (node.ejected)
            change = HealthChange::Recovered;
        node.ejected = false;
        return change;
    case Status::ConnectFailed:
        node.last_failed_connect = now;
        if (++node.consecutive_failed_connects >= kMaxFailedConnects)
            change = eject(node, HealthChange::EjectedFailedConnects, jitter, now);
        break;
    case Status::Error:
    case Status::Timeout:
    case Status::Reset:
        if (++node.consecutive_failures >= kMaxFailures)
            change = eject(node, HealthChange::EjectedFailures, jitter, now);
        break;
    case Status::Rejected:
    case Status::Cancelled:
    case Status::Superseded:
        break;
    }
    if (node.ejected)
        node.next_probe_request = std::max(node.next_probe_request, now + kMinProbeInterval);
    return change;
}

HealthChange OutlierDetector::check_silence(NodeHealth &node, Micros oldest_sent, JitterSource &jitter,
                                            Micros now) const {
    if (now - std::max(node.last_success, oldest_sent) <= kMaxSilence)
        return HealthChange::None;
    return eject(node, HealthChange::EjectedSilent, jitter, now);
}

HealthChange OutlierDetector::eject(NodeHealth &node, HealthChange reason, JitterSource &jitter,
                                    Micros now) const {
    if (node.ejected)
        return HealthChange::None;
    node.ejected = true;
    node.next_probe_request = now + jittered_interval(jitter);
    return reason;
}

} // namespace marblewood::policy
