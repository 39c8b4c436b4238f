/// \file
/// Clients read long values at a broker of another cell than that of their volume. The platform kills a
/// broker that takes more memory than its configuration allows.
#include "harness.hpp"

using namespace review;

namespace {

constexpr std::size_t kLongValueBytes = 4 << 20;
constexpr std::size_t kShortValueBytes = 1 << 10; // with TROUBLE=0
constexpr int kClients = 100;
constexpr int kWaitMs = 1500;
constexpr int kPatienceMs = 5000;
constexpr auto kBeforeReading = 3s;                       // a client that takes seconds to read
constexpr std::size_t kMemoryKb = std::size_t{128} << 10; // `limits.memory_mb` of the harness
const std::string kVolume = "00000003b4d60021";

std::size_t resident_kb(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            return kilobytes;
    }
    return 0;
}

/// The platform: kills a broker that goes over its memory.
class Platform {
public:
    Platform(Record &record, std::map<std::string, pid_t> brokers)
        : record_(record), brokers_(std::move(brokers)), thread_([this] { watch(); }) {}
    ~Platform() {
        stopping_ = true;
        thread_.join();
    }
    std::atomic<int> killed = 0;

private:
    void watch() {
        std::map<std::string, std::size_t> peaks;
        while (!stopping_) {
            for (auto &[name, process] : brokers_) {
                const std::size_t now = process > 0 ? resident_kb(process) : 0;
                peaks[name] = std::max(peaks[name], now);
                if (now <= kMemoryKb)
                    continue;
                ::kill(process, SIGKILL);
                process = -1;
                ++killed;
                record_.line("platform: broker {} HAS {} kB OF THE {} IT MAY HAVE, and is killed", name, now,
                             kMemoryKb);
            }
            std::this_thread::sleep_for(2ms);
        }
        for (const auto &[name, peak] : peaks)
            record_.line("platform: the most that broker {} had: {} kB", name, peak);
    }
    Record &record_;
    std::map<std::string, pid_t> brokers_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// All clients send one read each, at once, and begin to read some seconds later. Returns how many got their
/// value.
int read_at(Record &record, const std::string &broker, int port, std::size_t value_bytes) {
    record.line("{} clients: each sends a read of {} bytes to {}", kClients, value_bytes, broker);
    std::atomic<int> whole = 0;
    std::list<std::thread> clients;
    for (int number = 0; number < kClients; ++number)
        clients.emplace_back([&, number] {
            const int descriptor = dial(port);
            if (descriptor < 0)
                return record.line("client {}: its connection is refused", number);
            test::Socket client(descriptor);
            client.send(test::get(fmt::format("{:016x}", number), 0, kWaitMs));
            const std::size_t wanted = fmt::format("${}\r\n", value_bytes).size() + value_bytes + 2;
            std::string head;
            std::size_t received = 0;
            std::this_thread::sleep_for(kBeforeReading);
            pollfd readable{descriptor, POLLIN, 0};
            while (wanted > received && ::poll(&readable, 1, kPatienceMs) > 0 && client.more()) {
                head = received == 0 ? client.in.substr(0, 16) : head;
                received += client.in.size();
                client.in.clear();
                if (head.starts_with("-"))
                    break;
            }
            const bool has_value = received >= wanted && head.starts_with("$");
            whole += has_value ? 1 : 0;
            record.line("client {}: {}, {} bytes", number,
                        has_value               ? "served"
                        : head.starts_with("-") ? "refused or failed"
                                                : "no whole answer",
                        received);
        });
    for (std::thread &client : clients)
        client.join();
    return whole;
}

} // namespace

int main(int, char **arguments) {
    const std::string root = arguments[1];
    Record record(arguments[2]);
    const Folder folder;
    const std::size_t value_bytes = trouble() ? kLongValueBytes : kShortValueBytes;
    const auto serve = [&](const auto &, int) {
        return test::RespNode::served(std::string(value_bytes, 'v'));
    };
    test::RespNode node_a(serve);
    test::RespNode node_b(serve);
    const test::Discovery discovery(test::member("s-a", node_a.server.port, 0) + "," +
                                    test::member("s-b", node_b.server.port, 0));
    const int control = test::free_port();
    BrokerSetup broker_a;
    broker_a.name = "n-a";
    broker_a.discovery = discovery.port();
    broker_a.known = discovery.known();
    BrokerSetup broker_b = broker_a;
    broker_b.name = "n-b";
    broker_b.port = test::free_port();
    broker_b.control = test::free_port();
    const std::string operators = fmt::format(
        R"({{"cells":{{"keeper":{{"link":"127.0.0.1:{}","control":"127.0.0.1:{}"}},"state":"{}","spread":1,)"
        R"("evacuate_drained":false,"cells":[)"
        R"({{"name":"a","capacity":1000,"brokers":[{{"name":"n-a","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-a"]}},)"
        R"({{"name":"b","capacity":1000,"brokers":[{{"name":"n-b","clients":"127.0.0.1:{}","link":"127.0.0.1:{}"}}],"nodes":["s-b"]}}]}}}})",
        test::free_port(), control, folder.make("state"), broker_a.port, test::free_port(), broker_b.port,
        test::free_port());
    broker_a.operators = broker_b.operators = operators;
    Process keeper(root, "exec build/marblewood keeper --operator " + folder.write("cells.json", operators),
                   {}, folder.path("keeper.log"));
    Process process_a = start_broker(root, folder, broker_a);
    Process process_b = start_broker(root, folder, broker_b);
    const auto list = [&] { return test::admin_call(control, "GET", "cells/list").second; };
    for (int n = 0;; ++n, std::this_thread::sleep_for(10ms)) {
        const std::string text = list();
        const std::size_t first = text.find("ready nodes 1/1");
        if (first != std::string::npos && text.find("ready nodes 1/1", first + 1) != std::string::npos)
            break;
        if (n == 1000)
            cannot_run("the cells did not settle");
    }
    const bool home_is_a =
        test::admin_call(control, "GET", "cells/where/" + kVolume).second.find("cell a\n") !=
        std::string::npos;
    const BrokerSetup &home = home_is_a ? broker_a : broker_b;
    const BrokerSetup &other = home_is_a ? broker_b : broker_a;
    int served_at_home = 0;
    int served_elsewhere = 0;
    int killed = 0;
    {
        Platform platform(record, {{broker_a.name, process_a.pid()}, {broker_b.name, process_b.pid()}});
        served_at_home = read_at(record, home.name + ", of the volume's cell", home.port, value_bytes);
        if (platform.killed == 0)
            served_elsewhere = read_at(record, other.name + ", of another cell", other.port, value_bytes);
        std::this_thread::sleep_for(200ms);
        killed = platform.killed;
    }
    record.line("served: {} at the volume's cell, {} at the other; brokers killed for memory: {}",
                served_at_home, served_elsewhere, killed);
    if (killed > 0)
        return kBroken;
    return served_at_home > 0 && served_elsewhere > 0 ? kHeld : kNotRun;
}
