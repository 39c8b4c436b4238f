// The operators' address: HTTP/1.1, one call to a connection. An answer is written once what was asked for is
// done.
#pragma once

#include "core/metrics.hpp"
#include "net/client_figures.hpp"
#include "net/costs.hpp"
#include "net/http.hpp"

#include <list>

namespace marblewood::net::control {

struct State { // what is so now, beside the counts
    std::size_t current = 0, nodes = 0, avoided = 0;
    Costs costs;
    ClientFigures clients;
    std::size_t clients_open = 0, clients_closing = 0;
};
// The figures, a line each, in the form of StatsD.
std::string spell(const core::Metrics &figures, const Settings &settings, const State &state);

// What is not set is not found.
struct Operations {
    std::function<std::string()> stats;
    std::function<bool(const std::string &id)> cordon, uncordon; // false: nobody has the id
    std::function<void(bool)> quiesce;
    std::function<bool()> acts; // false: another process has taken over, and changes belong there
    // Calls under `cells`: what stands behind it, and the body; the status and the text to answer with.
    std::function<asio::awaitable<std::pair<int, std::string>>(std::string what, std::string body,
                                                               bool changes)>
        cells;
};

class Control {
public:
    Control(asio::io_context &io, core::Deadlines &deadlines, tcp::acceptor acceptor, Operations operations);

private:
    struct Caller {
        explicit Caller(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
    };
    asio::awaitable<void> accept();
    asio::awaitable<void> hear(std::list<Caller>::iterator caller);
    asio::awaitable<std::string> answer(http::Request request);
    std::string answer_now(const http::Request &request);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::acceptor acceptor_;
    Operations do_;
    std::list<Caller> callers_; // the first has been here the longest
};

} // namespace marblewood::net::control
