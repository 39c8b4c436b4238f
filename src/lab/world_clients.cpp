#include "lab/world.hpp"

#include "lab/helpers.hpp"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace marblewood::lab {
namespace {

constexpr Micros kPatience = 300'000;   // us beyond a client's time, after which no answer comes any more
constexpr Micros kKeepIdle = 1'500'000; // us for which a client keeps an idle connection
constexpr int kMostTries = 6;

} // namespace

asio::awaitable<World::Got> World::ask(Broker &broker, std::string command, Micros until) {
    const Micros begun = clock_.now();
    std::unique_ptr<tcp::socket> socket;
    bool reused = false;
    while (!broker.idle.empty() && !socket) {
        auto [used, kept] = std::move(broker.idle.back());
        broker.idle.pop_back();
        if (begun - used > kKeepIdle) {
            broker.idle.clear();
            break;
        }
        char byte;
        const auto got = ::recv(kept->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0)
            oracle_->surplus(); // an answer that nobody asked for
        if (got < 0)
            socket = std::move(kept), reused = true;
    }
    boost::system::error_code error;
    if (!socket) {
        socket = std::make_unique<tcp::socket>(io_);
        error =
            co_await net::dial(*socket, loopback(broker.port), std::min(until, begun + 500'000), deadlines_);
        if (error)
            co_return Got{Got::Kind::Refused, {}};
    }
    const auto limit = deadlines_.at(until, [raw = socket.get()] {
        boost::system::error_code ignored;
        raw->close(ignored);
    });
    co_await asio::async_write(*socket, asio::buffer(command),
                               asio::redirect_error(asio::use_awaitable, error));
    net::resp::Reader reader(net::resp::kMaxNodeBulkBytes);
    std::string in;
    std::optional<net::resp::Value> value;
    while (!error && !value) {
        error = co_await net::read_more(*socket, in);
        std::string_view bytes = in;
        try {
            value = reader.take(bytes);
        } catch (const net::resp::Malformed &) {
            co_return Got{Got::Kind::Broken, {}};
        }
        in.erase(0, in.size() - bytes.size());
    }
    if (!value) {
        if (clock_.now() >= until)
            co_return Got{Got::Kind::Silent, {}};
        co_return Got{reused ? Got::Kind::Crossed : Got::Kind::Broken, {}};
    }
    if (!in.empty())
        oracle_->surplus();
    broker.idle.emplace_back(clock_.now(), std::move(socket));
    if (value->kind == net::resp::Value::Kind::Error)
        co_return Got{value->text.starts_with("BUSY") ? Got::Kind::Busy : Got::Kind::Error, value->text};
    co_return Got{Got::Kind::Value, value->text};
}

// A client with one request: its tries, until it is served or has no time left.
asio::awaitable<void> World::request(const Drawn &drawn) {
    Asking asking = drawn;
    asking.at += start_;
    const Volume &volume = volumes_[static_cast<std::size_t>(drawn.volume)];
    const ClassSettings &cls = settings_.classes[drawn.write ? 1 : 0];
    const Micros leaves = asking.at + cls.deadline;
    std::uint64_t luck = drawn.luck;
    bool served = false;
    oracle_->asked(asking);
    for (int tries = 0; tries < kMostTries && !served; ++tries) {
        const Micros now = clock_.now(), left = leaves - now;
        if (left < 5'000)
            break;
        Broker &broker = brokers_[static_cast<std::size_t>(broker_for(volume, luck))];
        luck = luck * 6364136223846793005u + 1442695040888963407u;
        const std::string id = fmt::format("{:016x}", ++last_id_ * 0x9e3779b97f4a7c15);
        tries_.emplace(id, asking.at);
        std::string list =
            fmt::format("c={},t={},d={}", cls.name,
                        settings_.plans[static_cast<std::size_t>(volume.plan)].name, left / 1000);
        if (drawn.write)
            list += ",k=" + drawn.key;
        const auto shard =
            experiment_.shards ? drawn.luck % static_cast<std::uint64_t>(experiment_.nodes) : 0;
        list += fmt::format(",volume={},units={},shard={},hosts={}", volume.spelt, drawn.units, shard,
                            volume.brokers.size());
        const std::string command = drawn.write
                                        ? net::resp::command({"OBJ.PUT", drawn.piece, id, list, "body"})
                                        : net::resp::command({"OBJ.GET", drawn.piece, id, list});
        Got got = co_await ask(broker, command, leaves + kPatience);
        if (got.kind == Got::Kind::Crossed)
            got = co_await ask(broker, command, leaves + kPatience); // once more
        Micros wait = 20'000;
        switch (got.kind) {
        case Got::Kind::Value:
            oracle_->answered();
            served = true;
            if (!drawn.write && got.text != "v:" + drawn.piece)
                oracle_->wrong();
            break;
        case Got::Kind::Busy:
            oracle_->answered();
            oracle_->refused(clock_.now(), asking);
            wait = got.text.size() > 5 ? 1000 * std::clamp(std::atoll(got.text.c_str() + 5), 1LL, 10'000LL)
                                       : 50'000;
            break;
        case Got::Kind::Error:
            oracle_->answered();
            break;
        case Got::Kind::Refused:
            break;
        default:
            if (broker.killed > 0 && clock_.now() - broker.killed < 3'000'000)
                oracle_->broken();
            else if (broker.stopped > 0 && now < broker.woken && clock_.now() >= broker.stopped)
                oracle_->paused();
            else
                oracle_->unanswered();
        }
        if (!served) {
            if (clock_.now() + wait >= leaves)
                break;
            co_await rest(wait);
        }
    }
    oracle_->ended(clock_.now(), asking, served);
    --open_;
}

} // namespace marblewood::lab
