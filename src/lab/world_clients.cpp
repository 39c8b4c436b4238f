#include "lab/world.hpp"

#include "lab/helpers.hpp"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace marblewood::lab {
namespace {

// After the client's deadline and this grace, a missing response counts as unanswered.
constexpr Micros kAnswerGrace = 300'000;
constexpr Micros kMaxIdle = 1'500'000;
constexpr int kMaxAttempts = 6;

} // namespace

asio::awaitable<Testbed::Reply> Testbed::send_command(Broker &broker, std::string command, Micros until) {
    const Micros started_at = clock_.now();
    std::unique_ptr<tcp::socket> socket;
    bool reused = false;
    while (!broker.idle_connections.empty() && !socket) {
        auto [used, kept] = std::move(broker.idle_connections.back());
        broker.idle_connections.pop_back();
        if (started_at - used > kMaxIdle) {
            broker.idle_connections.clear();
            break;
        }
        char byte;
        const auto got = ::recv(kept->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0)
            oracle_->extra_answer_received(); // An idle connection must not carry a response.
        if (got < 0)
            socket = std::move(kept), reused = true;
    }
    boost::system::error_code error;
    if (!socket) {
        socket = std::make_unique<tcp::socket>(io_);
        error = co_await net::dial(*socket, loopback(broker.port), std::min(until, started_at + 500'000),
                                   deadlines_);
        if (error)
            co_return Reply{Reply::Kind::Refused, {}};
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
            co_return Reply{Reply::Kind::Broken, {}};
        }
        in.erase(0, in.size() - bytes.size());
    }
    if (!value) {
        if (clock_.now() >= until)
            co_return Reply{Reply::Kind::TimedOut, {}};
        co_return Reply{reused ? Reply::Kind::ClosedWhileIdle : Reply::Kind::Broken, {}};
    }
    if (!in.empty())
        oracle_->extra_answer_received();
    broker.idle_connections.emplace_back(clock_.now(), std::move(socket));
    if (value->kind == net::resp::Value::Kind::Error)
        co_return Reply{value->text.starts_with("BUSY") ? Reply::Kind::Busy : Reply::Kind::Error,
                        value->text};
    co_return Reply{Reply::Kind::Value, value->text};
}

// Runs one client request: makes attempts until one is served, the deadline is too near for another, or
// kMaxAttempts have been made.
asio::awaitable<void> Testbed::run_request(const PlannedRequest &planned) {
    ClientRequest client_request = planned;
    client_request.at += start_;
    const Volume &volume = volumes_[static_cast<std::size_t>(planned.volume)];
    const ClassSettings &cls = settings_.classes[planned.write ? 1 : 0];
    const Micros deadline = client_request.at + cls.deadline;
    std::uint64_t random_bits = planned.random_bits;
    bool served = false;
    oracle_->request_started(client_request);
    for (int attempts = 0; attempts < kMaxAttempts && !served; ++attempts) {
        const Micros now = clock_.now(), left = deadline - now;
        if (left < 5'000)
            break;
        Broker &broker = brokers_[static_cast<std::size_t>(broker_for(volume, random_bits))];
        random_bits = random_bits * 6364136223846793005u + 1442695040888963407u;
        const std::string id = fmt::format("{:016x}", ++last_id_ * 0x9e3779b97f4a7c15);
        first_attempt_at_.emplace(id, client_request.at);
        std::string fields =
            fmt::format("c={},t={},d={}", cls.name,
                        settings_.plans[static_cast<std::size_t>(volume.plan)].name, left / 1000);
        if (planned.write)
            fields += ",k=" + planned.key;
        const auto shard =
            experiment_.shards ? planned.random_bits % static_cast<std::uint64_t>(experiment_.nodes) : 0;
        fields += fmt::format(",volume={},units={},shard={},hosts={}", volume.id_text, planned.units, shard,
                              volume.brokers.size());
        const std::string command =
            planned.write ? net::resp::command({"OBJ.PUT", planned.object_id, id, fields, "body"})
                          : net::resp::command({"OBJ.GET", planned.object_id, id, fields});
        Reply got = co_await send_command(broker, command, deadline + kAnswerGrace);
        if (got.kind == Reply::Kind::ClosedWhileIdle)
            // The broker closed the idle connection before it read the command: repeats the attempt once.
            got = co_await send_command(broker, command, deadline + kAnswerGrace);
        Micros wait = 20'000;
        switch (got.kind) {
        case Reply::Kind::Value:
            oracle_->answer_received();
            served = true;
            if (!planned.write && got.text != "v:" + planned.object_id)
                oracle_->wrong_value_received();
            break;
        case Reply::Kind::Busy:
            oracle_->answer_received();
            oracle_->attempt_refused(clock_.now(), client_request);
            wait = got.text.size() > 5 ? 1000 * std::clamp(std::atoll(got.text.c_str() + 5), 1LL, 10'000LL)
                                       : 50'000;
            break;
        case Reply::Kind::Error:
            oracle_->answer_received();
            break;
        case Reply::Kind::Refused:
            break;
        default:
            if (broker.killed_at > 0 && clock_.now() - broker.killed_at < 3'000'000)
                oracle_->attempt_lost_to_kill();
            else if (broker.stopped_at > 0 && now < broker.resumed_at && clock_.now() >= broker.stopped_at)
                oracle_->attempt_lost_to_pause();
            else
                oracle_->attempt_unanswered();
        }
        if (!served) {
            if (clock_.now() + wait >= deadline)
                break;
            co_await sleep_for(wait);
        }
    }
    oracle_->request_ended(clock_.now(), client_request, served);
    --open_requests_;
}

} // namespace marblewood::lab
