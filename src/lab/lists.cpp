#include "lab/lists.hpp"

#include "net/sockets.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace marblewood::lab {

namespace asio = boost::asio;

asio::awaitable<void> rest(asio::io_context &io, Micros length) {
    asio::steady_timer timer(io, std::chrono::microseconds(std::max<Micros>(length, 0)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

namespace {
constexpr Micros kTick = 5'000;         // us between looks at whether there is news
constexpr Micros kLongest = 60'000'000; // us for which a watch waits at most
} // namespace

Lists::Lists(asio::io_context &io, core::Deadlines &deadlines, Model model, std::size_t brokers,
             std::uint64_t seed)
    : io_(io), deadlines_(deadlines), model_(model), random_(seed) {
    for (std::size_t n = 0; n < brokers; ++n) {
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const int port = acceptor.local_endpoint().port();
        agents_.push_back(std::make_unique<Agent>(std::move(acceptor), port));
    }
}
int Lists::port(std::size_t broker) const {
    return agents_[broker]->port;
}

void Lists::start(const Members &members) {
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        agents_[n]->members = members(n);
        asio::co_spawn(io_, accept(*agents_[n]), asio::detached);
    }
}

void Lists::change(const Members &members, std::function<void()> told) {
    ++version_;
    const auto left = std::make_shared<std::size_t>(agents_.size());
    boost::random::uniform_int_distribution<Micros> delay(model_.least, std::max(model_.least, model_.most));
    for (std::size_t n = 0; n < agents_.size(); ++n) {
        const Micros at = deadlines_.clock.now() + (model_.pushed ? delay(random_) : 0);
        asio::co_spawn(io_,
                       push(*agents_[n], at, version_, members(n),
                            [left, told] {
                                if (--*left == 0 && told)
                                    told();
                            }),
                       asio::detached);
    }
}

void Lists::silence(Micros length) {
    silent_until_ = deadlines_.clock.now() + length;
}

asio::awaitable<void> Lists::push(Agent &agent, Micros at, int version, std::string members,
                                  std::function<void()> told) {
    co_await rest(io_, at - deadlines_.clock.now());
    while (deadlines_.clock.now() < silent_until_)
        co_await rest(io_, silent_until_ - deadlines_.clock.now());
    if (version > agent.version)
        agent.version = version, agent.members = std::move(members);
    told();
}

asio::awaitable<void> Lists::accept(Agent &agent) {
    for (;;) {
        auto socket =
            std::make_shared<tcp::socket>(co_await agent.acceptor.async_accept(asio::use_awaitable));
        asio::co_spawn(io_, serve(agent, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Lists::serve(Agent &agent, std::shared_ptr<tcp::socket> socket) {
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
        const Micros until =
            deadlines_.clock.now() + std::clamp<Micros>(number("timeout_ms=", 0) * 1000LL, 0, kLongest);
        while (deadlines_.clock.now() < silent_until_ ||
               (agent.version <= seen && deadlines_.clock.now() < until))
            co_await rest(io_, kTick);
        const std::string body =
            fmt::format(R"({{"revision":{},"complete":true,"members":[{}]}})", agent.version, agent.members);
        const std::string out =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        co_await asio::async_write(*socket, asio::buffer(out),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace marblewood::lab
