#include "lab/world.hpp"

#include "lab/helpers.hpp"
#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstring>
#include <fmt/format.h>
#include <sstream>

namespace marblewood::lab {
namespace {

constexpr Micros kDeliveryTime = 50'000; // from a broker's decision to the arrival at the node

} // namespace

Testbed::Testbed(const Experiment &experiment, std::uint64_t seed, std::filesystem::path folder,
                 EnabledParts parts)
    : experiment_(experiment), settings_(config::read_settings(experiment.settings, 0)), seed_(seed),
      folder_(std::move(folder)), parts_(parts), network_faults_(random_stream(seed, 7)()) {
    std::filesystem::create_directories(folder_ / "state");
    for (const auto &file : std::filesystem::directory_iterator(folder_ / "state"))
        std::filesystem::remove(file);
    for (const auto &file : std::filesystem::directory_iterator(folder_)) // Each run writes new logs.
        if (file.path().extension() == ".log")
            std::filesystem::remove(file);
    create_topology();
    plan_requests();
    write_settings();
}
int Testbed::broker_for(const Volume &volume, std::uint64_t random_bits) const {
    const std::size_t all = volume.brokers.size();
    if (volume.busiest > 0 &&
        static_cast<double>(random_bits >> 40) < volume.busiest * static_cast<double>(1 << 24)) {
        const Micros turn = volume.shift > 0 ? (clock_.now() - start_) / volume.shift : 0;
        return volume.brokers[(static_cast<std::size_t>(volume.id) + static_cast<std::size_t>(turn)) % all];
    }
    return volume.brokers[random_bits % all];
}

void Testbed::publish_member_lists() {
    // Allows the drain grace of the settings plus the time a request takes to reach the node.
    const Micros grace = settings_.drain_grace + kDeliveryTime;
    std::vector<std::pair<EmulatedNode *, int>> drains;
    for (const auto &node : nodes_)
        if (node->draining())
            drains.emplace_back(node.get(), node->drains());
    discovery_->publish([this](std::size_t broker) { return member_list(broker); },
                        [grace, drains = std::move(drains)] {
                            for (const auto &[node, drain] : drains)
                                node->drain_delivered(drain, grace);
                        });
}

asio::awaitable<std::optional<std::pair<int, std::string>>>
Testbed::call_coordinator(std::string method, std::string path, std::string body) {
    tcp::socket socket(io_);
    const Micros until = clock_.now() + 1'500'000;
    const std::string text =
        fmt::format("{} /admin/{} HTTP/1.1\r\nHost: keeper\r\nContent-Length: {}\r\n\r\n{}", method, path,
                    body.size(), body);
    const auto error = co_await net::dial(socket, loopback(coordinator_control_), until, deadlines_);
    if (error)
        co_return std::nullopt;
    const auto response = co_await net::http::exchange(socket, text, until, deadlines_);
    if (!response)
        co_return std::nullopt;
    co_return std::pair(response->status, response->body);
}

// Waits until every broker answers and the cell coordinator reports all nodes of all cells as ready.
asio::awaitable<bool> Testbed::wait_until_ready() {
    for (int n = 0; n < 300; ++n) {
        co_await sleep_for(50'000);
        const auto list = co_await call_coordinator("GET", "cells", "");
        if (!list || list->second.find("not settled") != std::string::npos)
            continue;
        bool all = true;
        for (Broker &broker : brokers_) {
            const Reply got = co_await send_command(broker, "*1\r\n$4\r\nPING\r\n", clock_.now() + 500'000);
            all = all && got.text == "PONG";
        }
        const std::string wanted = fmt::format(" ready nodes {0}/{0}", experiment_.nodes);
        std::size_t cells = 0;
        for (std::size_t at = 0; (at = list->second.find(wanted, at)) != std::string::npos; ++at)
            ++cells;
        if (all && cells == map_.cells.size())
            co_return true;
    }
    co_return false;
}

// Adds the coordinator's move counters to the totals, because a restarted coordinator counts from 0.
asio::awaitable<void> Testbed::save_move_counts() {
    const auto stats = co_await call_coordinator("GET", "stats", "");
    if (!stats)
        co_return;
    const auto figure = [&](const char *name) {
        const std::size_t at = stats->second.find(name);
        return at == std::string::npos ? 0.0 : std::atof(stats->second.c_str() + at + std::strlen(name));
    };
    moves_completed_before_ += figure("moves_completed:");
    moves_undone_before_ += figure("moves_undone:");
}

asio::awaitable<void> Testbed::start_move(double at, std::uint64_t random_bits) {
    co_await sleep_for(start_ + micros(at) - clock_.now());
    bool begun = false;
    const Micros until = clock_.now() + 15'000'000; // The coordinator may be down for a while.
    while (!begun && clock_.now() < until) {
        const Volume &volume = volumes_[random_bits % volumes_.size()];
        const std::string to = fmt::format("c{}", (random_bits >> 32) % map_.cells.size());
        random_bits = random_bits * 6364136223846793005u + 1442695040888963407u;
        const auto reply = co_await call_coordinator("POST", "cells/move", volume.id_text + " " + to);
        begun = reply && reply->first == 200 && reply->second.find("begun") != std::string::npos;
        if (!reply || reply->second.starts_with("not yet"))
            co_await sleep_for(100'000);
        if (!begun)
            ++moves_refused_;
    }
    if (!begun)
        ++moves_not_begun_;
    --pending_actions_;
}

asio::awaitable<void> Testbed::run_experiment() {
    discovery_->start([this](std::size_t broker) { return member_list(broker); });
    if (datagrams_)
        datagrams_->start();
    for (auto &relay : streams_)
        relay->start();
    for (auto &node : nodes_)
        node->start();
    coordinator_.start();
    for (Broker &broker : brokers_)
        broker.process.start();
    std::vector<int> cell_of, plan_of;
    for (const Volume &v : volumes_)
        cell_of.push_back(v.cell), plan_of.push_back(v.plan);
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, clock_.now());
    if (!co_await wait_until_ready())
        throw std::runtime_error("brokers and cell coordinator did not become ready; see the logs in " +
                                 folder_.string());
    start_ = clock_.now() + 50'000;
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, start_);
    if (datagrams_)
        datagrams_->set_load_start(start_);
    if (parts_.surges)
        for (const Surge &surge : experiment_.surges)
            oracle_->set_surge_end(micros(surge.at + surge.length));
    if (parts_.faults)
        for (const Fault &f : experiment_.faults)
            ++pending_actions_, asio::co_spawn(io_, inject_fault(f), rethrow);
    if (parts_.moves) {
        std::mt19937_64 random = random_stream(seed_, 5);
        for (int n = 0; n < experiment_.moves; ++n) {
            const double part = (n + 0.5) / experiment_.moves;
            const double at = experiment_.moves_from + part * (experiment_.moves_to - experiment_.moves_from);
            ++pending_actions_, asio::co_spawn(io_, start_move(at, random()), rethrow);
        }
    }
    Micros late = 0;
    for (const PlannedRequest &planned : planned_requests_) {
        const Micros wait = start_ + planned.at - clock_.now();
        if (wait > 0)
            co_await sleep_for(wait);
        late = std::max(late, clock_.now() - start_ - planned.at);
        ++open_requests_;
        asio::co_spawn(io_, run_request(planned), rethrow);
    }
    while (open_requests_ > 0 || pending_actions_ > 0)
        co_await sleep_for(20'000);
    metrics_ = oracle_->metrics();
    metrics_["lab.late_ms"] = static_cast<double>(late) / 1000;
    metrics_["moves.refused"] = moves_refused_;
    metrics_["moves.not_begun"] = moves_not_begun_;
    double cold = 0;
    for (const auto &node : nodes_)
        cold = std::max(cold, node->slow_start_worst_ratio());
    metrics_["cold.worst"] = cold;
    // cold.used: the units that cold nodes received, as a fraction of what the settings permit all brokers
    // together to send to them during slow start.
    double received = 0, permitted = 0;
    const Micros until = start_ + micros(experiment_.seconds);
    for (const auto &node : nodes_) {
        const Micros from = node->cold_since();
        if (from == 0 || from >= until || settings_.slow_start_window <= 0 ||
            settings_.slow_start_duration <= 0)
            continue;
        const double length = static_cast<double>(std::min(settings_.slow_start_duration, until - from));
        const double grown = (1 / settings_.slow_start_initial_fraction - 1) * length /
                             static_cast<double>(settings_.slow_start_duration);
        received += node->slow_start_units();
        permitted += settings_.slow_start_units * (1 + grown / 2) * length /
                     static_cast<double>(settings_.slow_start_window);
    }
    if (permitted > 0)
        metrics_["cold.used"] = received / permitted;
    if (datagrams_) {
        metrics_["datagrams.sent"] = static_cast<double>(datagrams_->sent());
        metrics_["datagrams.bytes"] = static_cast<double>(datagrams_->bytes());
        metrics_["datagrams.lost"] = static_cast<double>(datagrams_->lost());
    }
    double late_sends = 0;
    for (const auto &node : nodes_)
        late_sends += node->sent_after_drain();
    metrics_["drain.late"] = late_sends;
    // Reads the coordinator's counters until no move is in progress; a move whose broker was killed may take
    // a while.
    for (int n = 0; n < 200; ++n) {
        co_await sleep_for(100'000);
        const auto stats = co_await call_coordinator("GET", "stats", "");
        if (!stats)
            continue;
        std::map<std::string, double> counters;
        std::istringstream lines(stats->second);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos && line.starts_with("keeper."))
                counters[line.substr(7, colon - 7)] = std::atof(line.c_str() + colon + 1);
        }
        metrics_["moves.left"] = counters["moving"];
        metrics_["moves.completed"] = counters["moves_completed"] + moves_completed_before_;
        metrics_["moves.undone"] = counters["moves_undone"] + moves_undone_before_;
        if (counters["moving"] == 0)
            break;
    }
    io_.stop();
}

std::map<std::string, double> Testbed::run() {
    asio::co_spawn(io_, run_experiment(), rethrow);
    io_.run();
    end();
    return metrics_;
}

void Testbed::end() {
    for (Broker &broker : brokers_)
        broker.process.signal(SIGCONT), broker.process.kill();
    coordinator_.signal(SIGCONT), coordinator_.kill();
}

} // namespace marblewood::lab
