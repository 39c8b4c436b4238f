// The order in which client connections are closed to make room for new ones: which one is chosen, and that
// the cost of choosing it does not grow with the number of connections, measured on real sockets.
#include "net/clients.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdarg>
#include <dlfcn.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <list>
#include <random>
#include <sys/ioctl.h>
#include <sys/resource.h>

using namespace marblewood;
using net::ConnectionUse;
using net::DeliveryState;
using net::EvictionOrder;

namespace {
std::uint64_t unread_queries = 0; // calls of ioctl(FIONREAD)
}

// Counts the system calls that Asio's available() makes.
extern "C" int ioctl(int fd, unsigned long request, ...) noexcept {
    using Ioctl = int (*)(int, unsigned long, ...);
    static const auto next = reinterpret_cast<Ioctl>(::dlsym(RTLD_NEXT, "ioctl"));
    va_list arguments;
    va_start(arguments, request);
    void *const argument = va_arg(arguments, void *);
    va_end(arguments);
    if (request == FIONREAD)
        ++unread_queries;
    return next(fd, request, argument);
}

namespace {

struct Connection : EvictionOrder::Entry {
    using Entry::Entry;
    bool unread = false;
};

bool is_active(const ConnectionUse &use, Micros now) {
    return use.has_returned && !use.lingering && !use.closed &&
           now - use.last_used < EvictionOrder::kActiveGrace;
}

// The specified rule: a connection's queue and last use, or nothing if it may not be closed. Computed without
// state.
std::optional<std::pair<int, Micros>> expected_rank(const Connection &connection, Micros now) {
    const ConnectionUse &use = connection.use();
    if (use.closed || use.needed || use.delivery.state == DeliveryState::Pending)
        return std::nullopt;
    if (use.delivery.state == DeliveryState::Unread)
        return std::pair(2, use.delivery.acknowledged_at);
    if (use.delivery.state == DeliveryState::Reading)
        return std::pair(7, use.delivery.read_rate);
    if (use.delivery.state == DeliveryState::HeldBack) {
        const bool in_use = use.open_requests > 0 || connection.unread;
        return in_use ? std::nullopt : std::optional(std::pair(5, use.delivery.acknowledged_at));
    }
    if (use.lingering)
        return std::pair(1, use.last_used);
    const bool ends_by_itself = use.closing && (use.has_requested || use.partial);
    if (ends_by_itself || use.open_requests > 0 || (use.partial && use.has_requested) || connection.unread)
        return std::nullopt;
    if (now - use.accepted < EvictionOrder::kNewcomerGrace && !use.has_requested)
        return std::pair(4, use.last_used);
    if (is_active(use, now))
        return std::pair(6, use.last_used);
    return std::pair(use.partial ? 3 : use.has_requested ? 2 : 0, use.last_used);
}

Connection *expected_first(std::list<Connection> &connections, Micros now) {
    Connection *first = nullptr;
    std::pair<int, Micros> least;
    for (Connection &connection : connections)
        if (const auto rank = expected_rank(connection, now); rank && (!first || *rank < least))
            first = &connection, least = *rank;
    return first;
}

Connection *expected_longest_idle_requester(std::list<Connection> &connections, Micros now,
                                            std::size_t &idle_requesters) {
    Connection *first = nullptr;
    Micros first_since = 0;
    idle_requesters = 0;
    for (Connection &connection : connections) {
        const ConnectionUse &use = connection.use();
        if (!use.has_requested || use.persistent || use.needed || use.closing || !use.idle() ||
            is_active(use, now))
            continue;
        ++idle_requesters;
        if (!first || use.last_used < first_since) {
            first = &connection;
            first_since = use.last_used;
        }
    }
    return first;
}

class Schedule {
public:
    explicit Schedule(std::uint64_t seed) : random_(seed) {}

    void step() {
        now_ += random_up_to(40'000);
        if (connections_.empty() || random_up_to(5) == 0) {
            connections_.emplace_back(order_, now_);
            return;
        }
        auto at = std::next(connections_.begin(), static_cast<long>(random_up_to(connections_.size() - 1)));
        if (random_up_to(9) == 0) {
            connections_.erase(at);
            return;
        }
        use(*at);
    }

    void compare() {
        std::size_t idle_requesters = 0;
        Connection *const idle = expected_longest_idle_requester(connections_, now_, idle_requesters);
        ASSERT_EQ(order_.idle_requesters(now_), idle_requesters);
        ASSERT_EQ(order_.longest_idle_requester(now_), idle);
        Connection *const first = expected_first(connections_, now_);
        const auto unread = [](EvictionOrder::Entry &entry) {
            return static_cast<Connection &>(entry).unread;
        };
        ASSERT_EQ(order_.next(now_, unread), first);
    }

private:
    static constexpr std::array kDeliveryStates{DeliveryState::Delivered, DeliveryState::Pending,
                                                DeliveryState::HeldBack, DeliveryState::Reading,
                                                DeliveryState::Unread};
    std::uint64_t random_up_to(std::uint64_t max) { return random_() % (max + 1); }
    void use(Connection &connection) {
        switch (random_up_to(11)) {
        case 0:
            return connection.mark_requested();
        case 1:
            return connection.mark_persistent();
        case 2:
            return connection.add_open_request();
        case 3:
            return connection.use().open_requests > 0 ? connection.complete_requests(1) : void();
        case 4:
            return connection.set_partial(random_up_to(1) == 1);
        case 5:
            return random_up_to(5) == 0 ? connection.mark_closing() : void();
        case 6:
            return random_up_to(5) == 0 ? connection.mark_lingering() : void();
        case 7:
            return connection.set_delivery(
                {.state = kDeliveryStates[random_up_to(kDeliveryStates.size() - 1)],
                 .acknowledged_at = now_ - static_cast<Micros>(random_up_to(3'000'000)),
                 .read_rate = static_cast<std::int64_t>(random_up_to(1'000'000))});
        case 9:
            return connection.set_needed(random_up_to(3) == 0);
        case 8:
            return random_up_to(5) == 0 ? connection.mark_closed() : void();
        default: // bytes arrive, or unread ones are read
            connection.unread = !connection.unread && random_up_to(1) == 1;
            connection.received(now_);
        }
    }

    std::mt19937_64 random_;
    Micros now_ = 1'000'000;
    EvictionOrder order_;
    std::list<Connection> connections_;
};

TEST(EvictionOrder, ClosesWhomTheStatedRuleClosesInRandomSchedules) {
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        SCOPED_TRACE(seed);
        Schedule schedule(seed);
        for (int n = 0; n < 120; ++n) {
            schedule.step();
            schedule.compare();
            if (HasFatalFailure())
                return;
        }
    }
}

// A full broker whose clients keep idle connections, one of which is closed for each newcomer.
class FullBroker {
public:
    explicit FullBroker(std::size_t clients)
        : budget_(descriptors_for(clients)),
          clients_(io_, deadlines_, budget_, figures_, net::listen_at(io_, kAnyPort),
                   [](net::Client &client) { return hold_open(client); }),
          endpoint_(net::listen_with(io_, net::Descriptor(::dup(clients_.listener()))).local_endpoint()) {
        for (std::size_t n = 0; n < clients; ++n)
            connect();
    }
    void connect() {
        net::tcp::socket socket(io_);
        socket.connect(endpoint_);
        sockets_.push_back(std::move(socket));
        io_.restart();
        io_.poll();
    }
    int connected() const { return budget_.clients(); }

private:
    inline static const net::tcp::endpoint kAnyPort{boost::asio::ip::address_v4::loopback(), 0};
    static int descriptors_for(std::size_t clients) { // the largest budget that so many clients fill
        int limit = 64;
        while (full(limit + 1, clients))
            ++limit;
        return limit;
    }
    static bool full(int limit, std::size_t clients) {
        net::SocketBudget budget(limit);
        std::vector<net::SocketBudget::Lease> leases;
        for (std::size_t n = 0; n < clients; ++n)
            leases.push_back(budget.client());
        return budget.clients_full();
    }
    static boost::asio::awaitable<void> hold_open(net::Client &client) {
        boost::system::error_code error;
        co_await client.socket.async_wait(net::tcp::socket::wait_read,
                                          boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }

    boost::asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    net::SocketBudget budget_;
    net::ClientFigures figures_;
    net::Clients clients_;
    net::tcp::endpoint endpoint_;
    std::vector<net::tcp::socket> sockets_;
};

std::uint64_t queries_for_newcomers(std::size_t clients, int newcomers) {
    FullBroker broker(clients);
    EXPECT_GE(broker.connected(), static_cast<int>(clients) - 2);
    rusage before{}, after{};
    const std::uint64_t queries_before = unread_queries;
    ::getrusage(RUSAGE_SELF, &before);
    for (int n = 0; n < newcomers; ++n)
        broker.connect();
    ::getrusage(RUSAGE_SELF, &after);
    const auto spent = [](const timeval &from, const timeval &to) {
        return static_cast<double>(to.tv_sec - from.tv_sec) * 1e6 +
               static_cast<double>(to.tv_usec - from.tv_usec);
    };
    const std::uint64_t queries = unread_queries - queries_before;
    fmt::print("{} clients: {} queries and {:.1f} us of processor time for {} newcomers, both ends\n",
               clients, queries,
               spent(before.ru_utime, after.ru_utime) + spent(before.ru_stime, after.ru_stime), newcomers);
    return queries;
}

TEST(Clients, ANewcomerCostsTheSameWithAHundredClientsAndWithFourThousand) {
    rlimit files{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &files), 0);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    ASSERT_GE(files.rlim_cur, 9'000u) << "both ends of 4,000 connections are in this process";
    constexpr int kNewcomers = 200;
    for (const std::size_t clients : {100u, 400u, 1'000u, 4'000u}) {
        const std::uint64_t queries = queries_for_newcomers(clients, kNewcomers);
        EXPECT_GT(queries, 0u);
        EXPECT_LE(queries, 2u * kNewcomers) << clients;
    }
}

} // namespace
