#include "net/clients.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

namespace marblewood::net {
namespace {

constexpr Micros kNewcomer = 250'000; // us in which a new client's first request is awaited
constexpr Micros kRest = 10'000;      // us before the next accept after a failed one
constexpr Micros kStillComing =
    250'000; // us without a new connection after which, at a drain without clients, none is awaited
constexpr std::chrono::milliseconds kAddressHeld{8'000}, kAddressLook{10}; // before anything is served
constexpr Micros kFrontMoves = 1'000'000; // us from quiescing until clients' connections are closed
constexpr Micros kAwayAgain = 100'000;    // us between looks at who has come since

tcp protocol_of(int socket) {
    sockaddr at{};
    socklen_t size = sizeof at;
    return ::getsockname(socket, &at, &size) == 0 && at.sa_family == AF_INET6 ? tcp::v6() : tcp::v4();
}

} // namespace

tcp::acceptor listen_at(asio::io_context &io, const tcp::endpoint &at) {
    // The process that had the address before may still be on its way out.
    const auto until = std::chrono::steady_clock::now() + kAddressHeld;
    for (bool said = false;; std::this_thread::sleep_for(kAddressLook)) {
        tcp::acceptor acceptor(io);
        acceptor.open(at.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        boost::system::error_code error;
        acceptor.bind(at, error);
        if (!error) acceptor.listen(1024, error);
        if (!error) return acceptor;
        if (error != asio::error::address_in_use || std::chrono::steady_clock::now() >= until)
            throw boost::system::system_error(error, fmt::format("port {}", at.port()));
        if (!std::exchange(said, true)) core::log("port {} is held by another process: waiting", at.port());
    }
}

tcp::acceptor listen_with(asio::io_context &io, Descriptor socket) {
    int listens = 0;
    socklen_t size = sizeof listens;
    if (::getsockopt(socket.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens)
        throw boost::system::system_error(asio::error::invalid_argument, "not a listening socket");
    tcp::acceptor acceptor(io);
    acceptor.assign(protocol_of(socket.get()), socket.get());
    socket.release();
    return acceptor;
}

Clients::Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget,
                 tcp::acceptor acceptor, Front front)
    : io_(io), deadlines_(deadlines), budget_(budget), acceptor_(std::move(acceptor)),
      front_(std::move(front)), resumed_(io.get_executor()) {
    asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> Clients::accept() {
    asio::steady_timer rest(io_);
    while (acceptor_.is_open()) {
        if (paused_) {
            co_await resumed_.take();
            continue;
        }
        // A request may be written to a connection that waits to be accepted, and counts as taken then. So
        // room is made by closing an idle client, never by not accepting: one that holds a connection and
        // says nothing before one that comes back to it.
        boost::system::error_code error;
        if (budget_.clients_full() && !drop_one()) { // what nodes and discovery need is not given away
            rest.expires_after(std::chrono::microseconds(kRest));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (paused_ && acceptor_.is_open()) continue;
            if (error == asio::error::operation_aborted || !acceptor_.is_open()) break;
            core::log("accept: {}", error.message()); // out of descriptors, say: it passes
            if (error.value() == EMFILE || error.value() == ENFILE) drop_one();
            rest.expires_after(std::chrono::microseconds(kRest));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        take(std::move(socket), Passed());
    }
}

void Clients::take(tcp::socket socket, Passed early) {
    last_new_ = deadlines_.clock.now();
    const auto client = clients_.emplace(clients_.end(), std::move(socket));
    client->lease = budget_.client();
    client->accepted = client->used = last_new_;
    client->asked = early.asked;
    client->early = std::move(early);
    client->pass = pass_;
    client->staying = done_ != nullptr;
    client->closing = !acceptor_.is_open(); // it came in the moment in which the last ones are let go
    asio::co_spawn(io_, serve(client), asio::detached);
    thin_out();
}

void Clients::pause() {
    paused_ = true;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
}
void Clients::resume() {
    paused_ = false;
    if (resumed_.empty()) resumed_.put(true);
}

void Clients::hand_over(std::function<void(Passed)> pass) {
    pass_ = std::move(pass);
    for (Client &client : clients_) {
        client.pass = pass_;
        if (pass_ && client.nudge) client.nudge();
    }
}

void Clients::adopt(Passed passed) {
    budget_.came_over();
    if (budget_.clients_full()) drop_one();
    tcp::socket socket(io_);
    boost::system::error_code error;
    const int fd = passed.descriptor.get();
    socket.assign(protocol_of(fd), fd, error);
    if (error) return core::log("a client's connection can't be taken over: {}", error.message());
    passed.descriptor.release();
    take(std::move(socket), std::move(passed));
}

bool Clients::drop_one() {
    // A newcomer's first request may be on its way or unread: it is the last to go, however much it looks
    // like one that says nothing, or no more than a part of its first request.
    const Micros now = deadlines_.clock.now();
    const auto rank = [now](Client &c) -> std::optional<std::pair<int, Micros>> {
        if (c.ending) return std::pair(1, c.used);
        boost::system::error_code error;
        if (c.closing || c.owed > 0 || (c.partial && c.asked) || c.socket.available(error) > 0)
            return std::nullopt;
        if (now - c.accepted < kNewcomer && !c.asked) return std::pair(4, c.used);
        return std::pair(c.partial ? 3 : c.asked ? 2 : 0, c.used);
    };
    Client *first = nullptr;
    std::pair<int, Micros> least;
    for (Client &client : clients_)
        if (const auto its = rank(client); its && (!first || *its < least)) first = &client, least = *its;
    if (!first) return false;
    first->closing = true;
    first->close();
    if (first->nudge) first->nudge();
    return true;
}

// Some clients ask once and stay, each on a connection of its own. What they hold of the connections that
// clients may have is missing to those who want to ask.
void Clients::thin_out() {
    int kept = 0;
    Client *first = nullptr;
    for (Client &client : clients_) {
        if (!client.asked || client.lasting || client.closing) continue;
        ++kept;
        if (client.idle() && (!first || client.used < first->used)) first = &client;
    }
    // At a handover a connection closed as its next request comes would turn that back; at a drain its client
    // could not come again.
    if (kept < budget_.most_kept() || !first || budget_.shared() || done_) return;
    first->closing = true;
    if (first->nudge) first->nudge();
}

asio::awaitable<void> Clients::serve(std::list<Client>::iterator client) {
    try {
        co_await front_(*client);
    } catch (const std::exception &error) { // a client's trouble ends its connection, not the broker
        core::log("client: {}", error.what());
    }
    client->close();
    clients_.erase(client);
    if (done_ && clients_.empty() && !acceptor_.is_open()) std::exchange(done_, nullptr)();
}

void Clients::drain(Micros until, std::function<void()> done) {
    done_ = std::move(done);
    drain_until_ = until;
    last_new_ = deadlines_.clock.now();
    for (Client &client : clients_) {
        client.staying = true;
        if (client.nudge) client.nudge();
    }
    drain_turn();
}

void Clients::quiesce(bool on) {
    away_.reset();
    if (on) away_ = deadlines_.in(kFrontMoves, [this] { send_away(); });
}

void Clients::send_away() {
    const Micros now = deadlines_.clock.now();
    for (Client &client : clients_) {
        if (client.closing || (client.idle() && !client.asked && now - client.accepted < kNewcomer)) continue;
        client.closing = true;
        if (client.nudge) client.nudge();
    }
    away_ = deadlines_.in(kAwayAgain, [this] { send_away(); });
}

void Clients::drain_turn() {
    const Micros now = deadlines_.clock.now();
    // Clients go on using what connections they have for as long as those are open, and cannot know of a
    // broker that has gone.
    if (now < drain_until_ && (!clients_.empty() || now - last_new_ < kStillComing)) {
        look_ = deadlines_.in(kRest, [this] { drain_turn(); });
        return;
    }
    // What waits to be accepted may have a request written to it, which counts as taken.
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        if (budget_.clients_full()) drop_one();
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error) take(std::move(socket), Passed());
    }
    acceptor_.close(error);
    for (Client &client : clients_) {
        client.closing = true;
        if (client.nudge) client.nudge();
    }
    if (clients_.empty() && done_) std::exchange(done_, nullptr)();
}

} // namespace marblewood::net
