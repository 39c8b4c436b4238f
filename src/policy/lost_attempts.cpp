#include "policy/lost_attempts.hpp"

namespace marblewood::policy {
namespace {

constexpr int kMinOvertaken = 5; // attempts sent later that the node has answered
constexpr double kMinAge = 0.5;  // in latency objectives
// The counter of a reported attempt is set so low that it does not reach kMinOvertaken again before the
// request ends.
constexpr int kAlreadyReported = -1000 * kMinOvertaken;

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
        attempt.overtaken = kAlreadyReported;
        lost.push_back(id);
    }
    return lost;
}

} // namespace marblewood::policy
