/// \file
/// The admin interface: HTTP/1.1 under /admin/, one call per connection. The reply is written after the call
/// has been executed. A connection that is slow, silent or above the limit on connections is closed without
/// effect on the others.
///
/// Threads: everything runs on the io_context's single thread.
#pragma once

#include "net/answer_delivery.hpp"
#include "net/http.hpp"

#include <functional>
#include <list>
#include <string>

namespace marblewood::admin {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The result of an operation on cells.
struct Reply {
    int status = 0; ///< HTTP status
    std::string text;
};

/// The operations behind the calls. A call whose operation is not set is answered 404.
struct Operations {
    std::function<std::string()> stats;
    std::function<bool(const std::string &id)> cordon;   ///< returns false if no node has the id
    std::function<bool(const std::string &id)> uncordon; ///< returns false if no node has the id
    std::function<void(bool quiesced)> quiesce;
    /// Returns false after a successor process has taken over; changes must then be sent to the successor.
    std::function<bool()> accepts_changes;
    /// Executes a call below /admin/cells, given its name and argument.
    std::function<asio::awaitable<Reply>(std::string call, std::string argument)> cells;
};

/// Serves the admin interface.
class AdminServer {
public:
    /// Serves connections from `acceptor` until the io_context stops.
    AdminServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                Operations operations);

private:
    struct Caller {
        explicit Caller(tcp::socket accepted) : socket(std::move(accepted)) {}
        void close();
        tcp::socket socket;
        net::AnswerDelivery delivery;
        bool has_called = false; ///< its call is complete
        /// When the sending side was shut down, after the reply was written; 0: it is not.
        Micros shut_down_at = 0;
        /// Closes the connection; set while the server waits for the caller.
        core::Deadlines::Entry timeout;
    };
    using CallerIterator = std::list<Caller>::iterator;

    asio::awaitable<void> accept();
    /// Closes the oldest connection whose call is not complete, or the oldest of all.
    void make_room();
    asio::awaitable<void> wait_after_failed_accept();
    asio::awaitable<void> serve(CallerIterator caller);
    void close_after(Caller &caller, Micros timeout);
    asio::awaitable<std::string> receive_and_execute(Caller &caller);
    asio::awaitable<void> write_reply(Caller &caller, const std::string &response);
    /// Closes the connection once the caller has taken its reply and has had time to close it, or takes
    /// nothing of it for too long.
    void watch_delivery(Caller &caller);
    /// Reads and discards what the caller still sends, up to the limit on the size of a call, until the
    /// connection is closed.
    static asio::awaitable<void> drain(Caller &caller);

    asio::awaitable<std::string> execute(net::http::Request request);
    asio::awaitable<std::string> execute_cells(net::http::Request request);
    std::string execute_local_call(const net::http::Request &request);
    std::string execute_change(const std::string &call, const std::string &argument);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    const Operations operations_;
    std::list<Caller> callers_; ///< in the order in which they connected
};

} // namespace marblewood::admin
