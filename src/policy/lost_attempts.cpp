#include "policy/lost_attempts.hpp"

namespace marblewood::policy {
namespace {

constexpr int kMinOvertaken = 5;                 // by so many later attempts
constexpr double kMinAge = 0.5;                  // latency objectives
constexpr int kReported = -1000 * kMinOvertaken; // is not reached again in a request's time

} // namespace

std::vector<AttemptId> find_lost_attempts(const Node &node, Micros answered_sent_at, RequestTable &requests,
                                          Micros now) {
    std::vector<AttemptId> lost;
    for (const AttemptId &id : node.in_flight) {
        Request &request = requests.at(id.request);
        Attempt &attempt = request.attempts[id.attempt];
        if (attempt.sent_at >= answered_sent_at || ++attempt.overtaken < kMinOvertaken)
            continue;
        if (request.attempt_age(id.attempt, now) < kMinAge)
            continue;
        if (request.request_class->idempotency == Idempotency::NotIdempotent)
            continue;
        attempt.overtaken = kReported;
        lost.push_back(id);
    }
    return lost;
}

} // namespace marblewood::policy
