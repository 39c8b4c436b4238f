#include "net/clients.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

namespace marblewood::net {
namespace {

constexpr Micros kRetryAccept = 10'000; // us before the next accept after a failed one
// us without a connection after which, at a drain, none is awaited: new ones keep coming for 0.4 s
constexpr Micros kStillComing = 450'000;
constexpr std::chrono::milliseconds kAddressHeld{8'000}, kAddressLook{10}; // before anything is served
constexpr Micros kFrontMoves = 1'000'000;  // us from quiescing until clients' connections are closed
constexpr Micros kQueueWithin = 100'000;   // us for the queue to be accepted at the end
constexpr Micros kQueueLook = 1'000;       // us between looks at it
constexpr int kAcceptsAtOnce = 4096;       // more than the queue holds
constexpr Micros kReportEvery = 1'000'000; // us between reports of connections that are being closed
constexpr Micros kSlowToClose = 500'000;   // us from being told to end, beyond which the log says how it went

tcp protocol_of(int socket) {
    sockaddr at{};
    socklen_t size = sizeof at;
    return ::getsockname(socket, &at, &size) == 0 && at.sa_family == AF_INET6 ? tcp::v6() : tcp::v4();
}

// An accept that fails must neither block nor be tried again out of sight.
tcp::acceptor for_accept_next(tcp::acceptor acceptor) {
    acceptor.non_blocking(true);
    acceptor.set_option(tcp::acceptor::enable_connection_aborted(true));
    return acceptor;
}

// Errors of socket() and bind() that pass: the address is still held, or the system is short of something.
bool passes(const boost::system::error_code &error) {
    const int number = error.value();
    return error == asio::error::address_in_use || number == EMFILE || number == ENFILE ||
           number == ENOBUFS || number == ENOMEM;
}

} // namespace

void Client::end_by(CloseReason why, Micros now, Micros time, bool lone_requests) {
    note(why);
    if (!use().closing) {
        closing.since = now;
        closing.end_by = time;
    }
    closing.end_by = std::min(closing.end_by, time);
    closing.lone_requests = closing.lone_requests || lone_requests;
    mark_closing();
    if (notify)
        notify();
}

tcp::acceptor listen_at(asio::io_context &io, const tcp::endpoint &at) {
    // The process that had the address before may still be on its way out.
    const auto until = std::chrono::steady_clock::now() + kAddressHeld;
    for (bool said = false;; std::this_thread::sleep_for(kAddressLook)) {
        tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(at.protocol(), error);
        if (!error)
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(at, error);
        if (!error)
            acceptor.listen(1024, error);
        if (!error)
            return for_accept_next(std::move(acceptor));
        if (!passes(error) || std::chrono::steady_clock::now() >= until)
            throw boost::system::system_error(error, fmt::format("port {}", at.port()));
        const bool held = error == asio::error::address_in_use;
        if (!std::exchange(said, true))
            core::log("port {} {}: waiting", at.port(),
                      held ? "is held by another process" : "can't be had now (" + error.message() + ")");
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
    return for_accept_next(std::move(acceptor));
}

Clients::Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget,
                 ClientFigures &figures, tcp::acceptor acceptor, Front front)
    : io_(io), deadlines_(deadlines), budget_(budget), figures_(figures), acceptor_(std::move(acceptor)),
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
        if (budget_.clients_full() && !evict_one()) { // what nodes and discovery need is not given away
            rest.expires_after(std::chrono::microseconds(kRetryAccept));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        tcp::socket socket(io_);
        error = co_await accept_next(acceptor_, socket);
        if (error) {
            if (!acceptor_.is_open())
                break;
            if (error == asio::error::operation_aborted)
                continue;                             // paused, or resumed again by now
            core::log("accept: {}", error.message()); // out of descriptors, say: it passes
            if (error.value() == EMFILE || error.value() == ENFILE)
                evict_one();
            rest.expires_after(std::chrono::microseconds(kRetryAccept));
            co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        admit(std::move(socket), Passed());
    }
}

void Clients::admit(tcp::socket socket, Passed early) {
    const Micros now = last_change_ = deadlines_.clock.now();
    const std::uint64_t number = ++figures_.accepted;
    const auto client = clients_.emplace(clients_.end(), std::move(socket), order_, now, number);
    client->lease = budget_.client();
    if (early.asked)
        client->mark_asked();
    client->early = std::move(early);
    client->pass = pass_;
    client->staying = done_ != nullptr;
    if (sending_away())
        client->send_away(now);
    if (closing_all_)
        client->shut_down(now, answer_all_at_);
    asio::co_spawn(io_, serve(client), asio::detached);
    limit_idle_askers();
}

void Clients::pause() {
    paused_ = true;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
}
void Clients::resume() {
    paused_ = false;
    if (resumed_.empty())
        resumed_.put(true);
}

void Clients::hand_over(std::function<void(Passed)> pass) {
    pass_ = std::move(pass);
    for (Client &client : clients_) {
        client.pass = pass_;
        if (pass_ && client.notify)
            client.notify();
    }
}

void Clients::adopt(Passed passed) {
    budget_.client_handed_over();
    if (budget_.clients_full())
        evict_one();
    tcp::socket socket(io_);
    boost::system::error_code error;
    const int fd = passed.descriptor.get();
    socket.assign(protocol_of(fd), fd, error);
    if (error)
        return core::log("a client's connection can't be taken over: {}", error.message());
    passed.descriptor.release();
    admit(std::move(socket), std::move(passed));
}

bool Clients::evict_one() {
    EvictionOrder::Entry *const entry = order_.next(
        deadlines_.clock.now(), [](EvictionOrder::Entry &e) { return static_cast<Client &>(e).unread(); });
    if (!entry)
        return false;
    Client &client = static_cast<Client &>(*entry);
    client.close(CloseReason::Evicted);
    client.begin_closing(CloseReason::Evicted, deadlines_.clock.now());
    return true;
}

// Some clients ask once and stay, each on a connection of its own. What they hold of the connections that
// clients may have is missing to those who want to ask.
void Clients::limit_idle_askers() {
    if (order_.askers() < static_cast<std::size_t>(budget_.max_idle_clients()))
        return;
    // At a handover a connection closed as its next request comes would turn that back; at a drain its client
    // could not come again.
    if (budget_.shared() || done_)
        return;
    if (EvictionOrder::Entry *const entry = order_.longest_idle_asker())
        static_cast<Client &>(*entry).begin_closing(CloseReason::TooManyIdle, deadlines_.clock.now());
}

asio::awaitable<void> Clients::serve(std::list<Client>::iterator client) {
    try {
        co_await front_(*client);
    } catch (const std::exception &error) { // a client's trouble ends its connection, not the broker
        core::log("client {}: {}", client->id, error.what());
        client->note(CloseReason::Failure);
    }
    client->close(CloseReason::ClientDisconnected);
    ++figures_.of(*client->reason);
    if (client->dropped_before_shutdown > 0)
        ++figures_.closed_unread;
    log_ended(*client);
    clients_.erase(client);
    last_change_ = deadlines_.clock.now();
    if (done_ && clients_.empty() && !acceptor_.is_open())
        std::exchange(done_, nullptr)();
}

void Clients::drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> done) {
    done_ = std::move(done);
    close_connections_at_ = close_connections_at;
    answer_all_at_ = answer_all_at;
    last_change_ = deadlines_.clock.now();
    for (Client &client : clients_) {
        client.staying = true;
        if (client.notify)
            client.notify();
    }
    drain_turn();
}

void Clients::quiesce(std::optional<Micros> since) {
    if (since.has_value() == quiesced_.has_value())
        return;
    quiesced_ = since;
    quiesce_timer_.reset();
    report_.reset();
    core::log("quiesce: {}", since ? "clients are sent away once the front has moved" : "over");
    if (!since)
        return;
    quiesce_timer_ = deadlines_.at(*since + kFrontMoves, [this] {
        report_closing("quiesce");
        send_away();
    });
}

std::size_t Clients::closing() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients_, [](const Client &client) { return client.use().closing; }));
}

// While operators send clients away or the process ends, each that ends has a line, within a bound; at other
// times those that took long to end, and those that the broker ended over bytes that it had not taken.
void Clients::log_ended(const Client &client) {
    const Micros now = deadlines_.clock.now();
    const Micros took = now - client.closing.since;
    const bool told = client.closing.since != 0 && (took >= kSlowToClose || quiesced_ || done_);
    if (!told && client.dropped_before_shutdown == 0)
        return;
    if (!ended_lines_.allow(now))
        return;
    core::log("client {} ended after {} ms, {} ms after it was to ({}); requests read meanwhile: {}, "
              "has asked: {}; bytes dropped before its shutdown: {}, after it: {}; lines left out: {}",
              client.id, (now - client.use().accepted) / 1000, client.closing.since == 0 ? 0 : took / 1000,
              name(*client.reason), client.asked_since, client.use().asked, client.dropped_before_shutdown,
              client.dropped_after_shutdown, ended_lines_.take_suppressed());
}

void Clients::report_closing(std::string_view cause) {
    const auto open_requests = [](const Client &client) { return client.use().owed > 0; };
    const auto partial = [](const Client &client) { return client.use().partial; };
    core::log(
        "{}: {} client connections open, {} of them closing, {} with open requests, {} with part of one",
        cause, clients_.size(), closing(), std::ranges::count_if(clients_, open_requests),
        std::ranges::count_if(clients_, partial));
    const Client *longest = nullptr;
    for (const Client &client : clients_)
        if (client.use().closing && (!longest || client.closing.since < longest->closing.since))
            longest = &client;
    if (longest)
        core::log("{}: client {} is closing for {} ms ({}): open requests {}, read meanwhile {}, part of one "
                  "{}, unwritten answers {}",
                  cause, longest->id, (deadlines_.clock.now() - longest->closing.since) / 1000,
                  name(*longest->reason), longest->use().owed, longest->asked_since, longest->use().partial,
                  longest->writing);
    report_ = deadlines_.in(kReportEvery, [this, cause] {
        if (!clients_.empty())
            report_closing(cause);
    });
}

bool Clients::sending_away() const {
    return quiesced_ && !done_ && deadlines_.clock.now() >= *quiesced_ + kFrontMoves;
}

// Those who are there; who comes later is told as it is admitted.
void Clients::send_away() {
    const Micros now = deadlines_.clock.now();
    for (Client &client : clients_)
        client.send_away(now);
}

// Clients go on using what connections they have for as long as those are open, and cannot know of a broker
// that has gone.
void Clients::drain_turn() {
    const Micros now = deadlines_.clock.now();
    if (now >= close_connections_at_ && !closing_all_)
        begin_closing_all();
    const bool none_comes = clients_.empty() && now - last_change_ >= kStillComing;
    if (now < answer_all_at_ && !none_comes) {
        drain_timer_ = deadlines_.in(kRetryAccept, [this] { drain_turn(); });
        return;
    }
    closing_all_ = true;
    const bool last = now >= answer_all_at_ + kQueueWithin;
    if (!paused_ && !accept_queue(last) && !last) { // else a successor accepts
        drain_timer_ = deadlines_.in(kQueueLook, [this] { drain_turn(); });
        return;
    }
    stop_listening();
    if (clients_.empty() && done_)
        std::exchange(done_, nullptr)();
}

void Clients::begin_closing_all() {
    closing_all_ = true;
    report_closing("shutdown");
    const Micros now = deadlines_.clock.now();
    for (Client &client : clients_)
        client.shut_down(now, answer_all_at_);
}

// What waits to be accepted may have a request written to it, which counts as taken. Accepts all of it in one
// turn, as others may join it in the meantime, and as there is room, or without: `last`. Whether none waits.
bool Clients::accept_queue(bool last) {
    for (int n = 0; n < kAcceptsAtOnce; ++n) {
        if (budget_.clients_full() && !evict_one() && !last)
            return false;
        tcp::socket socket(io_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        if (error == asio::error::would_block)
            return true;
        if (error.value() == EMFILE || error.value() == ENFILE)
            evict_one();
        if (error)
            return false; // one connection has gone, or it passes
        ++last_accepts_;
        admit(std::move(socket), Passed());
    }
    return false;
}

void Clients::stop_listening() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    core::log("shutdown: takes no more connections; {} were in the queue at the end", last_accepts_);
}

} // namespace marblewood::net
