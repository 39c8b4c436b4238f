/// \file
/// Several broker processes that grant parts of the nodes' slow-start budgets to each other over UDP.
#include "helper.hpp"

#include <deque>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kBrokers = 12;
constexpr int kBrokersWithClients = 3;
constexpr int kNodes = 4;
constexpr int kPausedBroker = kBrokers - 1;
constexpr int kKilledBroker = kBrokers - 2;

// The nodes' slow start as configured in broker_settings() and kSettings.
constexpr double kBudget = 20; // units in a window
constexpr double kInitialFraction = 0.18;
constexpr double kSlowStartSeconds = 17;
constexpr double kWindowSeconds = 3;
constexpr double kReadUnits = 2;

constexpr auto kBrokerStartupDelay = 4500ms; // a new broker sends nothing to a warming-up node until then
constexpr auto kTimeLimit = 14s;
const std::string kObjectKey = "7f3a9c21e0b4d655";

void replace_in(std::string &text, const std::string &from, const std::string &to) {
    assert(text.find(from) != std::string::npos);
    text.replace(text.find(from), from.size(), to);
}

std::string broker_settings(int position, const std::vector<int> &peer_ports) {
    std::string text = kSettings;
    replace_in(text, R"("instances":1)", fmt::format(R"("instances":{})", kBrokers));
    replace_in(text, R"("position":0)", fmt::format(R"("position":{})", position));
    replace_in(text, R"("cold_bears":76.0)", fmt::format(R"("cold_bears":{})", kBudget));
    text += fmt::format(R"(,"peer_listen":"127.0.0.1:{}","peers":[)",
                        peer_ports[static_cast<std::size_t>(position)]);
    for (const int port : peer_ports)
        text += fmt::format(R"({}"127.0.0.1:{}")", port == peer_ports[0] ? "" : ",", port);
    return text + "]";
}

/// The member list with the current time as the start of all nodes.
std::string with_nodes_started_now(std::string members) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string never_started = "\"up_since_ms\":0}";
    for (std::size_t at; (at = members.find(never_started)) != std::string::npos;)
        members.replace(at, never_started.size(), fmt::format("\"up_since_ms\":{}}}", now.count()));
    return members;
}

/// Nodes that serve every read and record when they did.
class Nodes {
public:
    Nodes() {
        for (std::size_t index = 0; index < kNodes; ++index)
            servers_.push_back(std::make_unique<RespNode>([this, index](const auto &words, int) {
                constexpr std::size_t kWordsOfAHandshake = 3;
                if (words.size() > kWordsOfAHandshake) {
                    const std::lock_guard lock(mutex_);
                    reads_[index].push_back(Clock::now());
                }
                return RespNode::served("v");
            }));
    }

    std::string members() const {
        std::string text;
        for (int index = 0; index < kNodes; ++index)
            text +=
                (index ? "," : "") + member(fmt::format("s-{}", index),
                                            servers_[static_cast<std::size_t>(index)]->server.port, index);
        return text;
    }

    /// Checks that the reads since `since` stay within the budget in each window, for nodes that started at
    /// `start`.
    void check_windows(Clock::time_point start, Clock::time_point since) {
        const std::lock_guard lock(mutex_);
        for (std::deque<Clock::time_point> &reads : reads_) {
            while (!reads.empty() && reads.front() < since)
                reads.pop_front();
            for (std::size_t first = 0; first < reads.size(); ++first) {
                const double age = std::chrono::duration<double>(reads[first] - start).count();
                assert(window_units(reads, first) <=
                       kBudget * (1 + (1 / kInitialFraction - 1) * age / kSlowStartSeconds));
            }
        }
    }

private:
    static double window_units(const std::deque<Clock::time_point> &reads, std::size_t first) {
        double units = 0;
        for (std::size_t index = first; index < reads.size(); ++index)
            if (std::chrono::duration<double>(reads[index] - reads[first]).count() < kWindowSeconds)
                units += kReadUnits;
        return units;
    }

    std::mutex mutex_;
    std::array<std::deque<Clock::time_point>, kNodes> reads_;
    std::vector<std::unique_ptr<RespNode>> servers_;
};

class Brokers {
public:
    explicit Brokers(const Discovery &discovery) {
        std::vector<int> ports;
        for (int index = 0; index < kBrokers; ++index)
            ports.push_back(free_port());
        for (int index = 0; index < kBrokers; ++index)
            programs_.push_back(std::make_unique<Program>(discovery, "", broker_settings(index, ports),
                                                          std::filesystem::path(), 0,
                                                          fmt::format("n{}", index)));
    }

    Program &operator[](int index) { return *programs_[static_cast<std::size_t>(index)]; }

    /// The sum of a metric over the first `count` brokers.
    long sum(const char *figure, int count) {
        long all = 0;
        for (int index = 0; index < count; ++index)
            all += (*this)[index].figures().at(figure);
        return all;
    }

private:
    std::vector<std::unique_ptr<Program>> programs_;
};

/// Reads from the nodes in turn through the first brokers, until `enough` grants were used or kTimeLimit is
/// over. Returns the number of reads that were served.
int read_until_grants_are_used(Brokers &brokers, long enough, Clock::time_point begin) {
    std::atomic<int> served = 0;
    std::atomic<bool> done = false;
    const auto time_left = [&] { return Clock::now() - begin < kTimeLimit; };
    std::vector<std::thread> clients;
    for (int broker = 0; broker < kBrokersWithClients; ++broker)
        clients.emplace_back([&, broker] {
            Socket client = brokers[broker].client();
            for (int shard = broker; !done && time_left(); ++shard) {
                client.send(get(kObjectKey, shard % kNodes));
                const auto answer = client.value();
                assert(answer); // every request must be answered
                if (answer->text == "v")
                    ++served;
            }
        });
    while (time_left() && !done) {
        std::this_thread::sleep_for(500ms);
        done = brokers.sum("cold_used", kBrokersWithClients) >= enough;
    }
    for (std::thread &client : clients)
        client.join();
    return served;
}

// All nodes restart, and every broker is notified. Three brokers have requests for the nodes and need grants
// of the nodes' allocators, while one broker is paused and another is dead. The load on a node must stay
// within its budget in any window. Which brokers are allocators depends on the nodes' names and the clock.
// With four nodes, some have allocators other than the requesting brokers; when grants are given differs from
// run to run.
void allocators_grant_the_budget_of_starting_nodes() {
    Nodes nodes;
    Discovery discovery(nodes.members());
    Brokers brokers(discovery);
    std::this_thread::sleep_for(kBrokerStartupDelay);
    const auto start = Clock::now();
    discovery.change(with_nodes_started_now(nodes.members()));
    discovery.await_taken(kBrokers); // each has received the change and polls again
    brokers[kPausedBroker].signal(SIGSTOP);
    brokers[kKilledBroker].signal(SIGKILL);

    const auto begin = Clock::now();
    const int served = read_until_grants_are_used(brokers, 3, begin);
    brokers[kPausedBroker].signal(SIGCONT);

    constexpr int kUndisturbed = kBrokers - 2;
    const long used = brokers.sum("cold_used", kUndisturbed);
    const long granted = brokers.sum("cold_given", kUndisturbed);
    const long accepted = brokers.sum("cold_taken", kUndisturbed);
    fmt::print("served {}, grants given {}, accepted {}, used {}\n", served, granted, accepted, used);
    for (int index = 0; index < kUndisturbed; ++index)
        assert(brokers[index].figures().at("cold_strange") == 0);
    assert(used > 0 && granted > 0 && accepted > 0);
    nodes.check_windows(start, begin);
}

} // namespace

int main() {
    allocators_grant_the_budget_of_starting_nodes();
}
