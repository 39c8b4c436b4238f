// Several brokers as processes, which give one another what cold nodes bear over UDP.
#include "helper.hpp"

#include <deque>

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kBrokers = 12, kBusy = 3, kNodes = 4;
constexpr double kBears = 20, kFrom = 0.18, kCold = 17, kWindow = 3; // units, part, s, s: see settings()
const std::string kPiece = "7f3a9c21e0b4d655";

std::string settings(int position, const std::vector<int> &ports) {
    std::string text = kSettings;
    const auto set = [&](const std::string &from, const std::string &to) {
        assert(text.find(from) != std::string::npos);
        text.replace(text.find(from), from.size(), to);
    };
    set(R"("instances":1)", fmt::format(R"("instances":{})", kBrokers));
    set(R"("position":0)", fmt::format(R"("position":{})", position));
    set(R"("cold_bears":76.0)", fmt::format(R"("cold_bears":{})", kBears));
    text +=
        fmt::format(R"(,"peer_listen":"127.0.0.1:{}","peers":[)", ports[static_cast<std::size_t>(position)]);
    for (const int port : ports)
        text += fmt::format(R"({}"127.0.0.1:{}")", port == ports[0] ? "" : ",", port);
    return text + "]";
}

// The nodes start anew, as every broker is told; three brokers have work for them. They get what the nodes'
// allocators give out, also when one broker is paused and another dies, and what comes to a node in any
// window stays under what it bears. Who is an allocator follows from names and the clock: of four nodes some
// are others'.
void allocators_grant_what_cold_nodes_bear() {
    std::mutex mutex;
    std::array<std::deque<std::pair<Clock::time_point, double>>, kNodes> sent;
    std::vector<std::unique_ptr<RespNode>> nodes;
    std::string old;
    for (std::size_t n = 0; n < kNodes; ++n) {
        nodes.push_back(std::make_unique<RespNode>([&, n](const auto &words, int) {
            if (words.size() > 3) {
                const std::lock_guard lock(mutex);
                sent[n].emplace_back(Clock::now(), 2);
            }
            return RespNode::served("v");
        }));
        old +=
            (n ? "," : "") + member(fmt::format("s-{}", n), nodes.back()->server.port, static_cast<int>(n));
    }
    Discovery discovery(old);
    std::vector<int> ports;
    for (int n = 0; n < kBrokers; ++n)
        ports.push_back(free_port());
    std::vector<std::unique_ptr<Program>> brokers;
    for (int n = 0; n < kBrokers; ++n)
        brokers.push_back(std::make_unique<Program>(discovery, "", settings(n, ports),
                                                    std::filesystem::path(), 0, fmt::format("n{}", n)));
    std::this_thread::sleep_for(4500ms); // a young process sends nothing to a cold node
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto start = Clock::now();
    std::string fresh = old;
    for (std::size_t at; (at = fresh.find("\"up_since_ms\":0}")) != std::string::npos;)
        fresh.replace(at, 16, fmt::format("\"up_since_ms\":{}}}", since.count()));
    discovery.change(fresh);
    discovery.await_taken(kBrokers); // each has it and watches on
    brokers[kBrokers - 1]->signal(SIGSTOP);
    brokers[kBrokers - 2]->signal(SIGKILL);
    const auto counted = Clock::now();
    std::atomic<int> served = 0;
    std::atomic<bool> enough =
        false; // allocators change by the clock: which give, and when, differs from run to run
    std::vector<std::thread> clients;
    for (int n = 0; n < kBusy; ++n)
        clients.emplace_back([&, n] {
            Socket client = brokers[static_cast<std::size_t>(n)]->client();
            for (int shard = n; !enough && Clock::now() - counted < 14s; ++shard) {
                client.send(get(kPiece, shard % kNodes));
                const auto answer = client.value();
                assert(answer); // each has one
                if (answer->text == "v")
                    ++served;
            }
        });
    while (Clock::now() - counted < 14s && !enough) {
        std::this_thread::sleep_for(500ms);
        long used = 0;
        for (int n = 0; n < kBusy; ++n)
            used += brokers[static_cast<std::size_t>(n)]->figures().at("cold_used");
        enough = used >= 3;
    }
    for (auto &client : clients)
        client.join();
    brokers[kBrokers - 1]->signal(SIGCONT);
    long used = 0, given = 0, taken = 0;
    for (int n = 0; n < kBrokers - 2; ++n) {
        const auto figures = brokers[static_cast<std::size_t>(n)]->figures();
        used += figures.at("cold_used"), given += figures.at("cold_given"), taken += figures.at("cold_taken");
        assert(figures.at("cold_strange") == 0);
    }
    fmt::print("served {}, grants given {}, taken {}, used {}\n", served.load(), given, taken, used);
    assert(used > 0 && given > 0 && taken > 0);
    const std::lock_guard lock(mutex);
    for (auto &to : sent) {
        while (!to.empty() && to.front().first < counted)
            to.pop_front();
        for (std::size_t first = 0; first < to.size(); ++first) {
            double sum = 0;
            for (std::size_t n = first; n < to.size(); ++n)
                if (std::chrono::duration<double>(to[n].first - to[first].first).count() < kWindow)
                    sum += to[n].second;
            const double age = std::chrono::duration<double>(to[first].first - start).count();
            assert(sum <= kBears * (1 + (1 / kFrom - 1) * age / kCold));
        }
    }
}

} // namespace

int main() {
    allocators_grant_what_cold_nodes_bear();
}
