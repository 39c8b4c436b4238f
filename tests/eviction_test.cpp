// The order in which clients' connections are closed for new ones: who goes first, and what finding it costs
// with few and with many connections, on real sockets.
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
using net::EvictionOrder;

namespace {
std::uint64_t unread_queries = 0; // system calls that asked how many bytes wait unread
}

// Counts what Asio's available() asks of the system.
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

// The rule as it is stated, looked up over all connections anew.
std::optional<std::pair<int, Micros>> stated_rank(const Connection &connection, Micros now) {
    const ConnectionUse &use = connection.use();
    if (use.ending)
        return std::pair(1, use.used);
    const bool ends_by_itself = use.closing && (use.asked || use.partial);
    if (ends_by_itself || use.owed > 0 || (use.partial && use.asked) || connection.unread)
        return std::nullopt;
    if (now - use.accepted < EvictionOrder::kNewcomerGrace && !use.asked)
        return std::pair(4, use.used);
    return std::pair(use.partial ? 3 : use.asked ? 2 : 0, use.used);
}

Connection *stated_first(std::list<Connection> &connections, Micros now) {
    Connection *first = nullptr;
    std::pair<int, Micros> least;
    for (Connection &connection : connections)
        if (const auto rank = stated_rank(connection, now); rank && (!first || *rank < least))
            first = &connection, least = *rank;
    return first;
}

Connection *stated_idle_asker(std::list<Connection> &connections, std::size_t &askers) {
    Connection *first = nullptr;
    askers = 0;
    for (Connection &connection : connections) {
        const ConnectionUse &use = connection.use();
        if (!use.asked || use.lasting || use.closing)
            continue;
        ++askers;
        if (use.idle() && (!first || use.used < first->use().used))
            first = &connection;
    }
    return first;
}

class Schedule {
public:
    explicit Schedule(std::uint64_t seed) : random_(seed) {}

    void step() {
        now_ += part(40'000);
        if (connections_.empty() || part(5) == 0) {
            connections_.emplace_back(order_, now_);
            return;
        }
        auto at = std::next(connections_.begin(), static_cast<long>(part(connections_.size() - 1)));
        if (part(9) == 0) {
            connections_.erase(at);
            return;
        }
        use(*at);
    }

    void compare() {
        std::size_t askers = 0;
        Connection *const idle = stated_idle_asker(connections_, askers);
        ASSERT_EQ(order_.askers(), askers);
        ASSERT_EQ(order_.longest_idle_asker(), idle);
        Connection *const first = stated_first(connections_, now_);
        const auto unread = [](EvictionOrder::Entry &entry) {
            return static_cast<Connection &>(entry).unread;
        };
        ASSERT_EQ(order_.next(now_, unread), first);
    }

private:
    std::uint64_t part(std::uint64_t most) { return random_() % (most + 1); }
    void use(Connection &connection) {
        switch (part(8)) {
        case 0:
            return connection.mark_asked();
        case 1:
            return connection.mark_lasting();
        case 2:
            return connection.owe_answer();
        case 3:
            return connection.use().owed > 0 ? connection.settle_answers(1) : void();
        case 4:
            return connection.set_partial(part(1) == 1);
        case 5:
            return part(5) == 0 ? connection.mark_closing() : void();
        case 6:
            return part(5) == 0 ? connection.mark_ending() : void();
        default: // bytes have come, or those that had are read
            connection.unread = !connection.unread && part(1) == 1;
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

// Clients that hold connections and say nothing, and newcomers for which one after another is closed.
class FullBroker {
public:
    explicit FullBroker(std::size_t clients)
        : budget_(descriptors_for(clients)),
          served_(io_, deadlines_, budget_, figures_, net::listen_at(io_, kAnyPort),
                  [](net::Client &client) { return hold(client); }),
          at_(net::listen_with(io_, net::Descriptor(::dup(served_.listener()))).local_endpoint()) {
        for (std::size_t n = 0; n < clients; ++n)
            connect();
    }
    void connect() {
        net::tcp::socket socket(io_);
        socket.connect(at_);
        sockets_.push_back(std::move(socket));
        io_.restart();
        io_.poll();
    }
    int held() const { return budget_.clients(); }

private:
    inline static const net::tcp::endpoint kAnyPort{boost::asio::ip::address_v4::loopback(), 0};
    static int descriptors_for(std::size_t clients) { // the most with which so many clients fill the budget
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
    static boost::asio::awaitable<void> hold(net::Client &client) {
        boost::system::error_code error;
        co_await client.socket.async_wait(net::tcp::socket::wait_read,
                                          boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }

    boost::asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    net::SocketBudget budget_;
    net::ClientFigures figures_;
    net::Clients served_;
    net::tcp::endpoint at_;
    std::vector<net::tcp::socket> sockets_;
};

std::uint64_t queries_for_newcomers(std::size_t clients, int newcomers) {
    FullBroker broker(clients);
    EXPECT_GE(broker.held(), static_cast<int>(clients) - 2);
    rusage before{}, after{};
    const std::uint64_t asked = unread_queries;
    ::getrusage(RUSAGE_SELF, &before);
    for (int n = 0; n < newcomers; ++n)
        broker.connect();
    ::getrusage(RUSAGE_SELF, &after);
    const auto spent = [](const timeval &from, const timeval &to) {
        return static_cast<double>(to.tv_sec - from.tv_sec) * 1e6 +
               static_cast<double>(to.tv_usec - from.tv_usec);
    };
    const std::uint64_t queries = unread_queries - asked;
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
