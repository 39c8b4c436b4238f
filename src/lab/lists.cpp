#include "lab/lists.hpp"

#include "net/sockets.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace marblewood::lab {

namespace asio = boost::asio;

asio::awaitable<void> sleep_for(asio::io_context &io, Micros length) {
    asio::steady_timer timer(io, std::chrono::microseconds(std::max<Micros>(length, 0)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

namespace {
constexpr Micros kPollInterval = 5'000;
constexpr Micros kMaxWatchTimeout = 60'000'000;
} // namespace

EmulatedDiscovery::EmulatedDiscovery(asio::io_context &io, core::Deadlines &deadlines, Model model,
                                     std::size_t brokers, std::uint64_t seed)
    : io_(io), deadlines_(deadlines), model_(model), random_(seed) {
    for (std::size_t n = 0; n < brokers; ++n) {
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const int port = acceptor.local_endpoint().port();
        agents_.push_back(std::make_unique<Agent>(std::move(acceptor), port));
    }
}
int EmulatedDiscovery::port(std::size_t broker) const {
    return agents_[broker]->port;
}

void EmulatedDiscovery::start(const MemberList &members) {
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        agents_[n]->members = members(n);
        asio::co_spawn(io_, accept(*agents_[n]), asio::detached);
    }
}

void EmulatedDiscovery::publish(const MemberList &members, std::function<void()> on_delivered) {
    ++version_;
    const auto left = std::make_shared<std::size_t>(agents_.size());
    boost::random::uniform_int_distribution<Micros> delay(model_.min_delay,
                                                          std::max(model_.min_delay, model_.max_delay));
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        const Micros at = deadlines_.clock.now() + (model_.pushed ? delay(random_) : 0);
        asio::co_spawn(io_,
                       push(*agents_[n], at, version_, members(n),
                            [left, on_delivered] {
                                if (--*left == 0 && on_delivered)
                                    on_delivered();
                            }),
                       asio::detached);
    }
}

void EmulatedDiscovery::suspend_answers(Micros length) {
    suspended_until_ = deadlines_.clock.now() + length;
}

asio::awaitable<void> EmulatedDiscovery::push(Agent &agent, Micros at, int version, std::string members,
                                              std::function<void()> on_delivered) {
    co_await sleep_for(io_, at - deadlines_.clock.now());
    while (deadlines_.clock.now() < suspended_until_)
        co_await sleep_for(io_, suspended_until_ - deadlines_.clock.now());
    if (version > agent.version)
        agent.version = version, agent.members = std::move(members);
    on_delivered();
}

asio::awaitable<void> EmulatedDiscovery::accept(Agent &agent) {
    for (;;) {
        auto socket =
            std::make_shared<tcp::socket>(co_await agent.acceptor.async_accept(asio::use_awaitable));
        asio::co_spawn(io_, serve(agent, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EmulatedDiscovery::serve(Agent &agent, std::shared_ptr<tcp::socket> socket) {
    std::string in;
    boost::system::error_code error;
    while (!error) {
        const std::size_t end = in.find("\r\n\r\n");
        if (end == std::string::npos) {
            error = co_await net::read_more(*socket, in);
            continue;
        }
        const std::string head = in.substr(0, end);
        in.erase(0, end + 4);
        const auto number = [&](std::string_view name, int otherwise) {
            const std::size_t at = head.find(name);
            return at == std::string::npos ? otherwise : std::atoi(head.c_str() + at + name.size());
        };
        const int seen = number("since=", -1);
        const Micros until = deadlines_.clock.now() +
                             std::clamp<Micros>(number("timeout_ms=", 0) * 1000LL, 0, kMaxWatchTimeout);
        while (deadlines_.clock.now() < suspended_until_ ||
               (agent.version <= seen && deadlines_.clock.now() < until))
            co_await sleep_for(io_, kPollInterval);
        const std::string body =
            fmt::format(R"({{"revision":{},"complete":true,"members":[{}]}})", agent.version, agent.members);
        const std::string out =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        co_await asio::async_write(*socket, asio::buffer(out),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace marblewood::lab
