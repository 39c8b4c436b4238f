#include "lab/scale/client_load.hpp"

#include "lab/helpers.hpp"
#include "lab/lists.hpp"
#include "lab/process.hpp"
#include "lab/scale/list_source.hpp"
#include "lab/scale/process_usage.hpp"
#include "net/resp/parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <fstream>

namespace marblewood::lab::scale {
namespace {

constexpr Micros kUpWithin = 10'000'000; // us for the broker to come up
constexpr Micros kSettle = 1'500'000;    // us after which it has taken its list in
constexpr Micros kLook = 20'000;
constexpr int kSockets = 18'000, kMemoryMb = 1'024;
constexpr int kPipelined = 100; // requests of a client at a time
const std::string kPing = "*1\r\n$4\r\nPING\r\n";

class ClientRun {
public:
    ClientRun(ClientLoad kind, int count, int nodes, const Json::Value &settings, std::uint64_t seed,
              const std::filesystem::path &folder)
        : kind_(kind), count_(count), plan_(settings), seed_(seed),
          source_(io_, deadlines_, size_of(nodes), seed), port_(free_port()) {
        std::filesystem::create_directories(folder);
        Json::Value root;
        root["name"] = "n0";
        root["listen"] = fmt::format("127.0.0.1:{}", port_);
        root["discovery"] = fmt::format("127.0.0.1:{}", source_.port());
        root["limits"]["sockets"] = kSockets;
        root["limits"]["memory_mb"] = kMemoryMb;
        root["settings"] = settings;
        root["known"] = config::parse(source_.whole());
        const std::string file = folder / "n0.json";
        std::ofstream(file) << root.toStyledString();
        broker_.command = {program_path(), "serve", "--config", file};
        broker_.log = folder / "n0.log";
    }

    Figures run() {
        asio::co_spawn(io_, main(), [this](const std::exception_ptr &error) {
            failure_ = error;
            io_.stop();
        });
        io_.run();
        broker_.kill();
        rethrow(failure_);
        return figures_;
    }

private:
    static FleetSize size_of(int nodes) {
        FleetSize size;
        size.brokers = 1;
        size.nodes = nodes;
        return size;
    }

    asio::awaitable<void> main() {
        broker_.start();
        const Micros until = clock_.now() + kUpWithin;
        while (!co_await connect()) {
            if (clock_.now() > until)
                throw std::runtime_error("the broker does not come up");
            co_await sleep_for(io_, kLook);
        }
        sockets_.clear();
        co_await sleep_for(io_, kSettle);
        const ProcessUsage before = usage_of(broker_.pid);
        if (kind_ == ClientLoad::Connections)
            co_await hold_connections();
        else
            co_await ask_for_volumes();
        const ProcessUsage after = usage_of(broker_.pid);
        figures_["broker.memory_kb"] = static_cast<double>(after.memory_kb - before.memory_kb);
        figures_["broker.cpu_ms"] = (after.cpu_s - before.cpu_s) * 1000;
        sockets_.clear(); // this stays, and the next run needs the descriptors
    }

    asio::awaitable<bool> connect() {
        sockets_.emplace_back(io_);
        co_return !co_await net::dial(sockets_.back(), loopback(port_), clock_.now() + kUpWithin, deadlines_);
    }

    asio::awaitable<void> hold_connections() {
        for (int n = 0; n < count_; ++n) {
            if (!co_await connect())
                throw std::runtime_error("a client's connection is refused");
            co_await asio::async_write(sockets_.back(), asio::buffer(kPing), asio::use_awaitable);
        }
        for (auto &socket : sockets_) {
            std::string answer;
            if (co_await net::read_more(socket, answer))
                throw std::runtime_error("a client was closed");
        }
    }

    std::string request(std::uint64_t number) const {
        const std::string plan = plan_["policies"][0]["name"].asString();
        const std::string cls = plan_["classes"][0]["name"].asString();
        return net::resp::command({"OBJ.GET", fmt::format("{:016x}", number), fmt::format("{:016x}", number),
                                   fmt::format("c={},t={},d=100,volume={:016x},units=1,shard={},hosts=1", cls,
                                               plan, number + 1, 0)});
    }

    // So many at a time, on one connection.
    asio::awaitable<void> ask_for_volumes() {
        if (!co_await connect())
            throw std::runtime_error("a client's connection is refused");
        net::resp::Reader reader;
        std::uint64_t number = seed_ * 1'000'000; // of the next volume
        std::string in;
        for (int asked = 0; asked < count_;) {
            std::string text;
            const int more = std::min(kPipelined, count_ - asked);
            for (int n = 0; n < more; ++n)
                text += request(number++);
            co_await asio::async_write(sockets_.back(), asio::buffer(text), asio::use_awaitable);
            for (int answered = 0; answered < more;) {
                std::string_view bytes = in;
                const auto value = reader.take(bytes);
                in.erase(0, in.size() - bytes.size());
                if (value)
                    ++answered;
                else if (co_await net::read_more(sockets_.back(), in))
                    throw std::runtime_error("a client was closed");
            }
            asked += more;
        }
    }

    const ClientLoad kind_;
    const int count_;
    const Json::Value plan_;
    const std::uint64_t seed_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    ListSource source_;
    const int port_;
    Process broker_;
    std::vector<asio::ip::tcp::socket> sockets_;
    Figures figures_;
    std::exception_ptr failure_;
};

} // namespace

Figures load_clients(ClientLoad kind, int count, int nodes, const Json::Value &settings, std::uint64_t seed,
                     const std::filesystem::path &folder) {
    // Its loop holds coroutines that refer to it, so it is never destroyed.
    auto *const run = new ClientRun(kind, count, nodes, settings, seed, folder);
    return run->run();
}

} // namespace marblewood::lab::scale
