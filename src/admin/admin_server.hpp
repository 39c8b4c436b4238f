/// \file
/// The admin interface: HTTP/1.1 under /admin/, one call to a connection. A reply is written once what was
/// asked for is done. A caller that is slow, silent or one too many loses its connection and no other's.
///
/// Threads: all of it runs on the io_context's one thread.
#pragma once

#include "net/http.hpp"

#include <functional>
#include <list>
#include <string>

namespace marblewood::admin {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Reply {
    int status = 0; ///< of HTTP
    std::string text;
};

/// What the calls do. A call whose operation is not set is answered 404.
struct Operations {
    std::function<std::string()> stats;
    std::function<bool(const std::string &id)> cordon;   ///< false: no node has the id
    std::function<bool(const std::string &id)> uncordon; ///< the same
    std::function<void(bool quiesced)> quiesce;
    /// False: another process has taken over, and changes belong there.
    std::function<bool()> accepts_changes;
    /// Calls under `cells`: the name of the call, and its argument.
    std::function<asio::awaitable<Reply>(std::string call, std::string argument)> cells;
};

class AdminServer {
public:
    /// Serves on `acceptor` until the io_context ends.
    AdminServer(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor,
                Operations operations);

private:
    struct Caller {
        explicit Caller(tcp::socket accepted) : socket(std::move(accepted)) {}
        void close();
        tcp::socket socket;
    };
    using CallerIterator = std::list<Caller>::iterator;

    asio::awaitable<void> accept();
    asio::awaitable<void> pause_after_failed_accept();
    asio::awaitable<void> serve(CallerIterator caller);
    asio::awaitable<std::string> receive_and_execute(Caller &caller);
    /// Reads and drops what a caller still sends, until it closes or `error` is set.
    static asio::awaitable<void> drain(Caller &caller, boost::system::error_code error);

    asio::awaitable<std::string> execute(net::http::Request request);
    asio::awaitable<std::string> execute_cells(net::http::Request request);
    std::string execute_now(const net::http::Request &request);
    std::string execute_change(const std::string &call, const std::string &argument);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    const Operations operations_;
    std::list<Caller> callers_; ///< the first has been here the longest
};

} // namespace marblewood::admin
