#include "lab/world.hpp"

#include "lab/helpers.hpp"

#include <csignal>
#include <fmt/format.h>

namespace marblewood::lab {

asio::awaitable<void> Testbed::inject_fault(Fault f) {
    co_await sleep_for(start_ + micros(f.at) - clock_.now());
    const auto broker = [&]() -> Broker & {
        return brokers_[static_cast<std::size_t>(f.cell * experiment_.brokers +
                                                 f.index % experiment_.brokers)];
    };
    const auto node = [&](int n) -> EmulatedNode & {
        return *nodes_[static_cast<std::size_t>(f.cell * experiment_.nodes + n % experiment_.nodes)];
    };
    fmt::print("  {:6.2f} s {} cell {} index {} for {} s\n", f.at, f.what, f.cell, f.index, f.length);
    if (f.what == "kill-keeper") {
        co_await save_move_counts(); // The counters are lost with the process.
        coordinator_.kill();
        co_await sleep_for(micros(f.length));
        coordinator_.start();
    } else if (f.what == "stop-keeper") {
        coordinator_.signal(SIGSTOP);
        co_await sleep_for(micros(f.length));
        coordinator_.signal(SIGCONT);
    } else if (f.what == "stop-broker") {
        broker().stopped_at = clock_.now(), broker().resumed_at = INT64_MAX;
        broker().process.signal(SIGSTOP);
        co_await sleep_for(micros(f.length));
        broker().process.signal(SIGCONT);
        broker().resumed_at = clock_.now();
    } else if (f.what == "restart-broker") {
        broker().killed_at = clock_.now();
        broker().process.kill();
        broker().idle_connections.clear();
        co_await sleep_for(micros(f.length));
        broker().process.start();
        broker().killed_at = clock_.now();
    } else if (f.what == "drain-cell") {
        for (int n = 0; n < experiment_.nodes; ++n)
            node(n).drain(true);
        publish_member_lists();
        co_await sleep_for(micros(f.length));
        for (int n = 0; n < experiment_.nodes; ++n) { // The nodes return to service cold.
            node(n).restart(0);
            node(n).drain(false);
        }
        publish_member_lists();
        for (int n = 0; n < 20; ++n) {
            const auto reply = co_await call_coordinator("POST", "cells/restore", fmt::format("c{}", f.cell));
            if (reply && reply->first == 200)
                break;
            co_await sleep_for(200'000);
        }
    } else if (f.what == "drain-node") {
        node(f.index).drain(true);
        publish_member_lists();
        co_await sleep_for(micros(f.length));
        node(f.index).restart(0);
        node(f.index).drain(false);
        publish_member_lists();
    } else if (f.what == "silence-lists") {
        discovery_->suspend_answers(micros(f.length));
    } else if (f.what == "restart-node") {
        node(f.index).restart(micros(f.length));
        publish_member_lists();
    } else if (f.what == "move-surging") {
        for (const PlannedRequest &d : planned_requests_) {
            if (!d.surge)
                continue;
            const std::string &volume = volumes_[static_cast<std::size_t>(d.volume)].id_text;
            const auto reply =
                co_await call_coordinator("POST", "cells/move", fmt::format("{} c{}", volume, f.cell));
            if (!reply || reply->first != 200)
                ++moves_not_begun_;
            break;
        }
    } else if (f.what == "pause-node") {
        node(f.index).pause(micros(f.length));
    } else if (f.what == "slow-node") {
        node(f.index).set_slowdown(f.times);
        co_await sleep_for(micros(f.length));
        node(f.index).set_slowdown(1);
    } else if (f.what == "restart-nodes") {
        for (int n = 0; n < experiment_.nodes; ++n)
            if (f.to.empty() || f.to.contains(n))
                node(n).restart(micros(f.length));
        publish_member_lists();
    } else if (f.what == "break-streams") {
        for (std::size_t n = 0; n < streams_.size(); ++n)
            if ((f.from.empty() || f.from.contains(static_cast<int>(n / nodes_.size()))) &&
                (f.to.empty() || f.to.contains(static_cast<int>(n % nodes_.size()))))
                streams_[n]->break_all();
    }
    --pending_actions_;
}

} // namespace marblewood::lab
