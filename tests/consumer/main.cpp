// Uses the installed package as another project would: passes settings, an endpoint list and a request, and
// expects one Send action.
#include <marblewood/scheduler.hpp>

#include <algorithm>
#include <cstdio>

using namespace marblewood;

int main() {
    Settings settings;
    settings.classes.push_back({500'000, 2'500'000});
    settings.plans.push_back({10, 5});
    Scheduler scheduler(settings);
    std::vector<Action> actions;
    scheduler.handle(1, ListUpdate{ListUpdate::Kind::Full, {{NodeId{1}, ShardId{4}, ZoneId{0}}}}, actions);
    RequestArrived request;
    request.id = RequestId{7};
    request.shard = ShardId{4};
    request.time_left = 2'500'000;
    scheduler.handle(2, request, actions);
    const auto sends = std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        const auto *send = std::get_if<Send>(&action);
        return send && send->id == RequestId{7} && send->node == NodeId{1};
    });
    std::printf("consumer: %d send\n", static_cast<int>(sends));
    return sends == 1 ? 0 : 1;
}
