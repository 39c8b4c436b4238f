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

constexpr Micros kOnItsWay = 50'000; // us from a broker's decision to its node

} // namespace

World::World(const Experiment &experiment, std::uint64_t seed, std::filesystem::path folder, Parts parts)
    : experiment_(experiment), settings_(config::read_settings(experiment.settings, 0)), seed_(seed),
      folder_(std::move(folder)), parts_(parts), network_faults_(stream(seed, 7)()) {
    std::filesystem::create_directories(folder_ / "state");
    for (const auto &file : std::filesystem::directory_iterator(folder_ / "state"))
        std::filesystem::remove(file);
    for (const auto &file : std::filesystem::directory_iterator(folder_)) // logs are of one run
        if (file.path().extension() == ".log")
            std::filesystem::remove(file);
    lay_out();
    draw();
    write_settings();
}
int World::broker_for(const Volume &volume, std::uint64_t luck) const {
    const std::size_t all = volume.brokers.size();
    if (volume.busiest > 0 &&
        static_cast<double>(luck >> 40) < volume.busiest * static_cast<double>(1 << 24)) {
        const Micros turn = volume.shift > 0 ? (clock_.now() - start_) / volume.shift : 0;
        return volume.brokers[(static_cast<std::size_t>(volume.id) + static_cast<std::size_t>(turn)) % all];
    }
    return volume.brokers[luck % all];
}

void World::changed() {
    // Grace as the rule says, and what the way there takes.
    const Micros grace = settings_.drain_grace + kOnItsWay;
    std::vector<std::pair<EmulatedNode *, int>> drains;
    for (const auto &node : nodes_)
        if (node->draining())
            drains.emplace_back(node.get(), node->drains());
    lists_->change([this](std::size_t broker) { return listed(broker); },
                   [grace, drains = std::move(drains)] {
                       for (const auto &[node, drain] : drains)
                           node->told_of_drain(drain, grace);
                   });
}

asio::awaitable<std::optional<std::pair<int, std::string>>>
World::keeper(std::string method, std::string path, std::string body) {
    tcp::socket socket(io_);
    const Micros until = clock_.now() + 1'500'000;
    const std::string text =
        fmt::format("{} /admin/{} HTTP/1.1\r\nHost: keeper\r\nContent-Length: {}\r\n\r\n{}", method, path,
                    body.size(), body);
    const auto error = co_await net::dial(socket, loopback(keeper_control_), until, deadlines_);
    if (error)
        co_return std::nullopt;
    const auto response = co_await net::http::exchange(socket, text, until, deadlines_);
    if (!response)
        co_return std::nullopt;
    co_return std::pair(response->status, response->body);
}

// Until every broker serves and the keeper has heard them.
asio::awaitable<bool> World::ready() {
    for (int n = 0; n < 300; ++n) {
        co_await rest(50'000);
        const auto list = co_await keeper("GET", "cells", "");
        if (!list || list->second.find("not settled") != std::string::npos)
            continue;
        bool all = true;
        for (Broker &broker : brokers_) {
            const Got got = co_await ask(broker, "*1\r\n$4\r\nPING\r\n", clock_.now() + 500'000);
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

// One command on a connection of its own, kept for the next.
asio::awaitable<void> World::count_moves() {
    const auto stats = co_await keeper("GET", "stats", "");
    if (!stats)
        co_return;
    const auto figure = [&](const char *name) {
        const std::size_t at = stats->second.find(name);
        return at == std::string::npos ? 0.0 : std::atof(stats->second.c_str() + at + std::strlen(name));
    };
    completed_before_ += figure("moves_completed:");
    undone_before_ += figure("moves_undone:");
}

asio::awaitable<void> World::move(double at, std::uint64_t luck) {
    co_await rest(start_ + micros(at) - clock_.now());
    bool begun = false;
    const Micros until = clock_.now() + 15'000'000; // the keeper may be away for a while
    while (!begun && clock_.now() < until) {
        const Volume &volume = volumes_[luck % volumes_.size()];
        const std::string to = fmt::format("c{}", (luck >> 32) % map_.cells.size());
        luck = luck * 6364136223846793005u + 1442695040888963407u;
        const auto reply = co_await keeper("POST", "cells/move", volume.spelt + " " + to);
        begun = reply && reply->first == 200 && reply->second.find("begun") != std::string::npos;
        if (!reply || reply->second.starts_with("not yet"))
            co_await rest(100'000);
        if (!begun)
            ++moves_refused_;
    }
    if (!begun)
        ++moves_lost_;
    --busy_;
}

asio::awaitable<void> World::play() {
    lists_->start([this](std::size_t broker) { return listed(broker); });
    if (datagrams_)
        datagrams_->start();
    for (auto &way : streams_)
        way->start();
    for (auto &node : nodes_)
        node->start();
    keeper_.start();
    for (Broker &broker : brokers_)
        broker.process.start();
    std::vector<int> cell_of, plan_of;
    for (const Volume &v : volumes_)
        cell_of.push_back(v.cell), plan_of.push_back(v.plan);
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, clock_.now());
    if (!co_await ready())
        throw std::runtime_error("brokers and keeper are not ready: see the logs in " + folder_.string());
    start_ = clock_.now() + 50'000;
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, start_);
    if (datagrams_)
        datagrams_->begin(start_);
    if (parts_.surges)
        for (const Surge &surge : experiment_.surges)
            oracle_->surge_over(micros(surge.at + surge.length));
    if (parts_.faults)
        for (const Fault &f : experiment_.faults)
            ++busy_, asio::co_spawn(io_, fault(f), rethrow);
    if (parts_.moves) {
        std::mt19937_64 random = stream(seed_, 5);
        for (int n = 0; n < experiment_.moves; ++n) {
            const double part = (n + 0.5) / experiment_.moves;
            const double at = experiment_.moves_from + part * (experiment_.moves_to - experiment_.moves_from);
            ++busy_, asio::co_spawn(io_, move(at, random()), rethrow);
        }
    }
    Micros late = 0;
    for (const Drawn &drawn : drawn_) {
        const Micros wait = start_ + drawn.at - clock_.now();
        if (wait > 0)
            co_await rest(wait);
        late = std::max(late, clock_.now() - start_ - drawn.at);
        ++open_;
        asio::co_spawn(io_, request(drawn), rethrow);
    }
    while (open_ > 0 || busy_ > 0)
        co_await rest(20'000);
    metrics_ = oracle_->metrics();
    metrics_["lab.late_ms"] = static_cast<double>(late) / 1000;
    metrics_["moves.refused"] = moves_refused_;
    metrics_["moves.not_begun"] = moves_lost_;
    double cold = 0;
    for (const auto &node : nodes_)
        cold = std::max(cold, node->cold_worst());
    metrics_["cold.worst"] = cold;
    // Of what a cold node bears from all brokers together, as the settings say, the part that came there.
    double came = 0, bears = 0;
    const Micros until = start_ + micros(experiment_.seconds);
    for (const auto &node : nodes_) {
        const Micros from = node->cold_time();
        if (from == 0 || from >= until || settings_.slow_start_window <= 0 ||
            settings_.slow_start_duration <= 0)
            continue;
        const double length = static_cast<double>(std::min(settings_.slow_start_duration, until - from));
        const double grown = (1 / settings_.slow_start_initial_fraction - 1) * length /
                             static_cast<double>(settings_.slow_start_duration);
        came += node->slow_start_units();
        bears += settings_.slow_start_units * (1 + grown / 2) * length /
                 static_cast<double>(settings_.slow_start_window);
    }
    if (bears > 0)
        metrics_["cold.used"] = came / bears;
    if (datagrams_) {
        metrics_["datagrams.sent"] = static_cast<double>(datagrams_->sent());
        metrics_["datagrams.bytes"] = static_cast<double>(datagrams_->bytes());
        metrics_["datagrams.lost"] = static_cast<double>(datagrams_->lost());
    }
    double late_sends = 0;
    for (const auto &node : nodes_)
        late_sends += node->sent_after_drain();
    metrics_["drain.late"] = late_sends;
    // What the keeper says, once it has no move under way; a move whose broker was killed may take a while.
    for (int n = 0; n < 200; ++n) {
        co_await rest(100'000);
        const auto stats = co_await keeper("GET", "stats", "");
        if (!stats)
            continue;
        std::map<std::string, double> told;
        std::istringstream lines(stats->second);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos && line.starts_with("keeper."))
                told[line.substr(7, colon - 7)] = std::atof(line.c_str() + colon + 1);
        }
        metrics_["moves.left"] = told["moving"];
        metrics_["moves.completed"] = told["moves_completed"] + completed_before_;
        metrics_["moves.undone"] = told["moves_undone"] + undone_before_;
        if (told["moving"] == 0)
            break;
    }
    io_.stop();
}

std::map<std::string, double> World::run() {
    asio::co_spawn(io_, play(), rethrow);
    io_.run();
    end();
    return metrics_;
}

void World::end() {
    for (Broker &broker : brokers_)
        broker.process.signal(SIGCONT), broker.process.kill();
    keeper_.signal(SIGCONT), keeper_.kill();
}

} // namespace marblewood::lab
