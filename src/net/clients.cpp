#include "net/clients.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <thread>

namespace marblewood::net {
namespace {

constexpr Micros kAcceptRetryDelay = 10'000;
constexpr std::chrono::milliseconds kBindTimeout{8'000}, kBindRetryInterval{10}; // while the process starts
constexpr Micros kQuiesceGrace = 1'000'000; // between the quiesce call and the closing of connections
constexpr int kMaxAcceptsPerTurn = 64;
// Sessions of connections that were ended for others run to their end in the turns after that. So many may
// be left of them before no more connections are accepted.
constexpr std::size_t kMaxEndedSessions = 512;

tcp protocol_of(int socket) {
    sockaddr at{};
    socklen_t size = sizeof at;
    return ::getsockname(socket, &at, &size) == 0 && at.sa_family == AF_INET6 ? tcp::v6() : tcp::v4();
}

// Makes a failing accept neither block nor be retried inside Asio, so that accept_next() sees every error.
tcp::acceptor prepare_for_accept_next(tcp::acceptor acceptor) {
    acceptor.non_blocking(true);
    acceptor.set_option(tcp::acceptor::enable_connection_aborted(true));
    return acceptor;
}

// Whether an error of socket() or bind() is transient: the address is still in use, or the system is short of
// descriptors or memory.
bool is_transient(const boost::system::error_code &error) {
    const int number = error.value();
    return error == asio::error::address_in_use || number == EMFILE || number == ENFILE ||
           number == ENOBUFS || number == ENOMEM;
}

} // namespace

void Client::begin_closing_by(CloseReason why, Micros now, Micros time, bool withdraw_lone_requests) {
    note_close_reason(why);
    if (!use().closing) {
        closing.started_at = now;
        closing.deadline = time;
    }
    closing.deadline = std::min(closing.deadline, time);
    closing.withdraw_lone_requests = closing.withdraw_lone_requests || withdraw_lone_requests;
    mark_closing();
    if (notify)
        notify();
}

tcp::acceptor listen_at(asio::io_context &io, const tcp::endpoint &at) {
    // The process that used the address before may still be exiting.
    const auto until = std::chrono::steady_clock::now() + kBindTimeout;
    for (bool logged = false;; std::this_thread::sleep_for(kBindRetryInterval)) {
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
            return prepare_for_accept_next(std::move(acceptor));
        if (!is_transient(error) || std::chrono::steady_clock::now() >= until)
            throw boost::system::system_error(error, fmt::format("port {}", at.port()));
        const bool held = error == asio::error::address_in_use;
        if (!std::exchange(logged, true))
            core::log("port {} {}: waiting", at.port(),
                      held ? "is held by another process" : "can't be had now (" + error.message() + ")");
    }
}

tcp::acceptor listen_with(asio::io_context &io, Descriptor socket) {
    int is_listening = 0;
    socklen_t size = sizeof is_listening;
    if (::getsockopt(socket.get(), SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 || !is_listening)
        throw boost::system::system_error(asio::error::invalid_argument, "not a listening socket");
    tcp::acceptor acceptor(io);
    acceptor.assign(protocol_of(socket.get()), socket.get());
    socket.release();
    return prepare_for_accept_next(std::move(acceptor));
}

Clients::Clients(asio::io_context &io, core::Deadlines &deadlines, SocketBudget &budget,
                 ClientFigures &figures, tcp::acceptor acceptor, Front front)
    : io_(io), deadlines_(deadlines), budget_(budget), figures_(figures), acceptor_(std::move(acceptor)),
      front_(std::move(front)), resumed_(io.get_executor()) {
    asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> Clients::accept() {
    asio::steady_timer retry_timer(io_);
    while (acceptor_.is_open()) {
        if (paused_) {
            co_await resumed_.take();
            continue;
        }
        // A client may already have written a request to a connection in the backlog, and takes it for
        // received. So room is made by closing an idle connection, never by not accepting; EvictionOrder
        // decides which.
        boost::system::error_code error;
        // Descriptors reserved for nodes and discovery are never used for clients.
        if (budget_.clients_full() && !evict_one()) {
            retry_timer.expires_after(std::chrono::microseconds(kAcceptRetryDelay));
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        tcp::socket socket(io_);
        error = co_await accept_next(acceptor_, socket);
        if (error) {
            if (!acceptor_.is_open())
                break;
            if (error == asio::error::operation_aborted)
                continue;                             // paused, and possibly resumed since
            core::log("accept: {}", error.message()); // transient, such as a lack of descriptors
            make_room_after(error);
            retry_timer.expires_after(std::chrono::microseconds(kAcceptRetryDelay));
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        admit(std::move(socket), HandedOverClient());
        accept_waiting(kMaxAcceptsPerTurn, 0);
    }
}

void Clients::admit(tcp::socket socket, HandedOverClient inherited) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const Micros now = last_change_at_ = deadlines_.clock.now();
    const std::uint64_t number = ++figures_.accepted;
    const auto client = clients_.emplace(clients_.end(), std::move(socket), order_, now, number);
    client->lease = budget_.client();
    if (inherited.asked)
        client->mark_requested();
    client->inherited = std::move(inherited);
    client->transfer = transfer_;
    client->exempt_from_idle_timeout = on_drained_ != nullptr;
    client->on_message_abandoned = [this, &client = *client](const AbandonedMessage &message) {
        log_abandoned_message(client, message);
    };
    if (closing_for_quiesce())
        client->close_for_quiesce(now);
    if (closing_all_)
        client->close_for_shutdown(now, answer_all_at_);
    asio::co_spawn(io_, serve(client), asio::detached);
    limit_idle_requesters();
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

void Clients::hand_over(std::function<void(HandedOverClient)> transfer) {
    transfer_ = std::move(transfer);
    for (Client &client : clients_) {
        client.transfer = transfer_;
        if (transfer_ && client.notify)
            client.notify();
    }
}

void Clients::adopt(HandedOverClient inherited) {
    budget_.client_handed_over();
    if (budget_.clients_full())
        evict_one();
    tcp::socket socket(io_);
    boost::system::error_code error;
    const int fd = inherited.descriptor.get();
    socket.assign(protocol_of(fd), fd, error);
    if (error)
        return core::log("cannot take over a client connection: {}", error.message());
    inherited.descriptor.release();
    admit(std::move(socket), std::move(inherited));
}

// Closes one connection where accept() has failed for lack of a descriptor. The system looks for a descriptor
// before it looks for a connection, so the call also fails that way when no connection waits.
void Clients::make_room_after(const boost::system::error_code &accept_error) {
    const bool lacks_descriptor = accept_error.value() == EMFILE || accept_error.value() == ENFILE;
    if (lacks_descriptor && backlog_length(acceptor_.native_handle()) > 0)
        evict_one();
}

bool Clients::evict_one() {
    EvictionOrder::Entry *const entry = order_.next(deadlines_.clock.now(), [](EvictionOrder::Entry &e) {
        return static_cast<Client &>(e).has_unhandled_input();
    });
    if (!entry)
        return false;
    evict(static_cast<Client &>(*entry));
    return true;
}

void Clients::evict(Client &client) {
    log_evicted(client, "descriptors");
    if (client.use().may_not_read())
        client.reset(CloseReason::NotReading);
    else
        client.close(CloseReason::Evicted);
    client.mark_closed();
    ++ended_sessions_;
    client.begin_closing(CloseReason::Evicted, deadlines_.clock.now());
}

// Some clients send one request and stay connected, each on a connection of its own. As the number of client
// connections is limited, they would keep others from sending requests.
void Clients::limit_idle_requesters() {
    const Micros now = deadlines_.clock.now();
    if (order_.idle_requesters(now) < static_cast<std::size_t>(budget_.max_idle_clients()))
        return;
    // During a handover, closing a connection while its next request arrives would reject that request.
    // During a drain, the client could not reconnect.
    if (budget_.shared() || on_drained_)
        return;
    EvictionOrder::Entry *const entry = order_.longest_idle_requester(now);
    if (!entry)
        return;
    Client &client = static_cast<Client &>(*entry);
    log_evicted(client, "idle_limit");
    client.begin_closing(CloseReason::TooManyIdle, now);
}

asio::awaitable<void> Clients::serve(std::list<Client>::iterator client) {
    try {
        co_await front_(*client);
    } catch (const std::exception &error) { // ends this connection only, not the broker
        core::log("client {}: {}", client->id, error.what());
        client->note_close_reason(CloseReason::Failure);
    }
    client->close(CloseReason::ClientDisconnected);
    ++figures_.of(*client->close_reason);
    if (client->dropped_before_shutdown > 0)
        ++figures_.closed_unread;
    if (client->undelivered_at_close > 0)
        ++figures_.closed_undelivered;
    if (client->unanswered_at_close > 0) {
        ++figures_.closed_unanswered;
        log_unanswered(*client);
    }
    log_ended(*client);
    if (client->use().closed)
        --ended_sessions_;
    clients_.erase(client);
    last_change_at_ = deadlines_.clock.now();
    if (on_drained_ && clients_.empty() && !acceptor_.is_open())
        std::exchange(on_drained_, nullptr)();
}

void Clients::quiesce(std::optional<Micros> since) {
    if (since.has_value() == quiesced_since_.has_value())
        return;
    quiesced_since_ = since;
    quiesce_timer_.reset();
    report_timer_.reset();
    core::log("quiesce: {}", since ? "client connections will be closed after the grace period" : "ended");
    if (!since)
        return;
    quiesce_timer_ = deadlines_.at(*since + kQuiesceGrace, [this] {
        report_closing("quiesce");
        close_for_quiesce();
    });
}

std::size_t Clients::closing() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients_, [](const Client &client) { return client.use().closing; }));
}

Clients::Busiest Clients::take_busiest() {
    Busiest busiest;
    for (Client &client : clients_) {
        const std::uint64_t bytes = std::exchange(client.bytes_received, 0);
        if (bytes > busiest.bytes)
            busiest = {client.id, bytes};
    }
    return busiest;
}

bool Clients::closing_for_quiesce() const {
    return quiesced_since_ && !on_drained_ && deadlines_.clock.now() >= *quiesced_since_ + kQuiesceGrace;
}

// Closes the connections that are open now; admit() does so for later ones.
void Clients::close_for_quiesce() {
    const Micros now = deadlines_.clock.now();
    for (Client &client : clients_)
        client.close_for_quiesce(now);
}

// Accepts up to `most` connections that wait in the backlog, up to `beyond_room` of them although there is no
// room. Stops when there is none otherwise, or when too many sessions have to run to their end first. Returns
// whether the backlog is empty.
bool Clients::accept_waiting(int most, int beyond_room) {
    for (int n = 0; n < most; ++n) {
        if (ended_sessions_ >= kMaxEndedSessions)
            return false;
        if (budget_.clients_full() && !evict_one() && beyond_room-- <= 0)
            return false;
        tcp::socket socket(io_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        if (error == asio::error::would_block)
            return true;
        make_room_after(error);
        if (error)
            return false; // the connection was aborted, or the error is transient
        admit(std::move(socket), HandedOverClient());
    }
    return false;
}

} // namespace marblewood::net
