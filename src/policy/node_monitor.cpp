#include "policy/node_monitor.hpp"

#include "policy/admission.hpp"
#include "policy/log_events.hpp"
#include "policy/lost_attempts.hpp"

#include <algorithm>

namespace marblewood::policy {
namespace {

constexpr Micros kOverdueCheckInterval = 10'000; // while an attempt is overdue

} // namespace

NodeMonitor::NodeMonitor(const Settings &settings, RequestTable &requests, const SlowStart &slow_start,
                         JitterSource &jitter, ActionSink &actions)
    : requests_(requests), slow_start_(slow_start), jitter_(jitter), actions_(actions),
      outliers_(settings.hosts), shortest_objective_(shortest_latency_objective(settings)),
      may_cancel_(settings.cancel) {}

void NodeMonitor::record_send(Node &node, AttemptId attempt, Micros now) {
    if (node.health.ejected)
        outliers_.record_probe_request(node.health, jitter_, now);
    node.in_flight.insert(attempt);
}

void NodeMonitor::record_outcome(Node &node, const Request &request, const AttemptEnded &outcome,
                                 Micros now) {
    const Micros sent_at = request.attempts[outcome.attempt].sent_at;
    const auto objective = static_cast<double>(request.request_class->latency_objective);
    const bool served = outcome.status == Status::Ok;
    if (node.reports.accept(outcome.report, now)) {
        if (served)
            load_.learn(*outcome.report, outcome.latency, now);
        record_expected_latency(node, *outcome.report, now);
    }
    node.limit.record_outcome(outcome.status, static_cast<double>(outcome.latency) / objective, now);
    if (outcome.status != Status::Superseded)
        node.update_limit(requests_, now);
    node.in_flight.erase({request.id, outcome.attempt});
    // A time-out before the latency objective follows from a short deadline and does not show a failing node.
    const bool early_timeout =
        outcome.status == Status::Timeout && now - sent_at < request.request_class->latency_objective;
    if (!early_timeout)
        update_health(node, outcome.status, now);
    if (served && may_cancel_)
        cancel_lost_attempts(node, sent_at, now);
}

bool NodeMonitor::record_health_check(Node &node, const std::optional<LoadReport> &report, Micros now) {
    if (!node.reports.accept(report, now))
        return false;
    record_expected_latency(node, *report, now);
    return true;
}

void NodeMonitor::record_expected_latency(Node &node, const LoadReport &report, Micros now) {
    const double latency = load_.expected_latency(report);
    node.limit.add_expected(latency / static_cast<double>(shortest_objective_), now);
}

void NodeMonitor::update_health(Node &node, Status status, Micros now) {
    const Micros last_failed_connect = node.health.last_failed_connect;
    const bool restarted = status == Status::Ok && OutlierDetector::was_unreachable(node.health) &&
                           SlowStart::started_before(node.slow_start, last_failed_connect);
    if (restarted && slow_start_.begin(node.slow_start, now, false, last_failed_connect, now))
        actions_.add(log_slow_start_began(node.id));
    log_change(node, outliers_.record_outcome(node.health, status, jitter_, now));
}

void NodeMonitor::log_change(const Node &node, HealthChange change) {
    if (change != HealthChange::None)
        actions_.add(log_health_change(node.id, change));
}

void NodeMonitor::cancel_lost_attempts(const Node &node, Micros answered_sent_at, Micros now) {
    for (const AttemptId &id : find_lost_attempts(node, answered_sent_at, requests_, now))
        actions_.add(Cancel{id.request, id.attempt});
}

std::optional<Micros> NodeMonitor::check_in_flight(Node &node, Micros now) {
    if (node.in_flight.empty())
        return std::nullopt;
    Micros oldest_sent = INT64_MAX;
    Micros first_overdue = INT64_MAX;
    for (const AttemptId &id : node.in_flight) {
        const Request &request = requests_.at(id.request);
        const Micros sent_at = request.attempts[id.attempt].sent_at;
        oldest_sent = std::min(oldest_sent, sent_at);
        first_overdue = std::min(first_overdue, sent_at + request.request_class->latency_objective);
    }
    if (first_overdue < now) {
        node.update_limit(requests_, now);
        log_change(node, outliers_.check_silence(node.health, oldest_sent, jitter_, now));
    }
    return std::max(first_overdue + 1, now + kOverdueCheckInterval);
}

} // namespace marblewood::policy
